// Package quarantine keeps requests that crash backend servers away from the rest of them.
package quarantine

import "time"

// Limits of the quarantine.
const (
	serversLost = 2                // distinct servers lost before a request is quarantined
	memory      = 10 * time.Minute // from the latest loss
	entries     = 4096             // fingerprints remembered at most
)

// Quarantine remembers which requests took backend servers down; the zero value is empty.
//
// A Quarantine is not safe for concurrent use.
type Quarantine struct {
	suspects map[uint64]suspect
}

type suspect struct {
	servers [serversLost]string
	lost    int
	until   time.Time
}

// Lost records that a server's connection was lost while it ran the request.
func (quarantine *Quarantine) Lost(now time.Time, fingerprint uint64, server string) {
	if fingerprint == 0 {
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

// Ran records that the request was answered in full, which clears it.
func (quarantine *Quarantine) Ran(fingerprint uint64) {
	delete(quarantine.suspects, fingerprint)
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
