package http

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/dialect"
)

// Limits of request bodies.
const (
	maxReadAheadBytes = 16 << 10         // bodies up to this size are read first and can be sent again
	bodyReadTimeout   = 30 * time.Second // longest silence within a caller's body
)

// body is a caller's request body: nothing, a small one read ahead, or a stream.
type body struct {
	small  []byte
	stream *bodyStream
	digest uint64 // of a small body
	length int64  // -1 when the caller did not say
}

// readBody reads a small body ahead; others are streamed.
func readBody(w http.ResponseWriter, r *http.Request) (*body, error) {
	b := &body{length: r.ContentLength}
	if r.ContentLength == 0 {
		return b, nil
	}
	stream := &bodyStream{body: r.Body, control: http.NewResponseController(w)}
	if r.ContentLength < 0 || r.ContentLength > maxReadAheadBytes || r.Header.Get("Expect") != "" {
		b.stream = stream
		// Without it the server would read the rest of the body away once the answer begins.
		_ = stream.control.EnableFullDuplex()
		return b, nil
	}
	b.small = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(stream, b.small); err != nil {
		return nil, err
	}
	stream.clearDeadline()
	b.digest = xxhash.Sum64(b.small)
	return b, nil
}

// open returns the body for one attempt.
func (body *body) open() io.ReadCloser {
	switch {
	case body.stream != nil:
		return body.stream
	case len(body.small) > 0:
		return io.NopCloser(bytes.NewReader(body.small))
	}
	return http.NoBody
}

// replayable reports whether the body can be sent to another server.
func (body *body) replayable() bool {
	return body.stream == nil || !body.stream.started.Load()
}

// bodyStream reads the caller's body, with a deadline for each read. Attempts must not close it: the server does.
type bodyStream struct {
	body    io.Reader
	control *http.ResponseController
	started atomic.Bool
}

// Read reads on; a caller that stays silent for too long fails the read.
func (stream *bodyStream) Read(p []byte) (int, error) {
	stream.started.Store(true)
	// Without support for deadlines the read is bounded by the request's own.
	_ = stream.control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	n, err := stream.body.Read(p)
	if err != nil {
		stream.clearDeadline()
	}
	return n, err
}

func (stream *bodyStream) clearDeadline() {
	_ = stream.control.SetReadDeadline(time.Time{})
}

// Close does nothing.
func (stream *bodyStream) Close() error { return nil }

// fingerprint tells requests apart: same request, same fingerprint. The host is left out, as callers reach each
// entry instance under its own address.
func fingerprint(r *http.Request, info *dialect.RequestInfo, body *body) uint64 {
	digest := xxhash.New()
	for _, part := range []string{
		r.Method, r.URL.RequestURI(), info.Team, info.Key, r.Header.Get("Content-Type"),
	} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body.small)
	return max(1, digest.Sum64())
}
