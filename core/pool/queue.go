package pool

import (
	"slices"
	"time"
)

// Queueing for slots.
const (
	maxQueuedAsks      = 16_384 // per slice
	fullRetryAfter     = time.Second
	noServerRetryAfter = 2 * time.Second
	holdTimeWeight     = 1.0 / 32 // weight of the latest attempt in the moving average
)

// queue holds the asks waiting for a slot, by team and priority. The zero value is empty.
type queue struct {
	teamQueues []teamQueue         // one for each team and priority with waiting asks, in order of arrival
	attempts   map[uint64]struct{} // queued attempts
	retries    int                 // of them, retries: each has a token of the retry budget reserved
}

// teamQueue is the queue of one team at one priority, oldest ask first.
type teamQueue struct {
	team     string
	priority int
	yields   bool // retries that go behind the first attempts of the priority
	asks     []Ask
}

func (queue *queue) len() int { return len(queue.attempts) }

// has reports whether an attempt is queued.
func (queue *queue) has(attempt uint64) bool {
	_, found := queue.attempts[attempt]
	return found
}

// indexOf returns the index of the team queue for an ask, or -1.
func (queue *queue) indexOf(ask *Ask) int {
	return slices.IndexFunc(queue.teamQueues, func(l teamQueue) bool {
		return l.team == ask.Team && l.priority == ask.Priority && l.yields == ask.yields
	})
}

// countAhead returns the number of asks that are served before a new one of a priority.
func (queue *queue) countAhead(priority int) int {
	count := 0
	for i := range queue.teamQueues {
		if queue.teamQueues[i].priority <= priority {
			count += len(queue.teamQueues[i].asks)
		}
	}
	return count
}

// track adds an ask to the queued attempts and returns the index of its team queue.
func (queue *queue) track(ask *Ask) int {
	if queue.attempts == nil {
		queue.attempts = map[uint64]struct{}{}
	}
	queue.attempts[ask.Attempt] = struct{}{}
	if ask.isRetry() {
		queue.retries++
	}
	return queue.teamQueueOf(ask)
}

func (queue *queue) add(ask Ask) {
	i := queue.track(&ask)
	queue.teamQueues[i].asks = append(queue.teamQueues[i].asks, ask)
}

// addByDue adds an ask to its team queue in order of dueAt, after those that are due at the same time, or before them if it is put back.
func (queue *queue) addByDue(ask Ask, putBack bool) {
	l, due := &queue.teamQueues[queue.track(&ask)], ask.dueAt()
	at := len(l.asks)
	for at > 0 && (l.asks[at-1].dueAt().After(due) || putBack && l.asks[at-1].dueAt().Equal(due)) {
		at--
	}
	l.asks = slices.Insert(l.asks, at, ask)
}

// teamQueueOf returns the index of the team queue of an ask, which it adds if there is none.
func (queue *queue) teamQueueOf(ask *Ask) int {
	i := queue.indexOf(ask)
	if i < 0 {
		i = len(queue.teamQueues)
		queue.teamQueues = append(queue.teamQueues, teamQueue{team: ask.Team, priority: ask.Priority, yields: ask.yields})
	}
	return i
}

// pushFront puts an ask back at the front of its team queue.
func (queue *queue) pushFront(ask Ask) {
	i := queue.track(&ask)
	queue.teamQueues[i].asks = slices.Insert(queue.teamQueues[i].asks, 0, ask)
}

// remove removes an ask from a team queue, and removes the team queue when it is empty.
func (queue *queue) remove(i, j int) Ask {
	l := &queue.teamQueues[i]
	ask := l.asks[j]
	delete(queue.attempts, ask.Attempt)
	if ask.isRetry() {
		queue.retries--
	}
	if j < len(l.asks)/2 {
		copy(l.asks[1:j+1], l.asks[:j])
		l.asks[0] = Ask{}
		l.asks = l.asks[1:]
	} else {
		l.asks = slices.Delete(l.asks, j, j+1)
	}
	if len(l.asks) == 0 {
		queue.teamQueues = slices.Delete(queue.teamQueues, i, i+1)
	}
	return ask
}

// withdraw removes an attempt.
func (queue *queue) withdraw(attempt uint64) {
	if !queue.has(attempt) {
		return
	}
	for i := range queue.teamQueues {
		if j := slices.IndexFunc(queue.teamQueues[i].asks, func(a Ask) bool { return a.Attempt == attempt }); j >= 0 {
			queue.remove(i, j)
			return
		}
	}
}

