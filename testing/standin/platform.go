// Package standin has small stand-ins for the systems around sequoiaspan, for tests and examples.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	instances "github.com/sequoiaspan/sequoiaspan/adapters/instances/http"
)

// Platform stands in for the configuration store and the instance list.
type Platform struct {
	mu       sync.Mutex
	changed  chan struct{} // closed at the next change of the store
	values   map[string]stored
	revision uint64
	document instances.Document
	version  int
	faults   Faults
	calls    map[string]int
	server   *httptest.Server
}

type stored struct {
	value    []byte
	revision uint64
}

// Faults are what goes wrong at the platform.
type Faults struct {
	StoreDown     bool          // every call to the store fails
	StoreSlow     time.Duration // each call to the store takes so long
	LoseReplies   int           // so many writes take effect without a reply
	ListDown      bool          // every reading of the list fails
	ListFrozen    bool          // the list's content and time stand still
	MalformedList bool          // the list is no JSON
}

// NewPlatform starts a platform on loopback; Close ends it.
func NewPlatform() *Platform {
	platform := &Platform{changed: make(chan struct{}), values: map[string]stored{}, calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/keys/", platform.serveStore)
	mux.HandleFunc("GET /v1/instances", platform.serveList)
	platform.server = httptest.NewServer(mux)
	return platform
}

// Close ends the platform.
func (platform *Platform) Close() {
	platform.server.CloseClientConnections()
	platform.server.Close()
}

// Address returns where the store and the list are.
func (platform *Platform) Address() netip.AddrPort {
	return addressOf(platform.server)
}

func addressOf(server *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// SetFaults replaces what goes wrong.
func (platform *Platform) SetFaults(faults Faults) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.faults = faults
	platform.signal()
}

// SetList replaces the instance list.
func (platform *Platform) SetList(entries []instances.Entry, servers []instances.Server) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.document = instances.Document{Entries: entries, Servers: servers}
	platform.version++
}

// Calls returns how often an operation was called: get, watch, put, delete or list.
func (platform *Platform) Calls(operation string) int {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.calls[operation]
}

// signal wakes the watchers; the lock must be held.
func (platform *Platform) signal() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

func (platform *Platform) serveStore(w http.ResponseWriter, r *http.Request) {
	platform.mu.Lock()
	faults := platform.faults
	platform.mu.Unlock()
	if faults.StoreDown {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if faults.StoreSlow > 0 {
		select {
		case <-time.After(faults.StoreSlow):
		case <-r.Context().Done():
			return
		}
	}
	key := strings.TrimPrefix(r.URL.Path, "/v1/keys/")
	switch r.Method {
	case http.MethodGet:
		platform.get(w, r, key)
	case http.MethodPut:
		platform.put(w, r, key)
	case http.MethodDelete:
		platform.delete(w, key)
	default:
		http.Error(w, "method", http.StatusMethodNotAllowed)
	}
}

func (platform *Platform) get(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	if query.Has("after") {
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait"))
		if wait == 0 {
			platform.count("get")
		} else {
			platform.count("watch")
		}
		if !platform.await(r, key, after, time.Duration(wait)*time.Second) {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	} else {
		platform.count("get")
	}
	platform.mu.Lock()
	found := platform.values[key]
	down := platform.faults.StoreDown
	platform.mu.Unlock()
	switch {
	case down:
		http.Error(w, "down", http.StatusServiceUnavailable)
	case found.revision == 0:
		http.Error(w, "no such key", http.StatusNotFound)
	default:
		w.Header().Set("Revision", strconv.FormatUint(found.revision, 10))
		_, _ = w.Write(found.value)
	}
}

// await waits until a key's revision differs; it also ends when the store goes down.
func (platform *Platform) await(r *http.Request, key string, after uint64, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		platform.mu.Lock()
		ready := platform.values[key].revision != after || platform.faults.StoreDown
		changed := platform.changed
		platform.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

func (platform *Platform) count(operation string) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.calls[operation]++
}

func (platform *Platform) put(w http.ResponseWriter, r *http.Request, key string) {
	expected, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	value, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.calls["put"]++
	if platform.values[key].revision != expected {
		http.Error(w, "revision", http.StatusPreconditionFailed)
		return
	}
	platform.revision++
	platform.values[key] = stored{value, platform.revision}
	platform.signal()
	if platform.faults.LoseReplies > 0 {
		platform.faults.LoseReplies--
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Revision", strconv.FormatUint(platform.revision, 10))
}

func (platform *Platform) delete(w http.ResponseWriter, key string) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.calls["delete"]++
	delete(platform.values, key)
	platform.signal()
	w.WriteHeader(http.StatusNoContent)
}

func (platform *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.calls["list"]++
	switch {
	case platform.faults.ListDown:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case platform.faults.MalformedList:
		fmt.Fprint(w, "{")
		return
	}
	if !platform.faults.ListFrozen {
		platform.document.AsOf = time.Now().UTC()
	}
	etag := fmt.Sprintf("%q", strconv.Itoa(platform.version))
	w.Header().Set("ETag", etag)
	w.Header().Set("As-Of", platform.document.AsOf.Format(time.RFC3339Nano))
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_ = json.NewEncoder(w).Encode(platform.document)
}
