package pool

import (
	"math"
	"time"
)

// Model of a server that fails for a few seconds now and then: a hidden Markov model with two states. The rates are those of
// episodes of about three seconds, and are sooner too high than too low: what is known must be found out again in time.
const (
	onsetRate    = 0.15  // per second, at which a server that is well begins to fail
	recoveryRate = 0.35  // per second, at which one that fails gets well; halved with each failed try in a row
	failsSick    = 0.7   // share of requests that fail at a server that fails
	failsWell    = 0.015 // share of requests that fail at one that is well
	mostWell     = 0.35  // the most for it while all servers fail
	firstChance  = 0.05  // that a server of which nothing is known fails
	mostHalvings = 6

	// errorWeight is the weight of an error that a server answers: its own word, and about as often the begin of an episode as a
	// plain failure.
	errorWeight = 1.0
	// silenceWeight is the weight of a silence beyond the time of suspicion: answers of busy servers take long, too.
	silenceWeight = 0.3
	tryApart      = 500 * time.Millisecond // failures closer together are of one try
)

// fault is the estimate whether a server fails now; the zero value knows nothing.
type fault struct {
	sick     float64 // probability of the failing state at the time
	at       time.Time
	tries    int // failed tries in a row
	failedAt time.Time
}

// estimate moves the probability of the failing state on to now.
func (fault *fault) estimate(now time.Time) float64 {
	if fault.at.IsZero() {
		return firstChance
	}
	// A server that failed each try likely fails for longer, and yet not for good: what is known of it ages.
	recovery := recoveryRate * math.Exp2(-float64(min(mostHalvings, max(0, fault.tries-1))))
	const resting = onsetRate / (onsetRate + recoveryRate)
	age := max(0, now.Sub(fault.at).Seconds())
	return resting + (fault.sick-resting)*math.Exp(-(onsetRate+recovery)*age)
}

// chance returns the probability that a request fails now.
func (fault *fault) chance(now time.Time) float64 {
	sick := fault.estimate(now)
	return sick*failsSick + (1-sick)*failsWell
}

// succeed takes in an answer to a request granted at a time. One granted before the latest failure says nothing of the
// server since.
func (fault *fault) succeed(now, grantedAt time.Time) {
	if !grantedAt.After(fault.failedAt) {
		return
	}
	fault.observe(now, (1-failsSick)/(1-failsWell))
	fault.tries = 0
}

// fail takes in a failure; one that says less about the server has a weight below 1, and so has each where the other servers
// fail, too, of which a rate is given.
func (fault *fault) fail(now time.Time, weight, others float64) {
	fault.observe(now, math.Pow(failsSick/min(mostWell, max(failsWell, others)), weight))
	if weight > silenceWeight && now.Sub(fault.failedAt) > tryApart {
		fault.tries++
	}
	fault.failedAt = now
}

// observe applies a likelihood ratio of the failing state to the other one.
func (fault *fault) observe(now time.Time, ratio float64) {
	sick := fault.estimate(now)
	fault.sick = sick * ratio / (sick*ratio + 1 - sick)
	fault.at = now
}
