// Package entry implements an entry instance: it connects the decision logic of the core packages to ports for peers, the
// platform, callers and backend servers.
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

// Peer is the name of another entry instance and the address on which it accepts connections from this one.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Peers sends messages to other entry instances. An error means that no reply arrived in time.
type Peers interface {
	// Ask waits for the final decision. It fails early if the peer does not respond.
	Ask(ctx context.Context, to Peer, slice home.Slice, ask pool.Ask) (pool.Decision, pool.Snapshot, error)
	Report(ctx context.Context, to Peer, slice home.Slice, report pool.Report) error
	Renew(ctx context.Context, to Peer, renewal Renewal) error
	Claim(ctx context.Context, to Peer, claim idempotency.Claim) (idempotency.Verdict, error)
	Settle(ctx context.Context, to Peer, settlement idempotency.Settlement) (bool, error)
	Handover(ctx context.Context, to Peer, handover idempotency.Handover) (idempotency.HandoverReply, bool, error)
	PullRules(ctx context.Context, to Peer, have uint64) (version uint64, text string, err error)
	NotifyLeaving(ctx context.Context, to Peer) error
	Verify(ctx context.Context, to Peer, verification Verification) error
	// PullLists returns the changes to the lists since a revision. It waits until the lists or the rules change, at most for wait.
	PullLists(ctx context.Context, to Peer, revision instance.Revision, wait time.Duration) (Lists, error)
	// Reachable reports whether the peer answered recently or has not been tried.
	Reachable(peer string) bool
}

// Store is the platform's configuration store. Revision 0 means that the key does not exist.
type Store interface {
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	// GetNewer returns the value only if the key's revision differs from the given one.
	GetNewer(ctx context.Context, key string, revision uint64) (value []byte, newRevision uint64, changed bool, err error)
	// Watch returns when the key's revision differs from the given one, or when the store's own wait limit has passed.
	Watch(ctx context.Context, key string, revision uint64) (value []byte, newRevision uint64, err error)
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (newRevision uint64, err error)
}

// Instances is the platform's instance list.
type Instances interface {
	List(ctx context.Context) (instance.List, error)
}

// Prober sends health checks to backend servers.
type Prober interface {
	Probe(ctx context.Context, probe pool.Probe, path string) (healthy bool, notice Notice)
}

// Renewal lists the grants that an entry instance holds from a home, and the state of the backend servers that it knows.
type Renewal struct {
	Slices []SliceRenewal
}

// SliceRenewal is the part of a Renewal for one slice.
type SliceRenewal struct {
	Slice    home.Slice
	Grants   []pool.HeldGrant
	Snapshot pool.Snapshot
}

// RetryBudget limits the retries for a service, across all instances. Zero values use the pool's defaults.
type RetryBudget struct {
	Share float64 // fraction of the first attempts
	Burst float64 // attempts allowed beyond the share
}

// Locality configures the use of the load that homes report, and when requests leave their failure domain.
type Locality struct {
	Enabled   bool
	BytePrice float64 // of a byte between failure domains, in the unit of a request's worth
}

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindConflict    Kind = "conflict" // a compare-and-swap lost to a concurrent write
	KindUnavailable Kind = "away"     // the remote side did not answer
	KindRefused     Kind = "refused"  // the remote side rejected the request
	KindInvalid     Kind = "invalid"  // the remote side sent a malformed answer
)

var errMalformed = errors.New("malformed value")

// Error is a failed operation on a port.
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
	Name          string
	Domain        string // failure domain
	Region        string
	Caller        netip.AddrPort // addresses of this instance, as registered
	Peer          netip.AddrPort
	Operator      netip.AddrPort
	Processor     float64          // processor time available to this instance, in cores; 0 if unknown
	FirstStart    bool             // whether the whole fleet starts for the first time
	DecideLocally bool             // decide without homes: the baseline for comparing shared decisions
	Seeds         []netip.AddrPort // peer addresses of some instances, to contact at startup while the platform does not answer
	Incarnation   idempotency.Incarnation
	Intervals     Intervals
	DirectoryTTL  time.Duration // how long callers may cache a directory answer
	MaxAddresses  int           // per directory answer
	RetryBudget   RetryBudget
	Locality      Locality

	Peers       Peers
	Store       Store     // holds the key table; nil without idempotency keys
	Instances   Instances // nil with a feed
	Feed        Feed      // nil if the instance list is polled
	Registrar   Registrar // nil if the platform registers instances itself
	Prober      Prober
	Replayer    Replayer
	RulesSource RulesSource // nil with a feed, which also delivers the rules
	Log         *zap.Logger
	Metrics     metrics.Registry
	Tracer      trace.Tracer
	Clock       func() time.Time

	homePools   pools // slices for which this instance is the home
	localPools  pools // slices decided locally while their homes are unreachable
	held        heldGrants
	loads       sliceLoads
	keys        keys
	rules       rulesHolder
	members     members
	lists       lists
	turns       roundRobin
	notices     notices
	overload    overload
	quarantines quarantines
	leaving     atomic.Bool
	stopping    atomic.Bool
	endAt       atomic.Pointer[time.Time] // see SetEnd
	requestsEnd chan struct{}             // closed by EndRequests
	// initialSyncDone is set after peers were asked at startup for what they know of servers, whether or not they answered.
	initialSyncDone atomic.Bool
	leaveCtx        context.Context // canceled when the instance leaves
	cancelLeave     context.CancelFunc
	lookups         atomic.Uint64
	services        services
	lastAttempt     atomic.Uint64 // number of the latest ask that this instance created itself
	initOnce        sync.Once

	verifications chan func(context.Context) // queued for a worker
}

