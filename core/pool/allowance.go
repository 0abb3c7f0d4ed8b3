package pool

import (
	"math"
	"time"
)

// The limit on a service's retries covers all instances: in any window, retries stay within a share of the service's requests plus a burst.
// No pool knows what the others granted. So the burst is divided among the instances that ask, not among the pools that decide:
// each instance has an Allowance and hands out each of its tokens once, with an ask. However many pools decide, they spend no
// more than was handed to them and what requests earned.
//
// Tokens decay over burstMemory, at the instance and at the pool. All of them together stay below the rate of the allowances times
// burstMemory, and within a window at most that and what the allowances gain in it is spent.
const (
	burstMemory = 20 * time.Second
	burstMargin = 0.05 // part of the burst that nobody gets: instances may for moments know of fewer others than there are
)

// heldBack is the part of a full allowance that only retries take. It lets a pool that has been handed little, such as that of a new home, grant
// them.
const heldBack = 0.5

// startDelay is the time after its start from which an instance gains tokens: until then its lists may lack others that start too.
const startDelay = 5 * time.Second

// Allowance is an instance's part of the burst of a service's retries. The zero value is empty and gains tokens from its first use.
type Allowance struct {
	tokens float64
	asOf   time.Time
}

// NewAllowance returns the allowance of an instance that has handed out nothing since its start.
func NewAllowance(start time.Time) *Allowance { return &Allowance{asOf: start.Add(startDelay)} }

// Take takes the tokens that go with an ask: all of them with a retry, else those beyond the part that is held back. The burst is that of the
// service, and instances the number of instances that divide it, see Askers.
func (allowance *Allowance) Take(now time.Time, burst float64, instances int, retry bool) float64 {
	if burst <= 0 {
		burst = defaultRetryBurst
	}
	if allowance.asOf.IsZero() {
		allowance.asOf = now
	}
	if now.Before(allowance.asOf) {
		return 0
	}
	full := (1 - burstMargin) * burst * float64(burstMemory) / float64(burstMemory+retryWindow) / float64(max(1, instances))
	allowance.tokens = min(full, full+(allowance.tokens-full)*decay(now.Sub(allowance.asOf), burstMemory))
	allowance.asOf = now
	taken := allowance.tokens
	if !retry {
		taken = max(0, taken-heldBack*full)
	}
	allowance.tokens -= taken
	return taken
}

// decay returns the part that is left of something that decays over a time.
func decay(elapsed, over time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / over.Seconds())
}
