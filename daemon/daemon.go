// Package daemon runs an entry instance's parts and stops them in order.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	caller "github.com/sequoiaspan/sequoiaspan/adapters/caller/http"
	instances "github.com/sequoiaspan/sequoiaspan/adapters/instances/http"
	operator "github.com/sequoiaspan/sequoiaspan/adapters/operator/http"
	"github.com/sequoiaspan/sequoiaspan/adapters/peer/yamux"
	store "github.com/sequoiaspan/sequoiaspan/adapters/store/http"
	"github.com/sequoiaspan/sequoiaspan/configuration"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/settings"
	"github.com/sequoiaspan/sequoiaspan/trace"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen" // an own address could not be opened
	KindTrace  Kind = "trace"  // the span exporter could not be set up
	KindServe  Kind = "serve"  // a part stopped by itself
)

// Error is a failure to run an instance.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// settleTime is left for other instances to take over this one's keys.
const settleTime = 10 * time.Second

// Daemon is one entry instance's process; Settings and Log must be set.
type Daemon struct {
	Settings settings.Settings
	Log      *zap.Logger
	Stdout   io.Writer // of the stdout span exporter, os.Stdout if nil
	// Dial opens connections to peers, for tests that cut them; nil for the usual dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	entry   *entry.Entry
	client  *yamux.Client
	backend *backend.Backend
}

// Run serves until the context ends, then shuts down gracefully: requests in flight finish, however long they
// take. It returns early when force ends.
func (daemon *Daemon) Run(ctx, force context.Context) error {
	if daemon.Settings.GoMemoryLimit > 0 {
		debug.SetMemoryLimit(daemon.Settings.GoMemoryLimit)
	}
	if daemon.Stdout == nil {
		daemon.Stdout = os.Stdout
	}
	tracer, err := trace.New(ctx, trace.Options{
		Exporter: daemon.Settings.Traces.Exporter, Endpoint: daemon.Settings.Traces.Endpoint,
		Instance: daemon.Settings.Name, Stdout: daemon.Stdout,
	})
	if err != nil {
		return &Error{Op: "run", Kind: KindTrace, Err: err}
	}
	listeners, err := daemon.listen()
	if err != nil {
		return err
	}
	defer listeners.close()
	registry := metrics.NewRegistry()
	daemon.assemble(tracer, registry)
	err = daemon.serve(ctx, force, listeners, tracer, registry)
	flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if flushErr := tracer.Shutdown(flush); flushErr != nil {
		daemon.Log.Warn("trace: spans could not be flushed", zap.Error(flushErr))
	}
	return err
}

type listeners struct {
	caller, peer, operator net.Listener
}

func (listeners *listeners) close() {
	for _, l := range []net.Listener{listeners.caller, listeners.peer, listeners.operator} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (daemon *Daemon) listen() (*listeners, error) {
	out := &listeners{}
	for _, l := range []struct {
		to      *net.Listener
		address netip.AddrPort
	}{
		{&out.caller, daemon.Settings.Caller}, {&out.peer, daemon.Settings.Peer}, {&out.operator, daemon.Settings.Operator},
	} {
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			out.close()
			return nil, &Error{Op: "run", Kind: KindListen, Err: err}
		}
		*l.to = listener
	}
	return out, nil
}

// assemble builds the instance and its adapters.
func (daemon *Daemon) assemble(tracer *trace.Provider, registry metrics.Registry) {
	s := &daemon.Settings
	incarnation := idempotency.NewIncarnation(s.Name, uuid.NewString())
	kv := &store.Store{Address: s.Store}
	daemon.backend = &backend.Backend{}
	daemon.entry = &entry.Entry{
		Name: s.Name, Domain: s.Domain, Region: s.Region, Caller: s.Caller, Peer: s.Peer, Incarnation: incarnation,
		Intervals: entry.Intervals{List: time.Duration(s.Intervals.InstanceList), Table: time.Duration(s.Intervals.KeyTable)},
		Store:     kv, Instances: &instances.Instances{Address: s.Instances}, Prober: daemon.backend, Replayer: daemon.backend,
		Rulebook: &configuration.Follower{Store: kv},
		Log:      daemon.Log, Metrics: registry, Tracer: tracer.Tracer(), Clock: time.Now,
	}
	daemon.client = &yamux.Client{
		Name: s.Name, Incarnation: incarnation, Domain: s.Domain, Silence: time.Duration(s.Intervals.PeerSilence),
		Log: daemon.Log, Tracer: tracer.Tracer(), Clock: time.Now, Dial: daemon.Dial,
		Versions: daemon.entry.Versions, OnVersions: daemon.entry.HandleVersions,
	}
	daemon.entry.Peers = daemon.client
	daemon.entry.Init()
}

