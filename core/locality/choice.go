// Package locality decides where a request is served: in which slice of a service, and when outside its failure domain.
//
// The decisions respond to the load that the homes of slices report: slots, slots in use, queued requests and the mean time for
// which a slot is held, for a slice and for each failure domain in it.
package locality

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Load is the load of a slice as its home last reported it. The zero value is the load of an idle slice.
type Load struct {
	Slots    int
	InUse    int
	Queued   int           // requests that wait for a slot
	HoldTime time.Duration // mean time for which a slot is held
}

// IsFull reports whether the slice has no free slot for another request.
func (load Load) IsFull() bool {
	return load.Slots > 0 && (load.InUse >= load.Slots || load.Queued > 0)
}

// Use returns the share of the slots that are in use or waited for.
func (load Load) Use() float64 {
	if load.Slots <= 0 {
		return 0
	}
	return float64(load.InUse+load.Queued) / float64(load.Slots)
}

// ExpectedWait returns the expected wait of another request in the slice's queue.
func (load Load) ExpectedWait() time.Duration {
	if !load.IsFull() {
		return 0
	}
	return time.Duration(float64(load.Queued+1) / float64(load.Slots) * float64(load.HoldTime))
}

const (
	// MaxFullAge is the age from which a report no longer shows that a slice is full.
	MaxFullAge = 500 * time.Millisecond
	// moveInterval is the mean time between the asks that a queued request sends to other slices.
	moveInterval = 200 * time.Millisecond
)

// MoveInterval returns the time until a queued request asks another slice, with jitter.
func MoveInterval(random *rand.Rand) time.Duration {
	return time.Duration((0.5 + random.Float64()) * float64(moveInterval))
}

// Loads are the latest reports of a service's slices, by index. A slice without a recent report has the zero Load: homes report
// busy slices only.
type Loads []Load

// Order returns up to count slices to ask for a free slot, best first, beginning with the request's own one, in which similar
// requests meet. Slices reported as full are left out. Without any report the own one's successors follow it.
//
// The others are picked by two random choices each (Mitzenmacher, "The power of two choices in randomized load balancing", 2001): all
// instances act on reports of the same age, and would overload the one that all of them see as the least loaded.
func (loads Loads) Order(own, count int, random *rand.Rand) []int {
	order, others := make([]int, 0, count), make([]int, 0, len(loads))
	if loads.unknown() {
		for i := range min(count, len(loads)) {
			order = append(order, (own+i)%len(loads))
		}
		return order
	}
	for i, load := range loads {
		switch {
		case load.IsFull():
		case i == own:
			order = append(order, i)
		default:
			others = append(others, i)
		}
	}
	for len(order) < count && len(others) > 0 {
		i := random.IntN(len(others))
		if j := random.IntN(len(others)); loads[others[j]].Use() < loads[others[i]].Use() {
			i = j
		}
		order = append(order, others[i])
		others = slices.Delete(others, i, i+1)
	}
	return order
}

// unknown reports whether no home has reported a load.
func (loads Loads) unknown() bool {
	return !slices.ContainsFunc(loads, func(load Load) bool { return load != Load{} })
}

// queueMargin is the factor by which the expected wait in another slice must be shorter than in a request's own one, in which
// quarantine and evidence of similar requests meet.
const queueMargin = 2

// Queue returns the slice in which to wait for a slot: the request's own one, or the better of two random others if the wait there is
// much shorter.
func (loads Loads) Queue(own int, random *rand.Rand) int {
	best := own
	for range 2 {
		i := random.IntN(len(loads))
		limit := loads[best].ExpectedWait()
		if best == own {
			limit /= queueMargin
		}
		if loads[i].ExpectedWait() < limit {
			best = i
		}
	}
	return best
}
