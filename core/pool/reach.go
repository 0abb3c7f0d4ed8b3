package pool

import (
	"slices"
	"time"
)

// A grant reaches its server only if the entry instance can open a connection. Paths between single instances and servers may be
// cut for seconds while the server is well for all others.
const (
	// cutLength is how long an instance that could not reach a server is not sent there again while others will do: as long as a
	// path is likely cut. Where nobody reaches the server it is down, and may be back soon.
	cutLength  = 10 * time.Second
	downLength = time.Second
	// reachedWithin is the time within which another instance must have reached the server for the path to be the cause.
	reachedWithin = 3 * time.Second
	// cutWeight is the weight of a connection that could not be opened for that cause.
	cutWeight = 0.3
	// dialAllowance is how much sooner a server is used again while some instance cannot reach it: so long a connection takes to
	// fail.
	dialAllowance = 400 * time.Millisecond
)

// keptTouches are the grants of which it may yet turn out that they reached nobody.
const keptTouches = 6

// touches are the latest requests that reached a server, as far as is known. The zero value has none.
type touches struct {
	grants    [keptTouches]time.Time // the latest one first
	reachedAt time.Time              // when the end of a request that had reached the server was last told
	cut       map[string]time.Time   // entry instances that could not reach the server, with the time until which that counts
}

// begin notes a grant.
func (touches *touches) begin(now time.Time) {
	copy(touches.grants[1:], touches.grants[:])
	touches.grants[0] = now
}

// latest returns the time of the latest grant.
func (touches *touches) latest() time.Time { return touches.grants[0] }

// due returns when the server counts as unused.
func (touches *touches) due(now time.Time, retriable bool) time.Time {
	within := usedWithin
	if retriable {
		within = touchAgain
	}
	if touches.anyCut(now) {
		within -= dialAllowance
	}
	return touches.latest().Add(within)
}

// missed takes a grant back that has reached nobody.
func (touches *touches) missed(grantedAt time.Time) {
	if i := slices.Index(touches.grants[:], grantedAt); i >= 0 {
		copy(touches.grants[i:], touches.grants[i+1:])
		touches.grants[keptTouches-1] = time.Time{}
	}
}

// unreached notes that an entry instance could not open a connection, and reports whether that is likely for its path to the server:
// others have reached it of late, or nobody else has met the same.
func (touches *touches) unreached(now time.Time, entry string) (path bool) {
	touches.expire(now)
	reached := now.Sub(touches.reachedAt) < reachedWithin
	if touches.cut == nil {
		touches.cut = map[string]time.Time{}
	}
	touches.cut[entry] = now.Add(downLength)
	if reached {
		touches.cut[entry] = now.Add(cutLength)
	}
	return reached || len(touches.cut) == 1
}

// reached notes that an entry instance has reached the server.
func (touches *touches) reached(now time.Time, entry string) {
	touches.reachedAt = now
	delete(touches.cut, entry)
}

// isCut reports whether an entry instance could not reach the server of late.
func (touches *touches) isCut(now time.Time, entry string) bool {
	return now.Before(touches.cut[entry])
}

// anyCut reports whether some entry instance could not reach the server of late.
func (touches *touches) anyCut(now time.Time) bool {
	touches.expire(now)
	return len(touches.cut) > 0
}

func (touches *touches) expire(now time.Time) {
	for entry, until := range touches.cut {
		if !now.Before(until) {
			delete(touches.cut, entry)
		}
	}
}
