package pool

import (
	"math"
	"slices"
	"time"
)

// Estimates for the requests of one priority, which mostly are of one kind.
const (
	deviationWeight  = 1.0 / 16
	lateMargin       = 1.0 // mean deviations added to the mean hold time where an answer must be in time
	maxKnownPriority = 8   // priorities with estimates of their own; further ones share the pool's
)

// priorityLoad is what a pool knows of the requests of one priority. The zero value has seen none.
type priorityLoad struct {
	priority        int
	mean, deviation float64 // of the time in seconds for which an answered attempt holds its slot
	answers         int
	arrivals        rate    // of first attempts
	recent          rate    // first attempts of the latest moments
	peak            float64 // highest rate of late, decaying
	peakAt          time.Time
	served          rate    // first attempts, and how many were granted in place of failures
	slack           float64 // mean time in seconds for which a new ask can wait without being late
	inFlight        int
}

// loadOf returns the load of a priority, or nil if too many priorities are known.
func (pool *Pool) loadOf(priority int) *priorityLoad {
	i, found := slices.BinarySearchFunc(pool.loads, priority, func(l priorityLoad, priority int) int { return l.priority - priority })
	if !found {
		if len(pool.loads) >= maxKnownPriority {
			return nil
		}
		pool.loads = slices.Insert(pool.loads, i, priorityLoad{priority: priority})
	}
	return &pool.loads[i]
}

// recordHold adds the time for which an attempt held its slot.
func (priorityLoad *priorityLoad) recordHold(duration time.Duration) {
	hold := duration.Seconds()
	priorityLoad.answers++
	if priorityLoad.answers == 1 {
		priorityLoad.mean = hold
		return
	}
	weight := max(holdTimeWeight, 1/float64(priorityLoad.answers))
	priorityLoad.deviation += max(deviationWeight, 1/float64(priorityLoad.answers)) * (math.Abs(hold-priorityLoad.mean) - priorityLoad.deviation)
	priorityLoad.mean += weight * (hold - priorityLoad.mean)
}

// recordHold records the hold time of an answered attempt, unless this pool has adopted it and does not know when it began.
func (pool *Pool) recordHold(now time.Time, g *grant) {
	if load := pool.loadOf(g.priority); load != nil && !g.adopted {
		load.recordHold(now.Sub(g.grantedAt))
	}
}

// meanHoldTimeOf returns the mean time for which an answered attempt of a priority holds its slot.
func (pool *Pool) meanHoldTimeOf(priority int) time.Duration {
	if load := pool.loadOf(priority); load != nil && load.answers > 0 {
		return time.Duration(load.mean * float64(time.Second))
	}
	return pool.expectedHoldTime()
}

// likelyHoldTime returns the time within which an attempt of a priority is likely answered.
func (pool *Pool) likelyHoldTime(priority int) time.Duration {
	if load := pool.loadOf(priority); load != nil && load.answers > 0 {
		return time.Duration((load.mean + lateMargin*load.deviation) * float64(time.Second))
	}
	return pool.expectedHoldTime()
}