// serve runs all parts in one group: the first to stop stops the others.
func (daemon *Daemon) serve(ctx, force context.Context, listeners *listeners, tracer *trace.Provider, registry metrics.Registry) error {
	s := &daemon.Settings
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	add := func(f func(context.Context) error) {
		partCtx, cancel := context.WithCancel(inner)
		group.Add(func() error { return f(partCtx) }, func(error) { cancel() })
	}
	add(func(partCtx context.Context) error { return daemon.entry.Run(partCtx) })
	peers := &yamux.Server{Handler: daemon.entry, Log: daemon.Log, Tracer: tracer.Tracer(), Clock: time.Now, MaxSessions: s.Limits.PeerSessions}
	add(func(partCtx context.Context) error { return peers.Serve(partCtx, listeners.peer) })

	operators := &operator.Handler{Status: daemon.entry.Status, Metrics: registry, Log: daemon.Log}
	operatorServer := daemon.server(operators.Mux())
	add(func(partCtx context.Context) error { return serveHTTP(partCtx, operatorServer, listeners.operator) })

	callers := &caller.Handler{
		Entry: daemon.entry, Backend: daemon.backend, Log: daemon.Log, Metrics: registry, Tracer: tracer.Tracer(),
		Clock: time.Now, Seed: s.JitterSeed,
	}
	callerServer := daemon.server(callers)
	limited := netutil.LimitListener(listeners.caller, s.Limits.CallerConnections)
	add(func(partCtx context.Context) error { return serveHTTP(partCtx, callerServer, limited) })
	add(func(partCtx context.Context) error { return daemon.shutDown(partCtx, ctx, force, callerServer) })

	daemon.Log.Info("daemon: serving", zap.Stringer("caller-address", s.Caller), zap.Stringer("peer-address", s.Peer), zap.Stringer("operator-address", s.Operator))
	err := group.Run()
	daemon.client.Close()
	daemon.backend.Close()
	if errors.Is(err, errStopped) {
		daemon.Log.Info("daemon: stopped")
		return nil
	}
	return &Error{Op: "serve", Kind: KindServe, Err: err}
}

func (daemon *Daemon) server(handler http.Handler) *http.Server {
	limits := daemon.Settings.Limits
	return &http.Server{
		Handler: handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: time.Duration(limits.HeaderTime),
		IdleTimeout: time.Duration(limits.IdleTime), ErrorLog: zap.NewStdLog(daemon.Log),
	}
}

var errStopped = errors.New("stopped")

func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		// A graceful shutdown goes on after Serve has returned; the group waits for its end.
		<-ctx.Done()
		return nil
	}
	return err
}

// shutDown waits for the signal to stop and shuts the instance down gracefully.
//
// Callers may keep a directory answer for a while: new connections are taken until those answers have ended.
func (daemon *Daemon) shutDown(partCtx, signal, force context.Context, callerServer *http.Server) error {
	select {
	case <-partCtx.Done():
		return nil
	case <-force.Done():
		return errStopped
	case <-signal.Done():
	}
	ctx, cancel := context.WithCancel(partCtx)
	defer cancel()
	stop := context.AfterFunc(force, cancel)
	defer stop()
	var handedOver sync.WaitGroup
	keepUntil := time.Now().Add(entry.KeepLength)
	handedOver.Go(func() {
		leave, cancel := context.WithTimeout(ctx, settleTime)
		defer cancel()
		daemon.entry.Leave(leave)
	})
	timer := time.NewTimer(time.Until(keepUntil))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return errStopped
	}
	daemon.Log.Info("daemon: no new requests are taken, those in flight finish")
	if err := callerServer.Shutdown(ctx); err != nil {
		daemon.Log.Warn("daemon: ended before all requests were finished", zap.Error(err))
	}
	handedOver.Wait()
	return errStopped
}
