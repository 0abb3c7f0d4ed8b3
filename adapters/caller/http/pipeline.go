package http

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Limits of requests that are in progress behind others of the same connection. Beyond them they wait, as they do without pipelining.
const (
	maxLanes     = 512      // over all connections, beyond the first of each: about 30 KB each for net/http's buffers and the request's state
	maxHeldBytes = 64 << 10 // of responses that wait for earlier ones, per request
	maxHeldTotal = 4 << 20  // over all connections
)

// pipeline serves the requests of a caller's connection by several lanes: connections of the same http.Server that take turns in reading requests
// and in writing responses. One lane at a time is the reader. It passes that on once it has read an idempotent request without a body, of
// which net/http has no byte too many, as reads end where a head does.
type pipeline struct {
	callerConn *callerConn
	open       func(net.Conn) bool // passes a further lane to the http.Server

	mu        sync.Mutex
	changed   sync.Cond
	lanes     []*lane
	reader    *lane   // nil if the next lane that is free shall read
	inConn    *lane   // reads the connection, as the reader or to see its end
	turns     []*turn // in the order of requests
	isWriting bool    // a goroutine writes to the connection
	isEnding  bool    // no further request is read
	isGone    bool    // the caller has closed the connection
	isClosed  bool
}

// turn is a request's place in the order of responses.
type turn struct {
	held      []byte // of the response, until the earlier ones have been written
	isDone    bool   // the response is complete
	isLast    bool   // the connection is closed after it
	isDropped bool   // the request counts as not read
}

