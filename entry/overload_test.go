package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLateTicksAndQueuedWorkCountAsDelay guards against an overloaded instance that takes itself to be on time: timers run before work that
// waits in the scheduler's queue.
func TestLateTicksAndQueuedWorkCountAsDelay(t *testing.T) {
	now := time.Now()
	entry := &Entry{Name: "entry-0", Clock: func() time.Time { return now }}
	entry.Init()
	tick := func(after time.Duration) {
		now = now.Add(after)
		entry.measureDelay()
		entry.overload.mu.Lock()
		defer entry.overload.mu.Unlock()
		entry.overload.queuedAt, entry.overload.waited = time.Time{}, 0 // the probe has run at once
	}
	tick(0)
	tick(entry.Intervals.Tick)
	must.Zero(t, entry.Delay())
	must.True(t, entry.AdmitRequest())

	tick(entry.Intervals.Tick + 300*time.Millisecond)
	must.Eq(t, 300*time.Millisecond, entry.Delay())
	tick(entry.Intervals.Tick)
	tick(entry.Intervals.Tick)
	must.Zero(t, entry.Delay())
	must.True(t, entry.AdmitRequest())

	entry.overload.queuedAt = now
	for i := range 10 {
		now = now.Add(entry.Intervals.Tick)
		entry.measureDelay()
		must.Eq(t, time.Duration(i+1)*entry.Intervals.Tick, entry.Delay())
	}
	refused := 0
	for range 100 {
		if !entry.AdmitRequest() {
			refused++
		}
	}
	must.Greater(t, 50, refused)
}
