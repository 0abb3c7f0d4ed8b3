package pool

import (
	"slices"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// rank orders candidate servers; lower is better.
type rank uint8

const (
	rankVerify      rank = iota // suspect or trial server that an idempotent request can verify
	rankHealthy                 // no evidence against the server, in a failure domain not yet tried
	rankTriedDomain             // no evidence against the server, in a failure domain already tried
	rankSuspect                 // evidence against the server or the path to it, or a cold server being verified
	rankRetried                 // already tried by this request
	rankFloor                   // likely failing, used only to keep the floor
	rankNone
)

// choose returns the best server for an ask and its rank, or nil when no server has a free slot for it.
func (pool *Pool) choose(now time.Time, ask *Ask) (*server, rank) {
	if pool.keepsFree(now, ask) && (pool.policy.Placement != rules.Proven || pool.chooseForFloor(now, ask) == nil) {
		return nil, rankNone
	}
	if pool.policy.Placement == rules.Proven {
		return pool.chooseProven(now, ask)
	}
	var best *server
	bestRank, bestLimit := rankNone, 0
	for _, s := range pool.servers {
		limit := s.limit(now)
		if s.inFlight >= limit || !s.acceptsWork(now) || s.pausedBy(ask) {
			continue
		}
		r := pool.rankOf(now, ask, s)
		if r > bestRank || r == rankNone {
			continue
		}
		if r < bestRank || lessLoaded(s, limit, best, bestLimit) {
			best, bestRank, bestLimit = s, r, limit
		}
	}
	return best, bestRank
}

func (pool *Pool) rankOf(now time.Time, ask *Ask, s *server) rank {
	if ask.excludes(s) {
		if s.phase != inService || ask.Hedge || !ask.Idempotent {
			return rankNone
		}
		return rankRetried
	}
	mayVerify := ask.Idempotent && !ask.Hedge && ask.Number <= 1
	if s.phase == trial {
		if mayVerify {
			return rankVerify
		}
		return rankNone
	}
	suspect := s.suspect(now)
	path := s.evidence.domainScore(now, ask.Domain) >= suspectScore
	switch {
	case s.cold(now) && s.verifying > 0:
		return rankSuspect
	case !suspect && !path:
		if pool.triedDomain(ask, s) {
			return rankTriedDomain
		}
		return rankHealthy
	case mayVerify && pool.mayVerify(now, ask, s, suspect):
		return rankVerify
	}
	return rankSuspect
}

// excludes reports whether the request has already tried the server.
func (ask *Ask) excludes(s *server) bool { return slices.Contains(ask.Exclude, s.member.Name) }

func (pool *Pool) triedDomain(ask *Ask, s *server) bool {
	for _, name := range ask.Exclude {
		if tried := pool.server(name); tried != nil && tried.member.Domain == s.member.Domain {
			return true
		}
	}
	return false
}

// lessLoaded reports whether a uses a smaller share of its limit than b; ties go to the server with the older latest grant.
func lessLoaded(a *server, limitA int, b *server, limitB int) bool {
	loadA, loadB := a.inFlight*limitB, b.inFlight*limitA
	if loadA != loadB {
		return loadA < loadB
	}
	return a.lastGrant.Before(b.lastGrant)
}
