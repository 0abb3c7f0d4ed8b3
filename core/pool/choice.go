package pool

import (
	"slices"
	"time"
)

// rank orders candidate servers; lower is better.
type rank uint8

const (
	rankVerify  rank = iota // suspect that an idempotent request is to confirm or clear
	rankHealthy             // no evidence, in a failure domain not tried
	rankTried               // no evidence, in the domain of a server tried before
	rankSuspect             // evidence against the server or against the path to it
	rankAgain               // tried by this request already
	rankNone
)

// choose returns the server for an ask and its rank, or nil when none has room.
func (pool *Pool) choose(now time.Time, ask *Ask) (*server, rank) {
	var best *server
	bestRank := rankNone
	for _, s := range pool.servers {
		if !s.hasRoom(now) {
			continue
		}
		r := pool.rankOf(now, ask, s)
		if r > bestRank || r == rankNone {
			continue
		}
		if r < bestRank || lessLoaded(now, s, best) {
			best, bestRank = s, r
		}
	}
	return best, bestRank
}

func (pool *Pool) rankOf(now time.Time, ask *Ask, s *server) rank {
	if slices.Contains(ask.Exclude, s.member.Name) {
		if s.phase != inService || ask.Hedge || !ask.Idempotent {
			return rankNone
		}
		return rankAgain
	}
	mayVerify := ask.Idempotent && !ask.Hedge && ask.Number <= 1
	if s.phase == trial {
		if mayVerify {
			return rankVerify
		}
		return rankNone
	}
	total := s.evidence.total(now)
	if total < suspectScore {
		if pool.triedDomain(ask, s) {
			return rankTried
		}
		return rankHealthy
	}
	if mayVerify && s.verifying < mostVerifying && !now.Before(s.verifyAt) && pool.widens(now, ask, s) {
		return rankVerify
	}
	return rankSuspect
}

// mostVerifying bounds the verifications of one suspect that are out at a time.
const mostVerifying = 2

// widens reports whether an answer to this ask would tell more than what is known already.
//
// From the domain with the most evidence another failure says little, unless all asks come from there.
func (pool *Pool) widens(now time.Time, ask *Ask, s *server) bool {
	if pool.vantages.sole(now) {
		return true
	}
	return s.evidence.score(now, ask.Domain) < pool.threshold()*domainCapShare/2
}

func (pool *Pool) triedDomain(ask *Ask, s *server) bool {
	for _, name := range ask.Exclude {
		if tried := pool.server(name); tried != nil && tried.member.Domain == s.member.Domain {
			return true
		}
	}
	return false
}

// lessLoaded orders by share of slots in use, then by the time of the latest grant.
func lessLoaded(now time.Time, a, b *server) bool {
	loadA, loadB := a.inFlight*b.limit(now), b.inFlight*a.limit(now)
	if loadA != loadB {
		return loadA < loadB
	}
	return a.lastGrant.Before(b.lastGrant)
}
