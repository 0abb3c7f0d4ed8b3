package pool

import (
	"math"
	"time"
)

// Retry budgets: first attempts earn tokens; retries and hedges spend them.
//
// A service's retries are limited over a window of ten seconds, at all instances together: to a share of its requests plus a burst. No
// budget knows what the others granted. A pool may spend retryAtOnce of the burst at once, and retryPerSecond of it comes back each second.
// A pool that begins to decide has only retryAtStart in hand, as its predecessors may have spent theirs in the same window. This leaves
// the burst for several changes of home in a window, or for a home and a standby that decide side by side.
const (
	defaultRetryShare = 0.2 // earned per first attempt, for retries and hedges
	defaultRetryBurst = 20.0
	retryAtOnce       = 0.25  // of the burst
	retryAtStart      = 0.08  // of the burst
	retryPerSecond    = 0.035 // of the burst
	hedgeShare        = 0.7   // of what may be spent at once; the rest is reserved for retries
)

// retryWindow is the window of the limit on retries.
const retryWindow = 10 * time.Second

// earnedMemory is how long tokens that first attempts earned stay in a full budget: at many requests a second some attempts fail at once.
const earnedMemory = 500 * time.Millisecond

// earnedShare is the part of a first attempt's share that it earns. What was earned up to earnedMemory before a window may be spent within it.
const earnedShare = float64(retryWindow) / float64(retryWindow+earnedMemory)

// deciderSilence is the time without asks after which another instance may have decided for the slice.
const deciderSilence = time.Second

// retryBudget is a pool's part of the limit on its service's retries. The zero value starts with the first ask.
type retryBudget struct {
	spent    float64 // below 0 by up to saved
	withheld float64 // of a full budget, until it is earned or refilled: other deciders may have spent it
	saved    float64 // earned of late, decaying over earnedMemory
	askedAt  time.Time
}

// ask adds the tokens of the time since the latest ask, or starts over after deciderSilence.
func (retryBudget *retryBudget) ask(now time.Time, policy *Policy) {
	elapsed := now.Sub(retryBudget.askedAt)
	if retryBudget.askedAt.IsZero() || elapsed > deciderSilence {
		retryBudget.startOver(policy)
	} else {
		retryBudget.saved *= math.Exp(-elapsed.Seconds() / earnedMemory.Seconds())
		retryBudget.spent = max(-retryBudget.saved, retryBudget.spent)
		retryBudget.add(policy.retriesPerSecond() * elapsed.Seconds())
	}
	retryBudget.askedAt = now
}

// startOver leaves at most the tokens with which a pool begins to decide.
func (retryBudget *retryBudget) startOver(policy *Policy) {
	retryBudget.withheld = policy.retriesAtOnce() - policy.retriesAtStart()
	retryBudget.spent = min(max(0, retryBudget.spent), policy.retriesAtStart())
	retryBudget.saved = 0
}

// add adds tokens up to a full budget and returns the rest.
func (retryBudget *retryBudget) add(tokens float64) (rest float64) {
	repaid := min(tokens, max(0, retryBudget.spent))
	retryBudget.spent -= repaid
	released := min(tokens-repaid, retryBudget.withheld)
	retryBudget.withheld -= released
	return tokens - repaid - released
}

// earn adds the share of a first attempt. It stays for earnedMemory beyond a full budget.
func (retryBudget *retryBudget) earn(policy *Policy) {
	earned := earnedShare * policy.RetryShare
	retryBudget.saved += earned
	retryBudget.spent = max(-retryBudget.saved, retryBudget.spent-retryBudget.add(earned))
}

// allows reports whether a retry or a hedge may be granted or queued while others are queued. The token is spent with the grant: that is when
// the retry reaches a server.
func (retryBudget *retryBudget) allows(policy *Policy, hedge bool, queued int) bool {
	limit := policy.retriesAtOnce() - retryBudget.withheld
	if hedge {
		limit = min(limit, max(1, hedgeShare*limit))
	}
	return retryBudget.spent+float64(queued)+1 <= limit
}

// left returns the tokens that retries may spend.
func (retryBudget *retryBudget) left(policy *Policy) float64 {
	return policy.retriesAtOnce() - retryBudget.withheld - retryBudget.spent
}

// retriesAtOnce returns the tokens of a full budget. At least one can be spent at once.
func (policy *Policy) retriesAtOnce() float64 { return max(1, retryAtOnce*policy.RetryBurst) }

// retriesAtStart returns the tokens with which a pool begins to decide.
func (policy *Policy) retriesAtStart() float64 {
	if policy.EarnedOnly {
		return 0
	}
	return min(policy.retriesAtOnce(), retryAtStart*policy.RetryBurst)
}

// retriesPerSecond returns the tokens that come back each second.
func (policy *Policy) retriesPerSecond() float64 {
	if policy.EarnedOnly {
		return 0
	}
	return retryPerSecond * policy.RetryBurst
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
	use.Available = pool.retryBudget.left(&pool.policy)
	pool.retryUse = RetryUse{Since: now}
	return use, use.Granted+use.Refused > 0
}
