package daemon

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// Delays before accepting is tried again while the machine lacks a resource.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
)

// Shares of the process's descriptors. The others are for backend servers, the store and sessions to other instances: each request on a
// caller's connection needs one more. The operator, ready and directory addresses have portDescriptors each, as callers look up the directory on
// connections of their own.
const (
	callerDescriptors = 0.5
	peerDescriptors   = 0.25
	portDescriptors   = 0.125
)

// listener accepts connections. While the machine lacks descriptors or memory for one more it waits instead of failing: the connections
// that are open are served, and those that wait are accepted when some end.
type listener struct {
	net.Listener
	log    *zap.Logger
	once   sync.Once
	closed chan struct{}
}

func newListener(from net.Listener, log *zap.Logger) *listener {
	return &listener{Listener: from, log: log, closed: make(chan struct{})}
}

// Accept waits for the next connection. It returns net.ErrClosed once the listener is closed.
func (listener *listener) Accept() (net.Conn, error) {
	delay, exhaustedAt := time.Duration(0), time.Time{}
	for {
		conn, err := listener.Listener.Accept()
		if err == nil || !isExhausted(err) {
			if !exhaustedAt.IsZero() {
				listener.log.Info("listener: accepts connections again", zap.Stringer("address", listener.Addr()), zap.Duration("exhausted-for", time.Since(exhaustedAt)))
			}
			return conn, err
		}
		if exhaustedAt.IsZero() {
			exhaustedAt = time.Now()
			listener.log.Warn("listener: the machine has no resources for another connection", zap.Stringer("address", listener.Addr()), zap.Error(err))
		}
		delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
		select {
		case <-listener.closed:
			return nil, net.ErrClosed
		case <-time.After(delay):
		}
	}
}

// Close makes Accept fail.
func (listener *listener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return listener.Listener.Close()
}

// isExhausted reports whether an operation failed because the process or the machine lacks descriptors or memory.
func isExhausted(err error) bool {
	for _, exhausted := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, exhausted) {
			return true
		}
	}
	return false
}

// connectionLimit returns the configured limit on connections, or a share of the process's descriptors if that is lower.
func connectionLimit(configured int, share float64, descriptors uint64) int {
	if limit := share * float64(descriptors); limit < float64(configured) {
		return max(int(limit), 1)
	}
	return configured
}

// descriptorLimit returns the number of descriptors that the process may have open.
func descriptorLimit() (uint64, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, &Error{Op: "read the limit of descriptors", Kind: KindListen, Err: err}
	}
	return limit.Cur, nil
}
