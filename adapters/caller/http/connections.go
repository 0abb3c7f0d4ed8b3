package http

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/sequoiaspan/sequoiaspan/core/connection"
)

// spareShare is the share of the limit that may be accepted beyond it: these connections take the place of idle ones once they bring a
// request, or their requests are refused.
const spareShare = 0.0625

// limitReportInterval is between lines that tell that the limit has been reached.
const limitReportInterval = 10 * time.Second

// Connections bounds the connections of callers. Its fields must be set before the first connection.
type Connections struct {
	Limit   int    // connections that may be open
	Heads   *Heads // nil for no bound on the memory of heads
	Depth   int    // requests of a connection that may be in progress at the same time; up to 1: each is read when the one before it has its response
	Log     *zap.Logger
	Metrics metrics.Registry

	once       sync.Once
	aheadTotal atomic.Int64 // bytes of memory for bytes that were read ahead
	heldTotal  atomic.Int64 // bytes of responses that wait for earlier ones
	laneTotal  atomic.Int64 // lanes beyond the first one of each connection
	mu         sync.Mutex
	table      connection.Table
	deep       int       // connections with more than one request in progress
	shallow    sync.Cond // signals that one has at most one
	reportedAt time.Time // when the limit was logged
}

func (connections *Connections) init() {
	connections.table.Limit = connections.Limit
	connections.shallow.L = &connections.mu
	gauge := func(name string, value func(open, idle int) int) {
		metrics.NewRegisteredFunctionalGauge(name, connections.Metrics, func() int64 {
			connections.mu.Lock()
			defer connections.mu.Unlock()
			return int64(value(connections.table.Count()))
		})
	}
	gauge("caller.connections", func(open, _ int) int { return open })
	gauge("caller.connections-idle", func(_, idle int) int { return idle })
	gauge("caller.connections-limit", func(int, int) int { return connections.Limit })
	gauge("caller.read-ahead-bytes", func(int, int) int { return int(connections.aheadTotal.Load()) })
	gauge("caller.held-bytes", func(int, int) int { return int(connections.heldTotal.Load()) })
	gauge("caller.further-lanes", func(int, int) int { return int(connections.laneTotal.Load()) })
}

// Listen returns a listener for the connections that another one accepts. Those beyond the limit and a few spare ones wait.
func (connections *Connections) Listen(from net.Listener) net.Listener {
	connections.once.Do(connections.init)
	spare := max(1, int(spareShare*float64(connections.Limit)))
	accepting := &acceptingListener{Listener: from}
	listener := &connectionsListener{Listener: netutil.LimitListener(accepting, connections.Limit+spare), accepting: accepting, connections: connections}
	if connections.Depth > 1 {
		return newLaneListener(listener)
	}
	return listener
}

// acceptingListener remembers the connection that it accepted last, as netutil's listener hides its type. It is not safe for concurrent use.
type acceptingListener struct {
	net.Listener
	last net.Conn
}

// Accept waits for the next connection.
func (acceptingListener *acceptingListener) Accept() (net.Conn, error) {
	conn, err := acceptingListener.Listener.Accept()
	acceptingListener.last = conn
	return conn, err
}

type connectionsListener struct {
	net.Listener // limits the connections of accepting
	connections  *Connections

	mu        sync.Mutex
	accepting *acceptingListener
}

// Accept waits for the next connection.
func (connectionsListener *connectionsListener) Accept() (net.Conn, error) {
	connectionsListener.mu.Lock()
	defer connectionsListener.mu.Unlock()
	conn, err := connectionsListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	opened := connectionsListener.connections.open(conn)
	opened.tcp, _ = connectionsListener.accepting.last.(*net.TCPConn)
	return opened, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	tcp         *net.TCPConn // below Conn, nil if the listener has other connections
	connections *Connections
	ahead       readAhead
	cancel      context.CancelFunc // of the context of its requests
	head        *connHead          // of the connection without pipelining; otherwise each lane has one
	pipeline    *pipeline          // nil if each request is read when the one before it has its response

	// The lock of connections guards these.
	entry *connection.Conn
	busy  atomic.Bool // a byte of a request has been read; read without the lock, as a busy connection does not give way
}

