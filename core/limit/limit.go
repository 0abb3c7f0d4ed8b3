// Package limit implements the rate limits of teams with token buckets.
package limit

import (
	"math"
	"time"
)

// Size and lifetime of batches of tokens.
const (
	batchInterval = 100 * time.Millisecond // a batch holds at most the tokens of this interval, but at least one
	tokenTTL      = time.Second            // lifetime of unused tokens
)

// Bucket is a token bucket that holds the tokens of one second. The zero value is full. A Bucket is not safe for concurrent use.
type Bucket struct {
	used       float64 // tokens taken and not yet refilled
	refilledAt time.Time
}

// Take takes up to want tokens from a bucket refilled at rate tokens per second, and returns the number taken.
// If there are none, it returns the time of the next token. A rate of 0 or less means no limit.
func (bucket *Bucket) Take(now time.Time, rate float64, want int) (int, time.Time) {
	if rate <= 0 {
		return want, time.Time{}
	}
	if elapsed := now.Sub(bucket.refilledAt); elapsed > 0 {
		bucket.used = max(0, bucket.used-elapsed.Seconds()*rate)
		bucket.refilledAt = now
	}
	available := int(math.Floor(max(1, rate) - bucket.used))
	if available < 1 {
		missing := 1 - (max(1, rate) - bucket.used)
		return 0, now.Add(time.Duration(missing / rate * float64(time.Second)))
	}
	taken := min(want, available)
	bucket.used += float64(taken)
	return taken, time.Time{}
}

// BatchSize returns how many tokens each of a number of instances fetches at once, for a rate in tokens per second.
func BatchSize(rate float64, instances int) int {
	size := rate * batchInterval.Seconds() / float64(max(1, instances))
	return max(1, int(size))
}

// TokenCache holds tokens fetched from a bucket on another instance. The zero value is empty. A TokenCache is not safe for
// concurrent use.
type TokenCache struct {
	tokens    int
	expiresAt time.Time // expiry of the tokens
	retryAt   time.Time // the bucket has no tokens before this time
}

// Add adds fetched tokens and records when to fetch again if there were none.
func (tokenCache *TokenCache) Add(now time.Time, tokens int, retryAt time.Time) {
	tokenCache.dropExpired(now)
	tokenCache.tokens += tokens
	tokenCache.expiresAt = now.Add(tokenTTL)
	tokenCache.retryAt = retryAt
}

// Take takes a token. If decided is false, the cache is empty and the caller must fetch tokens from the bucket.
func (tokenCache *TokenCache) Take(now time.Time) (retryAt time.Time, decided, admitted bool) {
	tokenCache.dropExpired(now)
	if tokenCache.tokens > 0 {
		tokenCache.tokens--
		return time.Time{}, true, true
	}
	if now.Before(tokenCache.retryAt) {
		return tokenCache.retryAt, true, false
	}
	return time.Time{}, false, false
}

func (tokenCache *TokenCache) dropExpired(now time.Time) {
	if !now.Before(tokenCache.expiresAt) {
		tokenCache.tokens = 0
	}
}
