package quota

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/limit"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// count is the state of a team that this instance counts.
type count struct {
	counter   limit.Counter
	authority limit.Authority
	probeAt   time.Time // of the next probe of the other instances in rank
	usedAt    time.Time
	checkedAt time.Time
	standsIn  bool      // another instance is ranked first
	limited   bool      // grants come from the reserve only
	held      int       // refusals for the sake of more urgent requests, since the latest log line
	heldLogAt time.Time // from which the next such line may be written
}

// count returns the state of a team that is counted here. The caller holds the lock.
func (shard *shard) count(team string) *count {
	if shard.counts == nil {
		shard.counts = map[string]*count{}
	}
	c := shard.counts[team]
	if c == nil {
		c = &count{}
		shard.counts[team] = c
	}
	return c
}

// activity detects that the process was paused.
type activity struct {
	mu        sync.Mutex
	latest    time.Time
	resumedAt time.Time
}

// observe records that the process runs, and returns when it last resumed after a pause.
func (activity *activity) observe(now time.Time) time.Time {
	activity.mu.Lock()
	defer activity.mu.Unlock()
	if !activity.latest.IsZero() && now.Sub(activity.latest) > pausedAfter {
		activity.resumedAt = now
	}
	activity.latest = now
	return activity.resumedAt
}

// observeFleet returns the time until which other instances may have counted the teams that this one is first in rank for now. Where another
// instance became first, the count here ends. An instance that was first for less than settleTime between two calls has granted nothing.
func (keeper *Keeper) observeFleet(now time.Time) (since time.Time) {
	if !keeper.StrictTakeover {
		return time.Time{}
	}
	changes, since := keeper.Fleet.CountersChanged()
	if keeper.StartedAt.After(since) {
		since = keeper.StartedAt
	}
	if keeper.FirstStart && now.Sub(keeper.StartedAt) < firstStartTTL {
		since = time.Time{}
	} else if !since.IsZero() {
		since = since.Add(settleTime)
	}
	observed := keeper.changes.Load()
	if changes <= observed || !keeper.changes.CompareAndSwap(observed, changes) {
		return since // another goroutine observes the change
	}
	for i := range keeper.shards {
		shard := &keeper.shards[i]
		shard.mu.Lock()
		for team, c := range shard.counts {
			if !keeper.countsStill(now, c, team) {
				c.counter.Forget(now)
			}
		}
		shard.mu.Unlock()
	}
	return since
}

// forget makes a count one without a history, as another instance may have counted the team until a time. Without StrictTakeover it goes on from a share of
// the reserve.
func (keeper *Keeper) forget(c *count, until time.Time) {
	if !keeper.StrictTakeover {
		until = time.Time{}
	}
	c.counter.Forget(until)
}

// countsStill reports whether no other instance counts a team that this one has counted.
func (keeper *Keeper) countsStill(now time.Time, c *count, team string) bool {
	ranked, _ := keeper.Fleet.Counters(team, 1)
	return len(ranked) > 0 && ranked[0].Name == keeper.Name || c.standsIn && now.Sub(c.usedAt) <= standInTTL
}

// observeOthers probes the first in rank of the teams that this instance counts in its place, also while it is not asked.
func (keeper *Keeper) observeOthers(ctx context.Context) {
	now := keeper.Clock()
	keeper.observeFleet(now)
	for i := range keeper.shards {
		shard := &keeper.shards[i]
		shard.mu.Lock()
		for team, c := range shard.counts {
			if c.standsIn && !now.Before(c.probeAt) && now.Sub(c.usedAt) <= standInTTL {
				c.probeAt = now.Add(probeInterval)
				ranked, _ := keeper.Fleet.Counters(team, maxCounters)
				keeper.start(func() { keeper.probe(ctx, ranked, team) })
			}
		}
		shard.mu.Unlock()
	}
}

// isUnknown reports whether an instance without rules or lists has answered: it neither grants nor refuses.
func isUnknown(grant limit.Grant, want limit.Want) bool {
	return want.Tokens > 0 && grant.Tokens == 0 && grant.NextAt.IsZero()
}

