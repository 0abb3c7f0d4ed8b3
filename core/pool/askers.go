package pool

import (
	"slices"
	"time"
)

// listMemory is how long instances that are no longer listed count: lists may lose instances that still run.
const listMemory = 30 * time.Second

// Askers is the number of instances that may send asks, and so divide the burst of a service's retries. A value does not change. The zero value is
// empty.
type Askers struct {
	listed  int
	earlier []formerAskers // most first, so the latest last
}

// formerAskers is a number of instances that were listed until listMemory before a time.
type formerAskers struct {
	count int
	until time.Time
}

// Update returns the askers once a number of instances is listed.
func (askers Askers) Update(now time.Time, listed int) Askers {
	next := Askers{listed: listed}
	for _, former := range append(slices.Clip(askers.earlier), formerAskers{askers.listed, now.Add(listMemory)}) {
		for len(next.earlier) > 0 && next.earlier[len(next.earlier)-1].count <= former.count {
			next.earlier = next.earlier[:len(next.earlier)-1]
		}
		if former.count > listed && now.Before(former.until) {
			next.earlier = append(next.earlier, former)
		}
	}
	return next
}

// Count returns the largest number of instances that were listed within listMemory.
func (askers Askers) Count(now time.Time) int {
	for _, former := range askers.earlier {
		if now.Before(former.until) {
			return former.count
		}
	}
	return askers.listed
}
