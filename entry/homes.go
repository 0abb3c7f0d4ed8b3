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
)

const homeShards = 32

// aloneRetries is the burst of retries of an instance that decides alone: all instances together share a budget.
const aloneRetries = 1

// homes holds pools in shards, each under its own lock.
type homes struct {
	alone   bool                                  // one slot for each server, without the other instances' word
	leavers func(home.Slice) []pool.LeavingServer // servers that are leaving by their own word
	log     *changeLog
	shards  [homeShards]homeShard
}

type homeShard struct {
	mu    sync.Mutex
	pools map[home.Slice]*slicePool
}

// slicePool is a pool with those who wait for its decisions.
type slicePool struct {
	pool    pool.Pool
	waiting map[uint64]func(pool.Decision) // by attempt
	version uint64                         // of rules and list that the pool follows
	home    string                         // of the slice by that version
}

func (homes *homes) init(alone bool, leavers func(home.Slice) []pool.LeavingServer, log *changeLog) {
	homes.alone, homes.leavers, homes.log = alone, leavers, log
	for i := range homes.shards {
		homes.shards[i].pools = map[home.Slice]*slicePool{}
	}
}

func (homes *homes) shard(slice home.Slice) *homeShard {
	return &homes.shards[(xxhash.Sum64String(slice.Service)+uint64(slice.Index))%homeShards]
}

// with calls f with the slice's pool, brought up to date, under its lock; decisions that f made ready are delivered after it.
func (homes *homes) with(now time.Time, members *members, slice home.Slice, f func(*slicePool)) {
	shard := homes.shard(slice)
	shard.mu.Lock()
	sp := shard.pools[slice]
	if sp == nil {
		sp = &slicePool{waiting: map[uint64]func(pool.Decision){}}
		shard.pools[slice] = sp
	}
	before := sp.home
	homes.refresh(now, members, slice, sp)
	f(sp)
	deliveries, changes, after := sp.deliveries(), sp.pool.TakeChanges(), sp.home
	shard.mu.Unlock()
	homes.log.logHome(slice, homes.alone, before, after)
	homes.log.logChanges(slice, homes.alone, changes)
	for _, d := range deliveries {
		d.to(d.decision)
	}
}

// refresh applies newer rules and lists to a pool.
func (homes *homes) refresh(now time.Time, members *members, slice home.Slice, sp *slicePool) {
	plan := members.plan()
	if sp.version == plan.version {
		return
	}
	sp.version, sp.home = plan.version, plan.place(slice).home.Name
	policy, servers := plan.pool(slice)
	if homes.alone {
		policy.Slots = 1
		policy.RetryBurst = aloneRetries
		for i := range servers {
			servers[i].Slots = 1
		}
	}
	sp.pool.SetPolicy(policy)
	sp.pool.SetServers(now, servers)
	sp.pool.RestoreLeaving(homes.leavers(slice))
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

// ask passes an ask to the slice's pool. Reply is called once, or twice when the first decision is Queued.
func (homes *homes) ask(now time.Time, members *members, slice home.Slice, ask pool.Ask, reply func(pool.Decision)) {
	var decision pool.Decision
	homes.with(now, members, slice, func(sp *slicePool) {
		decision = sp.pool.Ask(now, ask)
		if decision.Verdict == pool.Queued {
			sp.waiting[ask.Attempt] = reply
		}
	})
	reply(decision)
}

// withdraw drops a queued ask.
func (homes *homes) withdraw(now time.Time, members *members, slice home.Slice, attempt uint64) {
	homes.with(now, members, slice, func(sp *slicePool) {
		sp.pool.Withdraw(attempt)
		delete(sp.waiting, attempt)
	})
}

// slices returns the slices that have a pool here.
func (homes *homes) slices() []home.Slice {
	var out []home.Slice
	for i := range homes.shards {
		shard := &homes.shards[i]
		shard.mu.Lock()
		for slice := range shard.pools {
			out = append(out, slice)
		}
		shard.mu.Unlock()
	}
	return out
}

// tickHomes moves all pools on until the context ends.
func (entry *Entry) tickHomes(ctx context.Context) {
	every(ctx, entry.Intervals.Tick, func(ctx context.Context) {
		entry.tick(ctx, &entry.homes)
		entry.tick(ctx, &entry.alone)
	})
}

func (entry *Entry) tick(ctx context.Context, homes *homes) {
	now := entry.Clock()
	for _, slice := range homes.slices() {
		var probes []pool.Probe
		homes.with(now, &entry.members, slice, func(sp *slicePool) { probes = sp.pool.Tick(now) })
		for _, probe := range probes {
			go entry.probe(ctx, homes, slice, probe)
		}
	}
}

// probeTimeout bounds one health check.
const probeTimeout = time.Second

func (entry *Entry) probe(ctx context.Context, homes *homes, slice home.Slice, probe pool.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	entry.count("home.probes")
	path := rules.DefaultHealthPath
	if set, _ := entry.Rules(); set.Service(slice.Service) != nil {
		path = set.Service(slice.Service).HealthPath
	}
	healthy, said := entry.Prober.Probe(ctx, probe, path)
	listed, _ := entry.members.plan().server(probe.Server)
	entry.recordNotice(notice.Server{Name: probe.Server, Service: slice.Service, Started: listed.Started}, said)
	now := entry.Clock()
	homes.with(now, &entry.members, slice, func(sp *slicePool) {
		if said.Leaving {
			sp.pool.MarkLeaving(probe.Server)
		}
		sp.pool.RecordProbe(now, probe.Server, healthy)
	})
}