// HandleTakeTokens grants tokens of a team's limit to another instance, or to this one. An instance without rules or lists returns the zero grant:
// it does not know which teams have a limit.
func (keeper *Keeper) HandleTakeTokens(ctx context.Context, team string, want limit.Want) limit.Grant {
	want.Priority = keeper.priority(want.Priority)
	now := keeper.Clock()
	since := keeper.observeFleet(now)
	ranked, _ := keeper.Fleet.Counters(team, maxCounters)
	if !keeper.Fleet.RulesKnown() || len(ranked) == 0 {
		return limit.Grant{}
	}
	rate := keeper.Fleet.TeamLimit(team)
	heardAt := keeper.Fleet.PlatformHeardAt()
	shard := keeper.shard(team)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	c := shard.count(team)
	c.usedAt = now
	if resumedAt := keeper.activity.observe(now); c.checkedAt.Before(resumedAt) {
		keeper.forget(c, resumedAt)
	}
	c.checkedAt = now
	c.counter.EmptyAt(since)
	first := len(ranked) > 0 && ranked[0].Name == keeper.Name
	full := false
	if first {
		full = c.authority.First(now, heardAt)
	} else {
		full = c.authority.InPlaceOf(now, heardAt)
	}
	mayBeCutOff := !first || c.authority.OthersSilent() || keeper.mayBeCutOff(now, heardAt, ranked)
	if mayBeCutOff {
		keeper.Fleet.ConfirmPlatform()
	}
	if (mayBeCutOff || now.Sub(keeper.Fleet.PlatformReportedAt()) > probeAfter) && !now.Before(c.probeAt) {
		c.probeAt = now.Add(probeInterval)
		keeper.start(func() { keeper.probe(context.WithoutCancel(ctx), ranked, team) })
	}
	keeper.recordRole(c, now, team, ranked, !first, !full, now.Sub(heardAt))
	grant := c.counter.Take(now, rate, keeper.Tolerance, !full, want)
	if grant.Held {
		keeper.recordHeld(c, now, team, want.Priority)
	}
	return grant
}

// mayBeCutOff reports whether an instance that is first in rank must find out whether it is on the platform's side of a network partition: another
// one in rank, which may count in its place, does not answer, or the platform has not for long.
func (keeper *Keeper) mayBeCutOff(now, heardAt time.Time, ranked []entry.Peer) bool {
	if now.Sub(heardAt) > confirmAfter {
		return true
	}
	return slices.ContainsFunc(ranked, func(other entry.Peer) bool { return other.Name != keeper.Name && !keeper.Link.Reachable(other.Name) })
}

// recordRole logs a change of the role in which this instance counts a team. Its count from before it was limited is out of date.
func (keeper *Keeper) recordRole(c *count, now time.Time, team string, ranked []entry.Peer, standsIn, limited bool, platformAge time.Duration) {
	if c.standsIn == standsIn && c.limited == limited {
		return
	}
	if c.limited && !limited {
		keeper.forget(c, now)
	}
	c.standsIn, c.limited = standsIn, limited
	if !standsIn && !limited {
		keeper.Log.Info("quota: counting a team as the first in rank again", zap.String("team", team))
		return
	}
	fields := []zap.Field{zap.String("team", team), zap.Bool("in-full", !limited), zap.Duration("platform-age", platformAge)}
	if len(ranked) > 0 {
		fields = append(fields, zap.String("first-in-rank", ranked[0].Name))
	}
	keeper.Log.Info("quota: counting a team without contact to the other instances that count it", fields...)
}

// recordHeld counts a refusal for the sake of more urgent requests, and logs those of a team at most once in heldLogInterval.
func (keeper *Keeper) recordHeld(c *count, now time.Time, team string, priority int) {
	keeper.increment("quota.held{priority=" + strconv.Itoa(priority) + "}")
	c.held++
	if now.Before(c.heldLogAt) {
		return
	}
	keeper.Log.Info("quota: tokens of a team are held for more urgent requests", zap.String("team", team), zap.Int("priority", priority), zap.Int("refused", c.held))
	c.held, c.heldLogAt = 0, now.Add(heldLogInterval)
}

// start runs a function in the background.
func (keeper *Keeper) start(f func()) {
	if keeper.spawn != nil {
		keeper.spawn(f)
		return
	}
	go f()
}

