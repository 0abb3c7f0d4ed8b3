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

// Contact knows whether the platform's store answers this instance; Log and Metrics must be set. It is safe for concurrent use.
type Contact struct {
	Log     *zap.Logger
	Metrics metrics.Registry

	mu      sync.Mutex
	heardAt time.Time // start of the latest call that was answered
	lost    bool
	lostAt  time.Time     // start of the latest outage
	backAt  time.Time     // end of the latest outage, or when the store was last found restored
	changed chan struct{} // closed when contact is lost or regained
	watches map[int]context.CancelFunc
	next    int

	generation generation
}

// Answered notes that a call which the store answers at once was answered.
func (contact *Contact) Answered(started, now time.Time) {
	latency.GetOrRegisterHistogram("store.calls", contact.Metrics).Observe(now.Sub(started))
	contact.Heard(started, now)
}

// Heard notes that a call was answered.
func (contact *Contact) Heard(started, now time.Time) {
	contact.mu.Lock()
	defer contact.mu.Unlock()
	if started.After(contact.heardAt) {
		contact.heardAt = started
	}
	if !contact.lost {
		return
	}
	contact.lost, contact.backAt = false, now
	contact.signal()
	contact.Log.Info("store: it answers again", zap.Duration("away-for", now.Sub(contact.lostAt)))
}

// Missed notes that a call was not answered, and cancels the watches: they may wait on a connection that is dead.
func (contact *Contact) Missed(now time.Time, err error) {
	metrics.GetOrRegisterCounter("store.calls-failed", contact.Metrics).Inc(1)
	contact.mu.Lock()
	defer contact.mu.Unlock()
	if contact.lost {
		return
	}
	contact.lost, contact.lostAt = true, now
	contact.signal()
	contact.cancelWatches()
	contact.Log.Warn("store: it does not answer, known lists and rules stay in use", zap.Duration("last-answer-age", now.Sub(contact.heardAt)), zap.Error(err))
}

func (contact *Contact) signal() {
	if contact.changed != nil {
		close(contact.changed)
	}
	contact.changed = make(chan struct{})
}

// Age returns how long ago a call was sent that the store has answered.
func (contact *Contact) Age(now time.Time) time.Duration {
	contact.mu.Lock()
	defer contact.mu.Unlock()
	return now.Sub(contact.heardAt)
}

// keepUntil returns the deadline until which a record that is found missing now stays in use, zero for none.
func (contact *Contact) keepUntil(now time.Time) time.Time {
	contact.mu.Lock()
	defer contact.mu.Unlock()
	switch until := contact.backAt.Add(instance.ReturnGrace); {
	case contact.lost:
		return now.Add(instance.ReturnGrace)
	case !contact.backAt.IsZero() && now.Before(until):
		return until
	}
	return time.Time{}
}

// await waits until the store answers again, or for a time at most.
func (contact *Contact) await(ctx context.Context, most time.Duration) {
	contact.mu.Lock()
	if contact.changed == nil {
		contact.changed = make(chan struct{})
	}
	lost, changed := contact.lost, contact.changed
	contact.mu.Unlock()
	if !lost {
		return
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// cancelWatches ends the watches that wait; the lock is held.
func (contact *Contact) cancelWatches() {
	for _, cancel := range contact.watches {
		cancel()
	}
}

// watch returns a context that is cancelled when contact is lost.
func (contact *Contact) watch(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	contact.mu.Lock()
	defer contact.mu.Unlock()
	if contact.watches == nil {
		contact.watches = map[int]context.CancelFunc{}
	}
	id := contact.next
	contact.next++
	contact.watches[id] = cancel
	return ctx, func() {
		cancel()
		contact.mu.Lock()
		defer contact.mu.Unlock()
		delete(contact.watches, id)
	}
}