// lane is a connection of an http.Server that serves some of the requests of a caller's connection.
type lane struct {
	*callerConn
	head *connHead // that it reads or whose request is in progress

	// The lock of pipeline guards these.
	cancel        context.CancelFunc // of the context of its requests
	turn          *turn              // of its request, nil between requests
	scanner       headScanner
	bufferBytes   int  // of net/http's buffer, which is empty at the first read
	isScanned     bool // a part of the head has passed the scanner
	isWhole       bool // net/http's buffer was empty at the first part, so it will be at the end of the head
	isHead        bool // the bytes that it reads belong to a head
	isUndecided   bool // the request's head has been read, and begin has not been called
	isPassed      bool // another lane may read the next request
	isSurplus     bool
	isClosed      bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newPipeline(callerConn *callerConn, open func(net.Conn) bool) *lane {
	pipeline := &pipeline{callerConn: callerConn, open: open}
	pipeline.changed.L = &pipeline.mu
	callerConn.pipeline = pipeline
	first := &lane{callerConn: callerConn, head: callerConn.openHead(), cancel: func() {}, isHead: true}
	pipeline.lanes = []*lane{first}
	return first
}

// laneOf returns the lane of a request, nil without pipelining.
func laneOf(r *http.Request) *lane {
	lane, _ := r.Context().Value(connContextKey{}).(*lane)
	return lane
}

// begin decides whether the next request is read while this one is in progress, and lets a non-idempotent one wait for its turn. It returns false
// if the request counts as not read.
func (lane *lane) begin(r *http.Request, isIdempotent, isLast bool) bool {
	pipeline := lane.pipeline
	pipeline.mu.Lock()
	defer pipeline.mu.Unlock()
	lane.ensureTurn()
	lane.isUndecided, lane.isHead = false, false
	hasNoBody := r.ContentLength == 0 && len(r.TransferEncoding) == 0
	if isIdempotent && hasNoBody && !isLast && !r.Close && r.ProtoAtLeast(1, 1) && lane.isAtEnd() && !pipeline.isEnding {
		lane.isPassed = true
		if pipeline.reader == lane {
			pipeline.reader = nil
		}
	}
	pipeline.changed.Broadcast()
	if isIdempotent && !pipeline.isFirst(lane.turn) {
		metrics.GetOrRegisterCounter("caller.requests-pipelined", lane.connections.Metrics).Inc(1)
	}
	if !isIdempotent && !pipeline.isFirst(lane.turn) {
		stop := context.AfterFunc(r.Context(), pipeline.wake)
		defer stop()
		for !pipeline.isFirst(lane.turn) && !lane.turn.isDropped && !pipeline.isClosed && r.Context().Err() == nil {
			pipeline.changed.Wait()
		}
	}
	return !lane.turn.isDropped && !pipeline.isClosed && r.Context().Err() == nil
}

// ensureTurn puts the lane's request at the end of the order of responses, unless it has its place. The lock must be held.
func (lane *lane) ensureTurn() {
	if lane.turn == nil {
		lane.turn = &turn{isDropped: lane.pipeline.isEnding}
		if !lane.turn.isDropped {
			lane.pipeline.setTurns(append(lane.pipeline.turns, lane.turn))
		}
	}
}

// setTurns sets the order of responses. The lock must be held.
func (pipeline *pipeline) setTurns(turns []*turn) {
	wasDeep, isDeep := len(pipeline.turns) > 1, len(turns) > 1
	pipeline.turns = turns
	if wasDeep == isDeep {
		return
	}
	connections := pipeline.callerConn.connections
	connections.mu.Lock()
	defer connections.mu.Unlock()
	if isDeep {
		connections.deep++
	} else {
		connections.deep--
		connections.shallow.Broadcast()
	}
}

// Drain waits until no connection has more than one request in progress, or until the context ends. On a planned stop it comes before Shutdown
// of the http.Server, which closes each connection after the response that is next.
func (connections *Connections) Drain(ctx context.Context) {
	connections.once.Do(connections.init)
	stop := context.AfterFunc(ctx, func() {
		connections.mu.Lock()
		defer connections.mu.Unlock()
		connections.shallow.Broadcast()
	})
	defer stop()
	connections.mu.Lock()
	defer connections.mu.Unlock()
	for connections.deep > 0 && ctx.Err() == nil {
		connections.shallow.Wait()
	}
}

// isAtEnd reports whether net/http has read to the end of the request's head and no further. The lock must be held.
func (lane *lane) isAtEnd() bool { return lane.isWhole && lane.scanner.isAtEnd() }

func (pipeline *pipeline) isFirst(turn *turn) bool {
	return len(pipeline.turns) > 0 && pipeline.turns[0] == turn
}

func (pipeline *pipeline) wake() {
	pipeline.mu.Lock()
	defer pipeline.mu.Unlock()
	pipeline.changed.Broadcast()
}

// Read reads a part of a request. Where the next request is another lane's, it waits for the end of the connection.
func (lane *lane) Read(p []byte) (int, error) {
	pipeline := lane.pipeline
	pipeline.mu.Lock()
	defer pipeline.mu.Unlock()
	for {
		mayRead := !lane.isUndecided && !pipeline.isEnding
		switch {
		case lane.isClosed || pipeline.isClosed:
			return 0, net.ErrClosed
		case !lane.readDeadline.IsZero() && !time.Now().Before(lane.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case lane.isSurplus || pipeline.isEnding && lane.turn == nil:
			return 0, io.EOF
		case pipeline.reader == lane && !lane.isUndecided && !lane.isPassed && pipeline.inConn != nil:
			_ = lane.ahead.SetReadDeadline(time.Unix(1, 0)) // ends its read
		case pipeline.reader == lane && !lane.isUndecided && !lane.isPassed:
			return lane.readConn(p)
		case pipeline.reader == nil && mayRead && len(pipeline.turns) >= lane.connections.Depth:
			lane.ahead.want()
		case pipeline.reader == nil && mayRead && !lane.isPassed:
			pipeline.reader = lane
			continue
		case pipeline.reader == nil && mayRead && pipeline.inConn == nil && !pipeline.hasFreeLane():
			if lane.ahead.hasBytes() {
				if lane.extend() {
					continue
				}
				lane.ahead.want()
				break
			}
			// To see the next byte or the end of the connection.
			if err := lane.withConn(lane.ahead.fill); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return 0, err
			}
			continue
		}
		lane.wait()
	}
}

// wait waits until something has changed or the read deadline has passed. The lock must be held.
func (lane *lane) wait() {
	if !lane.readDeadline.IsZero() {
		defer time.AfterFunc(time.Until(lane.readDeadline), lane.pipeline.wake).Stop()
	}
	lane.pipeline.changed.Wait()
}

// hasFreeLane reports whether a lane has no request and can read the next one. The lock must be held.
func (pipeline *pipeline) hasFreeLane() bool {
	return slices.ContainsFunc(pipeline.lanes, func(lane *lane) bool { return lane.turn == nil && !lane.isSurplus })
}

// readConn reads from the connection as the reader. The lock must be held.
func (lane *lane) readConn(p []byte) (int, error) {
	var scanner *headScanner
	if lane.isHead {
		if lane.bufferBytes == 0 {
			lane.bufferBytes = len(p)
		}
		if !lane.isScanned {
			lane.isScanned, lane.isWhole = true, len(p) == lane.bufferBytes
		}
		scanner = &lane.scanner
	}
	var n int
	err := lane.withConn(func() (err error) {
		n, err = lane.callerConn.read(p, scanner, lane.head)
		return err
	})
	if n > 0 {
		lane.ensureTurn()
	}
	return n, err
}

// withConn reads the connection with the lane's deadline and without the lock. All requests end with the connection. The lock must be held.
func (lane *lane) withConn(read func() error) error {
	lane.pipeline.inConn = lane
	_ = lane.ahead.SetReadDeadline(lane.readDeadline)
	lane.pipeline.mu.Unlock()
	err := read()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		lane.pipeline.cancelAll()
	}
	lane.pipeline.mu.Lock()
	lane.pipeline.inConn = nil
	lane.pipeline.changed.Broadcast()
	return err
}

