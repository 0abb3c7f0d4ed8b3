package http

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bodyStream reads a caller's body with a deadline for each read. It reads the first bytes ahead, from where an attempt gets them, and the rest when
// an attempt asks for it.
type bodyStream struct {
	body    io.Reader
	control *http.ResponseController

	mu       sync.Mutex
	deadline time.Time     // for the last byte, zero for none
	first    []byte        // read ahead so far, at most maxReadAheadBytes
	isFilled bool          // first is complete
	offset   int           // bytes of first that an attempt has read
	started  bool          // an attempt has read from the stream
	reader   *streamReader // of the latest attempt
	err      error         // of the last read
	progress chan struct{} // receives a value when first grows, and is closed when it is complete
}

func newBodyStream(body io.Reader, control *http.ResponseController, deadline time.Time) *bodyStream {
	return &bodyStream{body: body, control: control, deadline: deadline, progress: make(chan struct{}, 1)}
}

// fillExactly reads a whole body of a known length ahead.
func (bodyStream *bodyStream) fillExactly(length int64) error {
	bodyStream.first = make([]byte, length)
	for read := 0; read < len(bodyStream.first); {
		bodyStream.extendReadDeadline()
		n, err := bodyStream.body.Read(bodyStream.first[read:])
		read += n
		if err != nil && read < len(bodyStream.first) {
			return err
		}
	}
	bodyStream.clearReadDeadline()
	return nil
}

// fill reads the first bytes of the body ahead in the background. It waits until they are complete, and reports whether they are the whole body, or
// until no byte has arrived for the pause, if there is one.
func (bodyStream *bodyStream) fill(pause time.Duration) (isWhole bool, err error) {
	go bodyStream.readAhead()
	for bodyStream.awaitProgress(pause) {
		bodyStream.mu.Lock()
		isFilled, err := bodyStream.isFilled, bodyStream.err
		bodyStream.mu.Unlock()
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
func (bodyStream *bodyStream) awaitProgress(pause time.Duration) bool {
	if pause == 0 {
		<-bodyStream.progress
		return true
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-bodyStream.progress:
		return true
	case <-timer.C:
		return false
	}
}

// readAhead reads the first bytes of the body.
func (bodyStream *bodyStream) readAhead() {
	defer close(bodyStream.progress)
	for {
		n, err := bodyStream.readOnce(bodyStream.spareCapacity())
		bodyStream.mu.Lock()
		bodyStream.first = bodyStream.first[:len(bodyStream.first)+n]
		bodyStream.isFilled = err != nil || len(bodyStream.first) == maxReadAheadBytes
		isFilled := bodyStream.isFilled
		bodyStream.mu.Unlock()
		if isFilled {
			return
		}
		select {
		case bodyStream.progress <- struct{}{}:
		default:
		}
	}
}

// spareCapacity returns the buffer behind the first bytes, which grows with them: a caller that sends little takes up little memory.
func (bodyStream *bodyStream) spareCapacity() []byte {
	bodyStream.mu.Lock()
	defer bodyStream.mu.Unlock()
	length := len(bodyStream.first)
	if length == cap(bodyStream.first) {
		grown := make([]byte, length, min(max(minReadAheadBytes, 2*length), maxReadAheadBytes))
		copy(grown, bodyStream.first)
		bodyStream.first = grown
	}
	return bodyStream.first[length:cap(bodyStream.first)]
}

// streamReader is the stream as one attempt reads it. Its Close does nothing, since an attempt must not close the body: net/http's server does.
type streamReader struct{ *bodyStream }

// errTakenOver is returned to an attempt that reads a body after another attempt has been started.
var errTakenOver = errors.New("another attempt reads the request's body")

// open returns a reader for an attempt. Those of earlier attempts fail from then on.
func (bodyStream *bodyStream) open() *streamReader {
	bodyStream.mu.Lock()
	defer bodyStream.mu.Unlock()
	bodyStream.reader = &streamReader{bodyStream}
	return bodyStream.reader
}

// Read returns the bytes that were read ahead and then reads from the caller's body. It fails if no byte arrives within bodyReadTimeout, or by the
// deadline.
func (streamReader *streamReader) Read(p []byte) (int, error) {
	bodyStream := streamReader.bodyStream
	for {
		bodyStream.mu.Lock()
		if bodyStream.reader != streamReader {
			bodyStream.mu.Unlock()
			return 0, errTakenOver
		}
		bodyStream.started = true
		n := copy(p, bodyStream.first[bodyStream.offset:])
		bodyStream.offset += n
		isFilled, err := bodyStream.isFilled, bodyStream.err
		bodyStream.mu.Unlock()
		switch {
		case n > 0 || len(p) == 0:
			return n, nil
		case isFilled && err != nil:
			return 0, err
		case isFilled:
			return bodyStream.readOnce(p)
		}
		<-bodyStream.progress
	}
}

// Close does nothing.
func (streamReader *streamReader) Close() error { return nil }

// readOnce reads from the caller's body.
func (bodyStream *bodyStream) readOnce(p []byte) (int, error) {
	bodyStream.extendReadDeadline()
	n, err := bodyStream.body.Read(p)
	if err == io.EOF {
		bodyStream.clearReadDeadline()
	}
	bodyStream.mu.Lock()
	defer bodyStream.mu.Unlock()
	bodyStream.err = err
	return n, err
}

// digest returns a hash of the bytes that have been read ahead so far.
func (bodyStream *bodyStream) digest() uint64 {
	bodyStream.mu.Lock()
	defer bodyStream.mu.Unlock()
	return xxhash.Sum64(bodyStream.first)
}

// isUnread reports whether no attempt has read from the bodyStream.
func (bodyStream *bodyStream) isUnread() bool {
	bodyStream.mu.Lock()
	defer bodyStream.mu.Unlock()
	return !bodyStream.started
}

// hasEnded reports whether the body was read to its end.
func (bodyStream *bodyStream) hasEnded() bool {
	bodyStream.mu.Lock()
	defer bodyStream.mu.Unlock()
	return bodyStream.err == io.EOF
}

// setDeadline sets the deadline for the last byte, zero for none.
func (bodyStream *bodyStream) setDeadline(deadline time.Time) {
	bodyStream.mu.Lock()
	bodyStream.deadline = deadline
	isReading := !bodyStream.isFilled
	bodyStream.mu.Unlock()
	if isReading {
		bodyStream.extendReadDeadline()
	} else {
		bodyStream.clearReadDeadline()
	}
}

func (bodyStream *bodyStream) extendReadDeadline() {
	bodyStream.mu.Lock()
	deadline := bodyStream.deadline
	bodyStream.mu.Unlock()
	// A writer without support for read deadlines leaves the read bounded by the request's deadline.
	_ = bodyStream.control.SetReadDeadline(earlier(time.Now().Add(bodyReadTimeout), deadline))
}

func (bodyStream *bodyStream) clearReadDeadline() {
	_ = bodyStream.control.SetReadDeadline(time.Time{})
}
