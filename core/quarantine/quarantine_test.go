package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_800_000_000, 0)

func TestTwoServersLostQuarantine(t *testing.T) {
	q := &Quarantine{}
	q.RecordLoss(start, 1, "a")
	q.RecordLoss(start, 1, "a")
	must.True(t, q.IsSuspect(start, 1))
	_, found := q.Until(start, 1)
	must.False(t, found)
	q.RecordLoss(start, 1, "b")
	until, found := q.Until(start, 1)
	must.True(t, found)
	_, found = q.Until(until, 1)
	must.False(t, found, must.Sprint("the quarantine must have ended"))
	_, found = q.Until(start, 2)
	must.False(t, found)
}

// TestAnsweredRequestsAreNotSuspect guards against the quarantine of a frequent request that was running on two failing
// servers by coincidence.
func TestAnsweredRequestsAreNotSuspect(t *testing.T) {
	q := &Quarantine{}
	q.RecordLoss(start, 1, "a")
	q.RecordAnswer(start, 1)
	must.False(t, q.IsSuspect(start, 1))
	q.RecordLoss(start, 1, "a")
	q.RecordLoss(start, 1, "b")
	must.False(t, q.IsSuspect(start, 1))
	later := start.Add(minClearedDuration)
	q.RecordAnswer(later, 2)
	q.RecordAnswer(later.Add(minClearedDuration), 3)
	q.RecordLoss(later.Add(minClearedDuration), 1, "a")
	must.True(t, q.IsSuspect(later.Add(minClearedDuration), 1))
}

func TestMemoryIsBounded(t *testing.T) {
	q := &Quarantine{}
	for i := range uint64(3 * maxFingerprints) {
		q.RecordLoss(start.Add(time.Duration(i)), i+1, "a")
		q.RecordAnswer(start, 1<<40+i)
	}
	must.LessEq(t, maxFingerprints, len(q.suspects))
	must.LessEq(t, maxFingerprints, len(q.answered[0]))
}
