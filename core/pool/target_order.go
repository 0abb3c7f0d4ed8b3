package pool

import (
	"math"
	"sort"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// Order within a priority, and rejection, while demand exceeds the slots for seconds. An answer is worth most within the target latency, less
// until the deadline and nothing afterwards. In order of arrival such a load has each ask wait until its answer is late.

const (
	arrivalsHalfLife = time.Second // of the rate of first attempts of a priority
	// minSpareShare is the share of the slots not needed by requests that can be answered on time below which a late one is rejected: its
	// wait would be unbounded.
	minSpareShare = 0.02
	unboundedWait = 24 * time.Hour
	minRetryAfter = 50 * time.Millisecond
	// returnShare is the part of its remaining time that a rejected caller waits before it returns. Callers honour up to a third.
	returnShare = 0.32
	// earliestReturn is the part of that wait from which on callers are spread.
	earliestReturn = 0.3
	goldenRatio    = 0.6180339887498949 // its multiples modulo 1 are spread evenly, however many there are
)

// dueAt returns the time from which an answer has lost value: the target latency. An ask without one is never late: it is due after its deadline, by
// more than the deviation of hold times, and rejected once its deadline cannot be met.
func (ask *Ask) dueAt() time.Time {
	if ask.TargetAt.IsZero() || ask.TargetAt.After(ask.Deadline) {
		return ask.Deadline.Add(maxSuspectAfter)
	}
	return ask.TargetAt
}

// firstOnTime returns the index of the first ask in order of dueAt that is due after the given time.
func (teamQueue *teamQueue) firstOnTime(after time.Time) int {
	return sort.Search(len(teamQueue.asks), func(i int) bool { return teamQueue.asks[i].dueAt().After(after) })
}

// nextByTarget returns the position of the next ask: of a starved priority or else the most urgent one, one that can be answered on time if there
// is one, a first attempt if there is one, of the team with the fewest requests in flight, the one that is due first.
func (pool *Pool) nextByTarget(now time.Time) (i, j int) {
	priority := pool.nextPriority(now)
	hold, found, bestLate := pool.orderHoldTime(now, priority), false, true
	for k := range pool.queue.teamQueues {
		l, best := &pool.queue.teamQueues[k], &pool.queue.teamQueues[i]
		if l.priority != priority {
			continue
		}
		first := l.firstOnTime(now.Add(hold))
		late := first == len(l.asks)
		if late {
			first = 0
		}
		if !found || !late && bestLate || late == bestLate && (!l.yields && best.yields || l.yields == best.yields && pool.teams[l.team] < pool.teams[best.team]) {
			i, j, bestLate, found = k, first, late, true
		}
	}
	return i, j
}

// orderHoldTime returns the hold time by which asks of a priority count as late in the order. While their demand exceeds the slots for long, all would be
// served at the last moment, and half of them late, so it leaves a margin then.
func (pool *Pool) orderHoldTime(now time.Time, priority int) time.Duration {
	if pool.slotsNeeded(now, priority) < pool.likelySlots(now) {
		return pool.meanHoldTimeOf(priority)
	}
	return pool.likelyHoldTime(priority)
}

// nextPriority returns the priority of the next ask.
func (pool *Pool) nextPriority(now time.Time) int {
	urgent, least := math.MaxInt, -1
	for i := range pool.queue.teamQueues {
		urgent, least = min(urgent, pool.queue.teamQueues[i].priority), max(least, pool.queue.teamQueues[i].priority)
	}
	if urgent == least {
		return urgent
	}
	for i := range pool.queue.teamQueues {
		if l := &pool.queue.teamQueues[i]; l.priority != urgent && pool.isStarved(now, l.priority) {
			return l.priority
		}
	}
	return urgent
}

// recordArrival records a first attempt of a priority, by the chance that it will hold a slot: those that servers reject do not.
func (pool *Pool) recordArrival(now time.Time, ask *Ask) {
	if load := pool.loadOf(ask.Priority); load != nil {
		holding := 1 - pool.rejectedShare(now)
		load.arrivals.decayBy(now, arrivalsHalfLife)
		load.arrivals.events += holding
		load.recordAsked(now, holding, ask.dueAt().Sub(now)-pool.likelyHoldTime(ask.Priority))
	}
}

// slotsNeeded returns the number of slots that first attempts of a priority and more urgent ones take at the current rate.
func (pool *Pool) slotsNeeded(now time.Time, priority int) float64 {
	needed := 0.0
	for i := range pool.loads {
		if load := &pool.loads[i]; load.priority <= priority {
			needed += load.perSecond(now) * load.mean
		}
	}
	return needed
}

// waitByTarget returns how long a new ask likely waits for a slot: behind the asks that can be answered on time if it can be too, otherwise behind
// all others and those that arrive meanwhile.
func (pool *Pool) waitByTarget(now time.Time, ask *Ask) time.Duration {
	slots, hold := pool.likelySlots(now), pool.likelyHoldTime(ask.Priority)
	ahead, onTime := 0, 0
	starved := pool.isStarved(now, ask.Priority)
	for i := range pool.queue.teamQueues {
		l := &pool.queue.teamQueues[i]
		if l.priority > ask.Priority || starved && l.priority != ask.Priority || l.priority == ask.Priority && l.yields && !ask.yields {
			continue
		}
		ahead += len(l.asks)
		if l.priority < ask.Priority {
			onTime += len(l.asks)
		} else {
			onTime += len(l.asks) - l.firstOnTime(now.Add(hold))
		}
	}
	wait := pool.waitFor(onTime+1, slots)
	if !now.Add(wait + hold).After(ask.dueAt()) {
		return wait
	}
	spare := slots - pool.slotsNeeded(now, ask.Priority)
	if spare < minSpareShare*slots {
		return unboundedWait
	}
	return pool.waitFor(ahead+1, spare)
}

// canAnswer reports whether an attempt that gets its slot at the given time is likely answered before the ask's deadline.
func (pool *Pool) canAnswer(at time.Time, ask *Ask) bool {
	return !at.Add(pool.meanHoldTimeOf(ask.Priority)).After(ask.Deadline)
}

// likelySlots returns the expected number of slots at servers that are healthy.
func (pool *Pool) likelySlots(now time.Time) float64 {
	slots := 0.0
	for _, s := range pool.servers {
		if s.phase == inService && s.acceptsWork(now) {
			slots += float64(s.limit(now)) * (1 - s.health.failingProbability(now))
		}
	}
	return slots
}

// enqueueByTarget queues an ask that is likely answered before its deadline, and rejects others at once.
func (pool *Pool) enqueueByTarget(now time.Time, ask Ask) Decision {
	ask.yields = pool.yields(&ask)
	wait := pool.waitByTarget(now, &ask)
	if wait > pool.policy.Wait || pool.queue.len() >= maxQueuedAsks || !pool.canAnswer(now.Add(wait), &ask) {
		if !pool.displaceByTarget(now, &ask) {
			return Decision{Attempt: ask.Attempt, Verdict: Full, RetryAt: pool.returnAt(now, &ask, wait)}
		}
	}
	ask.since = now
	pool.queue.addByDue(ask, false)
	return Decision{Attempt: ask.Attempt, Verdict: Queued}
}

// displaceByTarget makes room for an ask that can be answered on time by refusing the last ask of the team of the same priority that has most queued, if
// that is more than the ask's own team has. A less urgent ask gives way only if the queue is full: the ask does not wait for it.
func (pool *Pool) displaceByTarget(now time.Time, ask *Ask) bool {
	if pool.queue.len() >= maxQueuedAsks {
		return pool.displace(now, ask)
	}
	if now.Add(pool.likelyHoldTime(ask.Priority)).After(ask.dueAt()) {
		return false
	}
	longest, length, own := -1, 0, 0
	for i := range pool.queue.teamQueues {
		l := &pool.queue.teamQueues[i]
		if l.priority != ask.Priority {
			continue
		}
		if l.team == ask.Team {
			own += len(l.asks)
		}
		if len(l.asks) > length {
			longest, length = i, len(l.asks)
		}
	}
	if length-1 <= own || pool.queue.teamQueues[longest].team == ask.Team {
		return false
	}
	pool.refuseFull(now, pool.queue.remove(longest, length-1))
	return true
}

// returnAt returns when the caller of a rejected ask may return. Callers are spread over the part of their remaining time for which they wait, the more
// urgent ones first, and not before the expected wait unless that is beyond what they wait for.
func (pool *Pool) returnAt(now time.Time, ask *Ask, wait time.Duration) time.Time {
	latest := time.Duration(returnShare * float64(ask.Deadline.Sub(now)))
	if latest < minRetryAfter {
		return now.Add(max(minRetryAfter, min(wait, fullRetryAfter)))
	}
	pool.recordReturn(now, ask, latest)
	earliest := max(minRetryAfter, min(wait, time.Duration(earliestReturn*float64(latest))))
	return now.Add(earliest + time.Duration(pool.spreadPoint(ask)*float64(latest-earliest)))
}

// spreadPoint returns a point in [0, 1) at which a rejected caller returns: the points of a priority are spread evenly over its part of the interval, and
// more urgent priorities have the earlier parts.
func (pool *Pool) spreadPoint(ask *Ask) float64 {
	pool.rejections++
	_, point := math.Modf(float64(pool.rejections) * goldenRatio)
	rank := 0
	for i := range pool.loads {
		if pool.loads[i].priority < ask.Priority {
			rank++
		}
	}
	return (float64(rank) + point) / float64(max(1, len(pool.loads), rank+1))
}

// expireByTarget refuses queued asks that would wait beyond the time at which they can still be answered.
func (pool *Pool) expireByTarget(now time.Time) {
	for i := len(pool.queue.teamQueues) - 1; i >= 0; i-- {
		l := &pool.queue.teamQueues[i]
		hold := pool.meanHoldTimeOf(l.priority)
		for j := len(l.asks) - 1; j >= 0; j-- {
			if now.Add(hold).After(l.asks[j].Deadline) {
				pool.refuseFull(now, pool.queue.remove(i, j))
			}
		}
	}
}

// byTarget reports whether the pool has queue=target.
func (pool *Pool) byTarget() bool { return pool.policy.Queue == rules.ByTarget }
