package pool

import (
	"math"
	"time"
)

// Loss monitoring of a slice. The floor is required of a service that fails to serve more than a tenth of its requests. While
// nearly all are served, non-retriable requests do not go to likely failing servers just to keep these in use, as each would be
// lost. The model is a service whose servers fail independently for a few seconds, so that one request in thirty is lost, and
// whose loss may rise to a tenth within half a second. Requests lost at servers used only for the floor do not count, because
// the loss ends when these requests stop.
const (
	// degradedLossShare is the share from which the floor must hold soon. It is slightly below a tenth.
	degradedLossShare = 0.085
	// fastHalfLife is the half-life of the share that detects a rise: a quarter of the floor window.
	fastHalfLife = floorWindow / 4
	// slowHalfLife is the half-life of the share that detects lasting loss. Its smaller variance allows for fewer requests.
	slowHalfLife = floorWindow
	// degradedDuration is how long a service counts as degraded after the last detection, because the floor is evaluated
	// over all requests of a floor window.
	degradedDuration = floorWindow
	// catchUpTime is the time in which all unused servers must get a request once a rise is detected, before it has lasted
	// long enough to lose a tenth of the window's requests.
	catchUpTime = 250 * time.Millisecond
	// arrivalHalfLife is the half-life of the rate of requests that may go to unused servers.
	arrivalHalfLife = time.Second
)

// lossMonitor tracks the share of requests that are not served. The zero value has seen none.
type lossMonitor struct {
	fast, slow    rate // finished requests, and those not served
	arrivals      rate // requests, counted at their first ask
	degradedUntil time.Time
}

// recordArrival records a new request.
func (lossMonitor *lossMonitor) recordArrival(now time.Time) {
	lossMonitor.arrivals.decayBy(now, arrivalHalfLife)
	lossMonitor.arrivals.events++
}

// recordServed records a request that was served, and recordLost one that was not.
func (lossMonitor *lossMonitor) recordServed(now time.Time) { lossMonitor.record(now, 0) }

func (lossMonitor *lossMonitor) recordLost(now time.Time) { lossMonitor.record(now, 1) }

func (lossMonitor *lossMonitor) record(now time.Time, lost float64) {
	lossMonitor.fast.addDecayed(now, lost, fastHalfLife)
	lossMonitor.slow.addDecayed(now, lost, slowHalfLife)
	if lossMonitor.fast.share() > degradedLossShare || lossMonitor.slow.share() > degradedLossShare {
		lossMonitor.degradedUntil = now.Add(degradedDuration)
	}
}

// share returns the share of failures.
func (rate *rate) share() float64 { return rate.failures / max(1, rate.events) }

// isStable reports whether nearly all requests are served and arrivals are frequent enough to reach the given number of unused
// servers within catchUpTime once that changes.
func (lossMonitor *lossMonitor) isStable(now time.Time, unused int) bool {
	if now.Before(lossMonitor.degradedUntil) {
		return false
	}
	lossMonitor.arrivals.decayBy(now, arrivalHalfLife)
	perSecond := lossMonitor.arrivals.events * math.Ln2 / arrivalHalfLife.Seconds()
	return float64(unused) <= perSecond*catchUpTime.Seconds()
}