func (connections *Connections) open(conn net.Conn) *callerConn {
	connections.mu.Lock()
	defer connections.mu.Unlock()
	out := &callerConn{Conn: conn, connections: connections, head: connections.Heads.open(conn), cancel: func() {}}
	out.ahead.conn, out.ahead.total, out.ahead.onEnd = conn, &connections.aheadTotal, out.endRequests
	out.ahead.init()
	out.entry = connections.table.Open(conn)
	return out
}

// endRequests cancels the requests of a connection that its caller has closed.
func (callerConn *callerConn) endRequests() {
	metrics.GetOrRegisterCounter("caller.ends-read-ahead", callerConn.connections.Metrics).Inc(1)
	callerConn.cancel()
	if callerConn.pipeline != nil {
		callerConn.pipeline.cancelAll()
	}
}

// Read reads from the connection. It returns no byte once the connection has given way to another, so that a request that crosses the close is
// not served.
func (callerConn *callerConn) Read(p []byte) (int, error) {
	return callerConn.read(p, nil, callerConn.head)
}

// read is Read up to the end of a request's head, if there is a scanner for it. The head counts the memory of what is read.
func (callerConn *callerConn) read(p []byte, scanner *headScanner, head *connHead) (int, error) {
	n, err := callerConn.ahead.Read(p)
	if end := scanner.scan(p[:n]); end < n {
		callerConn.ahead.unread(p[end:n])
		n = end
	}
	if n > 0 && !callerConn.begin() {
		return 0, net.ErrClosed
	}
	if headErr := head.read(p[:n]); headErr != nil {
		return 0, headErr
	}
	if n == 1 && len(p) == 1 {
		// During a request net/http reads one byte to see the end of the connection, and reads no further once a byte has come.
		callerConn.ahead.want()
	}
	return n, err
}

// SetReadDeadline sets the deadline of Read.
func (callerConn *callerConn) SetReadDeadline(deadline time.Time) error {
	return callerConn.ahead.SetReadDeadline(deadline)
}

// SetDeadline sets the deadlines of Read and Write.
func (callerConn *callerConn) SetDeadline(deadline time.Time) error {
	return errors.Join(callerConn.SetReadDeadline(deadline), callerConn.SetWriteDeadline(deadline))
}

// Close closes the connection.
func (callerConn *callerConn) Close() error {
	err := callerConn.Conn.Close()
	callerConn.ahead.close()
	return err
}

// resetOnClose has Close reset the connection and drop what has not been sent.
func (callerConn *callerConn) resetOnClose() {
	if callerConn != nil && callerConn.tcp != nil {
		// A connection that is closed already needs no reset.
		_ = callerConn.tcp.SetLinger(0)
	}
}

// readAhead has the connection read while its request is in progress, whose body may not be read for long.
func (callerConn *callerConn) readAhead() {
	if callerConn != nil {
		callerConn.ahead.want()
	}
}

// begin records that a byte of a request has been read. It returns false if the connection has given way to another.
func (callerConn *callerConn) begin() bool {
	if callerConn.busy.Load() {
		return true
	}
	callerConn.connections.mu.Lock()
	defer callerConn.connections.mu.Unlock()
	callerConn.busy.Store(callerConn.connections.table.Begin(callerConn.entry))
	return callerConn.busy.Load()
}

// makeRoom closes the longest idle connection if there are too many. It returns false if none is idle.
func (connections *Connections) makeRoom() bool {
	connections.mu.Lock()
	evicted, ok := connections.table.MakeRoom()
	connections.mu.Unlock()
	if evicted != nil {
		metrics.GetOrRegisterCounter("caller.idle-connections-closed", connections.Metrics).Inc(1)
		// An idle connection has nothing to lose by an error.
		_ = evicted.Value.(net.Conn).Close()
	}
	if evicted != nil || !ok {
		connections.logLimit()
	}
	return ok
}

