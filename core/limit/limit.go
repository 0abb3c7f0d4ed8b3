// Package limit decides which requests of a team pass when many instances serve the team together.
//
// One instance counts a team's requests; the others fetch tokens from it, as many as they need for a moment, and give back
// what they did not use. It answers the load of thousands of teams with less than a request per second at each instance, of
// which a few press several times their limit, while instances fail, restart and lose contact with each other.
package limit

import "time"

// Tolerance is how far a limit may be exceeded over all instances. The zero value allows nothing beyond the limit.
type Tolerance struct {
	Window    time.Duration // over which requests are counted
	Overshoot float64       // fraction of the limit
	Slack     float64       // requests in each window
}

// Any number of takeovers in a window admits no more than one counter, as tokens arise with time only. A counter that takes over starts with an empty
// bucket as of the time at which another one may last have counted, see Counter.EmptyAt; while one counts, its tokens arise at its rate. So does the
// part of the reserve of an instance that acts for a silent counter, which holds nothing when it begins to act, and that of instances that reach no
// counter. However often the counter changes, a window admits the burst and the rate of one counter, and from the reserve what arises in the window
// for those that act and those alone: actingRefill and aloneRefill. The rest of the reserve covers moments in which two instances count.

// actingTTL is the time without requests after which an instance that acts for a silent counter begins anew.
const actingTTL = 5 * time.Second

// Shares of the tolerance. What is left covers requests that are admitted while the count is not known.
const (
	servingOvershoot = 0.5  // of the overshoot, added to the limit that a counter admits
	servingSlack     = 0.25 // of the slack, added to the burst that a counter admits
	takeoverShare    = 0.15 // of the reserve, that a counter may admit at once which does not know since when no other one has counted
	actingShare      = 0.15 // of the reserve, that an instance in place of a silent counter may hold
	actingRefill     = 0.5  // of the reserve, that it may admit in each window
	aloneRefill      = 0.2  // of the reserve, divided among all instances, that those which reach no counter may admit in each window
)

// Serving returns the limit that a counter admits: a caller within the limit is not refused because instances see its requests
// in another order, or because some tokens expire unused.
func (tolerance Tolerance) Serving(limit Limit) Limit {
	factor := 1 + servingOvershoot*tolerance.Overshoot
	return Limit{Rate: factor * limit.Rate, Burst: factor*limit.capacity() + servingSlack*tolerance.Slack}
}

// reserve returns how many requests in a window may be admitted beyond those that the counter admits.
func (tolerance Tolerance) reserve(limit Limit) float64 {
	inWindow := limit.Rate*tolerance.Window.Seconds() + limit.capacity()
	return (1-servingOvershoot)*tolerance.Overshoot*inWindow + (1-servingSlack)*tolerance.Slack
}

// alone returns the limit of one of a number of instances while it reaches no counter.
func (tolerance Tolerance) alone(limit Limit, instances int) Limit {
	share := tolerance.reserve(limit) / float64(max(1, instances))
	return Limit{Rate: aloneRefill * share / tolerance.Window.Seconds(), Burst: aloneRefill * share}
}

// acting returns the limit of an instance in place of a counter that is silent.
func (tolerance Tolerance) acting(limit Limit) Limit {
	reserve := tolerance.reserve(limit)
	return Limit{Rate: actingRefill * reserve / tolerance.Window.Seconds(), Burst: actingShare * reserve}
}