// largest returns the index of the longest team queue at the least urgent priority, or -1.
func (queue *queue) largest() int {
	found := -1
	for i := range queue.teamQueues {
		l := &queue.teamQueues[i]
		if found < 0 || l.priority > queue.teamQueues[found].priority ||
			l.priority == queue.teamQueues[found].priority && len(l.asks) > len(queue.teamQueues[found].asks) {
			found = i
		}
	}
	return found
}

// enqueue queues an ask that likely gets a slot in time, and refuses others at once.
func (pool *Pool) enqueue(now time.Time, ask Ask) Decision {
	refused := Decision{Attempt: ask.Attempt, Verdict: Full, RetryAt: now.Add(fullRetryAfter)}
	if !pool.anyInService() {
		refused.Verdict, refused.RetryAt = NoServer, now.Add(noServerRetryAfter)
		return refused
	}
	if backoffUntil, inBackoff := pool.allInBackoff(now); inBackoff {
		refused.RetryAt = backoffUntil
		if pool.byTarget() {
			refused.RetryAt = pool.returnAt(now, &ask, backoffUntil.Sub(now))
		}
		return refused
	}
	if ask.Hedge || now.Add(pool.expectedHoldTime()).After(ask.Deadline) {
		return refused
	}
	if pool.byTarget() {
		return pool.enqueueByTarget(now, ask)
	}
	if wait := pool.expectedWait(ask.Priority); pool.waitTooLong(now, wait, &ask) && !pool.displace(now, &ask) {
		refused.RetryAt = now.Add(max(fullRetryAfter, wait))
		return refused
	}
	ask.since = now
	pool.queue.add(ask)
	return Decision{Attempt: ask.Attempt, Verdict: Queued}
}

// expectedWait returns the expected queueing time of a new ask of a priority, from the mean hold time of the slots in
// service and the asks served before it.
func (pool *Pool) expectedWait(priority int) time.Duration {
	slots := 0
	for _, s := range pool.servers {
		if s.phase == inService && !s.member.Leaving {
			slots += s.slots
		}
	}
	return pool.waitFor(pool.queue.countAhead(priority)+1, float64(slots))
}

// waitFor returns the expected time until a number of asks has got one of the slots each.
func (pool *Pool) waitFor(asks int, slots float64) time.Duration {
	return time.Duration(float64(asks) / max(1, slots) * float64(pool.expectedHoldTime()))
}

// expectedHoldTime returns the mean time for which a slot is held, or a default before the first answer.
func (pool *Pool) expectedHoldTime() time.Duration {
	if pool.meanHoldTime <= 0 {
		return initialSuspectAfter
	}
	return pool.meanHoldTime
}

// recordHoldTime adds an attempt's hold time to the moving average.
func (pool *Pool) recordHoldTime(duration time.Duration) {
	if pool.meanHoldTime <= 0 {
		pool.meanHoldTime = duration
		return
	}
	pool.meanHoldTime += time.Duration(holdTimeWeight * float64(duration-pool.meanHoldTime))
}

// waitTooLong reports whether the queue is full, or the wait exceeds the policy's limit or leaves no time for an answer before
// the ask's deadline.
func (pool *Pool) waitTooLong(now time.Time, wait time.Duration, ask *Ask) bool {
	return wait > pool.policy.Wait || pool.queue.len() >= maxQueuedAsks || now.Add(wait+pool.expectedHoldTime()).After(ask.Deadline)
}

// allInBackoff reports whether all servers in service are in backoff after overload rejections, and when the first one ends.
func (pool *Pool) allInBackoff(now time.Time) (time.Time, bool) {
	earliest := time.Time{}
	for _, s := range pool.servers {
		if s.phase != inService || s.member.Leaving {
			continue
		}
		if !now.Before(s.backoffUntil) {
			return time.Time{}, false
		}
		if earliest.IsZero() || s.backoffUntil.Before(earliest) {
			earliest = s.backoffUntil
		}
	}
	return earliest, !earliest.IsZero()
}

func (pool *Pool) anyInService() bool {
	return slices.ContainsFunc(pool.servers, func(s *server) bool { return s.phase == inService && !s.member.Leaving })
}

// maxPassedOver limits the queued asks that are passed over at a time because servers have paused their instances.
const maxPassedOver = 64

