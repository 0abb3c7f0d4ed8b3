package pool

import (
	"slices"
	"time"
)

// Reachability of servers. A grant reaches its server only if the entry instance can open a connection. The path between one
// instance and a server may fail for seconds while the server is healthy for all others.
const (
	// pathBackoff is how long an instance that could not reach a server avoids it: as long as a path failure likely lasts.
	// downBackoff applies where nobody reaches the server, which is then down and may be back soon.
	pathBackoff = 10 * time.Second
	downBackoff = time.Second
	// reachedWindow is the time within which another instance must have reached the server for a path failure to be likely.
	reachedWindow = 3 * time.Second
	// pathFailureWeight is the weight of a connection failure caused by the path.
	pathFailureWeight = 0.3
	// dialAllowance is how much sooner a server must be used again while some instance cannot reach it. It allows for the
	// time that a connection takes to fail.
	dialAllowance = 400 * time.Millisecond
)

// keptUses is the number of latest grants kept, any of which may yet turn out not to have reached the server.
const keptUses = 6

// uses are the latest requests that reached a server, as far as is known. The zero value has none.
type uses struct {
	grants      [keptUses]time.Time  // latest first
	reachedAt   time.Time            // when an attempt that had reached the server was last reported
	unreachable map[string]time.Time // expiry by entry instance that could not reach the server
}

// add records a grant.
func (uses *uses) add(now time.Time) {
	copy(uses.grants[1:], uses.grants[:])
	uses.grants[0] = now
}

// latest returns the time of the latest grant.
func (uses *uses) latest() time.Time { return uses.grants[0] }

// due returns when the server starts to count as unused.
func (uses *uses) due(now time.Time, retriable bool) time.Time {
	within := unusedAfter
	if retriable {
		within = unusedAfterRetriable
	}
	if uses.anyUnreachable(now) {
		within -= dialAllowance
	}
	return uses.latest().Add(within)
}

// remove removes a grant that has not reached the server.
func (uses *uses) remove(grantedAt time.Time) {
	if i := slices.Index(uses.grants[:], grantedAt); i >= 0 {
		copy(uses.grants[i:], uses.grants[i+1:])
		uses.grants[keptUses-1] = time.Time{}
	}
}

// recordUnreachable records that an entry instance could not open a connection, and reports whether a path failure is the
// likely cause: others have reached the server recently, or no other instance failed to.
func (uses *uses) recordUnreachable(now time.Time, entry string) (path bool) {
	uses.expire(now)
	reached := now.Sub(uses.reachedAt) < reachedWindow
	if uses.unreachable == nil {
		uses.unreachable = map[string]time.Time{}
	}
	uses.unreachable[entry] = now.Add(downBackoff)
	if reached {
		uses.unreachable[entry] = now.Add(pathBackoff)
	}
	return reached || len(uses.unreachable) == 1
}

// reached records that an entry instance has reached the server.
func (uses *uses) reached(now time.Time, entry string) {
	uses.reachedAt = now
	delete(uses.unreachable, entry)
}

// isUnreachable reports whether an entry instance could not reach the server recently.
func (uses *uses) isUnreachable(now time.Time, entry string) bool {
	return now.Before(uses.unreachable[entry])
}

// anyUnreachable reports whether any entry instance could not reach the server recently.
func (uses *uses) anyUnreachable(now time.Time) bool {
	uses.expire(now)
	return len(uses.unreachable) > 0
}

func (uses *uses) expire(now time.Time) {
	for entry, until := range uses.unreachable {
		if !now.Before(until) {
			delete(uses.unreachable, entry)
		}
	}
}
