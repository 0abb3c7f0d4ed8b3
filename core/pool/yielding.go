package pool

import "time"

// Additional attempts while a service lacks slots. The load: demand beyond the slots, while a part of the attempts fails or is slow. Retries, hedges
// and verifications then take slots from requests that have had none.

// yields reports whether a retry goes behind the first attempts of its priority.
func (pool *Pool) yields(ask *Ask) bool { return pool.byTarget() && ask.isRetry() }

// lacksSlots reports whether asks wait for slots, so that hedges and verifications must leave them to these.
func (pool *Pool) lacksSlots() bool { return pool.byTarget() && pool.queue.len() > 0 }

// hedgeRetryAt returns when a hedge that has yielded may be asked for again: when the asks that are queued now have likely got
// a slot.
func (pool *Pool) hedgeRetryAt(now time.Time) time.Time {
	return now.Add(max(minRetryAfter, pool.waitFor(pool.queue.len(), pool.likelySlots(now))))
}
