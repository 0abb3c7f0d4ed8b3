package pool

import (
	"math"
	"time"
)

// Placement on servers that fail for a few seconds now and then, for a service with free slots of which some servers fail most
// requests while their health checks pass.
//
// The cost of a server for a request is its failure probability times the cost of a failure to the caller, plus small terms for
// load and distance. Non-retriable requests go to servers that have answered well recently; retriable ones test the others.
const (
	nonRetriableCost     = 1.0  // of a failure that ends the request
	retriableCost        = 0.35 // of a failure after which the request is retried, as the retry may fail too
	loadCost             = 0.08 // of a server's last free slot; proportional to the third power of the share of slots in use
	crossDomainCost      = 0.06 // of leaving the asking instance's failure domain with a small answer, without Policy.Locality
	crossDomainLargeCost = 0.6  // the same with a large answer
	retriedCost          = 1.0  // of a server that the request has already tried
	unreachableCost      = 0.8  // of a server that the asking instance could not reach recently

	// From these failure probabilities on, a request waits for a slot of a better server. maxBetterWait is short compared to
	// the time in which callers expect an answer.
	waitThreshold             = 0.35 // for a request that can be retried
	waitThresholdNonRetriable = 0.12
	maxBetterWait             = 400 * time.Millisecond
)

// chooseProven returns the server with the lowest cost for an ask, or nil when no server has a free slot for it.
func (pool *Pool) chooseProven(now time.Time, ask *Ask) (*server, rank) {
	if s := pool.chooseForFloor(now, ask); s != nil {
		if s.health.failureProbability(now) >= lossThreshold {
			return s, rankFloor
		}
		return s, pool.provenRank(ask, s)
	}
	var best *server
	bestRank, bestCost := rankNone, math.Inf(1)
	leaveCost := pool.leaveCost(ask)
	for _, s := range pool.servers {
		limit := s.limit(now)
		if s.inFlight >= limit || !s.acceptsWork(now) || s.pausedBy(ask) {
			continue
		}
		r := pool.provenRank(ask, s)
		if r == rankNone {
			continue
		}
		cost := s.cost(now, ask, r, limit, leaveCost)
		if cost < bestCost || cost == bestCost && s.lastGrant.Before(best.lastGrant) {
			best, bestRank, bestCost = s, r, cost
		}
	}
	if best != nil && pool.shouldWait(now, ask, best) {
		return nil, rankNone
	}
	return best, bestRank
}

// shouldWait reports whether an ask should wait for a slot of a busy server, or go on to the other slices of the service,
// rather than take the best free server.
func (pool *Pool) shouldWait(now time.Time, ask *Ask, best *server) bool {
	threshold := waitThresholdNonRetriable
	if ask.retriable() {
		threshold = waitThreshold
	}
	probability := best.health.failureProbability(now)
	if probability < threshold {
		return false
	}
	if ask.NoWait {
		return true
	}
	if ask.Hedge || !pool.mayAwaitBetter(now, ask, probability) {
		return false
	}
	for _, s := range pool.servers {
		if s.member.Leaving || s.inFlight < s.limit(now) || ask.excludes(s) || s.pausedBy(ask) {
			continue
		}
		if s.health.failureProbability(now) < threshold/2 {
			return true
		}
	}
	return false
}

// provenRank distinguishes servers that the request has tried from others.
func (pool *Pool) provenRank(ask *Ask, s *server) rank {
	if !ask.excludes(s) {
		return rankHealthy
	}
	if ask.Hedge || !ask.Idempotent {
		return rankNone
	}
	return rankRetried
}

// retriable reports whether the request can be retried after a failure.
func (ask *Ask) retriable() bool { return ask.Idempotent && !ask.Last && !ask.Hedge }

// cost returns the expected cost of sending a request to the server. leaveCost is the part for a server in another failure domain.
func (server *server) cost(now time.Time, ask *Ask, r rank, limit int, leaveCost float64) float64 {
	loss := nonRetriableCost
	if ask.retriable() {
		loss = retriableCost
	}
	cost := loss * server.health.failureProbability(now)
	cost += loadCost * math.Pow(float64(server.inFlight+1)/float64(limit), 3)
	if server.member.Domain != ask.Domain {
		cost += leaveCost
	}
	if r == rankRetried {
		cost += retriedCost
	}
	if server.uses.isUnreachable(now, ask.Entry) {
		cost += unreachableCost
	}
	return cost
}
