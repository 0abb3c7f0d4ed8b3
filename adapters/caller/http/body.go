package http

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/dialect"
)

// Limits of request bodies.
const (
	maxReadAheadBytes = 16 << 10               // bodies up to this size are read before the first attempt and can be replayed
	minReadAheadBytes = 512                    // buffer for a body that is not known to be small
	bodyReadTimeout   = 30 * time.Second       // per read of a caller's body
	interactivePause  = 250 * time.Millisecond // after which a caller may be waiting for the response
)

// body is a caller's request body: empty, small and read ahead, or a stream of which the first bytes were read ahead.
type body struct {
	small  []byte
	stream *bodyStream
	length int64 // in bytes, -1 if unknown
	// streamDigest is a hash of the stream's bytes that were read ahead.
	streamDigest uint64
}

// bodyLimits are the limits of reading a request's body. Zero values set none.
type bodyLimits struct {
	deadline       time.Time     // to read the body ahead
	streamDeadline time.Time     // for the last byte of a stream
	pause          time.Duration // without a byte, after which a body is streamed that has not been read ahead
}

// readBody reads a body ahead. It prepares one for streaming that is larger, is followed by trailers, or pauses: its caller may wait for a part of
// the response before it sends more.
func readBody(w http.ResponseWriter, r *http.Request, limits bodyLimits) (*body, error) {
	if r.ContentLength == 0 {
		return &body{}, nil
	}
	stream := newBodyStream(r.Body, http.NewResponseController(w), limits.deadline)
	var isWhole bool
	var err error
	if isSmall := r.ContentLength > 0 && r.ContentLength <= maxReadAheadBytes; isSmall {
		isWhole, err = true, stream.fillExactly(r.ContentLength)
	} else {
		isWhole, err = stream.fill(limits.pause)
	}
	if err != nil {
		// Otherwise net/http waits for the rest of the body before it writes the answer.
		_ = stream.control.EnableFullDuplex()
		w.Header().Set("Connection", "close")
		return nil, err
	}
	if isWhole && len(r.Trailer) == 0 {
		return &body{small: stream.first, length: int64(len(stream.first))}, nil
	}
	// Otherwise net/http consumes the rest of the request body as soon as the response is written.
	_ = stream.control.EnableFullDuplex()
	stream.setDeadline(limits.streamDeadline)
	connectionOf(r).readAhead()
	return &body{stream: stream, length: r.ContentLength, streamDigest: stream.digest()}, nil
}

// open returns a reader of the body for one attempt.
func (body *body) open() io.ReadCloser {
	switch {
	case body.stream != nil:
		return body.stream.open()
	case len(body.small) > 0:
		return io.NopCloser(bytes.NewReader(body.small))
	}
	return http.NoBody
}

// replayable reports whether the body can still be sent to another server, from its first byte on.
func (body *body) replayable() bool {
	return body.stream == nil || body.stream.isUnread()
}

// shareable reports whether attempts may send the body at the same time. One that waits for 100 Continue has read nothing of a stream, and may
// read it at any time.
func (body *body) shareable() bool { return body.stream == nil }

// hasEnded reports whether the body was read to its end. If not, the caller's connection must not be used again: later bytes could be taken for
// a request, and net/http panics if it finds the end of a body itself and the next request is read at once.
func (body *body) hasEnded() bool {
	return body.stream == nil || body.stream.hasEnded()
}

// fingerprint returns a nonzero hash that is equal for equal requests. Of a streamed body it covers the bytes that were
// read ahead. It omits the host, because callers reach each entry instance under a different address.
func fingerprint(r *http.Request, info *dialect.RequestInfo, body *body) uint64 {
	digest := xxhash.New()
	for _, part := range []string{
		r.Method, r.URL.RequestURI(), info.Team, info.IdempotencyKey, r.Header.Get("Content-Type"),
	} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	// The framing is left out: the same body may come in chunks or with a length.
	_, _ = digest.Write(body.small)
	if body.stream != nil {
		_, _ = digest.Write(binary.LittleEndian.AppendUint64([]byte{0}, body.streamDigest))
	}
	return max(1, digest.Sum64())
}
