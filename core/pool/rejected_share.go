package pool

import (
	"math"
	"time"
)

// Retries while backend servers reject a share of all requests. The load: all servers of a service reject 0.55 of the requests unrun for 8.5 s. The budget
// for retries is spent at once; rejections are no evidence against one server; and a caller that returns has the same chance as a retry.
const (
	// minRejectedShare is the share of rejected attempts from which tokens for retries are kept for those that need them most.
	minRejectedShare = 0.1
	// commonRejectedShare is the share of the servers that have rejected a request within rejectedMemory from which a rejection is no evidence against
	// one server: all would count as failing, as answers to requests granted before a rejection are no evidence for a server.
	commonRejectedShare = 0.5
	rejectedMemory      = time.Second
	// maxRejectedInARow is the probability with which all returns of a caller may be rejected; it determines how often it returns.
	maxRejectedInARow = 0.05
	// returnSpread is the part of the time between two returns by which callers are spread around it.
	returnSpread = 1.0
)

// recordRejected records whether an attempt was rejected.
func (pool *Pool) recordRejected(now time.Time, s *server, rejected bool) {
	share := 0.0
	if rejected {
		s.rejectedAt = now
		share = 1
	}
	pool.rejected.addDecayed(now, share, arrivalsHalfLife)
}

// rejectedByMany reports whether so many servers have rejected requests lately that the cause lies in all of them.
func (pool *Pool) rejectedByMany(now time.Time) bool {
	servers, rejecting := 0, 0
	for _, s := range pool.servers {
		if s.phase != inService || s.member.Leaving {
			continue
		}
		servers++
		if !s.rejectedAt.IsZero() && now.Sub(s.rejectedAt) <= rejectedMemory {
			rejecting++
		}
	}
	return servers > 1 && float64(rejecting) >= commonRejectedShare*float64(servers)
}

// rejectedShare returns the share of the latest attempts that servers have rejected.
func (pool *Pool) rejectedShare(now time.Time) float64 {
	pool.rejected.decayBy(now, arrivalsHalfLife)
	return pool.rejected.share()
}

// reservedTokens returns the number of tokens that a retry must leave to others: those that more urgent requests need while earned tokens last. A retry
// whose caller cannot return in time leaves none.
func (pool *Pool) reservedTokens(now time.Time, ask *Ask) int {
	if !pool.byTarget() || pool.rejectedShare(now) < minRejectedShare || !pool.canReturn(now, ask) {
		return 0
	}
	needed := 0.0
	for i := range pool.loads {
		if urgent := &pool.loads[i]; urgent.priority < ask.Priority {
			needed += urgent.perSecond(now) * pool.rejectedShare(now) * earnedMemory.Seconds()
		}
	}
	return int(math.Ceil(needed))
}

// canReturn reports whether the caller of a rejected ask may return early enough for an answer before its deadline.
func (pool *Pool) canReturn(now time.Time, ask *Ask) bool {
	latest := time.Duration(returnShare * float64(ask.Deadline.Sub(now)))
	return latest >= minRetryAfter && pool.canAnswer(now.Add(latest), ask)
}

// overBudgetRetryAt returns when the caller of a retry without a token may return. With queue=target the time left until the target latency, or else
// until the deadline, is divided among as many returns as make it likely that one is not rejected.
func (pool *Pool) overBudgetRetryAt(now time.Time, ask *Ask) time.Time {
	if !pool.byTarget() {
		return now.Add(overBudgetRetryAfter)
	}
	if !pool.canReturn(now, ask) {
		return pool.returnAt(now, ask, 0)
	}
	left := ask.dueAt().Sub(now) - pool.likelyHoldTime(ask.Priority)
	if ask.TargetAt.IsZero() || left <= 0 {
		left = ask.Deadline.Sub(now) - pool.likelyHoldTime(ask.Priority)
	}
	share := min(0.9, max(minRejectedShare, pool.rejectedShare(now)))
	returns := math.Ceil(math.Log(maxRejectedInARow) / math.Log(share))
	interval := max(float64(minRetryAfter), float64(left)/returns)
	latest := returnShare * float64(ask.Deadline.Sub(now))
	return now.Add(time.Duration(min(latest, interval*(1-returnSpread/2+returnSpread*pool.spreadPoint(ask)))))
}
