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

// Timing of an announcement.
const (
	leaseLength = 5 * time.Second         // after which an instance that does not renew is off the list
	renewEvery  = 1600 * time.Millisecond // three renewals may fail before the lease ends
	retryEvery  = time.Second             // while the store does not answer
	callTimeout = time.Second
	seenWithin  = 2 * time.Second // after which an announcement shows on the lists
	// restoredSpread is the time over which all instances announce themselves anew after the store was restored. Records that are
	// missing stay in use for twice as long.
	restoredSpread = instance.ReregistrationGrace / 2
)

// Announcer keeps a record in the store for as long as this instance lives; its exported fields must be set.
type Announcer struct {
	Store   Store
	Contact *Contact
	Key     string
	Log     *zap.Logger
	Clock   func() time.Time

	lease      uint64 // 0 for none
	generation uint64 // of the store that granted the lease
	announced  time.Time
	missing    atomic.Bool // the list does not show the record
}

// SetListed tells whether the list shows the record. A store that turns an instance away may remove its record and let the
// lease live on, so renewals do not tell.
func (announcer *Announcer) SetListed(listed bool) { announcer.missing.Store(!listed) }

// Run announces the value until the context ends, and then takes it off the list.
func (announcer *Announcer) Run(ctx context.Context, value []byte) {
	for ctx.Err() == nil {
		pause := renewEvery
		if err := announcer.step(ctx, value); err != nil {
			announcer.Log.Debug("store: the announcement of this instance failed", zap.Error(err))
			pause = retryEvery
		}
		announcer.pause(ctx, pause)
	}
	announcer.withdraw(context.WithoutCancel(ctx))
}

// pause waits for a length of time, or until the store was restored and this instance's turn has come.
func (announcer *Announcer) pause(ctx context.Context, length time.Duration) {
	restored := announcer.Contact.Restored()
	turn := time.Duration(xxhash.Sum64String(announcer.Key) % uint64(restoredSpread))
	if announcer.isLeaseOld() {
		length = turn
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-restored:
		wait.For(ctx, turn)
	}
}

// isLeaseOld reports whether the lease is of an earlier generation of the store: its number may be another instance's by now.
func (announcer *Announcer) isLeaseOld() bool {
	return announcer.lease != 0 && announcer.generation != announcer.Contact.Generation()
}

// step renews the lease, or announces the value under a new one.
func (announcer *Announcer) step(ctx context.Context, value []byte) error {
	if announcer.isLeaseOld() {
		announcer.Log.Warn("store: the lease of this instance is of an earlier generation, it is announced anew", zap.Uint64("generation", announcer.generation))
		announcer.lease = 0
	}
	if announcer.lease != 0 && announcer.missing.Load() && announcer.Clock().Sub(announcer.announced) >= seenWithin {
		announcer.Log.Warn("store: the list does not show this instance, it is announced anew")
		announcer.lease = 0
	}
	if announcer.lease != 0 {
		err := announcer.call(ctx, func(ctx context.Context) error { return announcer.Store.Renew(ctx, announcer.lease) })
		if err == nil || kindOf(err) != KindEnded {
			return err
		}
		announcer.Log.Warn("store: the lease of this instance has ended, it is announced anew")
		announcer.lease = 0
	}
	return announcer.announce(ctx, value)
}

func (announcer *Announcer) announce(ctx context.Context, value []byte) error {
	lease := uint64(0)
	err := announcer.call(ctx, func(ctx context.Context) error {
		granted, err := announcer.Store.Grant(ctx, leaseLength)
		lease = granted
		return err
	})
	if err != nil {
		return err
	}
	generation := announcer.Contact.Generation()
	err = announcer.call(ctx, func(ctx context.Context) error { return announcer.Store.Put(ctx, announcer.Key, value, lease) })
	if err != nil {
		return err
	}
	announcer.lease, announcer.generation, announcer.announced = lease, generation, announcer.Clock()
	announcer.Log.Info("store: this instance is announced", zap.String("key", announcer.Key), zap.Uint64("lease", lease))
	return nil
}

// call makes one call in time and tells the contact what came of it.
func (announcer *Announcer) call(ctx context.Context, f func(context.Context) error) error {
	started := announcer.Clock()
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := f(limited)
	switch {
	case err == nil || kindOf(err) == KindEnded:
		announcer.Contact.Answered(started, announcer.Clock())
	case ctx.Err() == nil:
		announcer.Contact.Missed(announcer.Clock(), err)
	}
	return err
}

// withdraw takes the record off the list; without an answer the lease ends by itself.
func (announcer *Announcer) withdraw(ctx context.Context) {
	if announcer.lease == 0 || announcer.isLeaseOld() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := announcer.Store.End(ctx, announcer.lease); err != nil && !errors.Is(err, context.Canceled) {
		announcer.Log.Warn("store: this instance could not be taken off the list, its lease ends by itself", zap.Error(err))
	}
	announcer.lease = 0
}
