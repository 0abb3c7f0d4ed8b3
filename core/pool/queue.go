package pool

import "time"

// waiter is a queued ask.
type waiter struct {
	ask   Ask
	since time.Time
}

// enqueue queues an ask until its deadline, or refuses it at once.
func (pool *Pool) enqueue(now time.Time, ask Ask) Decision {
	refused := Decision{Attempt: ask.Attempt, Verdict: Full, RetryAt: now.Add(fullRetryAfter)}
	if !pool.anyInService() {
		refused.Verdict, refused.RetryAt = NoServer, now.Add(noServerRetry)
		return refused
	}
	if restUntil, resting := pool.allRest(now); resting {
		refused.RetryAt = restUntil
		return refused
	}
	if ask.Hedge || !now.Before(ask.Deadline) {
		return refused
	}
	if len(pool.waiters) >= pool.queueLimit() && !pool.displace(now, ask.Team) {
		return refused
	}
	pool.waiters = append(pool.waiters, waiter{ask, now})
	return Decision{Attempt: ask.Attempt, Verdict: Queued}
}

// allRest reports whether every server in service refuses work for load, and until when.
func (pool *Pool) allRest(now time.Time) (time.Time, bool) {
	earliest := time.Time{}
	for _, s := range pool.servers {
		if s.phase != inService || s.member.Leaving {
			continue
		}
		if !now.Before(s.restUntil) {
			return time.Time{}, false
		}
		if earliest.IsZero() || s.restUntil.Before(earliest) {
			earliest = s.restUntil
		}
	}
	return earliest, !earliest.IsZero()
}

// queueLimit bounds the wait in the queue to the time of a few requests.
func (pool *Pool) queueLimit() int {
	slots := 0
	for _, s := range pool.servers {
		if s.phase == inService && !s.member.Leaving {
			slots += s.slots
		}
	}
	return min(waiterLimit, queueDepth*slots)
}

func (pool *Pool) anyInService() bool {
	for _, s := range pool.servers {
		if s.phase == inService && !s.member.Leaving {
			return true
		}
	}
	return false
}

// serveWaiters grants queued asks while slots are free.
func (pool *Pool) serveWaiters(now time.Time) {
	for len(pool.waiters) > 0 {
		i := pool.nextWaiter()
		ask := pool.waiters[i].ask
		s, r := pool.choose(now, &ask)
		if s == nil {
			return
		}
		pool.removeWaiter(i)
		pool.ready = append(pool.ready, pool.grant(now, &ask, s, r))
	}
}

// nextWaiter returns the longest waiting ask of the team with the fewest requests in flight.
func (pool *Pool) nextWaiter() int {
	if len(pool.waiters) == 1 {
		return 0
	}
	best := 0
	for i := range pool.waiters {
		if pool.teams[pool.waiters[i].ask.Team] < pool.teams[pool.waiters[best].ask.Team] {
			best = i
		}
	}
	return best
}

// displace makes room in a full queue for a team with fewer waiters than another: the other's latest is refused.
func (pool *Pool) displace(now time.Time, team string) bool {
	waiting := make(map[string]int, 8)
	largest := team
	for i := range pool.waiters {
		other := pool.waiters[i].ask.Team
		waiting[other]++
		if waiting[other] > waiting[largest] {
			largest = other
		}
	}
	if waiting[largest] <= waiting[team]+1 {
		return false
	}
	for i := len(pool.waiters) - 1; i >= 0; i-- {
		if pool.waiters[i].ask.Team != largest {
			continue
		}
		refused := Decision{Attempt: pool.waiters[i].ask.Attempt, Verdict: Full, RetryAt: now.Add(fullRetryAfter)}
		pool.removeWaiter(i)
		pool.ready = append(pool.ready, refused)
		return true
	}
	return false
}

// hold counts a team's requests in flight.
func (pool *Pool) hold(team string, change int) {
	pool.teams[team] += change
	if pool.teams[team] <= 0 {
		delete(pool.teams, team)
	}
}

func (pool *Pool) removeWaiter(i int) {
	pool.waiters = append(pool.waiters[:i], pool.waiters[i+1:]...)
}

// expireWaiters refuses the asks whose wait is over.
func (pool *Pool) expireWaiters(now time.Time) {
	kept := pool.waiters[:0]
	for _, w := range pool.waiters {
		if now.Before(w.ask.Deadline) {
			kept = append(kept, w)
			continue
		}
		pool.ready = append(pool.ready, Decision{Attempt: w.ask.Attempt, Verdict: Full, RetryAt: now.Add(fullRetryAfter)})
	}
	pool.waiters = kept
}

// Withdraw drops a queued ask whose caller has gone.
func (pool *Pool) Withdraw(attempt uint64) {
	for i := range pool.waiters {
		if pool.waiters[i].ask.Attempt == attempt {
			pool.removeWaiter(i)
			return
		}
	}
}

// Next returns the decision of an ask that was queued before.
func (pool *Pool) Next() (Decision, bool) {
	if len(pool.ready) == 0 {
		return Decision{}, false
	}
	decision := pool.ready[0]
	pool.ready = append(pool.ready[:0], pool.ready[1:]...)
	return decision, true
}

// waits reports whether an attempt is queued.
func (pool *Pool) waits(attempt uint64) bool {
	for i := range pool.waiters {
		if pool.waiters[i].ask.Attempt == attempt {
			return true
		}
	}
	return false
}

// Discard frees a grant that nobody uses.
func (pool *Pool) Discard(now time.Time, attempt uint64) {
	if g, found := pool.grants[attempt]; found {
		pool.release(now, attempt, g)
	}
}
