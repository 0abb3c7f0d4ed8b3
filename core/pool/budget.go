package pool

import "time"

// Retry budget: tokens that first attempts earn and further ones spend.
const (
	budgetEarned = 0.2 // per first attempt
	budgetMost   = 20.0
	hedgeMost    = budgetMost / 2 // hedges leave the other half to retries
)

// budget bounds retries and hedges to a share of the first attempts; the zero value is full.
type budget struct {
	spent float64
}

func (budget *budget) earn() {
	budget.spent = max(0, budget.spent-budgetEarned)
}

// spend takes a token for a retry or a hedge, if one is left.
func (budget *budget) spend(hedge bool) bool {
	most := budgetMost
	if hedge {
		most = hedgeMost
	}
	if budget.spent+1 > most {
		return false
	}
	budget.spent++
	return true
}

// bucket is a token bucket of one second's depth; the zero value is full.
type bucket struct {
	owed float64 // tokens taken and not yet refilled
	at   time.Time
}

func (bucket *bucket) take(now time.Time, limit float64) bool {
	if limit <= 0 {
		return true
	}
	bucket.owed = max(0, bucket.owed-now.Sub(bucket.at).Seconds()*limit)
	bucket.at = now
	if bucket.owed+1 > max(1, limit) {
		return false
	}
	bucket.owed++
	return true
}

// nextAt returns when the next token will be there.
func (bucket *bucket) nextAt(now time.Time, limit float64) time.Time {
	missing := bucket.owed + 1 - max(1, limit)
	return now.Add(time.Duration(missing / limit * float64(time.Second)))
}
