package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLateTicksAndQueuedWorkCountAsDelay guards against an overloaded instance that takes itself to be on time: timers run before work that
// waits in the scheduler's queue.
func TestLateTicksAndQueuedWorkCountAsDelay(t *testing.T) {
	const interval = 50 * time.Millisecond
	var state overload
	now := time.Now()
	tick := func(after time.Duration, begins bool) time.Duration {
		now = now.Add(after)
		delay, probes := state.tick(now, interval)
		must.Eq(t, begins, probes)
		return delay
	}
	must.Zero(t, tick(0, true))
	state.endProbe(now)
	must.Zero(t, tick(interval, true))
	state.endProbe(now)
	must.Eq(t, 300*time.Millisecond, tick(interval+300*time.Millisecond, true), must.Sprint("a late tick"))

	for i := range 10 {
		must.Eq(t, time.Duration(i+1)*interval, tick(interval, false), must.Sprint("a probe that still waits"))
	}
	state.endProbe(now.Add(20 * time.Millisecond))
	must.Eq(t, 520*time.Millisecond, tick(interval, true), must.Sprint("a probe that has waited"))
	state.endProbe(now)
	must.Zero(t, tick(interval, true))
}

// TestLateInstanceAdmitsFewRequests: what is measured decides.
func TestLateInstanceAdmitsFewRequests(t *testing.T) {
	entry := &Entry{Name: "entry-0"}
	entry.Init()
	must.True(t, entry.AdmitRequest())
	for range 10 {
		entry.RecordDelay(time.Now(), 2*entry.Intervals.PeerTimeout)
	}
	must.Eq(t, 2*entry.Intervals.PeerTimeout, entry.Delay())
	refused := 0
	for range 100 {
		if !entry.AdmitRequest() {
			refused++
		}
	}
	must.Greater(t, 50, refused)
}
