package configuration

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/entry"
)

// memoryStore is a store whose calls can be held up.
type memoryStore struct {
	mu       sync.Mutex
	values   map[string][]byte
	revision map[string]uint64
	onDelete func(key string) // called before a deletion, without the lock
}

func newMemoryStore() *memoryStore {
	return &memoryStore{values: map[string][]byte{}, revision: map[string]uint64{}}
}

func (store *memoryStore) Get(_ context.Context, key string) ([]byte, uint64, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.values[key], store.revision[key], nil
}

func (store *memoryStore) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte) (uint64, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
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

// TestDroppedPartsMayComeBack has an operator bring rules back while the one who removed them is about to delete their part.
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
