package daemon

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// fakeListener fails with the given errors, then accepts a connection for each receive from conns.
type fakeListener struct {
	net.Listener
	errs   chan error
	conns  chan net.Conn
	closed chan struct{}
}

func newFakeListener(errs ...error) *fakeListener {
	l := &fakeListener{errs: make(chan error, len(errs)), conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	for _, err := range errs {
		l.errs <- &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errs:
		return nil, err
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error   { close(l.closed); return nil }
func (l *fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestExhaustionDoesNotEndListeners: accepting failed for good when descriptors ran out, which ended the process.
func TestExhaustionDoesNotEndListeners(t *testing.T) {
	for _, exhausted := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		from := newFakeListener(exhausted, exhausted, exhausted)
		conn, other := net.Pipe()
		must.NoError(t, other.Close())
		from.conns <- conn
		l := newListener(from, zap.NewNop())
		accepted, err := l.Accept()
		must.NoError(t, err, must.Sprint(exhausted))
		must.Eq(t, conn, accepted)
		must.NoError(t, accepted.Close())
		must.NoError(t, l.Close())
		_, err = l.Accept()
		must.ErrorIs(t, err, net.ErrClosed)
	}
}

// TestOtherErrorsOfListenersAreReturned: only a lack of resources is waited for.
func TestOtherErrorsOfListenersAreReturned(t *testing.T) {
	_, err := newListener(newFakeListener(syscall.EBADF), zap.NewNop()).Accept()
	must.ErrorIs(t, err, syscall.EBADF)
}

// TestExhaustedListenersCanBeClosed closes a listener whose accepting keeps failing.
func TestExhaustedListenersCanBeClosed(t *testing.T) {
	errs := make([]error, 100)
	for i := range errs {
		errs[i] = syscall.EMFILE
	}
	from := newFakeListener(errs...)
	l := newListener(from, zap.NewNop())
	returned := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		returned <- err
	}()
	must.NoError(t, l.Close())
	must.True(t, errors.Is(<-returned, net.ErrClosed))
}

func TestConnectionLimit(t *testing.T) {
	must.Eq(t, 2050, connectionLimit(10_000, callerDescriptors, 4100))
	must.Eq(t, 1025, connectionLimit(4096, peerDescriptors, 4100))
	must.Eq(t, 100, connectionLimit(100, callerDescriptors, 4100))
	must.Eq(t, 10_000, connectionLimit(10_000, callerDescriptors, 1<<63)) // no limit
	must.Eq(t, 1, connectionLimit(10_000, callerDescriptors, 1))
}