// extend opens a further lane, which reads the next request. It returns false if there are too many. The lock must be held.
func (from *lane) extend() bool {
	pipeline, connections := from.pipeline, from.connections
	if len(pipeline.lanes) >= connections.Depth {
		return false
	}
	if connections.laneTotal.Add(1) > maxLanes {
		connections.laneTotal.Add(-1)
		return false
	}
	further := &lane{callerConn: from.callerConn, head: from.callerConn.openHead(), cancel: func() {}, isHead: true}
	pipeline.lanes = append(pipeline.lanes, further)
	pipeline.reader = further
	pipeline.mu.Unlock()
	isOpen := pipeline.open(further)
	pipeline.mu.Lock()
	if !isOpen {
		further.remove()
	}
	return isOpen
}

// remove removes a lane. The lock must be held.
func (lane *lane) remove() {
	pipeline := lane.pipeline
	lane.isClosed = true
	if i := slices.Index(pipeline.lanes, lane); i >= 0 {
		pipeline.lanes = slices.Delete(pipeline.lanes, i, i+1)
		if len(pipeline.lanes) > 0 {
			lane.connections.laneTotal.Add(-1)
		}
	}
	if pipeline.reader == lane {
		pipeline.reader = nil
	}
	pipeline.changed.Broadcast()
}

// SetReadDeadline sets the deadline of Read.
func (lane *lane) SetReadDeadline(deadline time.Time) error {
	lane.pipeline.mu.Lock()
	defer lane.pipeline.mu.Unlock()
	lane.readDeadline = deadline
	lane.pipeline.changed.Broadcast()
	if lane.pipeline.inConn == lane {
		return lane.ahead.SetReadDeadline(deadline)
	}
	return nil
}

// SetWriteDeadline sets the deadline of Write, which does not run while earlier responses are written.
func (lane *lane) SetWriteDeadline(deadline time.Time) error {
	lane.pipeline.mu.Lock()
	defer lane.pipeline.mu.Unlock()
	lane.writeDeadline = deadline
	if lane.pipeline.isFirst(lane.turn) {
		return lane.Conn.SetWriteDeadline(deadline)
	}
	return nil
}

