package registry

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/testing/slow"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// at returns a revision of generation 0.
func at(number uint64) instance.Revision { return instance.Revision{Number: number} }

// scriptedReply is one reply of a scriptedStore.
type scriptedReply struct {
	events   []Event
	records  []Record
	revision instance.Revision
	err      error
	delay    time.Duration
}

// scriptedStore returns prepared replies in order and records the calls. Without a reply left, a read or watch waits until its context
// ends.
type scriptedStore struct {
	Store
	watches, ranges []scriptedReply
	stale           []bool
	renewals        []error
	grants, puts    atomic.Int64
	ends            atomic.Int64
	renewalDelay    time.Duration
}

func nextReply(ctx context.Context, calls *[]scriptedReply) scriptedReply {
	if len(*calls) == 0 {
		<-ctx.Done()
		return scriptedReply{err: &Error{Op: "script", Kind: KindUnavailable, Err: ctx.Err()}}
	}
	c := (*calls)[0]
	*calls = (*calls)[1:]
	wait.For(ctx, c.delay)
	return c
}

func (scriptedStore *scriptedStore) Watch(ctx context.Context, _ string, _ instance.Revision) ([]Event, instance.Revision, error) {
	c := nextReply(ctx, &scriptedStore.watches)
	return c.events, c.revision, c.err
}

func (scriptedStore *scriptedStore) Range(ctx context.Context, _ string, stale bool) ([]Record, instance.Revision, error) {
	scriptedStore.stale = append(scriptedStore.stale, stale)
	c := nextReply(ctx, &scriptedStore.ranges)
	return c.records, c.revision, c.err
}

func (scriptedStore *scriptedStore) GrantLease(context.Context, time.Duration) (uint64, error) {
	return uint64(scriptedStore.grants.Add(1)), nil
}

func (scriptedStore *scriptedStore) Put(context.Context, string, []byte, uint64) error {
	scriptedStore.puts.Add(1)
	return nil
}

func (scriptedStore *scriptedStore) RenewLease(ctx context.Context, _ uint64) error {
	wait.For(ctx, scriptedStore.renewalDelay)
	if ctx.Err() != nil {
		return &Error{Op: "script", Kind: KindUnavailable, Err: context.Cause(ctx)}
	}
	if len(scriptedStore.renewals) == 0 {
		return nil
	}
	err := scriptedStore.renewals[0]
	scriptedStore.renewals = scriptedStore.renewals[1:]
	return err
}

func (scriptedStore *scriptedStore) RevokeLease(context.Context, uint64) error {
	scriptedStore.ends.Add(1)
	return nil
}

var errUnavailable = &Error{Op: "script", Kind: KindUnavailable}

func newMonitor() *Monitor {
	return &Monitor{Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
}

func newWatcher(store *scriptedStore) *Watcher {
	return &Watcher{Store: store, Monitor: newMonitor(), Log: zap.NewNop(), Clock: time.Now}
}

func record(key, value string, revision instance.Revision) Record {
	return Record{Key: key, Value: []byte(value), Revision: revision}
}

func TestOnlyFirstReadMayBeStale(t *testing.T) {
	store := &scriptedStore{
		ranges:  []scriptedReply{{records: []Record{record("a", "1", at(4))}, revision: at(5)}, {records: []Record{record("a", "2", at(8))}, revision: at(9)}},
		watches: []scriptedReply{{err: &Error{Op: "script", Kind: KindCompacted}}},
	}
	watcher := newWatcher(store)
	batch, err := watcher.Next(t.Context(), instance.Revision{})
	must.NoError(t, err)
	must.True(t, batch.Snapshot)
	batch, err = watcher.Next(t.Context(), batch.Revision)
	must.NoError(t, err)
	must.True(t, batch.Snapshot)
	must.Eq(t, at(9), batch.Revision)
	must.Eq(t, []bool{true, false}, store.stale)
}

// TestInterruptedWatchIsNoOutage interrupts one watch, which is retried at once, and then two in succession, which count as an outage:
// a record deleted then must stay in use for instance.ReregistrationGrace, the time its owner may need to register again.
func TestInterruptedWatchIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deleted := Event{Record: Record{Key: "a", Revision: at(7)}, Deleted: true}
		store := &scriptedStore{watches: []scriptedReply{
			{err: errUnavailable}, {revision: at(6)},
			{err: errUnavailable}, {err: errUnavailable},
			{events: []Event{deleted}, revision: at(7)},
		}}
		watcher := newWatcher(store)
		_, err := watcher.Next(t.Context(), at(5))
		must.NoError(t, err)
		must.True(t, watcher.Monitor.keepUntil(time.Now()).IsZero())
		_, err = watcher.Next(t.Context(), at(6))
		must.Error(t, err)
		must.False(t, watcher.Monitor.keepUntil(time.Now()).IsZero())
		batch, err := watcher.Next(t.Context(), at(6))
		must.NoError(t, err)
		must.Eq(t, instance.ReregistrationGrace, time.Until(batch.KeepUntil))
	})
}

