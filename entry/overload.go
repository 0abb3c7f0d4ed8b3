package entry

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/lateness"
)

// overload holds how late this instance is. The zero value is on time.
type overload struct {
	delay      atomic.Int64 // nanoseconds
	queueDelay atomic.Int64 // nanoseconds
	refusing   atomic.Bool  // some requests are refused

	mu       sync.Mutex
	meter    lateness.Meter
	queue    lateness.Recent
	tickedAt time.Time
	queuedAt time.Time     // of the probe that waits in the scheduler's queue, zero for none
	waited   time.Duration // of the probe that ran since the latest tick
}

// Delay returns how late this instance runs because it lacks processor time, and its own answers with it.
func (entry *Entry) Delay() time.Duration { return time.Duration(entry.overload.delay.Load()) }

// QueueDelay returns how long work that is ready waits in this instance, such as an answer of another process that has arrived. It does not
// count that this instance's timers are late, as they would be on a machine that many processes share: an answer doesn't wait for them.
func (entry *Entry) QueueDelay() time.Duration {
	return time.Duration(entry.overload.queueDelay.Load())
}

// AdmitRequest reports whether this instance has processor time for a new request.
func (entry *Entry) AdmitRequest() bool {
	if !entry.overload.refusing.Load() {
		return true
	}
	entry.overload.mu.Lock()
	defer entry.overload.mu.Unlock()
	return entry.overload.meter.Admit()
}

// measureDelay records how late the current tick is, and how long work waits in the scheduler's queue.
func (entry *Entry) measureDelay() {
	now := entry.Clock()
	late, queued, probes := entry.overload.tick(now, entry.Intervals.Tick)
	if probes {
		go entry.probeQueue()
	}
	entry.RecordDelay(now, late, queued)
}

// tick returns how late a tick at an interval is, and how long the probe has waited. It reports whether the next probe begins.
func (overload *overload) tick(now time.Time, interval time.Duration) (late, queued time.Duration, probes bool) {
	overload.mu.Lock()
	defer overload.mu.Unlock()
	queued = overload.waited
	if !overload.tickedAt.IsZero() {
		late = max(0, now.Sub(overload.tickedAt)-interval)
	}
	overload.tickedAt, overload.waited = now, 0
	if overload.queuedAt.IsZero() {
		overload.queuedAt = now
		return late, queued, true
	}
	return late, max(queued, now.Sub(overload.queuedAt)), false
}

// RecordDelay records how late timers were and how long work has waited in this instance, in the interval that ends now.
func (entry *Entry) RecordDelay(now time.Time, late, queued time.Duration) {
	overload, delay := &entry.overload, max(late, queued)
	overload.mu.Lock()
	before := overload.meter.RefusedShare()
	overload.meter.Observe(now, delay)
	overload.queue.Record(queued)
	share := overload.meter.RefusedShare()
	overload.delay.Store(int64(overload.meter.Delay()))
	overload.queueDelay.Store(int64(overload.queue.Delay()))
	overload.refusing.Store(share > 0)
	overload.mu.Unlock()
	entry.logOverload(before, share, delay)
}

// probeQueue measures how long work waits that becomes ready while the processors are busy, such as a connection with data to read: it
// yields to the end of the scheduler's queue. Timers take precedence over that queue, so that a late tick does not show this.
func (entry *Entry) probeQueue() {
	runtime.Gosched()
	entry.overload.endProbe(entry.Clock())
}

// endProbe records that the probe has run.
func (overload *overload) endProbe(now time.Time) {
	overload.mu.Lock()
	defer overload.mu.Unlock()
	overload.waited, overload.queuedAt = now.Sub(overload.queuedAt), time.Time{}
}

// logOverload logs when this instance begins and ends to refuse requests for its own delay.
func (entry *Entry) logOverload(before, share float64, delay time.Duration) {
	switch {
	case before == 0 && share > 0:
		entry.Log.Warn("overload: this instance lacks processor time, refusing a share of new requests", zap.Duration("delay", delay),
			zap.Duration("tolerance", entry.overload.meter.Tolerance), zap.Float64("refused-share", share))
	case before > 0 && share == 0:
		entry.Log.Info("overload: on time again, refusing no requests", zap.Duration("delay", delay))
	}
}
