package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_800_000_000, 0)

func TestTwoServersLostQuarantine(t *testing.T) {
	q := &Quarantine{}
	q.Lost(start, 1, "a")
	q.Lost(start, 1, "a")
	must.True(t, q.Suspicious(start, 1))
	_, found := q.Until(start, 1)
	must.False(t, found)
	q.Lost(start, 1, "b")
	until, found := q.Until(start, 1)
	must.True(t, found)
	_, found = q.Until(until, 1)
	must.False(t, found, must.Sprint("a quarantine ends"))
	_, found = q.Until(start, 2)
	must.False(t, found)
}

// TestAnsweredRequestsAreAboveSuspicion covers a popular request that meets two sick servers.
func TestAnsweredRequestsAreAboveSuspicion(t *testing.T) {
	q := &Quarantine{}
	q.Lost(start, 1, "a")
	q.Ran(start, 1)
	must.False(t, q.Suspicious(start, 1))
	q.Lost(start, 1, "a")
	q.Lost(start, 1, "b")
	must.False(t, q.Suspicious(start, 1))
	later := start.Add(clearance)
	q.Ran(later, 2)
	q.Ran(later.Add(clearance), 3)
	q.Lost(later.Add(clearance), 1, "a")
	must.True(t, q.Suspicious(later.Add(clearance), 1))
}

func TestMemoryIsBounded(t *testing.T) {
	q := &Quarantine{}
	for i := range uint64(3 * entries) {
		q.Lost(start.Add(time.Duration(i)), i+1, "a")
		q.Ran(start, 1<<40+i)
	}
	must.LessEq(t, entries, len(q.suspects))
	must.LessEq(t, entries, len(q.ran[0]))
}
