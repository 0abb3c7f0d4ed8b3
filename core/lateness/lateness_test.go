package lateness

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const interval = 50 * time.Millisecond

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

// observe records a delay for a number of intervals that each end later by it, and returns the end of the last one.
func observe(meter *Meter, now time.Time, delay time.Duration, intervals int) time.Time {
	for range intervals {
		now = now.Add(interval + delay)
		meter.Observe(now, delay)
	}
	return now
}

// admitted returns how many of a hundred requests are admitted.
func admitted(meter *Meter) int {
	count := 0
	for range 100 {
		if meter.Admit() {
			count++
		}
	}
	return count
}

func TestInstanceOnTimeAdmitsAll(t *testing.T) {
	meter := &Meter{Tolerance: 100 * time.Millisecond}
	observe(meter, start, 100*time.Millisecond, 20)
	must.Eq(t, 100, admitted(meter))
	must.Eq(t, 100*time.Millisecond, meter.Delay())
}

// TestSinglePauseRefusesNothing: a process that was paused has no queue of work afterwards.
func TestSinglePauseRefusesNothing(t *testing.T) {
	meter := &Meter{Tolerance: 100 * time.Millisecond}
	now := observe(meter, start, 3*time.Second, 1)
	must.Eq(t, 3*time.Second, meter.Delay())
	observe(meter, now, 0, 1)
	must.Eq(t, 100, admitted(meter))
	observe(meter, now, 0, 1)
	must.Eq(t, 0, meter.Delay())
}

// TestLastingDelayRefusesMoreAndMore guards against an overloaded instance that takes on work whose callers have left by the time it is done.
func TestLastingDelayRefusesMoreAndMore(t *testing.T) {
	meter := &Meter{Tolerance: 100 * time.Millisecond}
	now := observe(meter, start, 200*time.Millisecond, 2)
	must.Between(t, 69, admitted(meter), 71)
	now = observe(meter, now, 200*time.Millisecond, 2)
	must.Between(t, 33, admitted(meter), 36)
	observe(meter, now, 200*time.Millisecond, 50)
	must.Between(t, 1, admitted(meter), 3)
}

// TestLongIntervalIsNoTimeToRecover guards against an instance that admits all requests again because one interval took long.
func TestLongIntervalIsNoTimeToRecover(t *testing.T) {
	meter := &Meter{Tolerance: 100 * time.Millisecond}
	now := observe(meter, start, 200*time.Millisecond, 50)
	now = observe(meter, now, 0, 1)
	observe(meter, now, 5*time.Second, 1)
	must.Less(t, 10, admitted(meter))
}

// TestAdmitsAllAgainAfterTheRecoveryTime guards against an instance that goes on refusing when it has caught up.
func TestAdmitsAllAgainAfterTheRecoveryTime(t *testing.T) {
	meter := &Meter{Tolerance: 100 * time.Millisecond}
	now := observe(meter, start, 200*time.Millisecond, 50)
	now = observe(meter, now, 0, int(recoveryTime/interval)/2)
	must.Between(t, 45, admitted(meter), 55)
	observe(meter, now, 0, int(recoveryTime/interval)/2+1)
	must.Eq(t, 100, admitted(meter))
}