// grantQueued grants queued asks while slots are free. It passes over asks of instances that all servers with free slots have
// paused.
func (pool *Pool) grantQueued(now time.Time) {
	var passed []Ask
	for pool.queue.len() > 0 && len(passed) < maxPassedOver {
		i, j := pool.next(now)
		ask := pool.queue.teamQueues[i].asks[j]
		s, r := pool.choose(now, &ask)
		if s == nil && len(ask.Paused) == 0 {
			if pool.grantRetriable(now) {
				continue
			}
			break
		}
		pool.queue.remove(i, j)
		if s == nil {
			passed = append(passed, ask)
			continue
		}
		if ask.isRetry() && !pool.retryBudget.allows(now, ask.Hedge, 0) {
			// Its token has decayed, or another home of the slice took the requests that earn.
			pool.retryUse.Refused++
			pool.refuse(now, ask, OverBudget, pool.overBudgetRetryAt(now, &ask))
			continue
		}
		pool.ready = append(pool.ready, pool.grant(now, &ask, s, r))
	}
	for _, ask := range slices.Backward(passed) {
		if pool.byTarget() {
			pool.queue.addByDue(ask, true)
		} else {
			pool.queue.pushFront(ask)
		}
	}
}

// addQueued adds an ask at its place in the order of the queue.
func (pool *Pool) addQueued(ask Ask) {
	if pool.byTarget() {
		pool.queue.addByDue(ask, false)
		return
	}
	pool.queue.add(ask)
}

// next returns the position of the ask that is served next.
func (pool *Pool) next(now time.Time) (i, j int) {
	if pool.byTarget() {
		return pool.nextByTarget(now)
	}
	return pool.nextTeamQueue(), 0
}

// nextTeamQueue returns the index of the team queue of the most urgent priority whose team has the fewest requests in flight.
func (pool *Pool) nextTeamQueue() int {
	best := 0
	for i := range pool.queue.teamQueues {
		l, b := &pool.queue.teamQueues[i], &pool.queue.teamQueues[best]
		if l.priority < b.priority || l.priority == b.priority && pool.teams[l.team] < pool.teams[b.team] {
			best = i
		}
	}
	return best
}

// displace makes room in a full queue for an ask that is more urgent, or whose team has fewer queued asks than another. It
// refuses the latest ask of the longest team queue.
func (pool *Pool) displace(now time.Time, ask *Ask) bool {
	largest := pool.queue.largest()
	if largest < 0 || pool.queue.teamQueues[largest].priority < ask.Priority {
		return false
	}
	own := 0
	if i := pool.queue.indexOf(ask); i >= 0 {
		own = len(pool.queue.teamQueues[i].asks)
	}
	last := len(pool.queue.teamQueues[largest].asks) - 1
	if pool.queue.teamQueues[largest].priority == ask.Priority && last <= own {
		return false
	}
	pool.refuseFull(now, pool.queue.remove(largest, last))
	return true
}

// refuse refuses a queued ask.
func (pool *Pool) refuse(now time.Time, ask Ask, verdict Verdict, retryAt time.Time) {
	pool.lossMonitor.recordLost(now)
	pool.ready = append(pool.ready, Decision{Attempt: ask.Attempt, Verdict: verdict, RetryAt: retryAt})
}

// refuseFull refuses a queued ask that gets no slot.
func (pool *Pool) refuseFull(now time.Time, ask Ask) {
	if pool.byTarget() {
		wait := pool.waitByTarget(now, &ask)
		pool.refuse(now, ask, Full, pool.returnAt(now, &ask, wait))
		return
	}
	pool.refuse(now, ask, Full, now.Add(max(fullRetryAfter, pool.expectedWait(ask.Priority))))
}

// addInFlight adds to a team's count of requests in flight.
func (pool *Pool) addInFlight(team string, change int) {
	pool.teams[team] += change
	if pool.teams[team] <= 0 {
		delete(pool.teams, team)
	}
}

// expireQueued refuses queued asks past their deadline, with queue=target those that are unlikely to be answered before it.
func (pool *Pool) expireQueued(now time.Time) {
	if pool.byTarget() {
		pool.expireByTarget(now)
		return
	}
	for i := len(pool.queue.teamQueues) - 1; i >= 0; i-- {
		for j := len(pool.queue.teamQueues[i].asks) - 1; j >= 0; j-- {
			if !now.Before(pool.queue.teamQueues[i].asks[j].Deadline) {
				pool.refuseFull(now, pool.queue.remove(i, j))
			}
		}
	}
}

// Withdraw removes a queued ask whose caller has disconnected.
func (pool *Pool) Withdraw(attempt uint64) {
	pool.queue.withdraw(attempt)
	pool.localWaits.withdraw(attempt)
}

// Next returns the decision on an ask that was queued.
func (pool *Pool) Next() (Decision, bool) {
	if len(pool.ready) == 0 {
		return Decision{}, false
	}
	decision := pool.ready[0]
	pool.ready = append(pool.ready[:0], pool.ready[1:]...)
	return decision, true
}

// Discard releases an unused grant.
func (pool *Pool) Discard(now time.Time, attempt uint64) {
	if g, found := pool.grants[attempt]; found {
		pool.release(now, attempt, g)
	}
}
