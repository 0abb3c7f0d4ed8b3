package http

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bodyStream reads a caller's body with a deadline for each read. It reads the first bytes ahead, from where an attempt gets them, and the rest when
// an attempt asks for it. Its Close does nothing, since an attempt must not close the body: net/http's server does.
type bodyStream struct {
	body    io.Reader
	control *http.ResponseController

	mu       sync.Mutex
	deadline time.Time     // for the last byte, zero for none
	first    []byte        // read ahead so far, at most maxReadAheadBytes
	isFilled bool          // first is complete
	offset   int           // bytes of first that an attempt has read
	started  bool          // an attempt has read from the stream
	err      error         // of the last read
	progress chan struct{} // receives a value when first grows, and is closed when it is complete
}

func newBodyStream(body io.Reader, control *http.ResponseController, deadline time.Time) *bodyStream {
	return &bodyStream{body: body, control: control, deadline: deadline, progress: make(chan struct{}, 1)}
}

// fillExactly reads a whole body of a known length ahead.
func (stream *bodyStream) fillExactly(length int64) error {
	stream.first = make([]byte, length)
	for read := 0; read < len(stream.first); {
		stream.extendReadDeadline()
		n, err := stream.body.Read(stream.first[read:])
		read += n
		if err != nil && read < len(stream.first) {
			return err
		}
	}
	stream.clearReadDeadline()
	return nil
}

// fill reads the first bytes of the body ahead in the background. It waits until they are complete, and reports whether they are the whole body, or
// until no byte has arrived for the pause, if there is one.
func (stream *bodyStream) fill(pause time.Duration) (isWhole bool, err error) {
	go stream.readAhead()
	for stream.awaitProgress(pause) {
		stream.mu.Lock()
		isFilled, err := stream.isFilled, stream.err
		stream.mu.Unlock()
		if !isFilled {
			continue
		}
		if err == io.EOF {
			return true, nil
		}
		return false, err
	}
	return false, nil
}

// awaitProgress reports whether a byte arrives, or the body ends, before the pause is over. A pause of zero does not end.
func (stream *bodyStream) awaitProgress(pause time.Duration) bool {
	if pause == 0 {
		<-stream.progress
		return true
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-stream.progress:
		return true
	case <-timer.C:
		return false
	}
}

// readAhead reads the first bytes of the body.
func (stream *bodyStream) readAhead() {
	defer close(stream.progress)
	for {
		n, err := stream.readOnce(stream.spareCapacity())
		stream.mu.Lock()
		stream.first = stream.first[:len(stream.first)+n]
		stream.isFilled = err != nil || len(stream.first) == maxReadAheadBytes
		isFilled := stream.isFilled
		stream.mu.Unlock()
		if isFilled {
			return
		}
		select {
		case stream.progress <- struct{}{}:
		default:
		}
	}
}

// spareCapacity returns the buffer behind the first bytes, which grows with them: a caller that sends little takes up little memory.
func (stream *bodyStream) spareCapacity() []byte {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	length := len(stream.first)
	if length == cap(stream.first) {
		grown := make([]byte, length, min(max(minReadAheadBytes, 2*length), maxReadAheadBytes))
		copy(grown, stream.first)
		stream.first = grown
	}
	return stream.first[length:cap(stream.first)]
}

// Read returns the bytes that were read ahead and then reads from the caller's body. It fails if no byte arrives within bodyReadTimeout, or by the
// deadline.
func (stream *bodyStream) Read(p []byte) (int, error) {
	for {
		stream.mu.Lock()
		stream.started = true
		n := copy(p, stream.first[stream.offset:])
		stream.offset += n
		isFilled, err := stream.isFilled, stream.err
		stream.mu.Unlock()
		switch {
		case n > 0 || len(p) == 0:
			return n, nil
		case isFilled && err != nil:
			return 0, err
		case isFilled:
			return stream.readOnce(p)
		}
		<-stream.progress
	}
}

// readOnce reads from the caller's body.
func (stream *bodyStream) readOnce(p []byte) (int, error) {
	stream.extendReadDeadline()
	n, err := stream.body.Read(p)
	if err == io.EOF {
		stream.clearReadDeadline()
	}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.err = err
	return n, err
}

// Close does nothing.
func (stream *bodyStream) Close() error { return nil }

// firstBytes returns the bytes that have been read ahead so far, and their hash.
func (stream *bodyStream) firstBytes() (first []byte, digest uint64) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return stream.first, xxhash.Sum64(stream.first)
}

// isUnread reports whether no attempt has read from the stream.
func (stream *bodyStream) isUnread() bool {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return !stream.started
}

// hasEnded reports whether the body was read to its end.
func (stream *bodyStream) hasEnded() bool {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return stream.err == io.EOF
}

// setDeadline sets the deadline for the last byte, zero for none.
func (stream *bodyStream) setDeadline(deadline time.Time) {
	stream.mu.Lock()
	stream.deadline = deadline
	isReading := !stream.isFilled
	stream.mu.Unlock()
	if isReading {
		stream.extendReadDeadline()
	} else {
		stream.clearReadDeadline()
	}
}

func (stream *bodyStream) extendReadDeadline() {
	stream.mu.Lock()
	deadline := stream.deadline
	stream.mu.Unlock()
	// A writer without support for read deadlines leaves the read bounded by the request's deadline.
	_ = stream.control.SetReadDeadline(earlier(time.Now().Add(bodyReadTimeout), deadline))
}

func (stream *bodyStream) clearReadDeadline() {
	_ = stream.control.SetReadDeadline(time.Time{})
}
