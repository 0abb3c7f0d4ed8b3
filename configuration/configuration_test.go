package configuration

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// memoryStore is an in-memory store that can fail and that can run a hook before deletions.
type memoryStore struct {
	mu       sync.Mutex
	values   map[string][]byte
	revision map[string]uint64
	onDelete func(key string) // called before a deletion, without the lock
	down     bool
}

var errDown = &entry.Error{Op: "call", Kind: entry.KindUnavailable, Err: context.DeadlineExceeded}

func (store *memoryStore) setDown(down bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.down = down
}

func newMemoryStore() *memoryStore {
	return &memoryStore{values: map[string][]byte{}, revision: map[string]uint64{}}
}

func (store *memoryStore) Get(_ context.Context, key string) ([]byte, uint64, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.down {
		return nil, 0, errDown
	}
	return store.values[key], store.revision[key], nil
}

func (store *memoryStore) GetNewer(ctx context.Context, key string, revision uint64) ([]byte, uint64, bool, error) {
	value, found, err := store.Get(ctx, key)
	return value, found, found != revision, err
}

func (store *memoryStore) Watch(ctx context.Context, key string, revision uint64) ([]byte, uint64, error) {
	for {
		value, found, err := store.Get(ctx, key)
		if err != nil || found != revision {
			return value, found, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (store *memoryStore) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte) (uint64, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.down {
		return 0, errDown
	}
	if store.revision[key] != revision {
		return 0, &entry.Error{Op: "swap", Kind: entry.KindConflict}
	}
	store.values[key], store.revision[key] = value, revision+1
	return revision + 1, nil
}

func (store *memoryStore) Delete(_ context.Context, key string) error {
	if store.onDelete != nil {
		store.onDelete(key)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	delete(store.values, key)
	delete(store.revision, key)
	return nil
}

func (store *memoryStore) parts() []string {
	store.mu.Lock()
	defer store.mu.Unlock()
	keys := slices.Sorted(maps.Keys(store.values))
	return slices.DeleteFunc(keys, func(key string) bool { return !strings.HasPrefix(key, partPrefix) })
}

// TestDroppedPartsMayComeBack publishes removed rules again just before the operator who removed them deletes their part.
// The deletion must not hit the part of the new version.
func TestDroppedPartsMayComeBack(t *testing.T) {
	const first, second = "service a # asked by: x\n", "service b # asked by: y\n"
	ctx, now := t.Context(), time.Unix(1_800_000_000, 0)
	store := newMemoryStore()
	_, err := Publish(ctx, store, "rules", first, "ana", 0, now)
	must.NoError(t, err)
	store.onDelete = func(string) {
		store.onDelete = nil
		_, err := Publish(ctx, store, "rules", first, "ben", 2, now.Add(time.Second))
		must.NoError(t, err)
	}
	_, err = Publish(ctx, store, "rules", second, "ana", 1, now)
	must.NoError(t, err)
	current, err := Load(ctx, store)
	must.NoError(t, err)
	must.Eq(t, 3, current.Number)
	must.Eq(t, first, current.Text)
	must.SliceLen(t, 1, store.parts())
}

// localPeers connects entry instances by direct calls.
type localPeers struct {
	entry.Peers
	mu     *sync.Mutex
	byName map[string]*entry.Entry
}

func (localPeers localPeers) named(name string) *entry.Entry {
	localPeers.mu.Lock()
	defer localPeers.mu.Unlock()
	return localPeers.byName[name]
}

func (localPeers) Reachable(string) bool { return true }

func (localPeers localPeers) PullRules(_ context.Context, to entry.Peer, have uint64) (uint64, string, error) {
	version, text := localPeers.named(to.Name).HandlePullRules(have)
	return version, text, nil
}

func (localPeers localPeers) List(context.Context) (instance.List, error) {
	localPeers.mu.Lock()
	defer localPeers.mu.Unlock()
	list := instance.List{AsOf: time.Now()}
	for _, name := range slices.Sorted(maps.Keys(localPeers.byName)) {
		list.Entries = append(list.Entries, instance.Entry{Name: name})
	}
	return list, nil
}

func (localPeers localPeers) add(name string, store *memoryStore) *entry.Entry {
	e := &entry.Entry{
		Name: name, Peers: localPeers, Store: store, Instances: localPeers, RulesSource: &Follower{Store: store},
	}
	e.Init()
	localPeers.mu.Lock()
	defer localPeers.mu.Unlock()
	localPeers.byName[name] = e
	return e
}

// TestRulesOutlastHoursWithoutTheStore stops the store for three hours, during which a new instance starts. The instance
// must get the rules from its peers, and new rules must come into force once the store is back.
func TestRulesOutlastHoursWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		run := func(e *entry.Entry) { running.Go(func() { must.NoError(t, e.Run(ctx)) }) }
		store, fleet := newMemoryStore(), localPeers{mu: &sync.Mutex{}, byName: map[string]*entry.Entry{}}
		old := fleet.add("entry-0", store)
		run(old)
		inForce := func(want uint64, entries ...*entry.Entry) {
			for _, e := range entries {
				_, version := e.Rules()
				must.Eq(t, want, version)
			}
		}
		const first = "service a # asked by: x\n"
		_, err := Publish(ctx, store, "rules", first, "ana", 0, time.Now())
		must.NoError(t, err)
		time.Sleep(4 * time.Second)
		inForce(1, old)
		store.setDown(true)
		time.Sleep(time.Hour)
		fresh := fleet.add("entry-1", store)
		run(fresh)
		time.Sleep(4 * time.Second)
		inForce(1, old, fresh)
		time.Sleep(2 * time.Hour)
		inForce(1, old, fresh)
		store.setDown(false)
		_, err = Publish(ctx, store, "rules", first+"service b # asked by: y\n", "ben", 1, time.Now())
		must.NoError(t, err)
		time.Sleep(4 * time.Second)
		inForce(2, old, fresh)
	})
}
