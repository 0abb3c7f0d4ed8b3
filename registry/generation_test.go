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

// TestWatcherOfARestoredStore restores the store during a pending watch. The watch must end, all records must be read again without a
// stale read, and missing ones must stay in use for instance.ReregistrationGrace.
func TestWatcherOfARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		restored := instance.Revision{Generation: 2, Number: 3}
		store := &scriptedStore{ranges: []scriptedReply{
			{records: []Record{record("a", "1", at(4))}, revision: instance.Revision{Generation: 1, Number: 5}},
			{records: []Record{record("a", "0", restored)}, revision: restored},
		}}
		watcher := newWatcher(store)
		must.True(t, watcher.Monitor.ObserveGeneration(time.Now(), 1))
		batch, err := watcher.Next(t.Context(), instance.Revision{})
		must.NoError(t, err)
		must.True(t, batch.KeepUntil.IsZero())
		go func() {
			time.Sleep(time.Second)
			watcher.Monitor.ObserveGeneration(time.Now(), 2)
		}()
		batch, err = watcher.Next(t.Context(), batch.Revision)
		must.NoError(t, err)
		must.True(t, batch.Snapshot)
		must.Eq(t, restored, batch.Revision)
		must.Eq(t, []bool{true, false}, store.stale, must.Sprint("a stale read may be of the earlier generation"))
		must.Between(t, instance.ReregistrationGrace-100*time.Millisecond, time.Until(batch.KeepUntil), instance.ReregistrationGrace)
	})
}

// TestAnnouncementsAfterARestoration restores the store while 40 instances are announced. All must announce themselves again under new
// leases, spread over reannounceWindow. None may revoke a lease of an earlier generation, as its number may be another instance's.
func TestAnnouncementsAfterARestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 40
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var stores []*scriptedStore
		var monitors []*Monitor
		for i := range instances {
			store, monitor := &scriptedStore{}, newMonitor()
			monitor.ObserveGeneration(time.Now(), 1)
			stores, monitors = append(stores, store), append(monitors, monitor)
			announcer := &Announcer{Store: store, Monitor: monitor, Key: fmt.Sprintf("entry-%d", i), Log: zap.NewNop(), Clock: time.Now}
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
		for _, monitor := range monitors {
			monitor.ObserveGeneration(time.Now(), 2)
		}
		time.Sleep(reannounceWindow / 2)
		must.Between(t, instances/4, announced(2), 3*instances/4)
		time.Sleep(reannounceWindow / 2)
		must.Eq(t, instances, announced(2))
		for _, monitor := range monitors {
			monitor.ObserveGeneration(time.Now(), 3)
		}
		cancel()
		running.Wait()
		for _, store := range stores {
			must.Eq(t, 0, store.ends.Load())
		}
	})
}

// restoringStore is restored between the grant of the first lease and the write under it.
type restoringStore struct {
	scriptedStore
	monitor *Monitor
}

func (store *restoringStore) Put(ctx context.Context, key string, value []byte, lease uint64) error {
	if store.grants.Load() == 1 {
		store.monitor.ObserveGeneration(time.Now(), 2)
	}
	return store.scriptedStore.Put(ctx, key, value, lease)
}

// TestLeaseOfAnEarlierGeneration checks that an instance whose record was written under a lease of the previous generation is announced
// again.
func TestLeaseOfAnEarlierGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		monitor := newMonitor()
		monitor.ObserveGeneration(time.Now(), 1)
		store := &restoringStore{monitor: monitor}
		announcer := &Announcer{Store: store, Monitor: monitor, Key: "entry", Log: zap.NewNop(), Clock: time.Now}
		running.Go(func() { announcer.Run(ctx, []byte("value")) })
		time.Sleep(reannounceWindow)
		must.Eq(t, 2, store.grants.Load())
		must.Eq(t, 2, store.puts.Load())
		cancel()
		running.Wait()
	})
}

// TestConfirmRenewsAtOnce checks that a renewal on demand does not wait for the interval, and that there is at most one in confirmInterval.
func TestConfirmRenewsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		announcer := &Announcer{Store: &scriptedStore{}, Monitor: newMonitor(), Key: "entry", Log: zap.NewNop(), Clock: time.Now, Wanted: make(chan struct{}, 1)}
		announcer.Confirm()
		running.Go(func() { announcer.Run(ctx, []byte("value")) })
		time.Sleep(renewInterval / 2)
		must.Eq(t, renewInterval/2, announcer.Monitor.Age(time.Now()))
		announcer.Confirm()
		synctest.Wait()
		must.Eq(t, 0, announcer.Monitor.Age(time.Now()))
		calls := map[time.Duration]bool{}
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			announcer.Confirm()
			synctest.Wait()
			calls[announcer.Monitor.Age(time.Now())] = true
		}
		must.Eq(t, int(confirmInterval/(10*time.Millisecond)), len(calls), must.Sprint("ages of the latest answered call"))
		cancel()
		running.Wait()
	})
}
