// Package quarantine isolates requests that crash backend servers, so that they do not reach further servers.
package quarantine

import "time"

// Limits of the quarantine.
const (
	lossThreshold      = 2                // distinct servers lost before a request is quarantined
	suspectDuration    = 10 * time.Minute // since the latest lost server
	minClearedDuration = 10 * time.Second // an answered request cannot become suspect for at least this long
	maxFingerprints    = 4096             // in each of the sets of suspect and of answered requests
)

// Quarantine tracks which requests crashed backend servers; the zero value is empty.
//
// A Quarantine is not safe for concurrent use.
type Quarantine struct {
	suspects map[uint64]suspect
	answered [2]map[uint64]struct{} // requests answered in the current and the previous period
	rotateAt time.Time              // end of the current period
}

type suspect struct {
	servers   [lossThreshold]string
	lossCount int
	until     time.Time
}

// RecordLoss records that the connection to a server was lost while the server ran the request. Fingerprint 0 is ignored.
func (quarantine *Quarantine) RecordLoss(now time.Time, fingerprint uint64, server string) {
	if fingerprint == 0 || quarantine.recentlyAnswered(fingerprint) {
		return
	}
	if quarantine.suspects == nil {
		quarantine.suspects = map[uint64]suspect{}
	}
	s := quarantine.suspects[fingerprint]
	if !now.Before(s.until) {
		s = suspect{}
	}
	if s.lossCount < lossThreshold && !(s.lossCount == 1 && s.servers[0] == server) {
		s.servers[s.lossCount] = server
		s.lossCount++
	}
	s.until = now.Add(suspectDuration)
	quarantine.evict(now)
	quarantine.suspects[fingerprint] = s
}

// RecordAnswer records that a server answered the request. This clears the request for at least minClearedDuration,
// because a request that servers answer does not crash them. Fingerprint 0 is ignored.
func (quarantine *Quarantine) RecordAnswer(now time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	if !now.Before(quarantine.rotateAt) || len(quarantine.answered[0]) >= maxFingerprints {
		quarantine.answered[0], quarantine.answered[1] = quarantine.answered[1], quarantine.answered[0]
		clear(quarantine.answered[0])
		quarantine.rotateAt = now.Add(minClearedDuration)
	}
	if quarantine.answered[0] == nil {
		quarantine.answered[0] = map[uint64]struct{}{}
	}
	quarantine.answered[0][fingerprint] = struct{}{}
	if len(quarantine.suspects) > 0 {
		delete(quarantine.suspects, fingerprint)
	}
}

func (quarantine *Quarantine) recentlyAnswered(fingerprint uint64) bool {
	for _, answered := range quarantine.answered {
		if _, found := answered[fingerprint]; found {
			return true
		}
	}
	return false
}

// IsSuspect reports whether a server was lost while it ran the request, within suspectDuration.
func (quarantine *Quarantine) IsSuspect(now time.Time, fingerprint uint64) bool {
	s, found := quarantine.suspects[fingerprint]
	return found && now.Before(s.until)
}

// Until returns the end of a request's quarantine, or false if the request is not in quarantine.
func (quarantine *Quarantine) Until(now time.Time, fingerprint uint64) (time.Time, bool) {
	s, found := quarantine.suspects[fingerprint]
	if !found || s.lossCount < lossThreshold || !now.Before(s.until) {
		return time.Time{}, false
	}
	return s.until, true
}

// evict makes room for a suspect when the limit is reached: it deletes expired suspects or, if there are none, the one that
// expires first.
func (quarantine *Quarantine) evict(now time.Time) {
	if len(quarantine.suspects) < maxFingerprints {
		return
	}
	var earliest uint64
	var earliestUntil time.Time
	for fingerprint, s := range quarantine.suspects {
		if !now.Before(s.until) {
			delete(quarantine.suspects, fingerprint)
		} else if earliestUntil.IsZero() || s.until.Before(earliestUntil) {
			earliest, earliestUntil = fingerprint, s.until
		}
	}
	if len(quarantine.suspects) >= maxFingerprints {
		delete(quarantine.suspects, earliest)
	}
}
