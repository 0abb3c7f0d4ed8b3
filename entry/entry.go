// Package entry is an entry instance: it joins the decisions with the ports through which it acts.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// Peer names another entry instance and the address it listens on for this one.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Peers carries messages to other entry instances. Errors mean that no answer came in time.
type Peers interface {
	// Ask waits for the final decision; it fails soon when the peer is silent.
	Ask(ctx context.Context, to Peer, slice home.Slice, ask pool.Ask) (pool.Decision, pool.Snapshot, error)
	Report(ctx context.Context, to Peer, slice home.Slice, report pool.Report) error
	Renew(ctx context.Context, to Peer, renewal Renewal) error
	Claim(ctx context.Context, to Peer, claim idempotency.Claim) (idempotency.Verdict, error)
	Settle(ctx context.Context, to Peer, settlement idempotency.Settlement) (bool, error)
	Handover(ctx context.Context, to Peer, handover idempotency.Handover) (idempotency.HandoverReply, bool, error)
	PullRules(ctx context.Context, to Peer, have uint64) (version uint64, text string, err error)
	TakeTokens(ctx context.Context, to Peer, team string, want int) (granted int, retryAt time.Time, err error)
	Leaving(ctx context.Context, to Peer) error
	Verify(ctx context.Context, to Peer, verification Verification) error
	// PullLists returns what has changed on the lists after a revision; it waits for a change of them or of the rules.
	PullLists(ctx context.Context, to Peer, revision instance.Revision, wait time.Duration) (Lists, error)
	// Reachable reports whether the peer answered lately or was not tried.
	Reachable(peer string) bool
}

// Store is the platform's configuration store. Revision 0 stands for an absent key.
type Store interface {
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	// GetNewer returns the value only if the key's revision differs from the given one.
	GetNewer(ctx context.Context, key string, revision uint64) (value []byte, newRevision uint64, changed bool, err error)
	// Watch returns once the key's revision differs from the given one, or the store's patience ends.
	Watch(ctx context.Context, key string, revision uint64) (value []byte, newRevision uint64, err error)
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (newRevision uint64, err error)
}

// Instances is the platform's instance list.
type Instances interface {
	List(ctx context.Context) (instance.List, error)
}

// Prober sends health checks to backend servers.
type Prober interface {
	Probe(ctx context.Context, probe pool.Probe, path string) (healthy bool, said Notice)
}

// Renewal lists the grants that an entry instance holds from a home, and what it knows of the backend servers.
type Renewal struct {
	Slices []SliceRenewal
}

// SliceRenewal is the part of a Renewal for one slice.
type SliceRenewal struct {
	Slice    home.Slice
	Held     []pool.HeldGrant
	Standing pool.Snapshot
}

// Retries bound further attempts at a service, over all instances. Zero values take the pool's defaults.
type Retries struct {
	Share float64 // of the first attempts
	Burst float64 // attempts beyond the share
}

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindConflict Kind = "conflict" // a compare-and-swap lost against another writer
	KindAway     Kind = "away"     // the other side did not answer
	KindRefused  Kind = "refused"  // the other side refused the request
	KindInvalid  Kind = "invalid"  // the other side's answer makes no sense
)

var errMalformed = errors.New("malformed value")

// Error is a failure of an operation on a port.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Entry is one entry instance. Its exported fields are set before Run and not changed afterwards.
type Entry struct {
	Name        string
	Domain      string // failure domain
	Region      string
	Caller      netip.AddrPort // own addresses, as announced
	Peer        netip.AddrPort
	Operator    netip.AddrPort
	Processor   float64          // processor time that it gets, in cores; 0 if unknown
	FirstStart  bool             // the whole fleet starts for the first time
	DecideAlone bool             // no home is asked: the baseline that shared decisions are measured against
	Seeds       []netip.AddrPort // peer addresses of some instances, to ask while the platform does not answer at the start
	Incarnation idempotency.Incarnation
	Intervals   Intervals
	Keep        time.Duration // how long callers may keep a directory answer
	Addresses   int           // most addresses in a directory answer
	Retries     Retries

	Peers     Peers
	Store     Store     // of idempotency keys, nil without
	Instances Instances // nil with a feed
	Feed      Feed      // nil with a list that is polled
	Registrar Registrar // nil where the platform lists instances by itself
	Prober    Prober
	Replayer  Replayer
	Rulebook  RulesSource // nil with a feed, which brings the rules too
	Log       *zap.Logger
	Metrics   metrics.Registry
	Tracer    trace.Tracer
	Clock     func() time.Time

	homes    homes // slices that this instance decides
	alone    homes // slices decided alone while their homes are silent
	held     held
	keys     keys
	rules    rulesHolder
	members  members
	lists    lists
	turns    roundRobin
	notices  notices
	limits   limits
	leaving  atomic.Bool
	stopping atomic.Bool
	// introduced is set once others were asked what they know of servers, or have not answered.
	introduced atomic.Bool
	left       context.Context // ends when the instance leaves
	leave      context.CancelFunc
	lookups    atomic.Uint64
	attempts   atomic.Uint64 // latest number of an ask that this instance makes by itself
	initOnce   sync.Once

	verifications chan func(context.Context) // waiting for a worker
}

