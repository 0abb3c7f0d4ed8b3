package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxHistory bounds the events that the store keeps for watches.
const maxHistory = 10_000

// pageItems is the number of items in a page of a range.
const pageItems = 500

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type change struct {
	item
	Tombstone bool
}

// MarshalJSON writes a deletion as key, revision and tombstone only.
func (change change) MarshalJSON() ([]byte, error) {
	if change.Tombstone {
		return json.Marshal(map[string]any{"key": change.Key, "revision": change.Revision, "tombstone": true})
	}
	return json.Marshal(change.item)
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in for the platform's metadata store. It follows PROTOCOL.md and always behaves well.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []change
	dropped  uint64 // the history up to this revision is no longer available
	leases   map[uint64]*lease
	changed  chan struct{}
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &store{listener: listener, revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", store.getKey)
	mux.HandleFunc("GET /-/kv-range", store.getRange)
	mux.HandleFunc("GET /-/kv-watch", store.watch)
	mux.HandleFunc("POST /-/kv-txn", store.transact)
	mux.HandleFunc("POST /-/kv-lease", store.grantLease)
	mux.HandleFunc("POST /-/kv-keep/{lease}", store.keepLease)
	mux.HandleFunc("DELETE /-/kv-lease-end/{lease}", store.dropLease)
	go func() { _ = http.Serve(listener, mux) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			store.mu.Lock()
			store.expire()
			store.mu.Unlock()
		}
	}()
	return store, nil
}

func (store *store) address() string { return store.listener.Addr().String() }

// put writes a record on behalf of the operator or of an upstream. Its return is the acknowledgement.
func (store *store) put(key, value string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.write(key, base64.StdEncoding.EncodeToString([]byte(value)), 0)
}

func (store *store) write(key, value string, lease uint64) {
	store.revision++
	created := store.revision
	if old, found := store.items[key]; found {
		created = old.Created
	}
	store.items[key] = item{key, value, store.revision, created, lease}
	store.record(change{item: store.items[key]})
}

func (store *store) erase(key string) {
	if _, found := store.items[key]; !found {
		return
	}
	store.revision++
	delete(store.items, key)
	store.record(change{item: item{Key: key, Revision: store.revision}, Tombstone: true})
}

func (store *store) record(change change) {
	store.history = append(store.history, change)
	if len(store.history) > maxHistory {
		store.dropped = store.history[0].Revision
		store.history = store.history[1:]
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) expire() {
	now := time.Now()
	for id, lease := range store.leases {
		if now.After(lease.until) {
			store.endLease(id)
		}
	}
}

func (store *store) endLease(id uint64) {
	delete(store.leases, id)
	for key, item := range store.items {
		if item.Lease == id {
			store.erase(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (store *store) getKey(w http.ResponseWriter, r *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	found, ok := store.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": store.revision})
		return
	}
	reply(w, http.StatusOK, found)
}

func (store *store) getRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	store.mu.Lock()
	defer store.mu.Unlock()
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, store.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > pageItems, "store_revision": store.revision})
}

func (store *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		store.mu.Lock()
		events := []change{}
		for _, change := range store.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change)
			}
		}
		dropped, revision, changed := store.dropped, store.revision, store.changed
		store.mu.Unlock()
		if after < dropped {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (store *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, expected := range body.Expected {
		if store.items[expected.Key].Revision != expected.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{store.items[expected.Key]}})
			return
		}
	}
	for _, put := range body.Puts {
		if put.Lease != 0 && store.leases[put.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, put := range body.Puts {
		store.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Deletes {
		store.erase(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": store.revision})
}

func (store *store) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Millis int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.revision++
	ttl := max(time.Second, time.Duration(body.Millis)*time.Millisecond)
	store.leases[store.revision] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": store.revision, "ttl_ms": ttl.Milliseconds()})
}

func (store *store) keepLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	store.mu.Lock()
	defer store.mu.Unlock()
	found := store.leases[id]
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	found.until = time.Now().Add(found.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": found.ttl.Milliseconds()})
}

func (store *store) dropLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	store.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
