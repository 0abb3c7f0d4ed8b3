package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// TestLateTicksAndQueuedWorkCountAsDelay guards against an overloaded instance that takes itself to be on time: timers run before work that
// waits in the scheduler's queue.
func TestLateTicksAndQueuedWorkCountAsDelay(t *testing.T) {
	const interval = 50 * time.Millisecond
	var state overload
	now := time.Now()
	tick := func(after time.Duration, begins bool) time.Duration {
		now = now.Add(after)
		late, queued, probes := state.tick(now, interval)
		must.Eq(t, begins, probes)
		return max(late, queued)
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
		entry.RecordDelay(time.Now(), 2*entry.Intervals.PeerTimeout, 0)
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

// TestLateTimersAreNoQueue guards against an instance on a busy machine that waits longer for silent peers, though what has arrived is read at once.
func TestLateTimersAreNoQueue(t *testing.T) {
	const interval = 50 * time.Millisecond
	entry := &Entry{Name: "entry-0"}
	entry.Init()
	now := time.Now()
	for range 3 {
		now = now.Add(interval + 150*time.Millisecond)
		late, queued, _ := entry.overload.tick(now, interval)
		entry.overload.endProbe(now.Add(time.Millisecond))
		entry.RecordDelay(now, late, queued)
	}
	must.Eq(t, 150*time.Millisecond, entry.Delay())
	must.Eq(t, time.Millisecond, entry.QueueDelay())
	for range 2 {
		now = now.Add(interval)
		late, queued, _ := entry.overload.tick(now, interval)
		entry.overload.endProbe(now.Add(300 * time.Millisecond))
		entry.RecordDelay(now, late, queued)
	}
	must.Eq(t, 300*time.Millisecond, entry.QueueDelay())
}

// slowProber finds a server healthy after a time, unless the probe is given up before. It keeps the result.
type slowProber struct {
	time    time.Duration
	healthy bool
}

func (s *slowProber) Probe(ctx context.Context, _ pool.Probe, _ string) (bool, Notice) {
	wait.For(ctx, s.time)
	s.healthy = ctx.Err() == nil
	return s.healthy, Notice{}
}

// TestOwnDelayFailsNoProbe guards against an overloaded instance that finds servers unhealthy as their health answers wait for it.
func TestOwnDelayFailsNoProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &slowProber{time: probeTimeout + time.Second/2}
		entry := &Entry{Name: "entry-0", Prober: prober}
		entry.Init()
		for _, delay := range []time.Duration{0, time.Second} {
			entry.RecordDelay(time.Now(), 0, delay)
			entry.probe(t.Context(), &entry.homePools, home.Slice{Service: "payouts"}, pool.Probe{Server: "payouts-0"})
			must.Eq(t, delay > 0, prober.healthy)
		}
	})
}
