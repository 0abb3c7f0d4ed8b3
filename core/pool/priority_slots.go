package pool

import (
	"math"
	"time"
)

// Slots for urgent requests and a floor for the others, in a service shared by several priorities. The loads: a burst of requests that hold their
// slots for longer than urgent requests can wait, before a steady flow of these; and a demand of urgent requests that takes all slots for
// many seconds.
const (
	// minExpectedUrgent is the expected number of urgent requests below which no slot is kept free for them.
	minExpectedUrgent = 0.5
	// urgentMargin is the number of standard deviations of their number by which slots are kept free beyond the expected one.
	urgentMargin = 1.0
	// freedInTime is the part of the slots held by less urgent requests that counts as freed in proportion to the time. Requests that
	// came in a burst end together: with 1, order-place earned 0.905 of its worth in place of 0.946.
	freedInTime = 0.5
	// maxKeptFree is the share of the slots that is kept free at most.
	maxKeptFree = 0.5

	// maxTurns limits how often a slot counts that urgent requests take in turns.
	maxTurns = 100

	peakHalfLife = 250 * time.Millisecond // of the rate whose highest value is kept
	// peakMemory is the time over which the highest rate of urgent requests decays.
	peakMemory = 5 * time.Second

	// starvedShare is the share of the grants of an average request below which a priority goes first. Callers are promised a quarter.
	starvedShare = 0.27
	servedMemory = 4 * time.Second // half-life of the counts of asks and grants
	minAsked     = 4.0             // asks from which a priority counts as starved
)

// recordAsked records a first attempt of a priority, the chance that it will hold a slot, and the time that it has left for waiting.
func (priorityLoad *priorityLoad) recordAsked(now time.Time, holding float64, slack time.Duration) {
	priorityLoad.served.addDecayed(now, 0, servedMemory)
	priorityLoad.recent.decayBy(now, peakHalfLife)
	priorityLoad.recent.events += holding
	priorityLoad.updatePeak(now)
	priorityLoad.slack += holdTimeWeight * (slack.Seconds() - priorityLoad.slack)
	if priorityLoad.arrivals.events <= 1 {
		priorityLoad.slack = slack.Seconds()
	}
}

// perSecond returns the rate of first attempts.
func (priorityLoad *priorityLoad) perSecond(now time.Time) float64 {
	priorityLoad.arrivals.decayBy(now, arrivalsHalfLife)
	return priorityLoad.arrivals.events * math.Ln2 / arrivalsHalfLife.Seconds()
}

// updatePeak keeps the highest rate of the last seconds, at which urgent requests are expected: they come in bursts.
func (priorityLoad *priorityLoad) updatePeak(now time.Time) {
	elapsed := now.Sub(priorityLoad.peakAt)
	if elapsed > 0 {
		priorityLoad.peak *= decay(elapsed, peakMemory)
		priorityLoad.peakAt = now
	}
	priorityLoad.recent.decayBy(now, peakHalfLife)
	priorityLoad.peak = max(priorityLoad.peak, priorityLoad.recent.events*math.Ln2/peakHalfLife.Seconds())
}

// recordServed records a granted first attempt.
func (pool *Pool) recordServed(now time.Time, ask *Ask) {
	if !pool.byTarget() || ask.Verify != "" {
		return
	}
	if load := pool.loadOf(ask.Priority); load != nil {
		load.served.decayBy(now, servedMemory)
		load.served.failures++
	}
}

// recordReturn takes back the count of a rejected first attempt whose caller returns in time, as it is counted again then.
func (pool *Pool) recordReturn(now time.Time, ask *Ask, latest time.Duration) {
	load := pool.loadOf(ask.Priority)
	if load == nil || ask.Number > 1 || !pool.canAnswer(now.Add(latest), ask) {
		return
	}
	load.served.decayBy(now, servedMemory)
	load.served.events = max(0, load.served.events-1)
}

// addInFlightOf adds to the requests in flight of a priority.
func (pool *Pool) addInFlightOf(g *grant, change int) {
	if !pool.byTarget() || g.adopted {
		return
	}
	if load := pool.loadOf(g.priority); load != nil {
		load.inFlight = max(0, load.inFlight+change)
	}
}

// isStarved reports whether a priority has got so few grants lately that its asks go first.
func (pool *Pool) isStarved(now time.Time, priority int) bool {
	if len(pool.loads) < 2 {
		return false
	}
	asked, granted, all, allGranted := 0.0, 0.0, 0.0, 0.0
	for i := range pool.loads {
		load := &pool.loads[i]
		load.served.decayBy(now, servedMemory)
		all, allGranted = all+load.served.events, allGranted+load.served.failures
		if load.priority == priority {
			asked, granted = load.served.events, load.served.failures
		}
	}
	return asked >= minAsked && granted*all < starvedShare*allGranted*asked
}

// keepsFree reports whether an ask must leave the free slots to more urgent requests: those expected while the most patient of the slots in use become
// free would otherwise wait beyond their target latency.
func (pool *Pool) keepsFree(now time.Time, ask *Ask) bool {
	if !pool.byTarget() || len(pool.loads) < 2 || ask.Priority == pool.loads[0].priority {
		return false
	}
	lacking := 0.0
	for i := range pool.loads {
		urgent := &pool.loads[i]
		if urgent.priority >= ask.Priority {
			break
		}
		urgent.updatePeak(now)
		window := max(0, urgent.slack)
		expected := urgent.peak * window
		if expected < minExpectedUrgent {
			continue
		}
		freed := 0.0
		for k := range pool.loads {
			load := &pool.loads[k]
			turns := window / max(load.mean, window/maxTurns)
			if load.priority > urgent.priority {
				turns = min(1, turns) * freedInTime
			}
			freed += float64(load.inFlight) * turns
		}
		lacking = max(lacking, expected+urgentMargin*math.Sqrt(expected)-freed)
	}
	if lacking <= 0 || pool.isStarved(now, ask.Priority) || now.Add(2*pool.likelyHoldTime(ask.Priority)).After(ask.dueAt()) {
		return false
	}
	slots := pool.likelySlots(now)
	return slots-float64(len(pool.grants)) < 1+min(lacking, maxKeptFree*slots)
}
