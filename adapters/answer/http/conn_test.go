package http

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// endedConn is a connection whose reads return io.EOF. Its first write waits for a deadline; the later ones succeed.
type endedConn struct {
	net.Conn
	writeErr error
	begun    chan struct{} // closed at the first write
	deadline chan struct{} // closed when the writes have one
	once     sync.Once
}

func (endedConn *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (endedConn *endedConn) Write([]byte) (int, error) {
	select {
	case <-endedConn.deadline:
		return 1, nil
	default:
	}
	close(endedConn.begun)
	<-endedConn.deadline
	return 0, endedConn.writeErr
}

func (endedConn *endedConn) SetWriteDeadline(time.Time) error {
	endedConn.once.Do(func() { close(endedConn.deadline) })
	return nil
}

// TestEndIsNotTheLossThatAWriteLearnsOf reads the end of a connection while a write is in progress, and again after it.
func TestEndIsNotTheLossThatAWriteLearnsOf(t *testing.T) {
	for writeErr, isLost := range map[error]bool{
		syscall.ECONNRESET: true, syscall.ETIMEDOUT: true, syscall.EHOSTUNREACH: true,
		nil: false, syscall.EPIPE: false, os.ErrDeadlineExceeded: false, net.ErrClosed: false,
	} {
		ended := &endedConn{begun: make(chan struct{}), deadline: make(chan struct{})}
		if writeErr != nil {
			ended.writeErr = &net.OpError{Op: "write", Err: writeErr}
		}
		conn := &conn{Conn: ended}
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = conn.Write(make([]byte, 1))
		}()
		<-ended.begun
		for range 2 {
			_, err := conn.Read(make([]byte, 1))
			if isLost {
				must.ErrorIs(t, err, writeErr)
			} else {
				must.EqOp(t, io.EOF, err)
			}
		}
		<-written
	}
}
