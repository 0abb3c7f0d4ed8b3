// Package quota enforces the rate limits of teams over all entry instances: it carries tokens and counts between them.
//
// To learn why a caller got 429, begin here: Admit decides, and core/limit has the figures.
package quota

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/limit"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// Fleet is what the quotas of this instance follow: the rules and the live instances.
type Fleet interface {
	// TeamLimit returns the limit of a team.
	TeamLimit(team string) limit.Limit
	// RulesKnown reports whether this instance has rules, and so knows which teams have a limit.
	RulesKnown() bool
	// Counters returns up to count live instances in the order in which they count a team, and the number of live instances.
	Counters(team string, count int) (ranked []entry.Peer, live int)
	// CountersChanged returns how often the live instances have changed, and when they last did.
	CountersChanged() (changes uint64, at time.Time)
	// PlatformHeardAt returns when the platform last answered this instance itself.
	PlatformHeardAt() time.Time
	// PlatformReportedAt returns when the platform was last heard of, directly or through other instances.
	PlatformReportedAt() time.Time
	// ConfirmPlatform has this instance call the platform soon.
	ConfirmPlatform()
}

// Link sends messages about quotas to other instances.
type Link interface {
	TakeTokens(ctx context.Context, to entry.Peer, team string, want limit.Want) (limit.Grant, error)
	ReturnTokens(ctx context.Context, to entry.Peer, team string, count int) error
	SendCounts(ctx context.Context, to entry.Peer, counts []Count) error
	// Reachable reports whether the peer answered recently or has not been tried.
	Reachable(peer string) bool
}

// Count is the use of one team's limit.
type Count struct {
	Team string
	Used float64 // tokens taken and not yet refilled
}

// Decision is the outcome of Admit.
type Decision struct {
	Admitted bool
	Unknown  bool      // refused because no instance that counts the team answers; another instance may admit the request
	RetryAt  time.Time // when the caller should come back, if refused
	Limit    limit.Limit
	// DecidedBy names the instance that counts the team, or this instance for cached tokens; empty if none answered.
	DecidedBy string
}

// Enforcement parameters.
const (
	maxCounters      = 4                      // instances that are asked, one after the other, while the ones before are silent
	maxSilentAsked   = 2                      // of these, those that are asked although they did not answer a moment ago
	probeInterval    = 100 * time.Millisecond // between probes of the other instances that count a team
	probeAfter       = 800 * time.Millisecond // without any news of the platform after which the first in rank probes the others
	confirmAfter     = 2 * time.Second        // without an answer of the platform after which the first in rank asks for one
	countsInterval   = 500 * time.Millisecond // between messages with the counts of teams near their limit
	unknownRetryTime = 100 * time.Millisecond // for callers that no counter could decide on
	pausedAfter      = 2 * countsInterval     // without activity after which the process was paused
	heldLogInterval  = time.Second            // between log lines about tokens of a team that are held for more urgent requests
	idleTTL          = time.Minute            // without requests after which a team's state is dropped
	// settleTime is how long the instance that counted a team before may go on granting after another one has started or the lists have changed: until
	// it notices by a probe, or the others have their lists.
	settleTime    = 300 * time.Millisecond
	firstStartTTL = 5 * time.Second // in which the instances of a new fleet find each other: changes of the lists are no takeovers
	standInTTL    = 5 * time.Second // without requests after which an instance no longer stands in
	shardCount    = 32
)

// Keeper enforces the limits at one instance. Its exported fields must be set before use.
type Keeper struct {
	Name      string // of this instance
	Fleet     Fleet
	Link      Link
	Tolerance limit.Tolerance
	// StartedAt is when this instance started, without a history; zero if no instance has counted before it.
	StartedAt time.Time
	// FirstStart is whether the whole fleet started for the first time, so that no instance has counted before.
	FirstStart bool
	// ByPriority grants tokens to urgent requests first. Without it all requests have the most urgent priority.
	ByPriority bool
	// StrictTakeover has counters that take over start empty, so that any number of takeovers keeps the limit. Without it each may admit a share of the
	// reserve at once, and refuses less below the limit.
	StrictTakeover bool
	Clock          func() time.Time
	Log            *zap.Logger
	Metrics        metrics.Registry

	shards   [shardCount]shard
	activity activity
	changes  atomic.Uint64 // of the live instances, as last observed
	spawn    func(func())  // starts background work; nil for a goroutine
}

// shard holds the state of some of the teams.
type shard struct {
	mu     sync.Mutex
	caches map[string]*limit.Cache
	counts map[string]*count
}

func (keeper *Keeper) shard(team string) *shard {
	return &keeper.shards[xxhash.Sum64String(team)%shardCount]
}

// cache returns the cached tokens of a team. The caller holds the lock.
func (shard *shard) cache(team string) *limit.Cache {
	if shard.caches == nil {
		shard.caches = map[string]*limit.Cache{}
	}
	cache := shard.caches[team]
	if cache == nil {
		cache = &limit.Cache{}
		shard.caches[team] = cache
	}
	return cache
}

