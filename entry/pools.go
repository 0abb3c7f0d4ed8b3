package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/notice"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

const poolShards = 32

// pools holds slice pools in shards, each with its own lock.
type pools struct {
	local          bool                                  // local decisions: one slot per server, as the use by other instances is unknown
	leavingServers func(home.Slice) []pool.LeavingServer // servers that have announced that they are leaving
	log            *changeLog
	shards         [poolShards]poolShard
}

type poolShard struct {
	mu    sync.Mutex
	pools map[home.Slice]*slicePool
}

// slicePool is the pool of a slice and the callbacks of its queued asks.
type slicePool struct {
	pool    pool.Pool
	waiting map[uint64]func(pool.Decision) // callbacks by attempt
	version uint64                         // plan version that the pool has applied
	home    string                         // home of the slice in that version
	reports loadReports
}

func (pools *pools) init(local bool, leavingServers func(home.Slice) []pool.LeavingServer, log *changeLog) {
	pools.local, pools.leavingServers, pools.log = local, leavingServers, log
	for i := range pools.shards {
		pools.shards[i].pools = map[home.Slice]*slicePool{}
	}
}

func (pools *pools) shard(slice home.Slice) *poolShard {
	return &pools.shards[(xxhash.Sum64String(slice.Service)+uint64(slice.Index))%poolShards]
}

// withPool calls f with the slice's pool, updated to the current plan, under the shard's lock. After unlocking it delivers the
// decisions that f completed.
func (pools *pools) withPool(now time.Time, members *members, slice home.Slice, f func(*slicePool)) {
	shard := pools.shard(slice)
	shard.mu.Lock()
	sp := shard.pools[slice]
	if sp == nil {
		sp = &slicePool{waiting: map[uint64]func(pool.Decision){}}
		shard.pools[slice] = sp
	}
	before := sp.home
	pools.refresh(now, members, slice, sp)
	f(sp)
	deliveries, changes, after := sp.deliveries(), sp.pool.TakeChanges(), sp.home
	shard.mu.Unlock()
	pools.log.logHome(slice, pools.local, before, after)
	pools.log.logChanges(slice, pools.local, changes)
	for _, d := range deliveries {
		d.to(d.decision)
	}
}

// refresh applies the current rules and lists to a pool if they have changed.
func (pools *pools) refresh(now time.Time, members *members, slice home.Slice, sp *slicePool) {
	plan := members.plan()
	if sp.version == plan.version {
		return
	}
	sp.version, sp.home = plan.version, plan.place(slice).home.Name
	policy, servers := pools.policy(plan, slice)
	sp.pool.SetPolicy(policy)
	sp.pool.SetServers(now, servers)
	sp.pool.RestoreLeaving(pools.leavingServers(slice))
}

// policy returns the policy and the servers of a slice's pool.
func (pools *pools) policy(plan *plan, slice home.Slice) (pool.Policy, []pool.Member) {
	policy, servers := plan.pool(slice)
	if pools.local {
		policy.Slots, policy.Locality = 1, false
		for i := range servers {
			servers[i].Slots = 1
		}
	}
	return policy, servers
}

type delivery struct {
	to       func(pool.Decision)
	decision pool.Decision
}

func (slicePool *slicePool) deliveries() []delivery {
	var out []delivery
	for {
		decision, found := slicePool.pool.Next()
		if !found {
			return out
		}
		if to := slicePool.waiting[decision.Attempt]; to != nil {
			delete(slicePool.waiting, decision.Attempt)
			out = append(out, delivery{to, decision})
		}
	}
}

// ask passes an ask to the slice's pool. It calls reply once, or twice if the first decision is pool.Queued.
func (pools *pools) ask(now time.Time, members *members, slice home.Slice, ask pool.Ask, reply func(pool.Decision)) {
	var decision pool.Decision
	pools.withPool(now, members, slice, func(sp *slicePool) {
		decision = sp.pool.Ask(now, ask)
		if decision.Verdict == pool.Queued {
			sp.waiting[ask.Attempt] = reply
		}
	})
	reply(decision)
}

// withdraw removes a queued ask.
func (pools *pools) withdraw(now time.Time, members *members, slice home.Slice, attempt uint64) {
	pools.withPool(now, members, slice, func(sp *slicePool) {
		sp.pool.Withdraw(attempt)
		delete(sp.waiting, attempt)
	})
}

// slices returns the slices that have a pool.
func (pools *pools) slices() []home.Slice {
	var out []home.Slice
	for i := range pools.shards {
		shard := &pools.shards[i]
		shard.mu.Lock()
		for slice := range shard.pools {
			out = append(out, slice)
		}
		shard.mu.Unlock()
	}
	return out
}

// tickPools ticks all pools periodically until the context ends.
func (entry *Entry) tickPools(ctx context.Context) {
	runPeriodically(ctx, entry.Intervals.Tick, func(ctx context.Context) {
		entry.measureDelay()
		entry.tick(ctx, &entry.homePools)
		entry.tick(ctx, &entry.localPools)
	})
}

func (entry *Entry) tick(ctx context.Context, pools *pools) {
	now := entry.Clock()
	for _, slice := range pools.slices() {
		var probes []pool.Probe
		pools.withPool(now, &entry.members, slice, func(sp *slicePool) {
			probes = sp.pool.Tick(now)
			if use, found := sp.pool.TakeRetryUse(now); found {
				pools.log.logRetryUse(now, slice, pools.local, use)
			}
			if use, found := sp.pool.TakeLocalityUse(now); found {
				pools.log.logLocalityUse(now, slice, use)
			}
		})
		for _, probe := range probes {
			go entry.probe(ctx, pools, slice, probe)
		}
	}
}

// probeTimeout limits one health check.
const probeTimeout = time.Second

func (entry *Entry) probe(ctx context.Context, pools *pools, slice home.Slice, probe pool.Probe) {
	ctx, cancel := wait.WithSilence(ctx, time.Now().Add(probeTimeout), entry)
	defer cancel()
	entry.count("home.probes")
	path := rules.DefaultHealthPath
	if set, _ := entry.Rules(); set.Service(slice.Service) != nil {
		path = set.Service(slice.Service).HealthPath
	}
	healthy, received := entry.Prober.Probe(ctx, probe, path)
	listed, _ := entry.members.plan().server(probe.Server)
	entry.recordNotice(notice.Server{Name: probe.Server, Service: slice.Service, Started: listed.Started}, received)
	now := entry.Clock()
	pools.withPool(now, &entry.members, slice, func(sp *slicePool) {
		if received.Leaving {
			sp.pool.MarkLeaving(probe.Server)
		}
		sp.pool.RecordProbe(now, probe.Server, healthy)
	})
}