// Init sets defaults for unset fields. Run calls it; tests that do not call Run call it directly.
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
	if entry.DirectoryTTL <= 0 {
		entry.DirectoryTTL = DefaultDirectoryTTL
	}
	if entry.MaxAddresses <= 0 {
		entry.MaxAddresses = DefaultMaxAddresses
	}
	entry.members.retries, entry.members.locality = entry.RetryBudget, entry.Locality
	entry.keys.coordinator.Self = entry.Incarnation
	// The upper 32 bits are random, so that numbers differ between instances and restarts; the lower 32 bits are a counter.
	entry.lastAttempt.Store(rand.Uint64() << 32)
	log := &changeLog{name: entry.Name, log: entry.Log}
	entry.homePools.init(false, entry.leavingServers, log)
	entry.localPools.init(true, entry.leavingServers, log)
	startedAt := entry.Clock()
	if entry.FirstStart {
		startedAt = startedAt.Add(-firstStartQuiet)
	}
	entry.services.init(startedAt)
	entry.overload.meter.Tolerance = entry.Intervals.PeerTimeout
	entry.registerGauges()
	entry.members.init()
	entry.lists.init()
	entry.requestsEnd = make(chan struct{})
	entry.leaveCtx, entry.cancelLeave = context.WithCancel(context.Background())
	entry.rules.wanted = make(chan Peer, 1)
	entry.keys.tableRequests = make(chan struct{}, 1)
	entry.verifications = make(chan func(context.Context), maxQueuedVerifications)
}

// Rules returns the active rules and their version. Version 0 means that there are none yet.
func (entry *Entry) Rules() (*rules.Set, uint64) {
	current := entry.rules.load()
	return current.set, current.version
}

// IsLeaving reports whether this instance is draining and accepts no new work.
func (entry *Entry) IsLeaving() bool { return entry.leaving.Load() }

// IsStopping reports whether a request that arrives now could not finish before this instance exits.
func (entry *Entry) IsStopping() bool { return entry.stopping.Load() }

// SetEnd sets when requests in flight end because this instance stops.
func (entry *Entry) SetEnd(at time.Time) { entry.endAt.Store(&at) }

// End returns when requests in flight end because this instance stops. It is zero while the instance does not stop, or waits for them.
func (entry *Entry) End() time.Time {
	if at := entry.endAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// EndRequests answers the requests in flight. It is called once.
func (entry *Entry) EndRequests() { close(entry.requestsEnd) }

// RequestsEnd returns a channel that is closed when requests in flight must end.
func (entry *Entry) RequestsEnd() <-chan struct{} { return entry.requestsEnd }

// Stop makes the instance refuse further requests.
func (entry *Entry) Stop() { entry.stopping.Store(true) }

// IsReady reports whether this instance can serve callers: it is not leaving, has rules and backend servers, and has completed
// the initial sync with its peers.
func (entry *Entry) IsReady() bool {
	synced := entry.Feed == nil || entry.initialSyncDone.Load()
	return !entry.IsLeaving() && synced && entry.rules.load().version > 0 && len(entry.members.plan().servers) > 0
}

// Run runs the instance's background tasks until the context ends. It always returns nil.
func (entry *Entry) Run(ctx context.Context) error {
	entry.Init()
	tasks := []func(context.Context){entry.pullRules, entry.tickPools, entry.renewGrants, entry.runVerifications}
	if entry.RulesSource != nil {
		tasks = append(tasks, entry.followRules)
	}
	if entry.Instances != nil {
		tasks = append(tasks, entry.pollInstances)
	}
	if entry.Feed != nil {
		tasks = append(tasks, entry.watchFeed, entry.pullLists, entry.expireLists, entry.checkDepartures, entry.syncLeavingServers)
	}
	if entry.Registrar != nil {
		tasks = append(tasks, entry.announce)
	}
	if entry.Store != nil {
		tasks = append(tasks, entry.followTable, entry.tickKeys)
	}
	var group sync.WaitGroup
	for _, task := range tasks {
		group.Go(func() { task(ctx) })
	}
	group.Wait()
	return nil
}

// runPeriodically calls f immediately and then at every interval until the context ends.
func runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) {
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

// count increments a counter in the instance's metrics.
func (entry *Entry) count(name string) {
	metrics.GetOrRegisterCounter(name, entry.Metrics).Inc(1)
}