// SetDeadline sets the deadlines of Read and Write.
func (lane *lane) SetDeadline(deadline time.Time) error {
	return errors.Join(lane.SetReadDeadline(deadline), lane.SetWriteDeadline(deadline))
}

// Write writes a part of a response once the earlier responses have been written. Until then it holds what the limits allow, and then waits.
func (lane *lane) Write(p []byte) (int, error) {
	pipeline := lane.pipeline
	pipeline.mu.Lock()
	lane.ensureTurn()
	isDelayed := false
	for !pipeline.isFirst(lane.turn) {
		switch {
		case lane.isClosed || pipeline.isClosed || lane.turn.isDropped:
			pipeline.mu.Unlock()
			return 0, net.ErrClosed
		case lane.hold(p):
			pipeline.mu.Unlock()
			return len(p), nil
		}
		isDelayed = true
		pipeline.changed.Wait()
	}
	deadline := lane.writeDeadline
	if isDelayed && !deadline.IsZero() {
		deadline = time.Now().Add(callerWriteTimeout)
	}
	pipeline.mu.Unlock()
	pipeline.beginWriting()
	defer pipeline.endWriting()
	if err := pipeline.writeHeld(lane.turn); err != nil {
		return 0, err
	}
	_ = lane.Conn.SetWriteDeadline(deadline)
	return lane.Conn.Write(p)
}

// hold keeps a part of the response if the limits allow it. The lock must be held.
func (lane *lane) hold(p []byte) bool {
	if len(lane.turn.held)+len(p) > maxHeldBytes {
		return false
	}
	if lane.connections.heldTotal.Add(int64(len(p))) > maxHeldTotal {
		lane.connections.heldTotal.Add(-int64(len(p)))
		return false
	}
	lane.turn.held = append(lane.turn.held, p...)
	return true
}

// beginWriting waits until no other goroutine writes to the connection.
func (pipeline *pipeline) beginWriting() {
	pipeline.mu.Lock()
	defer pipeline.mu.Unlock()
	for pipeline.isWriting {
		pipeline.changed.Wait()
	}
	pipeline.isWriting = true
}

func (pipeline *pipeline) endWriting() {
	pipeline.mu.Lock()
	defer pipeline.mu.Unlock()
	pipeline.isWriting = false
	pipeline.changed.Broadcast()
}

// writeHeld writes what has been held of the first response. Only the goroutine that called beginWriting may call it.
func (pipeline *pipeline) writeHeld(turn *turn) error {
	pipeline.mu.Lock()
	held := turn.held
	turn.held = nil
	pipeline.mu.Unlock()
	if len(held) == 0 {
		return nil
	}
	pipeline.callerConn.connections.heldTotal.Add(-int64(len(held)))
	_ = pipeline.callerConn.Conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, err := pipeline.callerConn.Conn.Write(held)
	return err
}

// advance writes what has been held of the first responses, removes those that are complete, and closes the connection after the last one.
func (pipeline *pipeline) advance() {
	pipeline.beginWriting()
	defer pipeline.endWriting()
	for {
		pipeline.mu.Lock()
		if len(pipeline.turns) == 0 || pipeline.isClosed {
			pipeline.mu.Unlock()
			return
		}
		first := pipeline.turns[0]
		isDone := first.isDone
		if isDone && len(first.held) == 0 {
			pipeline.setTurns(pipeline.turns[1:])
			pipeline.changed.Broadcast()
			isLast := first.isLast
			pipeline.mu.Unlock()
			if isLast {
				pipeline.close()
				return
			}
			continue
		}
		pipeline.mu.Unlock()
		if err := pipeline.writeHeld(first); err != nil {
			pipeline.close()
			return
		}
		if !isDone {
			return
		}
	}
}

// track follows the state of the lane's requests.
func (lane *lane) track(state http.ConnState) {
	switch state {
	case http.StateActive:
		lane.callerConn.begin()
		lane.pipeline.mu.Lock()
		defer lane.pipeline.mu.Unlock()
		lane.ensureTurn()
		lane.isHead, lane.isUndecided = false, lane.isAtEnd()
	case http.StateIdle:
		lane.head.end()
		lane.finish()
	case http.StateClosed, http.StateHijacked:
		lane.head.close()
		lane.abort()
	}
}

