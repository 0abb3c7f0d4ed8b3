package registry

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/latency"
)

// Monitor tracks whether the platform's store answers this instance, and the store's generation. Log and Metrics must be set. It is
// safe for concurrent use.
type Monitor struct {
	Log     *zap.Logger
	Metrics metrics.Registry

	mu                sync.Mutex
	lastAnsweredStart time.Time // when the latest answered call was sent
	unreachable       bool
	outageStart       time.Time     // start of the latest outage
	recoveredAt       time.Time     // end of the latest outage, or when the latest restoration was detected
	stateChanged      chan struct{} // closed when the store becomes unreachable or reachable
	watches           map[int]context.CancelFunc
	nextWatch         int

	generation generation
}

// RecordCall records an answered call and its latency. It is not for watches, whose replies the store delays.
func (monitor *Monitor) RecordCall(started, now time.Time) {
	latency.GetOrRegisterHistogram("store.calls", monitor.Metrics).Observe(now.Sub(started))
	monitor.RecordReply(started, now)
}

// RecordReply records that a call sent at a time was answered.
func (monitor *Monitor) RecordReply(started, now time.Time) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if started.After(monitor.lastAnsweredStart) {
		monitor.lastAnsweredStart = started
	}
	if !monitor.unreachable {
		return
	}
	monitor.unreachable, monitor.recoveredAt = false, now
	monitor.notifyStateChange()
	monitor.Log.Info("store: reachable again", zap.Duration("away-for", now.Sub(monitor.outageStart)))
}

// RecordFailure records that a call was not answered. At the start of an outage it cancels the pending watches, as they may wait on
// dead connections.
func (monitor *Monitor) RecordFailure(now time.Time, err error) {
	metrics.GetOrRegisterCounter("store.calls-failed", monitor.Metrics).Inc(1)
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.unreachable {
		return
	}
	monitor.unreachable, monitor.outageStart = true, now
	monitor.notifyStateChange()
	monitor.cancelWatches()
	monitor.Log.Warn("store: unreachable; the last known lists and rules stay in use", zap.Duration("last-answer-age", now.Sub(monitor.lastAnsweredStart)), zap.Error(err))
}

func (monitor *Monitor) notifyStateChange() {
	if monitor.stateChanged != nil {
		close(monitor.stateChanged)
	}
	monitor.stateChanged = make(chan struct{})
}

// Age returns the time since the latest answered call was sent.
func (monitor *Monitor) Age(now time.Time) time.Duration {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return now.Sub(monitor.lastAnsweredStart)
}

// keepUntil returns the time until which a record found missing now stays in use, zero to drop it at once. Records are kept during
// an outage, and for instance.ReregistrationGrace after an outage or a restoration, as their owners may need that time to register again.
func (monitor *Monitor) keepUntil(now time.Time) time.Time {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	switch until := monitor.recoveredAt.Add(instance.ReregistrationGrace); {
	case monitor.unreachable:
		return now.Add(instance.ReregistrationGrace)
	case !monitor.recoveredAt.IsZero() && now.Before(until):
		return until
	}
	return time.Time{}
}

// awaitReachable waits until the store answers again or the timeout ends.
func (monitor *Monitor) awaitReachable(ctx context.Context, timeout time.Duration) {
	monitor.mu.Lock()
	if monitor.stateChanged == nil {
		monitor.stateChanged = make(chan struct{})
	}
	unreachable, stateChanged := monitor.unreachable, monitor.stateChanged
	monitor.mu.Unlock()
	if !unreachable {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-stateChanged:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// cancelWatches cancels the pending watches. The caller holds the lock.
func (monitor *Monitor) cancelWatches() {
	for _, cancel := range monitor.watches {
		cancel()
	}
}

// watch returns a context that is cancelled when the store becomes unreachable or is restored, and a function that releases it.
func (monitor *Monitor) watch(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.watches == nil {
		monitor.watches = map[int]context.CancelFunc{}
	}
	id := monitor.nextWatch
	monitor.nextWatch++
	monitor.watches[id] = cancel
	return ctx, func() {
		cancel()
		monitor.mu.Lock()
		defer monitor.mu.Unlock()
		delete(monitor.watches, id)
	}
}