// Admit decides whether a request of a team is within the team's limit. The priority is that of the request.
//
// Tokens at hand decide it at once. Otherwise the instance that counts the team is asked, and while it is silent the next
// ones in rank; an instance that reaches none of them admits a small share of the limit.
func (keeper *Keeper) Admit(ctx context.Context, team string, priority int) Decision {
	rate := keeper.Fleet.TeamLimit(team)
	if rate.Rate <= 0 {
		return Decision{Admitted: true}
	}
	priority = keeper.priority(priority)
	shard := keeper.shard(team)
	shard.mu.Lock()
	cache := shard.cache(team)
	admitted, decided, retryAt := cache.Take(keeper.Clock(), priority)
	want := cache.Want(priority)
	shard.mu.Unlock()
	if decided {
		keeper.record(admitted, "cached", priority)
		return Decision{Admitted: admitted, RetryAt: retryAt, Limit: rate, DecidedBy: keeper.Name}
	}
	ranked, live := keeper.Fleet.Counters(team, maxCounters)
	if grant, counter, answered := keeper.takeFromAny(ctx, ranked, team, want); answered {
		shard.mu.Lock()
		admitted, retryAt = shard.cache(team).Fill(keeper.Clock(), grant, priority)
		shard.mu.Unlock()
		keeper.record(admitted, "counted", priority)
		return Decision{Admitted: admitted, RetryAt: retryAt, Limit: rate, DecidedBy: counter.Name}
	}
	now := keeper.Clock()
	shard.mu.Lock()
	admitted = shard.cache(team).TakeAlone(now, rate, keeper.Tolerance, live, rand.Float64())
	shard.mu.Unlock()
	keeper.record(admitted, "alone", priority)
	return Decision{Admitted: admitted, Unknown: !admitted, RetryAt: now.Add(unknownRetryTime), Limit: rate}
}

// takeFromAny takes tokens from the first instance in rank that answers, and returns that instance. Instances that did not answer a moment
// ago come last: they may only have been slow.
func (keeper *Keeper) takeFromAny(ctx context.Context, ranked []entry.Peer, team string, want limit.Want) (limit.Grant, entry.Peer, bool) {
	var silent []entry.Peer
	for _, counter := range ranked {
		if counter.Name == keeper.Name {
			return keeper.HandleTakeTokens(ctx, team, want), counter, true
		}
		if !keeper.Link.Reachable(counter.Name) {
			silent = append(silent, counter)
			continue
		}
		if grant, answered := keeper.take(ctx, counter, team, want); answered {
			return grant, counter, true
		}
	}
	for _, counter := range silent[:min(maxSilentAsked, len(silent))] {
		if grant, answered := keeper.take(ctx, counter, team, want); answered {
			return grant, counter, true
		}
	}
	return limit.Grant{}, entry.Peer{}, false
}

// take takes tokens from another instance that counts a team. It returns false if it does not answer, or has no rules yet.
func (keeper *Keeper) take(ctx context.Context, counter entry.Peer, team string, want limit.Want) (limit.Grant, bool) {
	grant, err := keeper.Link.TakeTokens(ctx, counter, team, want)
	if err != nil {
		keeper.Log.Debug("quota: the instance that counts a team did not answer", zap.String("team", team), zap.String("instance", counter.Name), zap.Error(err))
		return limit.Grant{}, false
	}
	return grant, !isUnknown(grant, want)
}

// Return gives back the token of a request that was not run.
func (keeper *Keeper) Return(team string) {
	if keeper.Fleet.TeamLimit(team).Rate <= 0 {
		return
	}
	keeper.increment("quota.returned")
	ranked, _ := keeper.Fleet.Counters(team, maxCounters)
	for _, counter := range ranked {
		if counter.Name == keeper.Name {
			keeper.HandleReturnTokens(team, 1)
			return
		}
		if keeper.Link.Reachable(counter.Name) {
			// A lost token is refilled at the limit's rate.
			_ = keeper.Link.ReturnTokens(context.Background(), counter, team, 1)
			return
		}
	}
}

// priority returns the priority that a request has for its team's limit.
func (keeper *Keeper) priority(priority int) int {
	if !keeper.ByPriority {
		return 0
	}
	return min(max(0, priority), rules.MaxPriority)
}

// record counts a decision by its source and by the priority of the request.
func (keeper *Keeper) record(admitted bool, source string, priority int) {
	outcome := "refused"
	if admitted {
		outcome = "admitted"
	}
	keeper.increment("quota.decisions{outcome=" + outcome + ",by=" + source + "}")
	if keeper.ByPriority {
		keeper.increment("quota.requests{outcome=" + outcome + ",priority=" + strconv.Itoa(priority) + "}")
	}
}

func (keeper *Keeper) increment(name string) {
	metrics.GetOrRegisterCounter(name, keeper.Metrics).Inc(1)
}