// finish ends the lane's request, whose response is complete.
func (lane *lane) finish() {
	pipeline := lane.pipeline
	pipeline.mu.Lock()
	isFirst := pipeline.isFirst(lane.turn)
	if lane.turn != nil {
		lane.turn.isDone = true
	}
	lane.turn, lane.isPassed, lane.isUndecided = nil, false, false
	lane.isHead, lane.isScanned, lane.isWhole, lane.scanner = true, false, false, headScanner{}
	lane.writeDeadline = time.Time{}
	pipeline.changed.Broadcast()
	pipeline.mu.Unlock()
	if isFirst {
		pipeline.advance()
	}
	pipeline.mu.Lock()
	defer pipeline.mu.Unlock()
	if len(pipeline.turns) > 0 || pipeline.isClosed || lane.isClosed {
		return
	}
	lane.ahead.unwant()
	lane.callerConn.setIdle()
	// The lane that reads the next request opens others if they are needed.
	kept := pipeline.reader
	if kept == nil {
		kept = lane
	}
	for _, other := range pipeline.lanes {
		other.isSurplus = other != kept && other.turn == nil
	}
	pipeline.changed.Broadcast()
}

// Close ends the lane's reads and writes. The connection is closed if nothing is left to write and no other lane can read it.
//
// It doesn't decide what becomes of a request in progress: on a planned stop net/http may call it when the response is complete, before it reports
// that.
func (lane *lane) Close() error {
	pipeline := lane.pipeline
	pipeline.mu.Lock()
	if !lane.isClosed {
		lane.remove()
	}
	isOver := lane.turn == nil && len(pipeline.turns) == 0 && !pipeline.hasLane()
	pipeline.mu.Unlock()
	if isOver {
		pipeline.close()
	}
	return nil
}

// abort ends a lane that net/http serves no more. If its request has no complete response, or one that has the connection closed, the
// connection is closed after it, and the requests behind it count as not read.
func (lane *lane) abort() {
	pipeline := lane.pipeline
	pipeline.mu.Lock()
	lane.cancel()
	isFirst := pipeline.isFirst(lane.turn)
	if lane.turn != nil && !lane.turn.isDropped {
		lane.turn.isDone, lane.turn.isLast = true, true
		pipeline.dropBehind(lane.turn)
	}
	lane.turn = nil
	pipeline.mu.Unlock()
	if isFirst {
		pipeline.advance()
	}
	_ = lane.Close()
}

// hasLane reports whether a lane is left. The lock must be held.
func (pipeline *pipeline) hasLane() bool {
	return slices.ContainsFunc(pipeline.lanes, func(lane *lane) bool { return !lane.isSurplus })
}

// dropBehind makes the requests behind one count as not read, and cancels them. The lock must be held.
func (pipeline *pipeline) dropBehind(last *turn) {
	pipeline.isEnding = true
	if i := slices.Index(pipeline.turns, last); i >= 0 {
		for _, behind := range pipeline.turns[i+1:] {
			behind.isDropped = true
			pipeline.release(behind)
		}
		pipeline.setTurns(pipeline.turns[:i+1])
	}
	// Bytes that are not read would have the connection reset, and with it the last response.
	pipeline.callerConn.ahead.want()
	for _, lane := range pipeline.lanes {
		if lane.turn != nil && lane.turn.isDropped {
			lane.cancel()
		}
	}
	pipeline.changed.Broadcast()
}

// release drops what is held of a response. The lock must be held.
func (pipeline *pipeline) release(turn *turn) {
	pipeline.callerConn.connections.heldTotal.Add(-int64(len(turn.held)))
	turn.held = nil
}

