package pool

import "time"

// Verification of suspects.
const (
	pathTrialInterval = 5 * time.Second // between two requests that test a suspect path
	maxVerifying      = 3               // verifications of one suspect in flight
)

// mayVerify reports whether one more request may go to a suspect to verify it.
//
// A path with enough failures is tested only once in a while, as more failures from there would add nothing.
func (pool *Pool) mayVerify(now time.Time, ask *Ask, s *server, suspect bool) bool {
	if s.verifying >= maxVerifying || now.Before(s.verifyAt) {
		return false
	}
	if suspect && (pool.observers.singleDomain(now) || s.evidence.domainScore(now, ask.Domain) < maxPathScore) {
		return true
	}
	return s.verifying == 0 && now.Sub(s.lastPathTrial) >= pathTrialInterval
}

// verify grants or declines a verification by another entry instance, with a copy of an answered request.
//
// It is the indirect probe of SWIM (Das, Gupta and Motivala, 2002) with a real request in place of a ping: failure domains other
// than the one that saw the failure confirm or clear the server without waiting for further requests.
func (pool *Pool) verify(now time.Time, ask *Ask) Decision {
	declined := Decision{Attempt: ask.Attempt, Verdict: NotNeeded, RetryAt: now}
	s := pool.server(ask.Verify)
	if s == nil || pool.lacksSlots() || !pool.needsVerification(now, ask, s) {
		return declined
	}
	if !pool.verifyBudget.spend(verifyBurst) {
		return declined
	}
	return pool.grant(now, ask, s, rankVerify)
}

// needsVerification reports whether a server in service is suspect independently of the others and has a slot for a
// verification. The slots that a slow start withholds from callers may be used.
func (pool *Pool) needsVerification(now time.Time, ask *Ask, s *server) bool {
	if s.phase != inService || !s.acceptsWork(now) || s.inFlight >= s.slots || s.pausedBy(ask) {
		return false
	}
	if !pool.suspectOrSlow(now, s) || pool.othersSuspect(now, s) {
		return false
	}
	return pool.mayVerify(now, ask, s, true)
}

// suspectOrSlow reports whether a server is suspect, or was slow recently in a cold start.
func (pool *Pool) suspectOrSlow(now time.Time, s *server) bool {
	if s.cold(now) && now.Sub(s.slowAt) < coldSilenceFactor*pool.suspectAfter {
		return true
	}
	return s.suspect(now)
}