// probe asks the other instances in rank whether they are there, and the first of them for the tokens that callers of this one asked
// for meanwhile.
func (keeper *Keeper) probe(ctx context.Context, ranked []entry.Peer, team string) {
	shard := keeper.shard(team)
	shard.mu.Lock()
	missing := shard.count(team).counter.Missing()
	shard.mu.Unlock()
	first, others := false, true
	var relayed []limit.Want
	for i, counter := range ranked {
		if counter.Name == keeper.Name {
			continue
		}
		wants := missing
		if i > 0 || len(wants) == 0 {
			wants = []limit.Want{{}} // a probe
		}
		for _, want := range wants {
			grant, err := keeper.Link.TakeTokens(ctx, counter, team, want)
			if err != nil || isUnknown(grant, want) {
				others = false
				break
			}
			first = first || i == 0
			relayed = append(relayed, limit.Want{Tokens: grant.Tokens, Priority: want.Priority})
		}
	}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	c := shard.count(team)
	c.authority.ObserveFirst(first)
	if !first {
		c.authority.ObserveSilence(keeper.Clock())
	} else if c.standsIn && keeper.StrictTakeover {
		c.counter.Forget(keeper.Clock())
	}
	c.authority.ObserveOthers(others)
	for _, tokens := range relayed {
		if tokens.Tokens > 0 {
			c.counter.Relay(keeper.Clock(), tokens)
		}
	}
}

// HandleReturnTokens takes back tokens of requests that were not run.
func (keeper *Keeper) HandleReturnTokens(team string, tokens int) {
	shard := keeper.shard(team)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.count(team).counter.Return(tokens)
}

// HandleCounts applies counts of another instance.
func (keeper *Keeper) HandleCounts(counts []Count) {
	now := keeper.Clock()
	for _, received := range counts {
		rate := keeper.Fleet.TeamLimit(received.Team)
		if rate.Rate <= 0 {
			continue
		}
		shard := keeper.shard(received.Team)
		shard.mu.Lock()
		c := shard.count(received.Team)
		c.counter.Inherit(now, rate, keeper.Tolerance, received.Used)
		if !keeper.StrictTakeover {
			c.counter.Resume()
		}
		c.usedAt = now
		shard.mu.Unlock()
	}
}

// Run sends the counts of teams near their limit to the instances that would count them next, until the context ends.
func (keeper *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(countsInterval)
	defer ticker.Stop()
	probes := time.NewTicker(probeInterval)
	defer probes.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-probes.C:
			keeper.observeOthers(ctx)
		case <-ticker.C:
			keeper.sendCounts(ctx)
		}
	}
}

// sendCounts sends the counts of teams that this instance counted a moment ago and that are near their limit.
func (keeper *Keeper) sendCounts(ctx context.Context) {
	now := keeper.Clock()
	keeper.activity.observe(now)
	byPeer := map[entry.Peer][]Count{}
	for i := range keeper.shards {
		shard := &keeper.shards[i]
		for _, counted := range keeper.pressing(now, shard) {
			ranked, _ := keeper.Fleet.Counters(counted.Team, 2)
			for _, other := range ranked {
				if other.Name != keeper.Name && keeper.Link.Reachable(other.Name) {
					byPeer[other] = append(byPeer[other], counted)
				}
			}
		}
	}
	for peer, counts := range byPeer {
		if err := keeper.Link.SendCounts(ctx, peer, counts); err != nil {
			keeper.Log.Debug("quota: counts could not be sent", zap.String("instance", peer.Name), zap.Error(err))
		}
	}
}

// pressing returns the counts of a shard's teams that are near their limit, and drops the state of idle teams.
func (keeper *Keeper) pressing(now time.Time, shard *shard) []Count {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	var counts []Count
	for team, c := range shard.counts {
		idle := now.Sub(c.usedAt)
		if idle > idleTTL {
			delete(shard.counts, team)
			continue
		}
		rate := keeper.Fleet.TeamLimit(team)
		if idle > 2*countsInterval {
			if keeper.StrictTakeover && !keeper.countsStill(now, c, team) {
				c.counter.Forget(now)
			}
			continue
		}
		if rate.Rate <= 0 {
			continue
		}
		if used, pressing := c.counter.Used(now, rate, keeper.Tolerance); pressing {
			counts = append(counts, Count{team, used})
		}
	}
	for team, cache := range shard.caches {
		if cache.Idle(now) > idleTTL {
			delete(shard.caches, team)
		}
	}
	return counts
}