// logLimit logs that the limit has been reached, at most once per limitReportInterval.
func (connections *Connections) logLimit() {
	now := time.Now()
	connections.mu.Lock()
	due := now.Sub(connections.reportedAt) >= limitReportInterval
	if due {
		connections.reportedAt = now
	}
	open, idle := connections.table.Count()
	connections.mu.Unlock()
	if due {
		connections.Log.Info("caller: too many connections; idle ones are closed, and requests are refused while none is idle",
			zap.Int("limit", connections.Limit), zap.Int("open", open), zap.Int("idle", idle))
	}
}

// Track records the state of a connection. It is the ConnState of the server of the connections.
func (connections *Connections) Track(conn net.Conn, state http.ConnState) {
	if lane, ok := conn.(*lane); ok {
		lane.track(state)
		return
	}
	callerConn, ok := conn.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateActive {
		// The request may have been read together with the one before it.
		callerConn.begin()
		return
	}
	switch state {
	case http.StateIdle:
		callerConn.ahead.unwant()
		callerConn.head.end()
		callerConn.setIdle()
	case http.StateClosed, http.StateHijacked:
		callerConn.cancel()
		callerConn.head.close()
		callerConn.forget()
	}
}

// setIdle records that no request is in progress.
func (callerConn *callerConn) setIdle() {
	callerConn.connections.mu.Lock()
	defer callerConn.connections.mu.Unlock()
	callerConn.busy.Store(false)
	callerConn.connections.table.End(callerConn.entry)
}

// forget records that the connection has been closed.
func (callerConn *callerConn) forget() {
	callerConn.connections.mu.Lock()
	defer callerConn.connections.mu.Unlock()
	callerConn.connections.table.Close(callerConn.entry)
}

type connContextKey struct{}

// Context returns a context for the requests of a connection. It is the ConnContext of the server of the connections.
func (connections *Connections) Context(ctx context.Context, conn net.Conn) context.Context {
	switch conn := conn.(type) {
	case *callerConn:
		ctx, conn.cancel = context.WithCancel(ctx)
	case *lane:
		laneCtx, cancel := context.WithCancel(ctx)
		conn.setCancel(cancel)
		ctx = laneCtx
	}
	return context.WithValue(ctx, connContextKey{}, conn)
}

// connectionOf returns the connection of a request, nil if its server has no limit on them.
func connectionOf(r *http.Request) *callerConn {
	switch conn := r.Context().Value(connContextKey{}).(type) {
	case *callerConn:
		return conn
	case *lane:
		return conn.callerConn
	}
	return nil
}

// isGone reports whether the caller of a request has closed its connection.
func (callerConn *callerConn) isGone(r *http.Request) bool {
	return callerConn != nil && r.Context().Err() != nil
}

// hasRoom reports whether the request's connection may be open, and makes room for it. One that has given way may not.
func (callerConn *callerConn) hasRoom() bool {
	return callerConn == nil || callerConn.begin() && callerConn.connections.makeRoom()
}

// mayStay reports whether the connection may stay open after the request.
func (callerConn *callerConn) mayStay() bool {
	if callerConn == nil {
		return true
	}
	callerConn.connections.mu.Lock()
	defer callerConn.connections.mu.Unlock()
	return !callerConn.connections.table.IsShort()
}

// isOver reports whether there are too many connections, so that one must be closed unless another gives way.
func (callerConn *callerConn) isOver() bool {
	if callerConn == nil {
		return false
	}
	callerConn.connections.mu.Lock()
	defer callerConn.connections.mu.Unlock()
	return callerConn.connections.table.IsOver()
}
