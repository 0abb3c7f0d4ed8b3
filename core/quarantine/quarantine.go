// Package quarantine keeps requests that crash backend servers away from the rest of them.
package quarantine

import "time"

// Limits of the quarantine.
const (
	serversLost = 2                // distinct servers lost before a request is quarantined
	memory      = 10 * time.Minute // from the latest loss
	clearance   = 10 * time.Second // for which an answered request is above suspicion, at least
	entries     = 4096             // fingerprints remembered at most
)

// Quarantine remembers which requests took backend servers down; the zero value is empty.
//
// A Quarantine is not safe for concurrent use.
type Quarantine struct {
	suspects map[uint64]suspect
	ran      [2]map[uint64]struct{} // requests answered in this and in the span before
	turnAt   time.Time              // end of this span
}

type suspect struct {
	servers [serversLost]string
	lost    int
	until   time.Time
}

// Lost records that a server's connection was lost while it ran the request.
func (quarantine *Quarantine) Lost(now time.Time, fingerprint uint64, server string) {
	if fingerprint == 0 || quarantine.ranLately(fingerprint) {
		return
	}
	if quarantine.suspects == nil {
		quarantine.suspects = map[uint64]suspect{}
	}
	s := quarantine.suspects[fingerprint]
	if !now.Before(s.until) {
		s = suspect{}
	}
	if s.lost < serversLost && !(s.lost == 1 && s.servers[0] == server) {
		s.servers[s.lost] = server
		s.lost++
	}
	s.until = now.Add(memory)
	quarantine.makeRoom(now)
	quarantine.suspects[fingerprint] = s
}

// Ran records that the request was answered, which clears it for a while: one that servers answer does not crash them.
func (quarantine *Quarantine) Ran(now time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	if !now.Before(quarantine.turnAt) || len(quarantine.ran[0]) >= entries {
		quarantine.ran[0], quarantine.ran[1] = quarantine.ran[1], quarantine.ran[0]
		clear(quarantine.ran[0])
		quarantine.turnAt = now.Add(clearance)
	}
	if quarantine.ran[0] == nil {
		quarantine.ran[0] = map[uint64]struct{}{}
	}
	quarantine.ran[0][fingerprint] = struct{}{}
	if len(quarantine.suspects) > 0 {
		delete(quarantine.suspects, fingerprint)
	}
}

func (quarantine *Quarantine) ranLately(fingerprint uint64) bool {
	for _, ran := range quarantine.ran {
		if _, found := ran[fingerprint]; found {
			return true
		}
	}
	return false
}

// Suspicious reports whether the request took a server down before.
func (quarantine *Quarantine) Suspicious(now time.Time, fingerprint uint64) bool {
	s, found := quarantine.suspects[fingerprint]
	return found && now.Before(s.until)
}

// Until returns the end of a request's quarantine, if it is in one.
func (quarantine *Quarantine) Until(now time.Time, fingerprint uint64) (time.Time, bool) {
	s, found := quarantine.suspects[fingerprint]
	if !found || s.lost < serversLost || !now.Before(s.until) {
		return time.Time{}, false
	}
	return s.until, true
}

// makeRoom drops ended entries, and the one that ends first when all are in force.
func (quarantine *Quarantine) makeRoom(now time.Time) {
	if len(quarantine.suspects) < entries {
		return
	}
	var oldest uint64
	var oldestUntil time.Time
	for fingerprint, s := range quarantine.suspects {
		if !now.Before(s.until) {
			delete(quarantine.suspects, fingerprint)
		} else if oldestUntil.IsZero() || s.until.Before(oldestUntil) {
			oldest, oldestUntil = fingerprint, s.until
		}
	}
	if len(quarantine.suspects) >= entries {
		delete(quarantine.suspects, oldest)
	}
}
