package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	caller "github.com/sequoiaspan/sequoiaspan/adapters/caller/http"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/settings"
)

// callerServer serves callers' connections. A connection keeps the limits that were in force when it was opened: the limits
// of an http.Server are fixed, so each change of the limits starts a new server.
type callerServer struct {
	handler     http.Handler
	connections *caller.Connections
	entry       *entry.Entry
	limits      settings.Limits
	log         *zap.Logger

	mu         sync.Mutex
	ruleLimits rules.CallerLimits
	current    *connListener
	servers    []*http.Server
}

// serve accepts connections and passes them to the current server until the listener is closed.
func (callerServer *callerServer) serve(listener net.Listener) error {
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
		if !callerServer.listener().deliver(conn) {
			_ = conn.Close()
		}
	}
}

// listener returns the listener of the server with the limits in force, and starts that server if the limits changed.
func (callerServer *callerServer) listener() *connListener {
	set, _ := callerServer.entry.Rules()
	ruleLimits := set.CallerLimits()
	ruleLimits.RequestedBy, ruleLimits.Line = "", 0
	callerServer.mu.Lock()
	defer callerServer.mu.Unlock()
	if callerServer.current != nil && ruleLimits == callerServer.ruleLimits {
		return callerServer.current
	}
	if callerServer.current != nil {
		_ = callerServer.current.Close()
		callerServer.log.Info("caller: limits for new connections changed", zap.Duration("idle-time", ruleLimits.IdleTimeout), zap.Duration("header-time", ruleLimits.HeaderTimeout))
	}
	callerServer.ruleLimits, callerServer.current = ruleLimits, newConnListener()
	server := newServer(callerServer.handler, withRuleLimits(callerServer.limits, ruleLimits), callerServer.log)
	server.ConnState, server.ConnContext = callerServer.connections.Track, callerServer.connections.Context
	callerServer.servers = append(callerServer.servers, server)
	at := callerServer.current
	go func() {
		if err := server.Serve(at); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			callerServer.log.Error("caller: HTTP server failed", zap.Error(err))
		}
	}()
	return at
}

// withRuleLimits returns the settings' limits, overridden by the limits that the rules set.
func withRuleLimits(limits settings.Limits, ruleLimits rules.CallerLimits) settings.Limits {
	if ruleLimits.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = ruleLimits.MaxHeaderBytes
	}
	if ruleLimits.HeaderTimeout > 0 {
		limits.HeaderTimeout = settings.Duration(ruleLimits.HeaderTimeout)
	}
	if ruleLimits.IdleTimeout > 0 {
		limits.IdleTimeout = settings.Duration(ruleLimits.IdleTimeout)
	}
	return limits
}

func newServer(handler http.Handler, limits settings.Limits, log *zap.Logger) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: limits.MaxHeaderBytes, ReadHeaderTimeout: time.Duration(limits.HeaderTimeout),
		IdleTimeout: time.Duration(limits.IdleTimeout), ErrorLog: zap.NewStdLog(log),
	}
}

// shutDown waits for requests in flight until the context ends, and then closes the remaining connections.
func (callerServer *callerServer) shutDown(ctx context.Context) error {
	callerServer.mu.Lock()
	servers := callerServer.servers
	if callerServer.current != nil {
		_ = callerServer.current.Close()
	}
	callerServer.mu.Unlock()
	callerServer.connections.Drain(ctx)
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

// close closes all connections, aborting requests in flight.
func (callerServer *callerServer) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = callerServer.shutDown(ctx)
}

// connListener is a net.Listener for connections that were accepted by another listener.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnListener() *connListener {
	return &connListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// deliver passes a connection to Accept. It returns false if the listener is closed.
func (connListener *connListener) deliver(conn net.Conn) bool {
	select {
	case connListener.conns <- conn:
		return true
	case <-connListener.done:
		return false
	}
}

// Accept waits for a delivered connection and returns net.ErrClosed once the listener is closed.
func (connListener *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-connListener.conns:
		return conn, nil
	case <-connListener.done:
		return nil, net.ErrClosed
	}
}

// Close makes deliver and Accept fail. It always returns nil.
func (connListener *connListener) Close() error {
	connListener.once.Do(func() { close(connListener.done) })
	return nil
}

// Addr returns an empty address: each connection has its own.
func (connListener *connListener) Addr() net.Addr { return &net.TCPAddr{} }
