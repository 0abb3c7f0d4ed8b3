package http

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the bytes that are read ahead. A connection without the memory for more is not read further, so that its end behind unread bytes is
// seen only once they are read.
const (
	aheadChunkBytes = 4 << 10
	maxAheadChunks  = 16      // per connection: what follows the bytes that body reads ahead of a body of 64 KB
	maxAheadTotal   = 4 << 20 // bytes, over all connections: 64 with the most, about 3 % of the memory of the smallest instances
)

// aheadChunk holds bytes that were read ahead.
type aheadChunk struct {
	from, to int // the bytes that have not been returned yet
	bytes    [aheadChunkBytes]byte
}

var aheadChunks = sync.Pool{New: func() any { return new(aheadChunk) }}

// readAhead reads a connection. While a request in progress is followed by bytes that nobody reads, it reads them in the background, so that it sees
// the end of the connection behind them. It returns all bytes unchanged and in order.
//
// Without such bytes nothing is read in the background: net/http sees the end itself.
type readAhead struct {
	conn  net.Conn
	total *atomic.Int64 // bytes held by all connections
	onEnd func()        // called without the lock when the end of the connection has been read in the background

	mu           sync.Mutex
	changed      sync.Cond
	chunks       []*aheadChunk // the last one may be empty while the background reads into it
	err          error         // that ended the connection, returned after the bytes
	isClosed     bool          // its memory has been released
	wanted       bool
	inReader     bool // Read reads the connection itself
	inBackground bool
	deadline     time.Time // of Read
}

func (readAhead *readAhead) init() { readAhead.changed.L = &readAhead.mu }

// Read returns the bytes that were read ahead, or waits for the next ones.
func (readAhead *readAhead) Read(p []byte) (int, error) {
	readAhead.mu.Lock()
	defer readAhead.mu.Unlock()
	for {
		if n := readAhead.take(p); n > 0 || len(p) == 0 {
			readAhead.start()
			return n, nil
		}
		if readAhead.err != nil {
			return 0, readAhead.err
		}
		if !readAhead.inBackground {
			break
		}
		if !readAhead.deadline.IsZero() && !time.Now().Before(readAhead.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		readAhead.await()
	}
	readAhead.inReader = true
	readAhead.mu.Unlock()
	n, err := readAhead.conn.Read(p)
	readAhead.mu.Lock()
	readAhead.inReader = false
	if err == nil {
		readAhead.start()
	}
	return n, err
}

// fill waits for the next byte without returning it, or for the end of the connection.
func (readAhead *readAhead) fill() error {
	readAhead.mu.Lock()
	defer readAhead.mu.Unlock()
	for {
		switch {
		case readAhead.isBuffered():
			return nil
		case readAhead.err != nil:
			return readAhead.err
		case !readAhead.inBackground:
			return readAhead.fillOnce()
		case !readAhead.deadline.IsZero() && !time.Now().Before(readAhead.deadline):
			return os.ErrDeadlineExceeded
		}
		readAhead.await()
	}
}

// fillOnce reads one byte, as more would take up memory for each request. The lock must be held.
func (readAhead *readAhead) fillOnce() error {
	var next [1]byte
	readAhead.inReader = true
	readAhead.mu.Unlock()
	n, err := readAhead.conn.Read(next[:])
	readAhead.mu.Lock()
	readAhead.inReader = false
	if n == 0 {
		return err
	}
	readAhead.unreadLocked(next[:n])
	readAhead.start()
	return nil
}

// isBuffered reports whether bytes have been read ahead. The lock must be held.
func (readAhead *readAhead) isBuffered() bool {
	return len(readAhead.chunks) > 0 && readAhead.chunks[0].from < readAhead.chunks[0].to
}

// hasBytes reports whether bytes have been read ahead.
func (readAhead *readAhead) hasBytes() bool {
	readAhead.mu.Lock()
	defer readAhead.mu.Unlock()
	return readAhead.isBuffered()
}

// unread has the last bytes that Read returned, at most aheadChunkBytes, returned again. They may exceed the limits.
func (readAhead *readAhead) unread(p []byte) {
	readAhead.mu.Lock()
	defer readAhead.mu.Unlock()
	readAhead.unreadLocked(p)
}

func (readAhead *readAhead) unreadLocked(p []byte) {
	if readAhead.isClosed {
		return
	}
	readAhead.total.Add(aheadChunkBytes)
	chunk := aheadChunks.Get().(*aheadChunk)
	chunk.from, chunk.to = 0, copy(chunk.bytes[:], p)
	readAhead.chunks = append([]*aheadChunk{chunk}, readAhead.chunks...)
}

// await waits until something has changed or the deadline has passed. The lock must be held.
func (readAhead *readAhead) await() {
	if !readAhead.deadline.IsZero() {
		timer := time.AfterFunc(time.Until(readAhead.deadline), func() {
			readAhead.mu.Lock()
			defer readAhead.mu.Unlock()
			readAhead.changed.Broadcast()
		})
		defer timer.Stop()
	}
	readAhead.changed.Wait()
}

// SetReadDeadline sets the deadline of Read. The background has none.
func (readAhead *readAhead) SetReadDeadline(deadline time.Time) error {
	readAhead.mu.Lock()
	defer readAhead.mu.Unlock()
	readAhead.deadline = deadline
	if readAhead.inBackground {
		readAhead.changed.Broadcast()
		return nil
	}
	return readAhead.conn.SetReadDeadline(deadline)
}

// want has the connection read in the background until unwant, or does nothing if it has ended.
func (readAhead *readAhead) want() {
	readAhead.mu.Lock()
	defer readAhead.mu.Unlock()
	readAhead.wanted = true
	readAhead.start()
}

// unwant ends reading in the background.
func (readAhead *readAhead) unwant() {
	readAhead.mu.Lock()
	defer readAhead.mu.Unlock()
	readAhead.wanted = false
	if readAhead.inBackground {
		_ = readAhead.conn.SetReadDeadline(time.Unix(1, 0)) // ends the read in progress
	}
}

// close releases the memory of a connection that has been closed.
func (readAhead *readAhead) close() {
	readAhead.mu.Lock()
	defer readAhead.mu.Unlock()
	readAhead.wanted, readAhead.isClosed = false, true
	if readAhead.err == nil {
		readAhead.err = net.ErrClosed
	}
	if !readAhead.inBackground {
		readAhead.release()
	}
	readAhead.changed.Broadcast()
}

// start starts reading in the background if that is wanted and possible. The lock must be held.
func (readAhead *readAhead) start() {
	if !readAhead.wanted || readAhead.inReader || readAhead.inBackground || readAhead.room() == nil {
		return
	}
	readAhead.inBackground = true
	_ = readAhead.conn.SetReadDeadline(time.Time{})
	go readAhead.run()
}

// run reads in the background until that is not wanted any more, the connection ends, or memory runs out.
func (readAhead *readAhead) run() {
	readAhead.mu.Lock()
	defer readAhead.mu.Unlock()
	for {
		room := readAhead.room()
		if !readAhead.wanted || room == nil {
			break
		}
		last := readAhead.chunks[len(readAhead.chunks)-1]
		readAhead.mu.Unlock()
		n, err := readAhead.conn.Read(room)
		readAhead.mu.Lock()
		last.to += n
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			// From unwant; want may have been called since.
			_ = readAhead.conn.SetReadDeadline(time.Time{})
		case err != nil:
			if readAhead.err == nil {
				readAhead.err = err
			}
			readAhead.mu.Unlock()
			readAhead.onEnd()
			readAhead.mu.Lock()
		}
		readAhead.changed.Broadcast()
	}
	readAhead.inBackground = false
	_ = readAhead.conn.SetReadDeadline(readAhead.deadline)
	if readAhead.isClosed {
		readAhead.release()
	} else {
		readAhead.take(nil)
	}
	readAhead.changed.Broadcast()
}

