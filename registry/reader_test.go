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
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// at returns a revision before any restoration.
func at(number uint64) instance.Revision { return instance.Revision{Number: number} }

// call is one answer of the scripted store.
type call struct {
	events   []Event
	records  []Record
	revision instance.Revision
	err      error
	took     time.Duration
}

// script is a store that answers by a script and notes what it was asked.
type script struct {
	Store
	watches, ranges []call
	stale           []bool
	renewals        []error
	grants, puts    atomic.Int64
	ends            atomic.Int64
}

func take(ctx context.Context, calls *[]call) call {
	if len(*calls) == 0 {
		<-ctx.Done()
		return call{err: &Error{Op: "script", Kind: KindAway, Err: ctx.Err()}}
	}
	c := (*calls)[0]
	*calls = (*calls)[1:]
	wait.For(ctx, c.took)
	return c
}

func (script *script) Watch(ctx context.Context, _ string, _ instance.Revision) ([]Event, instance.Revision, error) {
	c := take(ctx, &script.watches)
	return c.events, c.revision, c.err
}

func (script *script) Range(ctx context.Context, _ string, stale bool) ([]Record, instance.Revision, error) {
	script.stale = append(script.stale, stale)
	c := take(ctx, &script.ranges)
	return c.records, c.revision, c.err
}

func (script *script) Grant(context.Context, time.Duration) (uint64, error) {
	return uint64(script.grants.Add(1)), nil
}

func (script *script) Put(context.Context, string, []byte, uint64) error {
	script.puts.Add(1)
	return nil
}

func (script *script) Renew(context.Context, uint64) error {
	if len(script.renewals) == 0 {
		return nil
	}
	err := script.renewals[0]
	script.renewals = script.renewals[1:]
	return err
}

func (script *script) End(context.Context, uint64) error {
	script.ends.Add(1)
	return nil
}

var errAway = &Error{Op: "script", Kind: KindAway}

func newContact() *Contact {
	return &Contact{Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
}

func newReader(store *script) *Reader {
	return &Reader{Store: store, Contact: newContact(), Log: zap.NewNop(), Clock: time.Now}
}

func record(key, value string, revision instance.Revision) Record {
	return Record{Key: key, Value: []byte(value), Revision: revision}
}

func TestFirstReadingMayBeStaleAndLaterOnesNot(t *testing.T) {
	store := &script{
		ranges:  []call{{records: []Record{record("a", "1", at(4))}, revision: at(5)}, {records: []Record{record("a", "2", at(8))}, revision: at(9)}},
		watches: []call{{err: &Error{Op: "script", Kind: KindCompacted}}},
	}
	reader := newReader(store)
	batch, err := reader.Next(t.Context(), instance.Revision{})
	must.NoError(t, err)
	must.True(t, batch.Whole)
	batch, err = reader.Next(t.Context(), batch.Revision)
	must.NoError(t, err)
	must.True(t, batch.Whole)
	must.Eq(t, at(9), batch.Revision)
	must.Eq(t, []bool{true, false}, store.stale)
}

// TestCutWatchIsNoOutage cuts one watch, which is repeated at once, and then two in a row, which is an outage: what is gone then
// stays in use for as long as its owner may need to come back.
func TestCutWatchIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := Event{Record: Record{Key: "a", Revision: at(7)}, Gone: true}
		store := &script{watches: []call{
			{err: errAway}, {revision: at(6)},
			{err: errAway}, {err: errAway},
			{events: []Event{gone}, revision: at(7)},
		}}
		reader := newReader(store)
		_, err := reader.Next(t.Context(), at(5))
		must.NoError(t, err)
		must.True(t, reader.Contact.keepUntil(time.Now()).IsZero())
		_, err = reader.Next(t.Context(), at(6))
		must.Error(t, err)
		must.False(t, reader.Contact.keepUntil(time.Now()).IsZero())
		batch, err := reader.Next(t.Context(), at(6))
		must.NoError(t, err)
		must.Eq(t, instance.ReregistrationGrace, time.Until(batch.KeepUntil))
	})
}

func TestChangesLeaveOutWhatMakesNoSense(t *testing.T) {
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
	changes := Changes(batch, "x/", decode, zap.NewNop())
	must.Len(t, 1, changes.Items)
	must.Eq(t, "2", changes.Items[0].Value)
	must.Len(t, 1, changes.Removals)
	must.Eq(t, "c", changes.Removals[0].Name)
}

// TestAnnouncerTakesANewLeaseWhenItsOwnHasEnded lets a renewal fail for want of an answer, which changes nothing, and then for
// want of the lease; a list that does not show the record has it announced anew as well.
func TestAnnouncerTakesANewLeaseWhenItsOwnHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &script{renewals: []error{errAway, &Error{Op: "script", Kind: KindEnded}}}
		announcer := &Announcer{Store: store, Contact: newContact(), Key: "a", Log: zap.NewNop(), Clock: time.Now}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			announcer.Run(ctx, []byte("value"))
		}()
		time.Sleep(renewEvery + retryEvery/2)
		must.Eq(t, 1, store.grants.Load())
		time.Sleep(renewEvery + retryEvery)
		must.Eq(t, 2, store.grants.Load())
		announcer.SetListed(false)
		time.Sleep(seenWithin + renewEvery)
		must.Eq(t, 3, store.grants.Load())
		must.Eq(t, store.grants.Load(), store.puts.Load())
		announcer.SetListed(true)
		time.Sleep(10 * renewEvery)
		must.Eq(t, 3, store.grants.Load())
		cancel()
		<-done
	})
}
