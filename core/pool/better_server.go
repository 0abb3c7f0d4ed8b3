package pool

import "time"

// Slots of failing servers while slots are scarce. The load: a third of the servers fail 0.85 of their requests for some seconds, while demand
// reaches the healthy slots. A failing server answers at once, so its slots are free whenever no other is, and it would get a large part of
// the requests.

// With queue=target an ask that cannot be retried and has waited for maxBetterWait goes on waiting while the best free server fails with at least this
// probability. One failure after many answers stays below the lower one: servers that wait for an answer to show them healthy would be
// idle (at 0.35 an overload by 1.1 earned 0.82 in place of 0.91). The upper one applies once the queue takes up all the time that an ask has: healthy
// slots are then not worth waiting for, and only servers that fail again and again are left out.
const (
	minKnownFailing = 0.5
	maxKnownFailing = 0.65
)

// maxPassedWaiting is how many asks of a team queue are considered for a slot that the next ask does not take.
const maxPassedWaiting = 8

// mayAwaitBetter reports whether an ask may go on waiting for a slot of a server that is likely to answer, rather than take one of a server with the
// given failure probability. With queue=target one that cannot be retried does while a better server likely answers on time; see expireByTarget for its end.
func (pool *Pool) mayAwaitBetter(now time.Time, ask *Ask, failureProbability float64) bool {
	if ask.since.IsZero() || now.Sub(ask.since) < maxBetterWait {
		return true
	}
	if !pool.byTarget() || ask.retriable() || failureProbability < minKnownFailing {
		return false
	}
	slack := ask.dueAt().Sub(ask.since) - pool.likelyHoldTime(ask.Priority)
	wait := pool.waitFor(pool.queue.len(), pool.likelySlots(now))
	return failureProbability >= minKnownFailing+(maxKnownFailing-minKnownFailing)*min(1, float64(wait)/float64(max(1, slack)))
}

// grantRetriable grants a queued first attempt that can be retried and has waited for maxBetterWait, if there is a free slot for it. The ask that is served
// next may wait for a better server than those with free slots; the asks behind it would wait for their deadlines while these slots are idle. It
// reports whether there was one.
func (pool *Pool) grantRetriable(now time.Time) bool {
	if !pool.byTarget() {
		return false
	}
	for i := range pool.queue.teamQueues {
		asks := pool.queue.teamQueues[i].asks
		for j := range asks[:min(len(asks), maxPassedWaiting)] {
			ask := asks[j]
			if !ask.retriable() || ask.isRetry() || now.Sub(ask.since) < maxBetterWait {
				continue
			}
			s, r := pool.choose(now, &ask)
			if s == nil {
				break
			}
			pool.queue.remove(i, j)
			pool.ready = append(pool.ready, pool.grant(now, &ask, s, r))
			return true
		}
	}
	return false
}
