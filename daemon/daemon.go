// Package daemon runs the components of an entry instance and shuts them down in order.
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

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	caller "github.com/sequoiaspan/sequoiaspan/adapters/caller/http"
	instances "github.com/sequoiaspan/sequoiaspan/adapters/instances/http"
	operator "github.com/sequoiaspan/sequoiaspan/adapters/operator/http"
	"github.com/sequoiaspan/sequoiaspan/adapters/peer/yamux"
	store "github.com/sequoiaspan/sequoiaspan/adapters/store/http"
	"github.com/sequoiaspan/sequoiaspan/configuration"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/limit"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/quota"
	"github.com/sequoiaspan/sequoiaspan/settings"
	"github.com/sequoiaspan/sequoiaspan/trace"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen" // a listener could not be opened
	KindTrace  Kind = "trace"  // the span exporter could not be set up
	KindServe  Kind = "serve"  // a component stopped unexpectedly
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

// leaveTimeout limits how long a stopping instance waits for other instances to take over its keys.
const leaveTimeout = 10 * time.Second

// acceptGraceShare is the share of the grace period in which a stopping instance still accepts requests. Callers switch to
// other addresses meanwhile; requests accepted later would not finish in time.
const acceptGraceShare = 0.5

// The end of the grace period.
const (
	exitMargin   = 300 * time.Millisecond // reserved for the exit of the process
	answerMargin = 100 * time.Millisecond // before that, to answer the requests that are still in flight
)

// Platform holds the adapters to the platform that an instance runs on.
type Platform struct {
	Store     entry.Store       // for idempotency keys; nil if there is none
	Instances entry.Instances   // polled; nil with a Feed
	Feed      entry.Feed        // nil with Instances
	Registrar entry.Registrar   // nil if the platform registers instances itself
	Rulebook  entry.RulesSource // nil with a Feed, which also delivers the rules
	Dialect   dialect.Dialect   // nil for sequoiaspan's own dialect
	// SetDelays receives, before the first call, what tells how late this instance runs; nil if no call needs it.
	SetDelays func(wait.Delays)
	// Endpoints returns the handler for the ready and directory addresses; nil if there are none.
	Endpoints func(*entry.Entry) http.Handler
}

// Daemon runs one entry instance. Settings and Log must be set.
type Daemon struct {
	Settings settings.Settings
	Log      *zap.Logger
	Platform *Platform // nil for sequoiaspan's own store and instance list
	Reload   ReloadOptions
	Metrics  metrics.Registry // nil for a new registry
	Stdout   io.Writer        // output of the stdout span exporter; nil for os.Stdout
	// Dial opens connections to peers; nil for the default dialer. Tests replace it to interrupt connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	entry   *entry.Entry
	quotas  *quota.Keeper
	client  *yamux.Client
	backend *backend.Backend
}