// room returns memory for the next bytes, nil if there is none or the connection has ended. The lock must be held.
func (readAhead *readAhead) room() []byte {
	if readAhead.err != nil {
		return nil
	}
	if count := len(readAhead.chunks); count > 0 {
		last := readAhead.chunks[count-1]
		if last.from == last.to {
			last.from, last.to = 0, 0
		}
		if last.to < len(last.bytes) {
			return last.bytes[last.to:]
		}
		if count >= maxAheadChunks {
			return nil
		}
	}
	if readAhead.total.Add(aheadChunkBytes) > maxAheadTotal {
		readAhead.total.Add(-aheadChunkBytes)
		return nil
	}
	chunk := aheadChunks.Get().(*aheadChunk)
	chunk.from, chunk.to = 0, 0
	readAhead.chunks = append(readAhead.chunks, chunk)
	return chunk.bytes[:]
}

// take moves bytes that were read ahead to p, and releases the memory of those that have been returned. The lock must be held.
func (readAhead *readAhead) take(p []byte) int {
	n := 0
	for len(readAhead.chunks) > 0 {
		first := readAhead.chunks[0]
		taken := copy(p[n:], first.bytes[first.from:first.to])
		n, first.from = n+taken, first.from+taken
		isLast := len(readAhead.chunks) == 1
		if first.from < first.to || isLast && readAhead.inBackground {
			break
		}
		readAhead.chunks = readAhead.chunks[1:]
		readAhead.free(first)
	}
	return n
}

// release releases all memory. The lock must be held.
func (readAhead *readAhead) release() {
	for _, chunk := range readAhead.chunks {
		readAhead.free(chunk)
	}
	readAhead.chunks = nil
}

func (readAhead *readAhead) free(chunk *aheadChunk) {
	aheadChunks.Put(chunk)
	readAhead.total.Add(-aheadChunkBytes)
}
