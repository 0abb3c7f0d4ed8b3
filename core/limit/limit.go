// Package limit counts requests against a team's limit.
package limit

import (
	"math"
	"time"
)

// Sizes of shares.
const (
	shareSpan   = 100 * time.Millisecond // part of a second's tokens that one share carries at most
	shareLength = time.Second            // unused tokens lapse
)

// Bucket is a token bucket of one second's depth; the zero value is full. A Bucket is not safe for concurrent use.
type Bucket struct {
	owed float64 // tokens taken and not yet refilled
	at   time.Time
}

// Take takes up to want tokens at a rate per second; with none it returns when the next one will be there.
func (bucket *Bucket) Take(now time.Time, rate float64, want int) (int, time.Time) {
	if rate <= 0 {
		return want, time.Time{}
	}
	if elapsed := now.Sub(bucket.at); elapsed > 0 {
		bucket.owed = max(0, bucket.owed-elapsed.Seconds()*rate)
		bucket.at = now
	}
	free := int(math.Floor(max(1, rate) - bucket.owed))
	if free < 1 {
		missing := 1 - (max(1, rate) - bucket.owed)
		return 0, now.Add(time.Duration(missing / rate * float64(time.Second)))
	}
	taken := min(want, free)
	bucket.owed += float64(taken)
	return taken, time.Time{}
}

// ShareSize returns how many tokens one of several instances takes at once.
func ShareSize(rate float64, instances int) int {
	size := rate * shareSpan.Seconds() / float64(max(1, instances))
	return max(1, int(size))
}

// Share is a number of tokens taken from a bucket elsewhere; the zero value has none. A Share is not safe for concurrent use.
type Share struct {
	tokens  int
	until   time.Time // deadline of the tokens
	retryAt time.Time // no tokens are to be had before
}

// Add adds tokens, or notes when to ask again.
func (share *Share) Add(now time.Time, tokens int, retryAt time.Time) {
	share.drop(now)
	share.tokens += tokens
	share.until = now.Add(shareLength)
	share.retryAt = retryAt
}

// Spend uses a token. Decided is false when there is none and the bucket is to be asked.
func (share *Share) Spend(now time.Time) (retryAt time.Time, decided, admitted bool) {
	share.drop(now)
	if share.tokens > 0 {
		share.tokens--
		return time.Time{}, true, true
	}
	if now.Before(share.retryAt) {
		return share.retryAt, true, false
	}
	return time.Time{}, false, false
}

func (share *Share) drop(now time.Time) {
	if !now.Before(share.until) {
		share.tokens = 0
	}
}
