package pool

import (
	"math"
	"time"
)

// Token budgets: first attempts earn tokens; retries, hedges and verifications spend them.
//
// A service's retries are limited over a window of ten seconds: to a share of its requests plus a burst. What a pool may spend at once and
// what is refilled with time add up to less than the burst in a window. The rest is for the previous home of the slice and for its standby.
const (
	defaultRetryShare = 0.2 // earned per first attempt, for retries and hedges
	defaultRetryBurst = 20.0
	retryAtOnce       = 0.25 // of the burst, that may be spent at once
	retryPerSecond    = 0.05 // of the burst, refilled in each second
	hedgeShare        = 0.7  // of what may be spent at once; the rest is reserved for retries
	initialSpentShare = 0.4  // of what may be spent at once that a new pool counts as spent, low enough to allow hedges
	verifyShare       = 0.1  // earned per first attempt, for verifications
	verifyBurst       = 8.0
)

// earnedMemory is how long tokens that first attempts earned stay in a full budget: at many requests a second some attempts fail at once.
const earnedMemory = time.Second

// budget limits additional attempts to a share of the first attempts. The zero value is full.
type budget struct {
	spent      float64 // below 0 by up to saved
	saved      float64 // earned of late, decaying over earnedMemory
	refilledAt time.Time
}

// earn adds tokens up to a full budget.
func (budget *budget) earn(tokens float64) {
	budget.spent = max(0, budget.spent-tokens)
}

// save adds tokens beyond a full budget, for earnedMemory.
func (budget *budget) save(tokens float64) {
	budget.saved += tokens
	budget.spent = max(-budget.saved, budget.spent-tokens)
}

// refill adds the tokens of the time since the latest refill up to a full budget.
func (budget *budget) refill(now time.Time, perSecond float64) {
	if !budget.refilledAt.IsZero() {
		elapsed := now.Sub(budget.refilledAt).Seconds()
		budget.saved *= math.Exp(-elapsed / earnedMemory.Seconds())
		if budget.spent > 0 {
			budget.earn(perSecond * elapsed)
		}
		budget.spent = max(-budget.saved, budget.spent)
	}
	budget.refilledAt = now
}

// spend takes a token and reports true, unless more than limit tokens would then be spent.
func (budget *budget) spend(limit float64) bool {
	if budget.spent+1 > limit {
		return false
	}
	budget.spent++
	return true
}

// maxSpent returns the limit on spent tokens for a retry or a hedge. At least one can be spent at once.
func (policy *Policy) maxSpent(hedge bool) float64 {
	atOnce := max(1, retryAtOnce*policy.RetryBurst)
	if hedge {
		return max(1, hedgeShare*atOnce)
	}
	return atOnce
}

// RetryUse is what a pool's retry budget granted and refused over some time.
type RetryUse struct {
	Since     time.Time
	Earned    int     // first attempts that earned their share
	Granted   int     // retries and hedges
	Waited    int     // of Granted, those that were queued for a slot
	Refused   int     // retries and hedges over budget
	Available float64 // tokens that a retry may spend now
}

// retryUseInterval is the minimum time between two results of TakeRetryUse.
const retryUseInterval = time.Second

// TakeRetryUse returns the use of the retry budget since the previous call that returned or reset it. It reports false if that was less
// than retryUseInterval ago, or if no retry was asked for.
func (pool *Pool) TakeRetryUse(now time.Time) (RetryUse, bool) {
	if now.Sub(pool.retryUse.Since) < retryUseInterval {
		return RetryUse{}, false
	}
	use := pool.retryUse
	use.Available = pool.policy.maxSpent(false) - pool.budget.spent
	pool.retryUse = RetryUse{Since: now}
	return use, use.Granted+use.Refused > 0
}
