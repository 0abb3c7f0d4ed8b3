package yamux

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// maxRulesBytes limits the decompressed text of a version. A platform's store holds it in one value of a megabyte or in parts.
const maxRulesBytes = 32 << 20

// deflatedRules caches the compressed text of the latest version. The zero value is empty.
type deflatedRules struct {
	mu      sync.Mutex
	version uint64
	bytes   []byte
}

// get returns the compressed text of a version, nil for version 0.
func (rules *deflatedRules) get(version uint64, text string) ([]byte, error) {
	if version == 0 {
		return nil, nil
	}
	rules.mu.Lock()
	defer rules.mu.Unlock()
	if rules.version == version {
		return rules.bytes, nil
	}
	buffer := &bytes.Buffer{}
	writer, err := flate.NewWriter(buffer, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(writer, text); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	rules.version, rules.bytes = version, buffer.Bytes()
	return rules.bytes, nil
}

// inflateRules decompresses a rules text and returns an error if it exceeds maxRulesBytes.
func inflateRules(deflated []byte) (string, error) {
	reader := flate.NewReader(bytes.NewReader(deflated))
	text, err := io.ReadAll(io.LimitReader(reader, maxRulesBytes+1))
	if err != nil {
		return "", err
	}
	if len(text) > maxRulesBytes {
		return "", fmt.Errorf("rules text exceeds %d bytes", maxRulesBytes)
	}
	return string(text), nil
}
