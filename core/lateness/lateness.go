// Package lateness decides what an instance makes of its own delay: how late it counts as, and which share of new requests it
// refuses until it catches up.
package lateness

import "time"

// Bounds of the share of requests that is refused.
const (
	refusalStep     = 0.3             // of the requests that are still admitted, for each interval that was late
	recoveryTime    = 2 * time.Second // in which the share falls from all requests to none, of intervals that are on time
	maxRefusedShare = 0.98            // some requests are always admitted, as a sample of what the instance can bear
)

// Recent keeps the delays of the last two intervals. The zero value is on time. It is not safe for concurrent use.
type Recent struct {
	latest, previous time.Duration
}

// Record records the delay of the interval that ends now.
func (recent *Recent) Record(delay time.Duration) {
	recent.previous, recent.latest = recent.latest, delay
}

// Delay returns the longer delay of the last two intervals.
func (recent *Recent) Delay() time.Duration { return max(recent.latest, recent.previous) }

// Meter keeps the delays of an instance. The zero value is on time. It is not safe for concurrent use.
type Meter struct {
	// Tolerance is the delay up to which an instance is on time.
	Tolerance time.Duration

	Recent
	observedAt time.Time // end of the last interval
	refused    float64   // share of new requests
	debt       float64   // of requests to be refused
}

// Observe records the delay of the interval that ends now.
//
// The share of refused requests grows only if two intervals in a row were late. After a single one, as when the process was paused,
// no work is waiting that new requests would have to wait for.
func (meter *Meter) Observe(now time.Time, delay time.Duration) {
	onTime := max(0, now.Sub(meter.observedAt)-delay)
	meter.Record(delay)
	meter.observedAt = now
	if min(meter.latest, meter.previous) > meter.Tolerance {
		meter.refused = min(maxRefusedShare, meter.refused+refusalStep*(1-meter.refused))
		return
	}
	meter.refused = max(0, meter.refused-onTime.Seconds()/recoveryTime.Seconds())
}

// RefusedShare returns the share of new requests that is refused.
func (meter *Meter) RefusedShare() float64 { return meter.refused }

// Admit reports whether a new request is admitted. Refusals are spread evenly over the requests.
func (meter *Meter) Admit() bool {
	if meter.refused == 0 {
		meter.debt = 0
		return true
	}
	meter.debt += meter.refused
	if meter.debt < 1 {
		return true
	}
	meter.debt--
	return false
}
