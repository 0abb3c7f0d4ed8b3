package pool

import (
	"math"
	"time"
)

const (
	defaultRetryShare = 0.2 // earned per first attempt, for retries and hedges
	defaultRetryBurst = 20.0
	hedgeShare        = 0.7 // of the tokens handed over; the rest is reserved for retries
)

// retryWindow is the window of the limit on retries.
const retryWindow = 10 * time.Second

// earnedMemory is how long tokens that first attempts earned can be spent: at many requests a second some attempts fail at once.
const earnedMemory = 500 * time.Millisecond

// earnedShare is the part of a first attempt's share that it earns. What was earned up to earnedMemory before a window may be spent within it.
const earnedShare = float64(retryWindow) / float64(retryWindow+earnedMemory)

// retryBudget holds the tokens for a pool's retries and hedges: those that instances handed over and those that first attempts earned.
// See Allowance. The zero value is empty.
type retryBudget struct {
	burst  float64 // handed over and not spent, decaying over burstMemory
	spent  float64 // of those handed over, until they are repaid by earned ones; decaying over burstMemory
	earned float64 // decaying over earnedMemory
	asOf   time.Time
}

// advance lets the tokens decay until now.
func (retryBudget *retryBudget) advance(now time.Time) {
	elapsed := now.Sub(retryBudget.asOf)
	if elapsed <= 0 {
		return
	}
	retryBudget.burst *= decay(elapsed, burstMemory)
	retryBudget.spent *= decay(elapsed, burstMemory)
	retryBudget.earned *= decay(elapsed, earnedMemory)
	retryBudget.asOf = now
}

// receive adds tokens of the asking instance's allowance and returns their number, 0 if the number is not valid.
func (retryBudget *retryBudget) receive(now time.Time, tokens float64) float64 {
	retryBudget.advance(now)
	if !(tokens > 0) || math.IsInf(tokens, 1) {
		return 0
	}
	retryBudget.burst += tokens
	return tokens
}

// earn adds the share of a first attempt. It repays spent tokens of the burst first, which keep longer: the pool then has no more of these than
// it was handed.
func (retryBudget *retryBudget) earn(now time.Time, policy *Policy) {
	retryBudget.advance(now)
	share := earnedShare * policy.RetryShare
	repaid := min(share, retryBudget.spent)
	retryBudget.spent -= repaid
	retryBudget.burst += repaid
	retryBudget.earned += share - repaid
}

// left returns the tokens that retries may spend.
func (retryBudget *retryBudget) left() float64 { return retryBudget.burst + retryBudget.earned }

// allows reports whether a retry or a hedge may be granted or queued while others are queued. The token is spent with the grant: that is when
// the retry reaches a server.
func (retryBudget *retryBudget) allows(now time.Time, hedge bool, queued int) bool {
	retryBudget.advance(now)
	left := retryBudget.left() - float64(queued)
	if left < 1 {
		return false
	}
	fromBurst := 1 - retryBudget.earned + float64(queued)
	return !hedge || fromBurst <= 0 || retryBudget.spent+fromBurst <= max(1, hedgeShare*(retryBudget.burst+retryBudget.spent))
}

// spend takes a token, of those that decay sooner first.
func (retryBudget *retryBudget) spend() {
	earned := min(1, retryBudget.earned)
	retryBudget.earned -= earned
	retryBudget.burst -= 1 - earned
	retryBudget.spent += 1 - earned
}

// RetryUse is what a pool's retry budget granted and refused over some time.
type RetryUse struct {
	Since     time.Time
	Received  float64 // tokens that instances handed over
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
	pool.retryBudget.advance(now)
	use := pool.retryUse
	use.Available = pool.retryBudget.left()
	pool.retryUse = RetryUse{Since: now}
	return use, use.Granted+use.Refused > 0
}
