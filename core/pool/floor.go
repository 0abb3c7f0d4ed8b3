package pool

import (
	"math"
	"time"
)

// The floor during failure episodes. A third of a service's servers fail most requests for a few seconds, independently of
// each other. While the service is degraded, the floor's share of the healthy servers must be used within any two seconds; a
// server counts as healthy again two seconds after its episode. Requests sent to servers that still fail are lost, so these
// stay unused while few of them are expected to be healthy: always in large services, otherwise only while the service is
// stable. A mass crash of all instances degrades a service instantly, so the floor must hold in expectation at all times.
const (
	floorWindow  = 2 * time.Second // over which the floor is evaluated
	healthyAfter = 2 * time.Second // after the end of an episode
	// unusedAfter is the time since its latest request after which a server counts as unused. The rest of floorWindow is left
	// for the next request to arrive.
	unusedAfter          = 1500 * time.Millisecond
	unusedAfterRetriable = 1200 * time.Millisecond // the same for a retriable request, which tests a server at little cost
	crossDomainDelay     = 300 * time.Millisecond  // added for an ask from another failure domain

	// minHealthyShare is the share of a service's servers that may be the only healthy ones while others fail or are
	// disturbed. The smaller it is, the fewer unused servers are allowed. Traces with episodes only show 0.26 to 0.48.
	minHealthyShare = 0.3
	// minEstimatedHealthyShare is the same share of the servers that the pool estimates to be healthy: a disturbance
	// may not show in the reports of this slice.
	minEstimatedHealthyShare = 0.5
	// degradedMargin is the number of standard deviations by which the unused healthy servers must stay below the floor's
	// limit. stableMargin is the same for a stable service, where it matters only if the service degrades at that moment.
	degradedMargin = 3.7
	stableMargin   = 1.5
	// minExpectedUnused is the limit on expected unused healthy servers below which a degraded service leaves none unused.
	minExpectedUnused = 0.5
	// lossThreshold is the failure probability from which a request is more likely lost than served.
	lossThreshold = 0.5
)

// maxUnusedHealthy returns the expected number of healthy servers that a degraded service of this size may leave unused.
func maxUnusedHealthy(floor float64, servers int) float64 {
	expected := poissonMeanBelow((1-floor)*minHealthyShare*float64(servers), degradedMargin)
	if expected < minExpectedUnused {
		return 0
	}
	return expected
}

// poissonMeanBelow returns the mean of a Poisson distribution that lies the given number of standard deviations below bound.
func poissonMeanBelow(bound, deviations float64) float64 {
	root := (math.Sqrt(deviations*deviations+4*bound) - deviations) / 2
	return root * root
}

// maxUnusedWhileStable returns the expected number of healthy servers that the slice may leave unused while it is stable.
func (pool *Pool) maxUnusedWhileStable(evaluatedAt time.Time) float64 {
	healthy := 0.0
	for _, s := range pool.servers {
		if !s.member.Leaving {
			healthy += s.health.healthyProbability(evaluatedAt)
		}
	}
	// The floor applies to the whole service, whose other slices are assumed to resemble this one.
	slices := float64(max(1, pool.policy.Servers, len(pool.servers))) / float64(max(1, len(pool.servers)))
	return poissonMeanBelow((1-pool.policy.Floor)*minEstimatedHealthyShare*healthy*slices, stableMargin) / slices
}

// chooseForFloor returns an unused server that must get a request to keep the floor, or nil. It prefers the server unused for
// longest; where servers may stay unused, it also weighs that time by the probability that the server is healthy.
func (pool *Pool) chooseForFloor(now time.Time, ask *Ask) *server {
	if ask.Hedge || ask.Number > 1 {
		return nil
	}
	var longest, likeliest candidate
	unused, expected := 0, 0.0
	// A server must be used before it has been unused for the whole window.
	evaluatedAt := now.Add(floorWindow - unusedAfter)
	for _, s := range pool.servers {
		if s.member.Leaving {
			continue
		}
		due := s.uses.due(now, ask.retriable())
		if now.Before(due) {
			continue
		}
		probability := s.health.healthyProbability(evaluatedAt)
		unused++
		expected += probability
		if s.member.Domain != ask.Domain {
			due = due.Add(crossDomainDelay)
		}
		if now.Before(due) || !pool.eligibleForFloor(now, ask, s) {
			continue
		}
		idle := now.Sub(s.uses.latest()).Seconds()
		longest.offer(s, idle)
		likeliest.offer(s, idle*probability)
	}
	best := longest.server
	if pool.maxUnused > 0 {
		best = likeliest.server
	}
	switch {
	case ask.retriable():
		return best
	case expected <= pool.maxUnused:
		return nil
	case !pool.lossMonitor.isStable(now, unused):
		return best
	case expected <= pool.maxUnusedWhileStable(evaluatedAt):
		return nil
	}
	return likeliest.server
}

// candidate is the best server offered so far. The zero value has none.
type candidate struct {
	server *server
	score  float64
}

func (candidate *candidate) offer(s *server, score float64) {
	if candidate.server == nil || score > candidate.score {
		candidate.server, candidate.score = s, score
	}
}

// eligibleForFloor reports whether an ask may go to an unused server. A server that a home has just reported as failing is not
// needed for the floor: it counts as healthy only healthyAfter its episode.
func (pool *Pool) eligibleForFloor(now time.Time, ask *Ask, s *server) bool {
	return !ask.excludes(s) && !s.pausedBy(ask) && !s.uses.isUnreachable(now, ask.Entry) && (s.member.Domain == ask.Domain || !ask.Large) &&
		s.inFlight < s.limit(now) && s.acceptsWork(now) && !s.health.isReportedFailing(now)
}
