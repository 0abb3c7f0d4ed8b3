package limit

import (
	"math"
	"time"
)

// Batches of tokens.
const (
	batchInterval = 100 * time.Millisecond // a batch holds the tokens for this time at the instance's recent rate
	maxBatch      = 64
	tokenTTL      = time.Second // lifetime of unused tokens
	rateMemory    = time.Second // after which a request counts for 1/e in the recent rate
)

// Cache holds the tokens that an instance has fetched for one team. The zero value is empty. A Cache is not safe for
// concurrent use.
type Cache struct {
	tokens    int
	expiresAt time.Time
	refusal   Grant // the latest one without tokens
	alone     Bucket
	isAlone   bool
	latest    time.Time // latest request
	recent    float64   // requests, each with a weight that decays over rateMemory
}

// Take takes a token for a request. If decided is false, the cache is empty and must be filled first.
func (cache *Cache) Take(now time.Time) (admitted, decided bool, retryAt time.Time) {
	cache.observe(now)
	if cache.tokens > 0 && now.Before(cache.expiresAt) {
		cache.tokens--
		return true, true, time.Time{}
	}
	cache.tokens = 0
	if now.Before(cache.refusal.NextAt) {
		return false, true, cache.refusal.RetryAt
	}
	return false, false, time.Time{}
}

// observe adds a request to the recent ones.
func (cache *Cache) observe(now time.Time) {
	cache.recent *= math.Exp(-now.Sub(cache.latest).Seconds() / rateMemory.Seconds())
	cache.recent++
	cache.latest = now
}

// Want returns how many tokens to fetch, the one for the present request included. It fetches more only at a rate that likely uses
// them: others may need tokens that expire here.
func (cache *Cache) Want() int {
	perSecond := cache.recent / rateMemory.Seconds()
	return 1 + min(maxBatch, int(perSecond*batchInterval.Seconds()))
}

// Fill adds fetched tokens and takes one of them for a request.
func (cache *Cache) Fill(now time.Time, grant Grant) (admitted bool, retryAt time.Time) {
	cache.isAlone = false
	if grant.Tokens == 0 {
		cache.refusal = grant
		return false, grant.RetryAt
	}
	if cache.tokens == 0 || !now.Before(cache.expiresAt) {
		// Tokens of two requests in flight at once expire with the earlier ones.
		cache.tokens, cache.expiresAt = 0, now.Add(tokenTTL)
	}
	cache.tokens += grant.Tokens - 1
	return true, time.Time{}
}

// TakeAlone decides a request while no counter answers. The point, drawn evenly from [0, 1), spreads the fractions of tokens
// that the instances have at the start.
func (cache *Cache) TakeAlone(now time.Time, limit Limit, tolerance Tolerance, instances int, point float64) bool {
	own := tolerance.alone(limit, instances)
	share := own.Burst
	own.Burst = max(1, share) // a bucket below one token would never admit anything
	if !cache.isAlone {
		cache.isAlone = true
		tokens := math.Floor(share)
		if point < share-tokens {
			tokens++
		}
		cache.alone = Bucket{}
		cache.alone.spend(now, own, tokens)
	}
	taken, _ := cache.alone.takeReserved(now, own, 1)
	return taken > 0
}

// Idle returns the time since the latest request.
func (cache *Cache) Idle(now time.Time) time.Duration { return now.Sub(cache.latest) }