// Run serves until ctx ends and then shuts down gracefully: it waits for requests in flight, for as long as the grace
// period allows or without limit if it is 0. Run returns at once when force ends.
func (daemon *Daemon) Run(ctx, force context.Context) error {
	if limit := goMemoryLimit(&daemon.Settings); limit > 0 {
		debug.SetMemoryLimit(limit)
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
	daemon.build(tracer, registry)
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
	ready, directory       net.Listener // nil if not set
	descriptors            uint64       // that the process may have open
}

func (listeners *listeners) close() {
	for _, l := range []net.Listener{listeners.caller, listeners.peer, listeners.operator, listeners.ready, listeners.directory} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (daemon *Daemon) listen() (*listeners, error) {
	descriptors, err := descriptorLimit()
	if err != nil {
		return nil, err
	}
	out := &listeners{descriptors: descriptors}
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
		opened, err := net.Listen("tcp", l.address.String())
		if err != nil {
			out.close()
			return nil, &Error{Op: "run", Kind: KindListen, Err: err}
		}
		*l.to = newListener(opened, daemon.Log)
	}
	return out, nil
}

// build creates the entry instance and its adapters.
func (daemon *Daemon) build(tracer *trace.Provider, registry metrics.Registry) {
	s := &daemon.Settings
	incarnation := idempotency.NewIncarnation(s.Name, uuid.NewString())
	if daemon.Platform == nil {
		kv, list := &store.Store{Address: s.Store}, &instances.Client{Address: s.Instances, Log: daemon.Log}
		daemon.Platform = &Platform{
			Store: kv, Instances: list, Rulebook: &configuration.Follower{Store: kv},
			SetDelays: func(delays wait.Delays) { kv.Delays, list.Delays = delays, delays },
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
		Processor:  s.ProcessorCores,
		FirstStart: s.FirstStart, DecideLocally: s.DecideLocally, Seeds: s.Seeds, DirectoryTTL: time.Duration(s.Callers.AnswerTTL), MaxAddresses: s.Callers.MaxAddresses,
		RetryBudget: entry.RetryBudget{Share: s.Retries.Share, Burst: s.Retries.Burst},
		Locality:    entry.Locality{Enabled: s.Locality.Enabled, BytePrice: s.Locality.BytePrice},
		Intervals:   entry.Intervals{List: time.Duration(s.Intervals.InstanceList), Table: time.Duration(s.Intervals.KeyTable)},
		Store:       platform.Store, Instances: platform.Instances, Feed: platform.Feed, Registrar: platform.Registrar,
		RulesSource: platform.Rulebook, Prober: daemon.backend, Replayer: daemon.backend,
		Log: daemon.Log, Metrics: registry, Tracer: tracer.Tracer(), Clock: time.Now,
	}
	daemon.backend.Delays = daemon.entry
	if platform.SetDelays != nil {
		platform.SetDelays(daemon.entry)
	}
	daemon.client = &yamux.Client{
		Name: s.Name, Incarnation: incarnation, Domain: s.Domain, ResponseTimeout: time.Duration(s.Intervals.PeerSilence),
		Log: daemon.Log, Tracer: tracer.Tracer(), Clock: time.Now, Dial: daemon.Dial, Delays: daemon.entry,
		Versions: daemon.entry.Versions, OnVersions: daemon.entry.HandleVersions, InitialRenewal: daemon.entry.Greeting,
	}
	daemon.entry.Peers = daemon.client
	daemon.quotas = &quota.Keeper{
		Name: s.Name, Fleet: daemon.entry, Link: daemon.client, Clock: time.Now, Log: daemon.Log, Metrics: registry,
		Tolerance: limit.Tolerance{Window: time.Duration(s.Quotas.Window), Overshoot: s.Quotas.Overshoot, Slack: s.Quotas.Slack},
		StartedAt: time.Now(), FirstStart: s.FirstStart, ByPriority: s.Quotas.ByPriority, StrictTakeover: s.Quotas.StrictTakeover,
	}
	daemon.entry.Init()
}

// serve runs all components in one group. When one returns, the others are stopped.
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
	add(daemon.quotas.Run)
	peers := &yamux.Server{
		Handler: daemon.entry, Quota: daemon.quotas, Log: daemon.Log, Tracer: tracer.Tracer(), Clock: time.Now,
		MaxSessions: connectionLimit(s.Limits.MaxPeerSessions, peerDescriptors, listeners.descriptors),
	}
	add(func(partCtx context.Context) error { return peers.Serve(partCtx, listeners.peer) })

	heads := &caller.Heads{Limit: headMemory(s), Log: daemon.Log, Metrics: registry}
	port := func(name string, server *http.Server, listener net.Listener) {
		limit := connectionLimit(s.Limits.MaxPortConnections, portDescriptors, listeners.descriptors)
		limited := (&caller.Port{Name: name, Heads: heads, Limit: limit}).Serve(server, listener)
		add(func(partCtx context.Context) error { return serveHTTP(partCtx, server, limited) })
	}
	operators := &operator.Handler{Status: daemon.entry.Status, Metrics: registry, Log: daemon.Log}
	port("operator", newServer(operators.Mux(), s.Limits, daemon.Log), listeners.operator)
	if daemon.Platform.Endpoints != nil {
		endpoints := daemon.Platform.Endpoints(daemon.entry)
		port("ready", newServer(endpoints, s.Limits, daemon.Log), listeners.ready)
		port("directory", newServer(endpoints, s.Limits, daemon.Log), listeners.directory)
	}
	connections := &caller.Connections{
		Limit: connectionLimit(s.Limits.MaxCallerConnections, callerDescriptors, listeners.descriptors), Heads: heads, Log: daemon.Log, Metrics: registry,
		Depth: s.Callers.PipelineDepth,
	}
	callers := &callerServer{connections: connections, entry: daemon.entry, limits: s.Limits, log: daemon.Log, handler: &caller.Handler{
		Entry: daemon.entry, Quotas: daemon.quotas, Backend: daemon.backend, Log: daemon.Log, Metrics: registry, Tracer: tracer.Tracer(),
		Dialect: daemon.Platform.Dialect, Clock: time.Now, Seed: s.JitterSeed,
	}}
	limited := connections.Listen(listeners.caller)
	add(func(partCtx context.Context) error {
		stop := context.AfterFunc(partCtx, func() { _ = limited.Close() })
		defer stop()
		err := callers.serve(limited)
		if err == nil {
			// Wait: returning stops the group, but a graceful shutdown continues after the listener is closed.
			<-partCtx.Done()
		}
		callers.close()
		return err
	})
	add(func(partCtx context.Context) error { return daemon.shutDown(partCtx, ctx, force, callers, limited) })
	add(daemon.watchSettings)

	daemon.Log.Info("daemon: serving", zap.Stringer("caller-address", s.Caller), zap.Stringer("peer-address", s.Peer), zap.Stringer("operator-address", s.Operator),
		zap.Int64("head-memory-bytes", heads.Limit), zap.Int64("memory-limit-bytes", goMemoryLimit(s)))
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
		// Wait: returning stops the group, but a graceful shutdown continues after Serve has returned.
		<-ctx.Done()
		return nil
	}
	return err
}

// shutDown waits for the stop signal and shuts the instance down gracefully.
//
// Callers may cache a directory answer that contains this instance. New connections are therefore accepted until cached
// answers have expired, or for acceptGraceShare of the grace period.
func (daemon *Daemon) shutDown(partCtx, signal, force context.Context, callers *callerServer, listener net.Listener) error {
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
	acceptUntil := now.Add(daemon.entry.DirectoryTTL)
	if grace > 0 {
		acceptUntil = now.Add(time.Duration(acceptGraceShare * float64(grace)))
		endAt := now.Add(grace - exitMargin - answerMargin)
		daemon.entry.SetEnd(endAt)
		endRequests := time.AfterFunc(time.Until(endAt), daemon.entry.EndRequests)
		defer endRequests.Stop()
		limited, cancelLimited := context.WithDeadline(ctx, now.Add(grace-exitMargin))
		defer cancelLimited()
		ctx = limited
	}
	var handedOver sync.WaitGroup
	handedOver.Go(func() {
		leave, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		daemon.entry.Leave(leave)
	})
	timer := time.NewTimer(time.Until(acceptUntil))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return errStopped
	}
	daemon.Log.Info("daemon: draining requests in flight, new requests are refused")
	daemon.entry.Stop()
	_ = listener.Close()
	if err := callers.shutDown(ctx); err != nil {
		daemon.Log.Warn("daemon: stopped before all requests were finished", zap.Error(err))
	}
	handedOver.Wait()
	return errStopped
}
