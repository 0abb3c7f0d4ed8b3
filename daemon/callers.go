package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/settings"
)

// callers serves callers' connections under the bounds in force when they were opened: an http.Server's bounds do not
// change, so new bounds take a new one.
type callers struct {
	handler http.Handler
	entry   *entry.Entry
	limits  settings.Limits
	log     *zap.Logger

	mu      sync.Mutex
	bounds  rules.CallerLimits
	current *handover
	servers []*http.Server
}

// serve accepts connections until the listener is closed.
func (callers *callers) serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		var temporary net.Error
		if errors.As(err, &temporary) && temporary.Timeout() {
			continue
		}
		if err != nil {
			return err
		}
		if !callers.listener().give(conn) {
			_ = conn.Close()
		}
	}
}

// listener returns the listener of the server whose bounds are in force.
func (callers *callers) listener() *handover {
	set, _ := callers.entry.Rules()
	bounds := set.CallerLimits()
	bounds.RequestedBy, bounds.Line = "", 0
	callers.mu.Lock()
	defer callers.mu.Unlock()
	if callers.current != nil && bounds == callers.bounds {
		return callers.current
	}
	if callers.current != nil {
		_ = callers.current.Close()
		callers.log.Info("caller: new connections get other limits", zap.Duration("idle-time", bounds.IdleTimeout), zap.Duration("header-time", bounds.HeaderTimeout))
	}
	callers.bounds, callers.current = bounds, newHandover()
	server := newServer(callers.handler, boundedBy(callers.limits, bounds), callers.log)
	callers.servers = append(callers.servers, server)
	at := callers.current
	go func() {
		if err := server.Serve(at); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			callers.log.Error("caller: a server ended", zap.Error(err))
		}
	}()
	return at
}

// boundedBy lets the rules' bounds go before the settings'.
func boundedBy(limits settings.Limits, bounds rules.CallerLimits) settings.Limits {
	if bounds.MaxHeaderBytes > 0 {
		limits.HeaderBytes = bounds.MaxHeaderBytes
	}
	if bounds.HeaderTimeout > 0 {
		limits.HeaderTime = settings.Duration(bounds.HeaderTimeout)
	}
	if bounds.IdleTimeout > 0 {
		limits.IdleTime = settings.Duration(bounds.IdleTimeout)
	}
	return limits
}

func newServer(handler http.Handler, limits settings.Limits, log *zap.Logger) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: time.Duration(limits.HeaderTime),
		IdleTimeout: time.Duration(limits.IdleTime), ErrorLog: zap.NewStdLog(log),
	}
}

// shutDown lets the requests in flight finish until the context ends, and then breaks off those that are left.
func (callers *callers) shutDown(ctx context.Context) error {
	callers.mu.Lock()
	servers := callers.servers
	if callers.current != nil {
		_ = callers.current.Close()
	}
	callers.mu.Unlock()
	errs := make([]error, len(servers))
	var group sync.WaitGroup
	for i, server := range servers {
		group.Go(func() {
			errs[i] = server.Shutdown(ctx)
			if errs[i] != nil {
				_ = server.Close()
			}
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

// close breaks off all requests.
func (callers *callers) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = callers.shutDown(ctx)
}

// handover is a listener whose connections were accepted elsewhere.
type handover struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newHandover() *handover {
	return &handover{conns: make(chan net.Conn), done: make(chan struct{})}
}

// give passes a connection on; false means that the listener is closed.
func (handover *handover) give(conn net.Conn) bool {
	select {
	case handover.conns <- conn:
		return true
	case <-handover.done:
		return false
	}
}

// Accept waits for a connection.
func (handover *handover) Accept() (net.Conn, error) {
	select {
	case conn := <-handover.conns:
		return conn, nil
	case <-handover.done:
		return nil, net.ErrClosed
	}
}

// Close ends accepting.
func (handover *handover) Close() error {
	handover.once.Do(func() { close(handover.done) })
	return nil
}

// Addr returns no address of use: the connections have their own.
func (handover *handover) Addr() net.Addr { return &net.TCPAddr{} }
