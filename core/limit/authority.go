package limit

import "time"

// Authority decides whether an instance that is asked to count a team may do so in full. The zero value has been asked nothing.
//
// An instance in place of another one that it cannot reach does not know whether that one has failed or counts as well, on the
// other side of a network partition. The platform is on one side only, so contact with it decides.
type Authority struct {
	since, latest time.Time // of requests for tokens while another instance is ranked first
	silences      int       // consecutive times that some of the other instances in rank did not answer
}

// Timing of a takeover.
const (
	takeoverDelay  = time.Second             // silence of a counter after which the next in rank may count in full
	askedTTL       = time.Second             // without requests for tokens or failed probes after which an instance no longer stands in
	platformSilent = 1400 * time.Millisecond // without contact after which an instance may be cut off from the platform
	minSilences    = 2                       // of other instances in rank that are no mere delay
)

// InPlaceOf records a request for tokens while another instance is ranked first, and reports whether this one may count in full:
// the other one has been silent for a while, and the platform was heard of meanwhile.
func (authority *Authority) InPlaceOf(now, platformHeardAt time.Time) bool {
	if now.Sub(authority.latest) > askedTTL {
		authority.since = now
	}
	authority.latest = now
	return now.Sub(authority.since) >= takeoverDelay && platformHeardAt.Sub(authority.since) >= takeoverDelay/2
}

// First reports whether an instance that is ranked first may count in full: unless it may be cut off from the platform and from
// an instance that then counts in its place.
func (authority *Authority) First(now, platformHeardAt time.Time) bool {
	return authority.silences < minSilences || now.Sub(platformHeardAt) < platformSilent
}

// OthersSilent reports whether an instance next in rank did not answer the latest probe, so that the next one is due.
func (authority *Authority) OthersSilent() bool { return authority.silences > 0 }

// ObserveFirst records whether the instance that is ranked first has answered.
func (authority *Authority) ObserveFirst(answered bool) {
	if answered {
		authority.since, authority.latest = time.Time{}, time.Time{}
	}
}

// ObserveSilence records that the instance that is ranked first did not answer a probe: this one goes on standing in, also without requests.
func (authority *Authority) ObserveSilence(now time.Time) {
	if now.Sub(authority.latest) <= askedTTL {
		authority.latest = now
	}
}

// ObserveOthers records whether all instances next in rank have answered.
func (authority *Authority) ObserveOthers(answered bool) {
	authority.silences++
	if answered {
		authority.silences = 0
	}
}
