package pool

import (
	"slices"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/locality"
)

// localWaits holds the asks that wait for a slot of the asking instance's failure domain while slots of other domains are free. Asks that
// wait because no slot is free are in the queue instead. The zero value is empty.
type localWaits struct {
	domains []domainWaits
	use     LocalityUse
}

// domainWaits is the part of a failure domain.
type domainWaits struct {
	domain string
	leaver locality.Leaver
	asks   []localAsk // by priority, then by arrival
}

type localAsk struct {
	Ask
	leaveAt time.Time // the ask takes a slot of another domain from then on
}

// LocalityUse is what a pool has decided for asks whose failure domain had no free slot while others had.
type LocalityUse struct {
	Since       time.Time
	Stayed      int // asks granted a slot of their own domain after a wait
	Left        int // asks granted a slot of another domain, of them LeftWaiting after a wait
	LeftWaiting int
}

// localityUseInterval is the least time between two results of TakeLocalityUse.
const localityUseInterval = 10 * time.Second

// TakeLocalityUse returns the decisions since the last result, if there are any and it is old enough.
func (pool *Pool) TakeLocalityUse(now time.Time) (LocalityUse, bool) {
	use := &pool.localWaits.use
	if use.Stayed+use.Left == 0 || now.Sub(use.Since) < localityUseInterval {
		return LocalityUse{}, false
	}
	taken := *use
	*use = LocalityUse{Since: now}
	return taken, true
}

func (localWaits *localWaits) of(domain string) *domainWaits {
	i := slices.IndexFunc(localWaits.domains, func(d domainWaits) bool { return d.domain == domain })
	if i < 0 {
		i = len(localWaits.domains)
		localWaits.domains = append(localWaits.domains, domainWaits{domain: domain})
	}
	return &localWaits.domains[i]
}

// find returns the place of a waiting attempt.
func (localWaits *localWaits) find(attempt uint64) (waits *domainWaits, index int, found bool) {
	for i := range localWaits.domains {
		d := &localWaits.domains[i]
		if j := slices.IndexFunc(d.asks, func(a localAsk) bool { return a.Attempt == attempt }); j >= 0 {
			return d, j, true
		}
	}
	return nil, 0, false
}

func (localWaits *localWaits) has(attempt uint64) bool {
	_, _, found := localWaits.find(attempt)
	return found
}

func (localWaits *localWaits) withdraw(attempt uint64) {
	if d, i, found := localWaits.find(attempt); found {
		d.asks = slices.Delete(d.asks, i, i+1)
	}
}

// leaveCost returns the cost of serving an ask outside its failure domain.
func (pool *Pool) leaveCost(ask *Ask) float64 {
	switch {
	case pool.policy.Locality:
		return pool.prices().Leaving(ask.Large)
	case ask.Large:
		return crossDomainLargeCost
	}
	return crossDomainCost
}

func (pool *Pool) prices() locality.Prices { return locality.Prices{Byte: pool.policy.BytePrice} }

// mayWaitLocally reports whether an ask for which a server of another domain was chosen is one that may wait for its own domain.
// Retries, hedges and verifications do not wait again, and requests that keep the floor go where they are needed.
func (pool *Pool) mayWaitLocally(now time.Time, ask *Ask, s *server, r rank) bool {
	return pool.policy.Locality && s.member.Domain != ask.Domain && r == rankHealthy && ask.Number <= 1 && !ask.Hedge && ask.Verify == "" &&
		len(ask.Paused) == 0 && pool.chooseForFloor(now, ask) == nil
}

// ownDomain returns an ask's failure domain, and whether all slots there are taken. Servers that likely fail do not count.
func (pool *Pool) ownDomain(now time.Time, ask *Ask, waits *domainWaits) (domain locality.Domain, full bool) {
	domain = locality.Domain{Waiting: len(waits.asks), HoldTime: pool.expectedHoldTime()}
	for _, s := range pool.servers {
		if s.member.Domain != ask.Domain || !s.acceptsWork(now) || s.likelyFailing(now) || ask.excludes(s) {
			continue
		}
		limit := s.limit(now)
		if s.inFlight < limit {
			return domain, false
		}
		domain.Slots += limit
	}
	return domain, domain.Slots > 0
}

// waitLocally decides whether an ask waits for a slot of its own failure domain rather than take one of another domain's server. An ask
// that does not wait is refused instead, so that it is sent to another slice.
func (pool *Pool) waitLocally(now time.Time, ask *Ask, s *server, r rank) (Decision, bool) {
	if !pool.mayWaitLocally(now, ask, s, r) {
		return Decision{}, false
	}
	waits := pool.localWaits.of(ask.Domain)
	domain, full := pool.ownDomain(now, ask, waits)
	if !full {
		return Decision{}, false
	}
	limit, stays := waits.leaver.Stays(domain, pool.prices().Response(ask.Large))
	if !stays || now.Add(limit+pool.expectedHoldTime()).After(ask.Deadline) {
		pool.localWaits.use.Left++
		return Decision{}, false
	}
	if ask.NoWait {
		return Decision{Attempt: ask.Attempt, Verdict: Full, RetryAt: now.Add(limit)}, true
	}
	waiting := localAsk{Ask: *ask, leaveAt: now.Add(limit)}
	waiting.since = now
	at := slices.IndexFunc(waits.asks, func(a localAsk) bool { return a.Priority > ask.Priority })
	if at < 0 {
		at = len(waits.asks)
	}
	waits.asks = slices.Insert(waits.asks, at, waiting)
	return Decision{Attempt: ask.Attempt, Verdict: Queued}, true
}

// grantLocal grants free slots of a failure domain to the asks that wait for them; the empty name stands for all domains. It grants slots of
// other domains to asks that have waited long enough, and queues them if there are none.
func (pool *Pool) grantLocal(now time.Time, domain string) {
	for i := range pool.localWaits.domains {
		waits := &pool.localWaits.domains[i]
		if domain != "" && domain != waits.domain {
			continue
		}
		for len(waits.asks) > 0 {
			s, r := pool.choose(now, &waits.asks[0].Ask)
			if s == nil || s.member.Domain != waits.domain {
				break
			}
			pool.localWaits.use.Stayed++
			pool.grantWaiting(now, waits, 0, s, r)
		}
		for j := 0; j < len(waits.asks); {
			if now.Before(waits.asks[j].leaveAt) {
				j++
				continue
			}
			s, r := pool.choose(now, &waits.asks[j].Ask)
			if s == nil {
				pool.addQueued(waits.asks[j].Ask)
				waits.asks = slices.Delete(waits.asks, j, j+1)
				continue
			}
			if s.member.Domain == waits.domain {
				pool.localWaits.use.Stayed++
			} else {
				pool.localWaits.use.Left++
				pool.localWaits.use.LeftWaiting++
			}
			pool.grantWaiting(now, waits, j, s, r)
		}
	}
}

// grantWaiting grants a server to a waiting ask.
func (pool *Pool) grantWaiting(now time.Time, waits *domainWaits, index int, s *server, r rank) {
	ask := waits.asks[index].Ask
	waits.asks = slices.Delete(waits.asks, index, index+1)
	pool.ready = append(pool.ready, pool.grant(now, &ask, s, r))
}

// queueLocal moves the asks that wait for their own domains to the queue, because other domains have no free slots either. There the order
// of the queue holds for them.
func (pool *Pool) queueLocal() {
	for i := range pool.localWaits.domains {
		waits := &pool.localWaits.domains[i]
		for _, ask := range waits.asks {
			pool.addQueued(ask.Ask)
		}
		waits.asks = nil
	}
}