// Init fills in what is not set; Run calls it, and tests that do not call Run may.
func (entry *Entry) Init() {
	entry.initOnce.Do(entry.init)
}

func (entry *Entry) init() {
	if entry.Clock == nil {
		entry.Clock = time.Now
	}
	if entry.Log == nil {
		entry.Log = zap.NewNop()
	}
	if entry.Metrics == nil {
		entry.Metrics = metrics.NewRegistry()
	}
	if entry.Tracer == nil {
		entry.Tracer = noop.NewTracerProvider().Tracer("")
	}
	entry.Intervals = entry.Intervals.withDefaults()
	if entry.Keep <= 0 {
		entry.Keep = DefaultDirectoryTTL
	}
	if entry.Addresses <= 0 {
		entry.Addresses = DefaultMaxAddresses
	}
	entry.members.retries = entry.Retries
	entry.keys.keeper.Self = entry.Incarnation
	// The upper half tells instances and their runs apart, the lower half counts.
	entry.attempts.Store(rand.Uint64() << 32)
	log := &changeLog{name: entry.Name, log: entry.Log}
	entry.homes.init(false, entry.leavingServers, log)
	entry.alone.init(true, entry.leavingServers, log)
	entry.registerGauges()
	entry.members.init()
	entry.lists.init()
	entry.left, entry.leave = context.WithCancel(context.Background())
	entry.rules.wanted = make(chan Peer, 1)
	entry.keys.wanted = make(chan struct{}, 1)
	entry.verifications = make(chan func(context.Context), verifyRoom)
}

// Rules returns the rules in force and their version; version 0 has none.
func (entry *Entry) Rules() (*rules.Set, uint64) {
	current := entry.rules.load()
	return current.set, current.version
}

// IsLeaving reports whether this instance takes no new work.
func (entry *Entry) IsLeaving() bool { return entry.leaving.Load() }

// IsStopping reports whether requests that come now would not be finished before this instance ends.
func (entry *Entry) IsStopping() bool { return entry.stopping.Load() }

// Stop has further requests refused.
func (entry *Entry) Stop() { entry.stopping.Store(true) }

// IsReady reports whether this instance serves callers: it has rules and knows backend servers, and what others know of them.
func (entry *Entry) IsReady() bool {
	introduced := entry.Feed == nil || entry.introduced.Load()
	return !entry.IsLeaving() && introduced && entry.rules.load().version > 0 && len(entry.members.plan().servers) > 0
}

// Run keeps the instance's state until the context ends.
func (entry *Entry) Run(ctx context.Context) error {
	entry.Init()
	parts := []func(context.Context){entry.pullRules, entry.tickHomes, entry.renewGrants, entry.runVerifications}
	if entry.Rulebook != nil {
		parts = append(parts, entry.followRules)
	}
	if entry.Instances != nil {
		parts = append(parts, entry.pollInstances)
	}
	if entry.Feed != nil {
		parts = append(parts, entry.watchFeed, entry.pullLists, entry.expireLists, entry.checkDepartures, entry.syncLeavingServers)
	}
	if entry.Registrar != nil {
		parts = append(parts, entry.announce)
	}
	if entry.Store != nil {
		parts = append(parts, entry.followTable, entry.tickKeys)
	}
	var group sync.WaitGroup
	for _, part := range parts {
		group.Go(func() { part(ctx) })
	}
	group.Wait()
	return nil
}

// every calls f at once and then at intervals until the context ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// count adds to a counter of the instance's metrics.
func (entry *Entry) count(name string) {
	metrics.GetOrRegisterCounter(name, entry.Metrics).Inc(1)
}