func TestDecodeChangesSkipsMalformedRecords(t *testing.T) {
	decode := func(record Record) (string, error) {
		if string(record.Value) == "bad" {
			return "", errors.New("bad")
		}
		return string(record.Value), nil
	}
	batch := &Batch{Revision: at(9), Events: []Event{
		{Record: record("x/a", "1", at(5))}, {Record: record("y/b", "other list", at(6))}, {Record: record("x/c", "bad", at(7))},
		{Record: record("x/a", "bad", at(8))}, {Record: record("x/a", "2", at(9))},
	}}
	changes := DecodeChanges(batch, "x/", decode, zap.NewNop())
	must.Len(t, 1, changes.Items)
	must.Eq(t, "2", changes.Items[0].Value)
	must.Len(t, 1, changes.Removals)
	must.Eq(t, "c", changes.Removals[0].Name)
}

// TestAnnouncerReplacesAnEndedLease checks that a renewal without a reply keeps the lease, and that the instance is announced again
// under a new lease when the store has ended the lease or the list does not show the instance.
func TestAnnouncerReplacesAnEndedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{renewals: []error{errUnavailable, &Error{Op: "script", Kind: KindLeaseEnded}}}
		announcer := &Announcer{Store: store, Monitor: newMonitor(), Key: "a", Log: zap.NewNop(), Clock: time.Now}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			announcer.Run(ctx, []byte("value"))
		}()
		time.Sleep(renewInterval + retryInterval/2)
		must.Eq(t, 1, store.grants.Load())
		time.Sleep(renewInterval + retryInterval)
		must.Eq(t, 2, store.grants.Load())
		announcer.SetListed(false)
		time.Sleep(maxListingDelay + renewInterval)
		must.Eq(t, 3, store.grants.Load())
		must.Eq(t, store.grants.Load(), store.puts.Load())
		announcer.SetListed(true)
		time.Sleep(10 * renewInterval)
		must.Eq(t, 3, store.grants.Load())
		cancel()
		<-done
	})
}

// TestOwnDelayIsNoOutageOfTheStore guards against an overloaded instance that takes the store for lost, and then keeps to old lists and rules,
// as replies wait for it.
func TestOwnDelayIsNoOutageOfTheStore(t *testing.T) {
	const delay = time.Second
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{renewalDelay: callTimeout + delay/2}
		announcer := &Announcer{Store: store, Monitor: newMonitor(), Key: "a", Log: zap.NewNop(), Clock: time.Now, Delays: slow.Instance(delay)}
		must.NoError(t, announcer.renewOrAnnounce(t.Context(), []byte("value")))
		must.NoError(t, announcer.renewOrAnnounce(t.Context(), []byte("value")))
		must.True(t, announcer.Monitor.keepUntil(time.Now()).IsZero())

		store.renewalDelay = callTimeout + 2*delay
		must.Error(t, announcer.renewOrAnnounce(t.Context(), []byte("value")))
		must.False(t, announcer.Monitor.keepUntil(time.Now()).IsZero())
	})
}
