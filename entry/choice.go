package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/locality"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// acquired is the outcome of an ask.
type acquired struct {
	grant    *Grant
	decision pool.Decision
}

// acquireByLoad acquires a grant from the slice, or from another one that likely has a free slot, as of the loads reported by the homes.
func (entry *Entry) acquireByLoad(ctx context.Context, slice home.Slice, slices int, ask pool.Ask) (*Grant, pool.Decision) {
	random := rand.New(rand.NewPCG(ask.Attempt, ask.Fingerprint))
	immediate := ask
	immediate.NoWait = true
	asked := false
	if load := entry.sliceLoad(slice); !load.IsFull() {
		grant, decision := entry.Acquire(ctx, slice, immediate)
		if grant != nil || !canTryOtherSlice(decision.Verdict) {
			return grant, decision
		}
		asked = true
	} else {
		entry.count("entry.full-slices-skipped")
	}
	for _, index := range entry.sliceLoads(slice.Service, slices).Order(slice.Index, maxSlicesAsked, random) {
		if asked && index == slice.Index {
			continue
		}
		grant, decision := entry.Acquire(ctx, home.Slice{Service: slice.Service, Index: index}, immediate)
		if grant != nil || !canTryOtherSlice(decision.Verdict) {
			return grant, decision
		}
	}
	queue := home.Slice{Service: slice.Service, Index: entry.sliceLoads(slice.Service, slices).Queue(slice.Index, random)}
	if queue != slice {
		entry.count("entry.queued-elsewhere")
	}
	grant, decision := entry.acquireQueued(ctx, queue, slices, ask, random)
	for i := 1; i < min(slices, maxSlicesAsked) && decision.Verdict == pool.Paused; i++ {
		grant, decision = entry.Acquire(ctx, neighborSlice(queue, i, slices), ask)
	}
	return grant, decision
}

// acquireQueued acquires a grant from a slice in which the ask is likely queued. Meanwhile it asks other slices for a free slot now
// and then, and leaves the queue when one grants.
func (entry *Entry) acquireQueued(ctx context.Context, slice home.Slice, slices int, ask pool.Ask, random *rand.Rand) (*Grant, pool.Decision) {
	if ask.Hedge {
		return entry.Acquire(ctx, slice, ask) // never queued
	}
	queueCtx, leaveQueue := context.WithCancel(ctx)
	defer leaveQueue()
	queued, moved := make(chan acquired, 1), make(chan acquired, 1)
	go func() {
		grant, decision := entry.Acquire(queueCtx, slice, ask)
		queued <- acquired{grant, decision}
	}()
	timer := time.NewTimer(locality.MoveInterval(random))
	defer timer.Stop()
	asking := false
	for {
		select {
		case result := <-queued:
			if !asking {
				return result.grant, result.decision
			}
			if result.grant != nil {
				go func() { (<-moved).discard() }()
				return result.grant, result.decision
			}
			if other := <-moved; other.grant != nil {
				return other.grant, other.decision
			}
			return result.grant, result.decision
		case result := <-moved:
			if result.grant == nil {
				asking = false
				timer.Reset(locality.MoveInterval(random))
				continue
			}
			go func() { (<-queued).discard() }()
			entry.logMoved(slice, result.grant)
			return result.grant, result.decision
		case <-timer.C:
			other, found := entry.otherSlice(slice, slices, random)
			if !found {
				timer.Reset(locality.MoveInterval(random))
				continue
			}
			asking = true
			immediate := ask
			// The queued ask may be granted at the same time, and may have earned the request's share of the retry budget.
			immediate.Attempt, immediate.Earned, immediate.NoWait = entry.lastAttempt.Add(1), true, true
			go func() {
				grant, decision := entry.Acquire(ctx, other, immediate)
				moved <- acquired{grant, decision}
			}()
		}
	}
}

// discard returns a grant that is not needed.
func (acquired acquired) discard() {
	if acquired.grant != nil {
		acquired.grant.Done(pool.Report{Outcome: pool.Unused})
	}
}

// otherSlice returns a slice that is not reported as full to ask for a request that waits in the given one.
func (entry *Entry) otherSlice(slice home.Slice, slices int, random *rand.Rand) (home.Slice, bool) {
	loads := entry.sliceLoads(slice.Service, slices)
	loads[slice.Index] = locality.Load{Slots: 1, InUse: 1} // full, also if its report is too old
	order := loads.Order(slice.Index, 1, random)
	if len(order) == 0 {
		return home.Slice{}, false
	}
	return home.Slice{Service: slice.Service, Index: order[0]}, true
}

// sliceLoad returns a slice's load, the zero Load if it is unknown.
func (entry *Entry) sliceLoad(slice home.Slice) locality.Load {
	now := entry.Clock()
	if entry.members.plan().place(slice).home.Name == entry.Name {
		return entry.homePools.load(now, slice)
	}
	load, reportedAt, known := entry.loads.load(now, slice)
	if !known || now.Sub(reportedAt) >= locality.MaxFullAge {
		return locality.Load{}
	}
	return load.Load
}

// sliceLoads returns the loads of a service's slices.
func (entry *Entry) sliceLoads(service string, slices int) locality.Loads {
	loads := make(locality.Loads, slices)
	for i := range loads {
		loads[i] = entry.sliceLoad(home.Slice{Service: service, Index: i})
	}
	return loads
}

// load returns the load of a slice's pool, the zero Load if there is none.
func (pools *pools) load(now time.Time, slice home.Slice) locality.Load {
	shard := pools.shard(slice)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if sp := shard.pools[slice]; sp != nil {
		return sp.pool.Load(now).Load
	}
	return locality.Load{}
}

// logMoved logs that a queued ask was granted in another slice.
func (entry *Entry) logMoved(from home.Slice, grant *Grant) {
	entry.count("entry.queued-moved")
	if entry.loads.moveLog.allow(entry.Clock()) {
		entry.Log.Info("entry: a queued request was granted a slot in another slice",
			zap.Stringer("queued-in", from), zap.Stringer("slice", grant.Slice), zap.String("backend-server", grant.Server))
	}
}
