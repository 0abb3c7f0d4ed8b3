package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which upstreams write to the store.
const heartbeat = 1500 * time.Millisecond

// queueLength is the number of requests that an upstream queues for its slots, as in the site files.
const queueLength = 16

// upstream is a stand-in of a sound upstream, as PROTOCOL.md describes it, unless serve says otherwise.
type upstream struct {
	id, service, zone string
	slots             int
	born              time.Time
	world             *world
	listener          net.Listener
	// serve answers a request that the upstream runs; nil for a sound answer after the work.
	serve func(w http.ResponseWriter, r *http.Request) bool
	work  time.Duration
	// busy has an element for each request that runs, waiting for each that is queued.
	busy, waiting chan struct{}

	mu        sync.Mutex
	conns     map[net.Conn]bool
	down      bool
	onArrival func(id string) // is called for each request that reaches the upstream
	onRun     func(id string) // is called for each request that the upstream runs
}

// addUpstream starts an upstream and registers it.
func (w *world) addUpstream(id, service, zone string, slots int, work time.Duration) *upstream {
	u := w.newUpstream(id, service, zone, slots, work)
	u.register(u.listener.Addr().String())
	return u
}

// newUpstream starts an upstream.
func (w *world) newUpstream(id, service, zone string, slots int, work time.Duration) *upstream {
	u := &upstream{id: id, service: service, zone: zone, slots: slots, born: time.Now(), world: w, listener: listen(), work: work, busy: make(chan struct{}, slots), waiting: make(chan struct{}, queueLength)}
	server := &http.Server{Handler: u, ConnState: u.track}
	go server.Serve(u.listener)
	return u
}

// register writes the upstream's entry. Later heartbeats change no more than seq, so that the entry stays as it is.
func (u *upstream) register(address string) {
	value, _ := json.Marshal(map[string]any{
		"service": u.service, "address": address, "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": "ready", "warmup_left_ms": 0, "seq": 1, "born": u.born.UnixMilli(),
	})
	u.world.store.put("servers/"+u.id, string(value))
}

// track keeps the open connections.
func (u *upstream) track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns == nil {
		u.conns = map[net.Conn]bool{}
	}
	switch state {
	case http.StateNew:
		u.conns[c] = true
	case http.StateClosed:
		delete(u.conns, c)
	}
}

// crash resets all connections and ends the upstream without a word. Its entry goes after three heartbeat intervals of silence.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return
	}
	u.down = true
	u.world.record.add("%s crashes", u.id)
	_ = u.listener.Close()
	for c := range u.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	time.AfterFunc(3*heartbeat, func() { u.world.store.delete("servers/" + u.id) })
}

// setOnArrival sets a function that is called for each request that reaches the upstream.
func (u *upstream) setOnArrival(onArrival func(id string)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.onArrival = onArrival
}

// setOnRun sets a function that is called for each request that the upstream runs.
func (u *upstream) setOnRun(onRun func(id string)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.onRun = onRun
}

// admit waits for a slot. It returns false if the queue is full or the caller has gone.
func (u *upstream) admit(ctx context.Context) bool {
	select {
	case u.busy <- struct{}{}:
		return true
	default:
	}
	select {
	case u.waiting <- struct{}{}:
		defer func() { <-u.waiting }()
	default:
		return false
	}
	select {
	case u.busy <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// ServeHTTP serves health checks and requests.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	onArrival, onRun := u.onArrival, u.onRun
	u.mu.Unlock()
	if onArrival != nil {
		onArrival(id)
	}
	if !u.admit(r.Context()) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.busy }()
	if onRun != nil {
		onRun(id)
	}
	if !u.world.quiet {
		u.world.record.add("%s runs %s %s %s", u.id, id, r.Method, r.URL.Path)
	}
	if u.serve != nil && u.serve(w, r) {
		return
	}
	millis, _ := strconv.Atoi(r.Header.Get("Request-Deadline"))
	select {
	case <-time.After(u.work):
	case <-time.After(time.Duration(millis) * time.Millisecond):
		w.Header().Set("Response-Signature", "signed-"+u.id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	body := fmt.Sprintf("%s %s by %s", r.Method, r.URL.Path, u.id)
	w.Header().Set("Response-Signature", "signed-"+u.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
