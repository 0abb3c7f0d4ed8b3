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

// item is a record of the store.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease with its end.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	leases   map[uint64]lease
	changed  chan struct{}
	listener net.Listener
}

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[uint64]lease{}, revision: 7, changed: make(chan struct{}), listener: listen()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{lease}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{lease}", s.serveLeaseEnd)
	go http.Serve(s.listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	}))
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a record for the operator or an upstream.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, base64.StdEncoding.EncodeToString([]byte(value)), 0)
}

// delete removes a record of the operator or an upstream.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) write(key, value string, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.record(s.items[key])
}

func (s *store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) record(event item) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that were not renewed in time.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	query, keys := r.URL.Query(), []string{}
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	const page = 500
	items := []item{}
	for _, key := range keys[:min(len(keys), page)] {
		items = append(items, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > page, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	millis, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(millis, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []item   `json:"expected_rev"`
		Puts     []item   `json:"puts"`
		Deletes  []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []item{}, true
	for _, expected := range body.Expected {
		current = append(current, s.items[expected.Key])
		holds = holds && s.items[expected.Key].Revision == expected.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range body.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, found := s.leases[put.Lease]; put.Lease != 0 && !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range body.Puts {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Millis int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(max(body.Millis, 1000)) * time.Millisecond
	s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	l, found := s.leases[id]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	if _, found := s.leases[id]; !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
