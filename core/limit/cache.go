package limit

import (
	"math"
	"slices"
	"time"
)

// Batches of tokens.
const (
	batchInterval = 100 * time.Millisecond // a batch holds the tokens for this time at the instance's recent rate
	maxBatch      = 64
	tokenTTL      = time.Second // lifetime of unused tokens
	rateMemory    = time.Second // after which a request counts for 1/e in the recent rate
)

// Cache holds the tokens that an instance has fetched for one team, by the priority of the requests that they were fetched for: the counter
// holds tokens back from less urgent ones. The zero value is empty. A Cache is not safe for concurrent use.
type Cache struct {
	classes []cached // the most urgent first
	alone   Bucket
	isAlone bool
	latest  time.Time // latest request
}

// cached is the part of a Cache for one priority.
type cached struct {
	priority  int
	tokens    int
	expiresAt time.Time
	refusal   Grant     // the latest one without tokens
	latest    time.Time // latest request
	recent    float64   // requests, each with a weight that decays over rateMemory
}

// class returns the part for a priority. Of too many, it replaces the one with the oldest request.
func (cache *Cache) class(priority int) *cached {
	i, found := slices.BinarySearchFunc(cache.classes, priority, func(c cached, priority int) int { return c.priority - priority })
	if found {
		return &cache.classes[i]
	}
	if len(cache.classes) >= maxClasses {
		oldest := 0
		for j := range cache.classes {
			if cache.classes[j].latest.Before(cache.classes[oldest].latest) {
				oldest = j
			}
		}
		cache.classes = slices.Delete(cache.classes, oldest, oldest+1)
		if oldest < i {
			i--
		}
	}
	cache.classes = slices.Insert(cache.classes, i, cached{priority: priority})
	return &cache.classes[i]
}

// Take takes a token for a request: of its own priority, or of a less urgent one. If decided is false, the cache has none and must be filled
// first. A refusal holds for less urgent requests as well.
func (cache *Cache) Take(now time.Time, priority int) (admitted, decided bool, retryAt time.Time) {
	cache.latest = now
	cache.class(priority).observe(now)
	if cache.takeUpTo(now, Want{Tokens: 1, Priority: priority}) > 0 {
		return true, true, time.Time{}
	}
	for i := range cache.classes {
		c := &cache.classes[i]
		if c.priority <= priority && now.Before(c.refusal.NextAt) {
			return false, true, c.refusal.RetryAt
		}
	}
	return false, false, time.Time{}
}

// takeUpTo takes tokens of a priority or of less urgent ones.
func (cache *Cache) takeUpTo(now time.Time, want Want) (taken int) {
	for i := range cache.classes {
		c := &cache.classes[i]
		if !now.Before(c.expiresAt) {
			c.tokens = 0
		}
		if c.priority >= want.Priority {
			n := min(c.tokens, want.Tokens-taken)
			c.tokens -= n
			taken += n
		}
	}
	return taken
}

// observe adds a request to the recent ones.
func (cached *cached) observe(now time.Time) {
	cached.recent *= math.Exp(-now.Sub(cached.latest).Seconds() / rateMemory.Seconds())
	cached.recent++
	cached.latest = now
}

// Want returns how many tokens to fetch, the one for the present request included. It fetches more only at a rate that likely uses
// them: others may need tokens that expire here.
func (cache *Cache) Want(priority int) Want {
	perSecond := cache.class(priority).recent / rateMemory.Seconds()
	return Want{Tokens: 1 + min(maxBatch, int(perSecond*batchInterval.Seconds())), Priority: priority}
}

// Fill adds fetched tokens and takes one of them for a request.
func (cache *Cache) Fill(now time.Time, grant Grant, priority int) (admitted bool, retryAt time.Time) {
	cache.isAlone = false
	if grant.Tokens == 0 {
		cache.class(priority).refusal = grant
		return false, grant.RetryAt
	}
	cache.add(now, Want{Tokens: grant.Tokens - 1, Priority: priority})
	return true, time.Time{}
}

// add adds tokens. Those of two requests in flight at once expire with the earlier ones.
func (cache *Cache) add(now time.Time, tokens Want) {
	c := cache.class(tokens.Priority)
	if c.tokens == 0 || !now.Before(c.expiresAt) {
		c.tokens, c.expiresAt = 0, now.Add(tokenTTL)
	}
	c.tokens += tokens.Tokens
}

// TakeAlone decides a request while no counter answers. The point, drawn evenly from [0, 1), is the fraction of a token that the instance starts with:
// together the instances then admit at their rate from the start, and no more if they come to be alone time and again.
func (cache *Cache) TakeAlone(now time.Time, limit Limit, tolerance Tolerance, instances int, point float64) bool {
	if instances == 0 {
		return false // this instance does not know its part
	}
	own := tolerance.alone(limit, instances)
	own.Burst = max(1, own.Burst) // a bucket below one token would never admit anything
	if !cache.isAlone {
		cache.isAlone = true
		cache.alone.empty(now, own)
		cache.alone.used -= point
	}
	if own.Rate <= 0 {
		return false // nothing is reserved
	}
	taken, _ := cache.alone.Take(now, own, 1)
	return taken > 0
}

// Idle returns the time since the latest request.
func (cache *Cache) Idle(now time.Time) time.Duration { return now.Sub(cache.latest) }
