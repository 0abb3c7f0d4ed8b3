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
	maxReadAheadBytes = 16 << 10         // bodies up to this size are read before the first attempt and can be replayed
	bodyReadTimeout   = 30 * time.Second // per read of a caller's body
)

// body is a caller's request body: empty, small and read ahead, or a stream.
type body struct {
	small  []byte
	stream *bodyStream
	digest uint64 // hash of small
	length int64  // Content-Length in bytes, -1 if unknown
}

// readBody reads a small body ahead, until the deadline, and prepares any other one for streaming. A zero streamDeadline leaves streaming without
// one.
func readBody(w http.ResponseWriter, r *http.Request, deadline, streamDeadline time.Time) (*body, error) {
	b := &body{length: r.ContentLength}
	if r.ContentLength == 0 {
		return b, nil
	}
	stream := &bodyStream{body: r.Body, control: http.NewResponseController(w), deadline: deadline}
	if r.ContentLength < 0 || r.ContentLength > maxReadAheadBytes || r.Header.Get("Expect") != "" {
		b.stream, stream.deadline = stream, streamDeadline
		// Otherwise net/http consumes the rest of the request body as soon as the response is written.
		_ = stream.control.EnableFullDuplex()
		return b, nil
	}
	b.small = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(stream, b.small); err != nil {
		// Otherwise net/http waits for the rest of the body before it writes the answer.
		_ = stream.control.EnableFullDuplex()
		w.Header().Set("Connection", "close")
		return nil, err
	}
	stream.clearDeadline()
	b.digest = xxhash.Sum64(b.small)
	return b, nil
}

// open returns a reader of the body for one attempt.
func (body *body) open() io.ReadCloser {
	switch {
	case body.stream != nil:
		return body.stream
	case len(body.small) > 0:
		return io.NopCloser(bytes.NewReader(body.small))
	}
	return http.NoBody
}

// replayable reports whether the body can still be sent to another server, from its first byte on.
func (body *body) replayable() bool {
	return body.stream == nil || !body.stream.started.Load()
}

// isCutOff reports whether a read of the caller's body may fail at its deadline. Bytes that arrive later must not be taken for a request, so the
// caller's connection cannot be used again.
func (body *body) isCutOff() bool {
	return body.stream != nil && body.stream.started.Load() && !body.stream.ended.Load()
}

// bodyStream reads the caller's body with a deadline for each read. Its Close does nothing, since an attempt must not
// close the body: net/http's server does.
type bodyStream struct {
	body     io.Reader
	control  *http.ResponseController
	deadline time.Time // for the last byte, zero for none
	started  atomic.Bool
	ended    atomic.Bool // read to its end
}

// Read reads from the caller's body. It fails if no byte arrives within bodyReadTimeout, or by the deadline.
func (stream *bodyStream) Read(p []byte) (int, error) {
	stream.started.Store(true)
	// A writer without support for read deadlines leaves the read bounded by the request's deadline.
	_ = stream.control.SetReadDeadline(earlier(time.Now().Add(bodyReadTimeout), stream.deadline))
	n, err := stream.body.Read(p)
	if err == io.EOF {
		stream.ended.Store(true)
		stream.clearDeadline()
	}
	return n, err
}

func (stream *bodyStream) clearDeadline() {
	_ = stream.control.SetReadDeadline(time.Time{})
}

func (stream *bodyStream) Close() error { return nil }

// fingerprint returns a nonzero hash that is equal for equal requests. It omits the host, because callers reach each
// entry instance under a different address.
func fingerprint(r *http.Request, info *dialect.RequestInfo, body *body) uint64 {
	digest := xxhash.New()
	for _, part := range []string{
		r.Method, r.URL.RequestURI(), info.Team, info.IdempotencyKey, r.Header.Get("Content-Type"),
	} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body.small)
	return max(1, digest.Sum64())
}
