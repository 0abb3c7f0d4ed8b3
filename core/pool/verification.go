package pool

import "time"

// Verification of suspects.
const (
	pathTrialEvery = 5 * time.Second // between two requests that try a suspect path again
	mostVerifying  = 3               // verifications of one suspect that are out at a time
)

// mayVerify reports whether one more request may go to a suspect to confirm or clear it.
//
// A path that has failed enough is tried now and then only: more failures from there would add nothing.
func (pool *Pool) mayVerify(now time.Time, ask *Ask, s *server, suspect bool) bool {
	if s.verifying >= mostVerifying || now.Before(s.verifyAt) {
		return false
	}
	if suspect && (pool.vantages.sole(now) || s.evidence.against(now, ask.Domain) < pathScore) {
		return true
	}
	return s.verifying == 0 && now.Sub(s.lastPathTrial) >= pathTrialEvery
}

// verify grants or declines a verification that another entry instance makes with a copy of an answered request.
//
// It is the indirect probe of SWIM (Das, Gupta and Motivala, 2002) with real work in place of a ping: other failure
// domains than the one that saw the failure confirm or clear the server without waiting for further requests.
func (pool *Pool) verify(now time.Time, ask *Ask) Decision {
	declined := Decision{Attempt: ask.Attempt, Verdict: NotNeeded, RetryAt: now}
	s := pool.server(ask.Verify)
	if s == nil || !pool.wantsVerification(now, ask, s) {
		return declined
	}
	if !pool.verifyBudget.spend(verifyMost) {
		return declined
	}
	return pool.grant(now, ask, s, rankVerify)
}

// wantsVerification reports whether a server in service is suspect by itself and has room for a verification: a slot that
// slow start keeps from callers will do.
func (pool *Pool) wantsVerification(now time.Time, ask *Ask, s *server) bool {
	if s.phase != inService || !s.open(now) || s.inFlight >= s.slots || s.pausedBy(ask) {
		return false
	}
	if !pool.doubtful(now, s) || pool.othersSuspect(now, s) {
		return false
	}
	return pool.mayVerify(now, ask, s, true)
}

// doubtful reports whether a server is suspect, or slow in a cold start.
func (pool *Pool) doubtful(now time.Time, s *server) bool {
	if s.cold(now) && now.Sub(s.doubtedAt) < coldPatience*pool.suspectIn {
		return true
	}
	return s.suspect(now)
}
