package registry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// TestReaderOfARestoredStore restores the store while a watch waits. The watch ends, all records are read anew, and those that are
// missing stay in use for a while.
func TestReaderOfARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		restored := instance.Revision{Generation: 2, Number: 3}
		store := &script{ranges: []call{
			{records: []Record{record("a", "1", at(4))}, revision: instance.Revision{Generation: 1, Number: 5}},
			{records: []Record{record("a", "0", restored)}, revision: restored},
		}}
		reader := newReader(store)
		must.True(t, reader.Contact.Enter(time.Now(), 1))
		batch, err := reader.Next(t.Context(), instance.Revision{})
		must.NoError(t, err)
		must.True(t, batch.KeepUntil.IsZero())
		go func() {
			time.Sleep(time.Second)
			reader.Contact.Enter(time.Now(), 2)
		}()
		batch, err = reader.Next(t.Context(), batch.Revision)
		must.NoError(t, err)
		must.True(t, batch.Whole)
		must.Eq(t, restored, batch.Revision)
		must.Eq(t, []bool{true, false}, store.stale, must.Sprint("a stale reading may be of the earlier generation"))
		must.Between(t, instance.ReregistrationGrace-100*time.Millisecond, time.Until(batch.KeepUntil), instance.ReregistrationGrace)
	})
}

// TestAnnouncementsAfterARestoration restores the store under 40 instances. All announce themselves anew, under new leases, within the
// time for which missing records stay in use, and not at once; none ends a lease whose number may be another's by then.
func TestAnnouncementsAfterARestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 40
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var stores []*script
		var contacts []*Contact
		for i := range instances {
			store, contact := &script{}, newContact()
			contact.Enter(time.Now(), 1)
			stores, contacts = append(stores, store), append(contacts, contact)
			announcer := &Announcer{Store: store, Contact: contact, Key: fmt.Sprintf("entry-%d", i), Log: zap.NewNop(), Clock: time.Now}
			running.Go(func() { announcer.Run(ctx, []byte("value")) })
		}
		time.Sleep(100 * time.Millisecond)
		announced := func(times int64) int {
			count := 0
			for _, store := range stores {
				if store.puts.Load() == times && store.grants.Load() == times {
					count++
				}
			}
			return count
		}
		must.Eq(t, instances, announced(1))
		for _, contact := range contacts {
			contact.Enter(time.Now(), 2)
		}
		time.Sleep(restoredSpread / 2)
		must.Between(t, instances/4, announced(2), 3*instances/4)
		time.Sleep(restoredSpread / 2)
		must.Eq(t, instances, announced(2))
		for _, contact := range contacts {
			contact.Enter(time.Now(), 3)
		}
		cancel()
		running.Wait()
		for _, store := range stores {
			must.Eq(t, 0, store.ends.Load())
		}
	})
}

// restoringStore is restored between the grant of a lease and the write under it.
type restoringStore struct {
	script
	contact *Contact
}

func (store *restoringStore) Put(ctx context.Context, key string, value []byte, lease uint64) error {
	if store.grants.Load() == 1 {
		store.contact.Enter(time.Now(), 2)
	}
	return store.script.Put(ctx, key, value, lease)
}

// TestLeaseOfAnEarlierGeneration announces an instance anew whose record was written under a lease of the generation before.
func TestLeaseOfAnEarlierGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		contact := newContact()
		contact.Enter(time.Now(), 1)
		store := &restoringStore{contact: contact}
		announcer := &Announcer{Store: store, Contact: contact, Key: "entry", Log: zap.NewNop(), Clock: time.Now}
		running.Go(func() { announcer.Run(ctx, []byte("value")) })
		time.Sleep(restoredSpread)
		must.Eq(t, 2, store.grants.Load())
		must.Eq(t, 2, store.puts.Load())
		cancel()
		running.Wait()
	})
}
