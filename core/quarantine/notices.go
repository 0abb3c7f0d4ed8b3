package quarantine

import "time"

// Notices are the quarantines that the homes of slices have told an instance of. A home that stops takes its own knowledge with it; an
// instance that has been told refuses the request for the homes that follow. The zero value is empty. It is not safe for concurrent use.
type Notices struct {
	byFingerprint map[uint64]notice
}

type notice struct {
	home  string // that knows of the quarantine; empty once another home has followed it
	until time.Time
}

// Record records that a home has refused a request.
func (notices *Notices) Record(now time.Time, fingerprint uint64, home string, until time.Time) {
	if fingerprint == 0 {
		return
	}
	if notices.byFingerprint == nil {
		notices.byFingerprint = map[uint64]notice{}
	}
	notices.evict(now)
	notices.byFingerprint[fingerprint] = notice{home, until}
}

// Until returns the end of a quarantine that the home does not know of: another one has told it.
func (notices *Notices) Until(now time.Time, fingerprint uint64, home string) (time.Time, bool) {
	n, found := notices.byFingerprint[fingerprint]
	if !found || n.home == home || !now.Before(n.until) {
		return time.Time{}, false
	}
	// The home may come back, without what it knew.
	n.home = ""
	notices.byFingerprint[fingerprint] = n
	return n.until, true
}

// Clear removes a request that its home admits.
func (notices *Notices) Clear(fingerprint uint64) { delete(notices.byFingerprint, fingerprint) }

// Count returns the number of requests.
func (notices *Notices) Count() int { return len(notices.byFingerprint) }

// evict makes room when the limit is reached: it deletes those that have ended or, if there are none, any other.
func (notices *Notices) evict(now time.Time) {
	if len(notices.byFingerprint) < maxFingerprints {
		return
	}
	for fingerprint, n := range notices.byFingerprint {
		if !now.Before(n.until) {
			delete(notices.byFingerprint, fingerprint)
		}
	}
	for fingerprint := range notices.byFingerprint {
		if len(notices.byFingerprint) < maxFingerprints {
			return
		}
		delete(notices.byFingerprint, fingerprint)
	}
}
