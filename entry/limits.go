package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/limit"
)

const limitShards = 32

// limits holds the rate limits of teams: buckets of the teams counted by this instance, and tokens cached from other instances.
type limits struct {
	shards [limitShards]limitShard
}

type limitShard struct {
	mu      sync.Mutex
	buckets map[string]*limit.Bucket
	tokens  map[string]*limit.TokenCache
}

func (limits *limits) shard(team string) *limitShard {
	return &limits.shards[xxhash.Sum64String(team)%limitShards]
}

// grant takes tokens from the bucket of a team counted by this instance.
func (limits *limits) grant(now time.Time, rate float64, team string, want int) (int, time.Time) {
	shard := limits.shard(team)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.buckets == nil {
		shard.buckets = map[string]*limit.Bucket{}
	}
	bucket := shard.buckets[team]
	if bucket == nil {
		bucket = &limit.Bucket{}
		shard.buckets[team] = bucket
	}
	return bucket.Take(now, rate, want)
}

func (entry *Entry) teamLimit(team string) float64 {
	set, _ := entry.Rules()
	if rule := set.Team(team); rule != nil {
		return rule.RateLimit
	}
	return 0
}

// Admit takes one token of a team's rate limit. If there is none it returns false and when to retry.
//
// One instance counts each team, and the others take small batches of tokens from it. While the counting instance does not respond,
// each instance admits its fraction of the limit.
func (entry *Entry) Admit(ctx context.Context, team string) (time.Time, bool) {
	rate := entry.teamLimit(team)
	if rate <= 0 {
		return time.Time{}, true
	}
	now := entry.Clock()
	if retryAt, decided, admitted := entry.limits.spend(now, team); decided {
		return retryAt, admitted
	}
	plan := entry.members.plan()
	first, _ := home.Choose(home.Slice{Service: "team:" + team}, plan.candidates)
	if first < 0 || plan.candidates[first].Entry.Name == entry.Name {
		granted, retryAt := entry.limits.grant(now, rate, team, 1)
		return retryAt, granted > 0
	}
	counter := plan.candidates[first].Entry
	granted, retryAt, err := entry.Peers.TakeTokens(ctx, Peer{counter.Name, counter.Peer}, team, limit.BatchSize(rate, len(plan.candidates)))
	if err != nil {
		entry.count("limits.silent-counters")
		granted, retryAt = entry.limits.grant(now, rate/float64(len(plan.candidates)), team, 1)
	}
	return entry.limits.store(now, team, granted, retryAt)
}

// spend takes a cached token. If decided is false, the counting instance must be asked.
func (limits *limits) spend(now time.Time, team string) (retryAt time.Time, decided, admitted bool) {
	shard := limits.shard(team)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	cache := shard.tokens[team]
	if cache == nil {
		return time.Time{}, false, false
	}
	return cache.Take(now)
}

// store adds granted tokens to the cache and takes one of them.
func (limits *limits) store(now time.Time, team string, granted int, retryAt time.Time) (time.Time, bool) {
	shard := limits.shard(team)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.tokens == nil {
		shard.tokens = map[string]*limit.TokenCache{}
	}
	cache := shard.tokens[team]
	if cache == nil {
		cache = &limit.TokenCache{}
		shard.tokens[team] = cache
	}
	cache.Add(now, granted, retryAt)
	retryAt, _, admitted := cache.Take(now)
	return retryAt, admitted
}
