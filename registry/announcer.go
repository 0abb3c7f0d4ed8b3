package registry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// Timing of announcements.
const (
	leaseTTL        = 5 * time.Second         // an instance that does not renew its lease leaves the list after it
	renewInterval   = 1600 * time.Millisecond // three renewals may fail before the lease ends
	retryInterval   = time.Second             // after a failed call
	confirmInterval = 250 * time.Millisecond  // between renewals on demand
	callTimeout     = time.Second
	maxListingDelay = 2 * time.Second // until an announcement is on the lists
	// reannounceWindow is the time over which the instances spread their announcements after the store was restored. Missing records
	// stay in use for twice as long.
	reannounceWindow = instance.ReregistrationGrace / 2
)

// Announcer keeps the record of this instance in the store under a lease. Its exported fields must be set.
type Announcer struct {
	Store   Store
	Monitor *Monitor
	Key     string
	Log     *zap.Logger
	Clock   func() time.Time
	Delays  wait.Delays   // nil for none
	Wanted  chan struct{} // requests of Confirm, with room for one; nil for none

	lease      uint64 // 0 for none
	generation uint64 // of the store that granted the lease
	announced  time.Time
	unlisted   atomic.Bool // the record is not on the list
	triedAt    atomic.Pointer[time.Time]
}

// Confirm has the lease renewed now instead of at the end of the interval, unless a renewal was tried a moment ago.
func (announcer *Announcer) Confirm() {
	if tried := announcer.triedAt.Load(); tried != nil && announcer.Clock().Sub(*tried) < confirmInterval {
		return
	}
	select {
	case announcer.Wanted <- struct{}{}:
	default:
	}
}

// SetListed receives whether the record is on the list. A record that is not listed is announced again. Renewals do not detect this: a
// store that rejects calls may delete the record and keep the lease.
func (announcer *Announcer) SetListed(listed bool) { announcer.unlisted.Store(!listed) }

// Run keeps the value announced until the context ends, and then withdraws it.
func (announcer *Announcer) Run(ctx context.Context, value []byte) {
	for ctx.Err() == nil {
		delay, now := renewInterval, announcer.Clock()
		announcer.triedAt.Store(&now)
		if err := announcer.renewOrAnnounce(ctx, value); err != nil {
			announcer.Log.Debug("store: announcing this instance failed", zap.Error(err))
			delay = retryInterval
		}
		announcer.sleep(ctx, delay)
	}
	announcer.withdraw(context.WithoutCancel(ctx))
}

// sleep waits for a duration. After a restoration of the store it waits for this instance's delay instead, a hash of its key, so that
// the instances do not all announce themselves at once.
func (announcer *Announcer) sleep(ctx context.Context, duration time.Duration) {
	restored := announcer.Monitor.Restored()
	reannounceDelay := time.Duration(xxhash.Sum64String(announcer.Key) % uint64(reannounceWindow))
	if announcer.isLeaseStale() {
		duration = reannounceDelay
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-announcer.Wanted:
	case <-restored:
		wait.For(ctx, reannounceDelay)
	}
}

// isLeaseStale reports whether the lease was granted by an earlier generation of the store. Its number may belong to another instance
// by now.
func (announcer *Announcer) isLeaseStale() bool {
	return announcer.lease != 0 && announcer.generation != announcer.Monitor.Generation()
}

// renewOrAnnounce renews the lease, or announces the value under a new lease if there is no usable one.
func (announcer *Announcer) renewOrAnnounce(ctx context.Context, value []byte) error {
	if announcer.isLeaseStale() {
		announcer.Log.Warn("store: the lease of this instance is of an earlier generation; announcing it again", zap.Uint64("generation", announcer.generation))
		announcer.lease = 0
	}
	if announcer.lease != 0 && announcer.unlisted.Load() && announcer.Clock().Sub(announcer.announced) >= maxListingDelay {
		announcer.Log.Warn("store: this instance is not on the list; announcing it again")
		announcer.lease = 0
	}
	if announcer.lease != 0 {
		err := announcer.call(ctx, func(ctx context.Context) error { return announcer.Store.RenewLease(ctx, announcer.lease) })
		if err == nil || kindOf(err) != KindLeaseEnded {
			return err
		}
		announcer.Log.Warn("store: the lease of this instance has ended; announcing it again")
		announcer.lease = 0
	}
	return announcer.announce(ctx, value)
}

func (announcer *Announcer) announce(ctx context.Context, value []byte) error {
	lease := uint64(0)
	err := announcer.call(ctx, func(ctx context.Context) error {
		granted, err := announcer.Store.GrantLease(ctx, leaseTTL)
		lease = granted
		return err
	})
	if err != nil {
		return err
	}
	generation := announcer.Monitor.Generation()
	err = announcer.call(ctx, func(ctx context.Context) error { return announcer.Store.Put(ctx, announcer.Key, value, lease) })
	if err != nil {
		return err
	}
	announcer.lease, announcer.generation, announcer.announced = lease, generation, announcer.Clock()
	announcer.Log.Info("store: announced this instance", zap.String("key", announcer.Key), zap.Uint64("lease", lease))
	return nil
}

// call makes one call and records its result in the monitor. It gives up when the store has been silent for callTimeout. KindLeaseEnded counts
// as an answer.
func (announcer *Announcer) call(ctx context.Context, f func(context.Context) error) error {
	started := announcer.Clock()
	limited, cancel := wait.WithSilence(ctx, time.Now().Add(callTimeout), announcer.Delays)
	defer cancel()
	err := f(limited)
	switch {
	case err == nil || kindOf(err) == KindLeaseEnded:
		announcer.Monitor.RecordCall(started, announcer.Clock())
	case ctx.Err() == nil:
		announcer.Monitor.RecordFailure(announcer.Clock(), err)
	}
	return err
}

// withdraw ends the lease, and with it the record. If the call fails, the lease expires.
func (announcer *Announcer) withdraw(ctx context.Context) {
	if announcer.lease == 0 || announcer.isLeaseStale() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := announcer.Store.RevokeLease(ctx, announcer.lease); err != nil && !errors.Is(err, context.Canceled) {
		announcer.Log.Warn("store: withdrawing this instance failed; its lease will expire", zap.Error(err))
	}
	announcer.lease = 0
}
