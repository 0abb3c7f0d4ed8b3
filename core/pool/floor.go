package pool

import (
	"math"
	"time"
)

// The floor under episodes of failures. Its load is a service of which a third of the servers fail most requests for some seconds,
// each by itself: in any two seconds the floor's share of the sound servers is to be used, and a server that fails is sound again two
// seconds after its episode. What is sent to servers that still fail is lost, so that they rest for as long as few of them can be
// expected to be sound.
const (
	floorSpan  = 2 * time.Second // over which the floor is judged
	soundAfter = 2 * time.Second // after the end of an episode
	// usedWithin is the time after its latest request from which a server counts as unused. The rest of the floor's span is for the
	// next request to arrive.
	usedWithin = 1500 * time.Millisecond
	touchAgain = 1200 * time.Millisecond // the same for a request that can be tried again, which finds out at little cost
	touchFar   = 300 * time.Millisecond  // later for an ask from another failure domain

	// soundShare is the share of a service's servers that may be the only sound ones, while others fail or are disturbed: the fewer
	// there are, the sooner a few unused ones are too many. Traces show 0.26 to 0.48 while nothing but episodes is amiss.
	soundShare = 0.3
	// restMargin is how many standard deviations the number of unused sound servers must stay below what the floor allows.
	restMargin = 3.7
	// leastRest is the expected number of unused sound servers below which none rests.
	leastRest = 0.5
)

// mostResting returns how many sound servers may be unused by expectation in a service of so many. Their number is taken for
// Poisson distributed.
func mostResting(floor float64, servers int) float64 {
	most := (1 - floor) * soundShare * float64(servers)
	root := (math.Sqrt(restMargin*restMargin+4*most) - restMargin) / 2
	if expected := root * root; expected >= leastRest {
		return expected
	}
	return 0
}

// untouched returns a server that is to get a request so that the floor holds, or nil. The one unused for longest goes first; where
// servers may rest, those that are likely sound go before others.
func (pool *Pool) untouched(now time.Time, ask *Ask) *server {
	if ask.Hedge || ask.Number > 1 {
		return nil
	}
	var best *server
	bestScore, unused := 0.0, 0.0
	// A server is to be used before it has been unused for the whole span.
	judged := now.Add(floorSpan - usedWithin)
	for _, s := range pool.servers {
		if s.member.Leaving {
			continue
		}
		due := s.touches.due(now, ask.retriable())
		if now.Before(due) {
			continue
		}
		probability := s.fault.sound(judged)
		unused += probability
		if s.member.Domain != ask.Domain {
			due = due.Add(touchFar)
		}
		if now.Before(due) || !pool.mayTouch(now, ask, s) {
			continue
		}
		score := now.Sub(s.touches.latest()).Seconds()
		if pool.resting > 0 {
			score *= probability
		}
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	if !ask.retriable() && unused <= pool.resting {
		return nil
	}
	return best
}

// mayTouch reports whether an ask may go to a server that is unused.
func (pool *Pool) mayTouch(now time.Time, ask *Ask, s *server) bool {
	return !ask.excludes(s) && !s.pausedBy(ask) && !s.touches.isCut(now, ask.Entry) && (s.member.Domain == ask.Domain || !ask.Large) &&
		s.inFlight < s.limit(now) && s.open(now)
}
