package yamux

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
)

// session is a yamux session with its single stream. Whatever ends the session also ends reads and writes of the stream.
type session struct {
	*yamux.Session
	conn   *connection
	stream *stream
}

// openSession opens a session on a connection, which it owns from then on, and the session's stream.
func openSession(conn net.Conn, log *zap.Logger) (*session, error) {
	return newSession(conn, log, yamux.Client, (*yamux.Session).OpenStream)
}

// acceptSession accepts a session on a connection, which it owns from then on, and waits for the session's stream.
func acceptSession(conn net.Conn, log *zap.Logger) (*session, error) {
	return newSession(conn, log, yamux.Server, (*yamux.Session).AcceptStream)
}

func newSession(
	conn net.Conn, log *zap.Logger,
	start func(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error), get func(*yamux.Session) (*yamux.Stream, error),
) (*session, error) {
	guarded := &connection{Conn: conn}
	started, err := start(guarded, sessionConfig(log))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	got, err := get(started)
	if err != nil {
		_ = started.Close()
		return nil, err
	}
	guarded.attach(got)
	return &session{Session: started, conn: guarded, stream: newStream(got)}, nil
}

// close ends the stream and the session.
func (session *session) close() {
	session.stream.close()
	_ = session.Close()
}

// connection is the connection of a session. When a session ends, the library closes the session's shutdown channel, then the connection,
// and marks the streams as closed last. In between, a blocked read or write of a stream busy-loops, which may keep the goroutine that closes
// the connection from being scheduled. Close therefore sets an elapsed deadline on the stream first, which ends such calls.
type connection struct {
	net.Conn
	mu     sync.Mutex
	stream net.Conn // nil until attached
	closed bool
}

// elapsed is a deadline that has passed.
var elapsed = time.Unix(1, 0)

// Close ends reads and writes of the stream, then closes the connection.
func (connection *connection) Close() error {
	connection.mu.Lock()
	connection.closed = true
	if connection.stream != nil {
		_ = connection.stream.SetDeadline(elapsed)
	}
	connection.mu.Unlock()
	return connection.Conn.Close()
}

// attach sets the stream, whose reads and writes end at once if the connection is already closed.
func (connection *connection) attach(stream net.Conn) {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.stream = stream
	if connection.closed {
		_ = stream.SetDeadline(elapsed)
	}
}

// limitReads sets the deadline of the stream's reads, or none if it is zero. It has no effect once the connection is closed.
func (connection *connection) limitReads(deadline time.Time) {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	if connection.stream != nil && !connection.closed {
		_ = connection.stream.SetReadDeadline(deadline)
	}
}
