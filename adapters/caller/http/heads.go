package http

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/head"
)

// Heads bounds the memory that the heads of requests take up, over all connections of the process. Its fields must be set before the first
// connection.
type Heads struct {
	Limit   int64 // bytes
	Log     *zap.Logger
	Metrics metrics.Registry

	once       sync.Once
	mu         sync.Mutex
	budget     head.Budget
	reportedAt time.Time // when a closed connection was logged
}

func (heads *Heads) init() {
	heads.budget.Limit = heads.Limit
	metrics.NewRegisteredFunctionalGauge("heads.bytes", heads.Metrics, func() int64 {
		heads.mu.Lock()
		defer heads.mu.Unlock()
		return heads.budget.Used()
	})
	metrics.NewRegisteredFunctionalGauge("heads.bytes-limit", heads.Metrics, func() int64 { return heads.Limit })
}

// connHead is the head that is read from a connection or in progress. A nil one has no bound.
type connHead struct {
	heads *Heads
	conn  net.Conn

	mu      sync.Mutex
	scanner head.Scanner
	size    head.Size // that the budget counts

	// The lock of heads guards these.
	cost   int64 // of size
	closed bool
}

// open returns the head of a connection, nil without Heads.
func (heads *Heads) open(conn net.Conn) *connHead {
	if heads == nil {
		return nil
	}
	heads.once.Do(heads.init)
	return &connHead{heads: heads, conn: conn}
}

var errHeadMemory = errors.New("no memory left for heads of requests")

// read records bytes that net/http is about to receive. If there is no memory for them, it closes the connection and returns an error: net/http has
// not read the request then, and answers nothing.
func (connHead *connHead) read(p []byte) error {
	if connHead == nil || len(p) == 0 {
		return nil
	}
	connHead.mu.Lock()
	connHead.scanner.Read(p)
	fits := connHead.resize()
	connHead.mu.Unlock()
	if fits {
		return nil
	}
	connHead.reject()
	// net/http closes connections without an answer after an OpError in reading.
	return &net.OpError{Op: "read", Net: "tcp", Err: errHeadMemory}
}

// resize has the budget count the present cost. It returns false if there is no room.
func (connHead *connHead) resize() bool {
	size := connHead.scanner.Size()
	if size == connHead.size {
		// The bytes of a body need no lock of the process.
		return true
	}
	cost := size.Cost()
	heads := connHead.heads
	heads.mu.Lock()
	defer heads.mu.Unlock()
	if connHead.closed || !heads.budget.Resize(connHead.cost, cost) {
		return false
	}
	connHead.size, connHead.cost = size, cost
	return true
}

// begin records that a request is in progress. It returns false if there is no memory for its trailers, as far as they have been read.
func (connHead *connHead) begin(r *http.Request) bool {
	if connHead == nil {
		return true
	}
	connHead.mu.Lock()
	defer connHead.mu.Unlock()
	connHead.scanner.Begin(r.ContentLength)
	return connHead.resize()
}

// end records that a request has ended and its connection stays open. It closes the connection if there is no memory for the next head, as far as it
// has been read.
func (connHead *connHead) end() {
	if connHead == nil {
		return
	}
	connHead.mu.Lock()
	connHead.scanner.End()
	fits := connHead.resize()
	connHead.mu.Unlock()
	if !fits {
		connHead.reject()
	}
}

// close releases the memory of a connection that is closed.
func (connHead *connHead) close() {
	if connHead == nil {
		return
	}
	heads := connHead.heads
	heads.mu.Lock()
	defer heads.mu.Unlock()
	if !connHead.closed {
		heads.budget.Resize(connHead.cost, 0)
		connHead.closed, connHead.cost = true, 0
	}
}

// reject closes the connection.
func (connHead *connHead) reject() {
	heads := connHead.heads
	metrics.GetOrRegisterCounter("heads.connections-closed", heads.Metrics).Inc(1)
	// The caller learns of the close only, whatever its error.
	_ = connHead.conn.Close()
	now := time.Now()
	heads.mu.Lock()
	due := now.Sub(heads.reportedAt) >= limitReportInterval
	if due {
		heads.reportedAt = now
	}
	used, cost := heads.budget.Used(), connHead.cost
	heads.mu.Unlock()
	if due {
		heads.Log.Warn("caller: connection closed, no memory left for heads of requests", zap.Stringer("caller", connHead.conn.RemoteAddr()),
			zap.Int64("used-bytes", used), zap.Int64("limit-bytes", heads.Limit), zap.Int64("head-bytes", cost))
	}
}

// openHead returns the head of the connection or of one of its lanes.
func (callerConn *callerConn) openHead() *connHead {
	return callerConn.connections.Heads.open(callerConn.Conn)
}

// headOf returns the head of a request, nil for one without a bound.
func headOf(r *http.Request) *connHead {
	switch conn := r.Context().Value(connContextKey{}).(type) {
	case *callerConn:
		return conn.head
	case *lane:
		return conn.head
	}
	return nil
}