// setCancel sets what cancels the lane's requests.
func (lane *lane) setCancel(cancel context.CancelFunc) {
	lane.pipeline.mu.Lock()
	defer lane.pipeline.mu.Unlock()
	lane.cancel = cancel
	if lane.pipeline.isGone {
		cancel()
	}
}

// cancelAll cancels all requests of a connection that has ended.
func (pipeline *pipeline) cancelAll() {
	pipeline.mu.Lock()
	defer pipeline.mu.Unlock()
	pipeline.isGone = true
	for _, lane := range pipeline.lanes {
		lane.cancel()
	}
}

// close closes the connection and ends all lanes.
func (pipeline *pipeline) close() {
	pipeline.mu.Lock()
	isClosed := pipeline.isClosed
	pipeline.isClosed = true
	for _, turn := range pipeline.turns {
		pipeline.release(turn)
	}
	pipeline.setTurns(nil)
	pipeline.changed.Broadcast()
	pipeline.mu.Unlock()
	if isClosed {
		return
	}
	pipeline.cancelAll()
	_ = pipeline.callerConn.Close()
	pipeline.callerConn.forget()
}

// headScanner finds the end of a head in the bytes that are read: the first empty line. It only bounds reads; net/http parses the request.
type headScanner struct {
	line    lineState
	ends    int // ends that have been found
	hasMore bool
}

type lineState int

const (
	atLineStart lineState = iota // also where a head begins, and where net/http's buffer can be empty within a head
	afterReturn                  // at the start of a line
	inLine
)

// scan returns the number of bytes up to the end of the head, all if it is not in them.
func (headScanner *headScanner) scan(p []byte) int {
	if headScanner == nil || len(p) == 0 {
		return len(p)
	}
	headScanner.hasMore = headScanner.ends > 0
	for i := 0; i < len(p); i++ {
		if headScanner.line == inLine {
			next := bytes.IndexByte(p[i:], '\n')
			if next < 0 {
				return len(p)
			}
			i += next
			headScanner.line = atLineStart
			continue
		}
		switch {
		case p[i] == '\n':
			headScanner.line = inLine
			headScanner.ends++
			return i + 1
		case p[i] == '\r' && headScanner.line == atLineStart:
			headScanner.line = afterReturn
		default:
			headScanner.line = inLine
		}
	}
	return len(p)
}

// isAtEnd reports whether the bytes end with those of one head.
func (headScanner *headScanner) isAtEnd() bool { return headScanner.ends == 1 && !headScanner.hasMore }

// laneListener accepts connections and further lanes of them.
type laneListener struct {
	net.Listener
	once     sync.Once
	accepted chan acceptedConn
	closed   chan struct{}
}

type acceptedConn struct {
	conn net.Conn
	err  error
}

func newLaneListener(from net.Listener) *laneListener {
	laneListener := &laneListener{Listener: from, accepted: make(chan acceptedConn), closed: make(chan struct{})}
	go laneListener.run()
	return laneListener
}

func (laneListener *laneListener) run() {
	for {
		conn, err := laneListener.Listener.Accept()
		if err == nil {
			conn = newPipeline(conn.(*callerConn), laneListener.deliver)
		}
		if !laneListener.pass(acceptedConn{conn, err}) {
			if conn != nil {
				_ = conn.Close()
			}
			return
		}
	}
}

func (laneListener *laneListener) deliver(conn net.Conn) bool {
	return laneListener.pass(acceptedConn{conn: conn})
}

// pass passes a connection to Accept. It returns false if the listener has been closed.
func (laneListener *laneListener) pass(accepted acceptedConn) bool {
	select {
	case laneListener.accepted <- accepted:
		return true
	case <-laneListener.closed:
		return false
	}
}

// Accept waits for the next connection or lane.
func (laneListener *laneListener) Accept() (net.Conn, error) {
	select {
	case accepted := <-laneListener.accepted:
		return accepted.conn, accepted.err
	case <-laneListener.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept fail.
func (laneListener *laneListener) Close() error {
	laneListener.once.Do(func() { close(laneListener.closed) })
	return laneListener.Listener.Close()
}
