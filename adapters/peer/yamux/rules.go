package yamux

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// maxRulesBytes bounds the text of a version, which a platform's store holds in one value of a megabyte or in parts.
const maxRulesBytes = 32 << 20

// deflatedRules keeps the text of the latest version in the form in which peers get it; the zero value has none.
type deflatedRules struct {
	mu      sync.Mutex
	version uint64
	bytes   []byte
}

// get returns the deflated text get a version; version 0 has none.
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

// inflateRules returns the text that a peer sent.
func inflateRules(deflated []byte) (string, error) {
	reader := flate.NewReader(bytes.NewReader(deflated))
	text, err := io.ReadAll(io.LimitReader(reader, maxRulesBytes+1))
	if err != nil {
		return "", err
	}
	if len(text) > maxRulesBytes {
		return "", fmt.Errorf("the rules have more than %d bytes", maxRulesBytes)
	}
	return string(text), nil
}
