package pool

import (
	"math"
	"time"
)

// Hidden Markov model of a server that fails for a few seconds now and then. It has two states, failing and healthy, whose
// transition rates each slice learns.
const (
	failingFailureRate        = 0.7   // of requests to a failing server
	healthyFailureRate        = 0.015 // of requests to a healthy server
	maxHealthyFailureRate     = 0.35  // upper bound of healthyFailureRate while other servers fail too
	initialFailingProbability = 0.05  // of a server without observations

	// errorWeight is the weight of an error answered by the server itself, which starts an episode about as often as it is an
	// isolated failure.
	errorWeight = 1.0
	// silenceWeight is the weight of a silence beyond suspectAfter, because busy servers are slow to answer too.
	silenceWeight  = 0.3
	minTryInterval = 500 * time.Millisecond // failures closer together count as one try
)

// health estimates whether a server is failing now. The zero value has no observations.
type health struct {
	episodes     *episodes // of the slice, nil for the prior rates
	failing      float64   // probability of the failing state at updatedAt
	updatedAt    time.Time
	failedTries  int // consecutive failed tries
	failedAt     time.Time
	hardFailedAt time.Time // latest failure that was neither a silence nor a path failure
	restoredAt   time.Time // latest report of a home that the server is failing
}

// reportedFailingProbability is the probability of the failing state that a home's report stands for. A home reports a server from
// a failure probability of failingThreshold on; most reports follow a failure within a second.
const reportedFailingProbability = 0.9

// restore adopts a home's report that the server is failing.
func (health *health) restore(reportedAt time.Time) {
	health.failing, health.updatedAt = reportedFailingProbability, reportedAt
	health.failedAt, health.hardFailedAt, health.restoredAt = reportedAt, reportedAt, reportedAt
}

// isReportedFailing reports whether a home has reported the server as failing within healthyAfter.
func (health *health) isReportedFailing(now time.Time) bool {
	return !health.restoredAt.IsZero() && now.Sub(health.restoredAt) < healthyAfter
}

// rates returns the rates per second at which the server starts to fail and recovers.
func (health *health) rates() (onset, recovery float64) {
	if health.episodes == nil {
		return priorOnset, priorRecovery
	}
	return health.episodes.onset(), health.episodes.recovery()
}

// failingProbability returns the probability that the server is in the failing state now.
func (health *health) failingProbability(now time.Time) float64 {
	if health.updatedAt.IsZero() {
		return initialFailingProbability
	}
	onset, recovery := health.rates()
	stationary := onset / (onset + recovery)
	age := max(0, now.Sub(health.updatedAt).Seconds())
	return stationary + (health.failing-stationary)*math.Exp(-(onset+recovery)*age)
}

// healthyProbability returns the probability that the server has been healthy for at least healthyAfter.
func (health *health) healthyProbability(now time.Time) float64 {
	since := now.Add(-healthyAfter)
	if health.hardFailedAt.After(since) {
		return 0
	}
	if health.updatedAt.After(since) {
		// Observations since then were no failures, so they count as well.
		return 1 - health.failingProbability(now)
	}
	return 1 - health.failingProbability(since)
}

// failureProbability returns the probability that a request fails now.
func (health *health) failureProbability(now time.Time) float64 {
	failing := health.failingProbability(now)
	return failing*failingFailureRate + (1-failing)*healthyFailureRate
}

// succeed records an answer to a request. An answer to a request granted before the latest failure is ignored, as it says
// nothing about the server since then.
func (health *health) succeed(now, grantedAt time.Time) {
	if !grantedAt.After(health.failedAt) {
		return
	}
	gap, failing := now.Sub(health.updatedAt), health.failingProbability(now)
	health.observe(now, (1-failingFailureRate)/(1-healthyFailureRate))
	switch {
	case health.episodes == nil || gap <= 0:
	case health.failedTries >= minEpisodeTries:
		health.episodes.recovered(gap, (1-failing)/(1-failing+failing*(1-failingFailureRate)))
	case health.failedTries == 0:
		health.episodes.stayedHealthy(gap)
	}
	health.failedTries = 0
}

// fail records a failure. The weight is below 1 for a failure that says less about the server; others is the failure rate
// of the other servers, and the higher it is, the less the failure counts.
func (health *health) fail(now time.Time, weight, others float64) {
	gap := now.Sub(health.failedAt)
	health.observe(now, math.Pow(failingFailureRate/min(maxHealthyFailureRate, max(healthyFailureRate, others)), weight))
	if weight > silenceWeight && gap > minTryInterval {
		health.failedTries++
		health.learn(gap)
	}
	health.failedAt = now
	if weight > silenceWeight {
		health.hardFailedAt = now
	}
}

// learn updates the slice's episode rates after a failed try.
func (health *health) learn(gap time.Duration) {
	switch {
	case health.episodes == nil:
	case health.failedTries == minEpisodeTries:
		health.episodes.began()
	case health.failedTries > minEpisodeTries:
		health.episodes.stayedFailing(gap)
	}
}

// observe applies the likelihood ratio of the failing state to the healthy state.
func (health *health) observe(now time.Time, ratio float64) {
	failing := health.failingProbability(now)
	health.failing = failing * ratio / (failing*ratio + 1 - failing)
	health.updatedAt = now
}
