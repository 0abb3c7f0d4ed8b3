package yamux

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/wire"
)

// endBound is the longest time in which a read or write of an ended session may return.
const endBound = 5 * time.Second

// slowToClose is a connection that ends for its reader, while its Close lasts until it is released.
type slowToClose struct {
	net.Conn
	closing, released chan struct{}
}

func newSlowToClose(t *testing.T, conn net.Conn) *slowToClose {
	c := &slowToClose{conn, make(chan struct{}), make(chan struct{})}
	t.Cleanup(func() { _ = conn.Close() })
	return c
}

func (c *slowToClose) Close() error {
	select {
	case <-c.closing:
	default:
		close(c.closing)
	}
	<-c.released
	return c.Conn.Close()
}

// connections returns both ends of a connection over loopback.
func connections(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	accepted, err := listener.Accept()
	must.NoError(t, err)
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// sessions returns both ends of a session. The connection of one of them, given by its index, is slow to close.
func sessions(t *testing.T, slow int) (ends [2]*session, conn *slowToClose) {
	t.Helper()
	client, server := connections(t)
	conns := [2]net.Conn{client, server}
	conn = newSlowToClose(t, conns[slow])
	conns[slow] = conn
	accepted := make(chan *session, 1)
	go func() {
		s, _ := acceptSession(conns[1], zap.NewNop()) // nil if it fails
		accepted <- s
	}()
	opened, err := openSession(conns[0], zap.NewNop())
	must.NoError(t, err)
	ends = [2]*session{opened, <-accepted}
	must.NotNil(t, ends[1])
	t.Cleanup(func() {
		close(conn.released)
		ends[0].close()
		ends[1].close()
	})
	return ends, conn
}

// awaitReturn fails the test if a call does not return within endBound.
func awaitReturn(t *testing.T, op string, call func() error) {
	t.Helper()
	returned := make(chan error, 1)
	go func() { returned <- call() }()
	select {
	case err := <-returned:
		must.Error(t, err)
	case <-time.After(endBound):
		t.Fatalf("%s still runs %s after the end of its session", op, endBound)
	}
}

// TestReadsEndWithTheirSession ends sessions, at either end, whose connection takes long to close. Reads of the stream must return; they
// used to busy-loop until the connection was closed, for good where the closing goroutine was not scheduled.
func TestReadsEndWithTheirSession(t *testing.T) {
	for slow, side := range []string{"opened", "accepted"} {
		for _, cause := range []string{"connection", "own close"} {
			t.Run(side+" ended by "+cause, func(t *testing.T) {
				ends, conn := sessions(t, slow)
				read := make(chan error, 1)
				go func() {
					_, err := ends[slow].stream.receive()
					read <- err
				}()
				if cause == "connection" {
					must.NoError(t, ends[1-slow].conn.Conn.Close())
				} else {
					go ends[slow].Close()
				}
				<-conn.closing
				awaitReturn(t, "read", func() error { return <-read })
				awaitReturn(t, "second read", func() error { _, err := ends[slow].stream.receive(); return err })
				ends[slow].conn.limitReads(time.Time{})
				awaitReturn(t, "read after its deadline is removed", func() error { _, err := ends[slow].stream.receive(); return err })
			})
		}
	}
}

// TestWritesEndWithTheirSession is TestReadsEndWithTheirSession for writes that wait for the peer to read.
func TestWritesEndWithTheirSession(t *testing.T) {
	for slow, side := range []string{"opened", "accepted"} {
		t.Run(side, func(t *testing.T) {
			ends, conn := sessions(t, slow)
			written := make(chan error, 1)
			go func() {
				_, err := ends[slow].stream.conn.Write(make([]byte, 4*sessionConfig(zap.NewNop()).MaxStreamWindowSize))
				written <- err
			}()
			// The write has begun once the peer has read some of it.
			_, err := ends[1-slow].stream.conn.Read(make([]byte, 1))
			must.NoError(t, err)
			ends[1-slow].close()
			<-conn.closing
			awaitReturn(t, "write", func() error { return <-written })
		})
	}
}

// TestStreamOfAnEndedSessionEnds attaches a stream to a session that has ended while the stream was opened.
func TestStreamOfAnEndedSessionEnds(t *testing.T) {
	ends, conn := sessions(t, 0)
	late := &connection{Conn: conn}
	go late.Close()
	<-conn.closing
	late.attach(ends[0].stream.conn)
	awaitReturn(t, "read", func() error { _, err := ends[0].stream.receive(); return err })
}

// TestSessionsLostWhileOpenedLeaveNothingRunning opens many sessions to a peer that ends each connection at some step. TestMain finds
// goroutines that are left.
func TestSessionsLostWhileOpenedLeaveNothingRunning(t *testing.T) {
	const tries = 400
	for try := range tries {
		client, server := connections(t)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			buffer := make([]byte, 1+try%40) // up to a part of the stream's first frames
			_, _ = server.Read(buffer)
			_ = server.SetLinger(0)
			_ = server.Close()
		}()
		s, err := openSession(client, zap.NewNop())
		if err == nil {
			_ = s.stream.send(&wire.Frame{})
			go s.stream.writeFrames()
			awaitReturn(t, "read", func() error { _, err := s.stream.receive(); return err })
			s.close()
		}
		<-ended
	}
}
