package limit

import (
	"math"
	"time"
)

// Limit is a rate limit. The zero value means no limit.
type Limit struct {
	Rate  float64 // requests per second, 0 for no limit
	Burst float64 // requests that may come at once, 0 for those of one second
}

// capacity returns the number of tokens that a full bucket holds.
func (limit Limit) capacity() float64 {
	if limit.Burst > 0 {
		return max(1, limit.Burst)
	}
	return max(1, limit.Rate)
}

// Bucket is a token bucket. The zero value is full. A Bucket is not safe for concurrent use.
type Bucket struct {
	used       float64 // tokens taken and not yet refilled
	refilledAt time.Time
}

// refill adds the tokens of the time since the latest refill. A limit that was lowered leaves the bucket empty at worst.
func (bucket *Bucket) refill(now time.Time, limit Limit) {
	if elapsed := now.Sub(bucket.refilledAt); elapsed > 0 {
		bucket.used = max(0, bucket.used-elapsed.Seconds()*limit.Rate)
		bucket.refilledAt = now
	}
	bucket.used = min(bucket.used, limit.capacity())
}

// Take takes up to want tokens, and returns the number taken. If there are none, it returns the time of the next token.
func (bucket *Bucket) Take(now time.Time, limit Limit, want int) (int, time.Time) {
	if limit.Rate <= 0 {
		return want, time.Time{}
	}
	return bucket.take(now, limit, want, 0)
}

// take is Take for a limit that leaves some of the tokens in the bucket.
func (bucket *Bucket) take(now time.Time, limit Limit, want int, keep float64) (int, time.Time) {
	bucket.refill(now, limit)
	level := bucket.level(limit) - keep
	available := int(math.Floor(level))
	if available < 1 {
		return 0, now.Add(time.Duration((1 - level) / limit.Rate * float64(time.Second)))
	}
	taken := min(want, available)
	bucket.used += float64(taken)
	return taken, time.Time{}
}

// level returns the number of tokens as of the latest refill.
func (bucket *Bucket) level(limit Limit) float64 { return limit.capacity() - bucket.used }

// noReserveDelay is the time after which to ask again where nothing is reserved.
const noReserveDelay = 100 * time.Millisecond

// Return gives tokens back that were taken and not used.
func (bucket *Bucket) Return(tokens int) {
	bucket.used = max(0, bucket.used-float64(tokens))
}

// empty empties the bucket as of a time.
func (bucket *Bucket) empty(at time.Time, limit Limit) {
	bucket.used, bucket.refilledAt = limit.capacity(), at
}

// spend empties the bucket down to a level at most.
func (bucket *Bucket) spend(now time.Time, limit Limit, level float64) {
	bucket.refill(now, limit)
	bucket.used = max(bucket.used, limit.capacity()-level)
}
