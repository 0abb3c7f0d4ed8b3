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
	"github.com/sequoiaspan/sequoiaspan/dialect"
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

// stopShare is the part of the grace time in which further requests are still taken: callers learn of other addresses
// meanwhile, and what comes later would not be finished.
const stopShare = 0.5

// homeBurst is the part of a service's burst of retries that one home may spend: for a while, a slice's home before, its deputy
// and its present home may each have a budget.
const homeBurst = 0.45

// endMargin is left of the grace time for the end of the process.
const endMargin = 300 * time.Millisecond

// Platform is what an instance reaches of the platform that it runs on.
type Platform struct {
	Store     entry.Store       // of idempotency keys, nil without
	Instances entry.Instances   // nil with a feed
	Feed      entry.Feed        // nil with a list that is polled
	Registrar entry.Registrar   // nil where the platform lists instances by itself
	Rulebook  entry.RulesSource // nil with a feed, which brings the rules too
	Dialect   dialect.Dialect   // nil for sequoiaspan's own
	// Endpoints serves the ready and directory addresses, nil without.
	Endpoints func(*entry.Entry) http.Handler
}

// Daemon is one entry instance's process; Settings and Log must be set.
type Daemon struct {
	Settings  settings.Settings
	Log       *zap.Logger
	Platform  *Platform // nil for sequoiaspan's own store and instance list
	Reloading Reloading
	Metrics   metrics.Registry // nil for one of its own
	Stdout    io.Writer        // of the stdout span exporter, os.Stdout if nil
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
	registry := daemon.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
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
	ready, directory       net.Listener // nil without
}

func (listeners *listeners) close() {
	for _, l := range []net.Listener{listeners.caller, listeners.peer, listeners.operator, listeners.ready, listeners.directory} {
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
		{&out.ready, daemon.Settings.Ready}, {&out.directory, daemon.Settings.Directory},
	} {
		if !l.address.IsValid() {
			continue
		}
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
	if daemon.Platform == nil {
		kv := &store.Store{Address: s.Store}
		daemon.Platform = &Platform{
			Store: kv, Instances: &instances.Client{Address: s.Instances}, Rulebook: &configuration.Follower{Store: kv},
		}
	}
	platform := daemon.Platform
	daemon.backend = &backend.Backend{Dialect: platform.Dialect}
	peer := s.Peer
	if s.AdvertisedPeer.IsValid() {
		peer = s.AdvertisedPeer
	}
	daemon.entry = &entry.Entry{
		Name: s.Name, Domain: s.Domain, Region: s.Region, Caller: s.Caller, Peer: peer, Operator: s.Operator, Incarnation: incarnation,
		Processor:  s.Processor,
		FirstStart: s.FirstStart, DecideLocally: s.DecideAlone, Seeds: s.Seeds, DirectoryTTL: time.Duration(s.Callers.Keep), MaxAddresses: s.Callers.Addresses,
		RetryBudget: entry.RetryBudget{Share: s.Retries.Share, Burst: homeBurst * s.Retries.Burst},
		Intervals:   entry.Intervals{List: time.Duration(s.Intervals.InstanceList), Table: time.Duration(s.Intervals.KeyTable)},
		Store:       platform.Store, Instances: platform.Instances, Feed: platform.Feed, Registrar: platform.Registrar,
		RulesSource: platform.Rulebook, Prober: daemon.backend, Replayer: daemon.backend,
		Log: daemon.Log, Metrics: registry, Tracer: tracer.Tracer(), Clock: time.Now,
	}
	daemon.client = &yamux.Client{
		Name: s.Name, Incarnation: incarnation, Domain: s.Domain, ResponseTimeout: time.Duration(s.Intervals.PeerSilence),
		Log: daemon.Log, Tracer: tracer.Tracer(), Clock: time.Now, Dial: daemon.Dial,
		Versions: daemon.entry.Versions, OnVersions: daemon.entry.HandleVersions, InitialRenewal: daemon.entry.Greeting,
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
	operatorServer := newServer(operators.Mux(), s.Limits, daemon.Log)
	add(func(partCtx context.Context) error { return serveHTTP(partCtx, operatorServer, listeners.operator) })

	if daemon.Platform.Endpoints != nil {
		endpoints := newServer(daemon.Platform.Endpoints(daemon.entry), s.Limits, daemon.Log)
		add(func(partCtx context.Context) error { return serveHTTP(partCtx, endpoints, listeners.ready) })
		add(func(partCtx context.Context) error { return serveHTTP(partCtx, endpoints, listeners.directory) })
	}
	callers := &callers{entry: daemon.entry, limits: s.Limits, log: daemon.Log, handler: &caller.Handler{
		Entry: daemon.entry, Backend: daemon.backend, Log: daemon.Log, Metrics: registry, Tracer: tracer.Tracer(),
		Dialect: daemon.Platform.Dialect, Clock: time.Now, Seed: s.JitterSeed,
	}}
	limited := netutil.LimitListener(listeners.caller, s.Limits.CallerConnections)
	add(func(partCtx context.Context) error {
		stop := context.AfterFunc(partCtx, func() { _ = limited.Close() })
		defer stop()
		err := callers.serve(limited)
		if err == nil {
			// A graceful shutdown goes on after the listener is closed; the group waits for its end.
			<-partCtx.Done()
		}
		callers.close()
		return err
	})
	add(func(partCtx context.Context) error { return daemon.shutDown(partCtx, ctx, force, callers, limited) })
	add(daemon.followSettings)

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
// Callers may keep a directory answer for a while: new connections are taken until those answers have ended, or for a part
// of the grace time.
func (daemon *Daemon) shutDown(partCtx, signal, force context.Context, callers *callers, listener net.Listener) error {
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
	grace := time.Duration(daemon.Settings.Grace)
	now := time.Now()
	keepUntil := now.Add(daemon.entry.DirectoryTTL)
	if grace > 0 {
		keepUntil = now.Add(time.Duration(stopShare * float64(grace)))
		limited, cancelLimited := context.WithDeadline(ctx, now.Add(grace-endMargin))
		defer cancelLimited()
		ctx = limited
	}
	var handedOver sync.WaitGroup
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
	daemon.entry.Stop()
	_ = listener.Close()
	if err := callers.shutDown(ctx); err != nil {
		daemon.Log.Warn("daemon: ended before all requests were finished", zap.Error(err))
	}
	handedOver.Wait()
	return errStopped
}
