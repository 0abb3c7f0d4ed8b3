package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleTimeout is the time after which an upstream closes an idle connection.
const idleTimeout = 10 * time.Second

// run is one request that an upstream began to work on.
type run struct {
	At       time.Time
	ID       string // Attempt-Id
	Upstream string
	Service  string
	Method   string
	Target   string
	Tenant   string
}

// runs collects what upstreams ran.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (runs *runs) add(run run) {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	runs.all = append(runs.all, run)
}

func (runs *runs) list() []run {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	return append([]run(nil), runs.all...)
}

// answer is what an upstream writes for a request that it has run. The zero value is the sound answer.
type answer struct {
	raw   string // instead of the sound answer
	close bool   // close the connection afterwards; without raw, without an answer
}

// upstream is a stand-in for a backend server of the users. It speaks HTTP/1.1 on a socket of its own, so that a test chooses its bytes.
type upstream struct {
	id, service string
	slots       int
	work        time.Duration
	runs        *runs
	listener    net.Listener
	slot        chan struct{}
	waiting     chan struct{}
	born        time.Time

	mu     sync.Mutex
	answer func(r *http.Request, body string, count int) answer // nil for sound answers; count is the number of runs so far, from 1
	count  int
}

func startUpstream(id, service string, slots int, work time.Duration, runs *runs) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	upstream := &upstream{id: id, service: service, slots: slots, work: work, runs: runs, listener: listener,
		slot: make(chan struct{}, slots), waiting: make(chan struct{}, slots+16), born: time.Now()}
	go upstream.serve()
	return upstream, nil
}

// record returns the upstream's entry in the store.
func (upstream *upstream) record(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":%d,"state":%q,"warmup_left_ms":0,"seq":1,"born":%d}`,
		upstream.service, upstream.listener.Addr().String(), upstream.slots, state, upstream.born.UnixMilli())
}

// setAnswer sets what the upstream answers from now on, nil for sound answers.
func (upstream *upstream) setAnswer(f func(r *http.Request, body string, count int) answer) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.answer, upstream.count = f, 0
}

func (upstream *upstream) serve() {
	for {
		conn, err := upstream.listener.Accept()
		if err != nil {
			return
		}
		go upstream.serveConn(conn)
	}
}

func (upstream *upstream) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_ = conn.SetDeadline(time.Time{})
		if !upstream.handle(conn, r, string(body)) || r.Close {
			return
		}
	}
}

// handle answers one request, and reports whether the connection stays open.
func (upstream *upstream) handle(conn net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/health" {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", upstream.id)
		return err == nil
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != upstream.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", upstream.id)
		return err == nil
	}
	select {
	case upstream.waiting <- struct{}{}:
	default:
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	upstream.slot <- struct{}{}
	defer func() { <-upstream.slot; <-upstream.waiting }()
	upstream.runs.add(run{At: time.Now(), ID: id, Upstream: upstream.id, Service: upstream.service, Method: r.Method, Target: r.RequestURI, Tenant: r.Header.Get("Tenant")})
	time.Sleep(upstream.work)
	upstream.mu.Lock()
	upstream.count++
	count, f := upstream.count, upstream.answer
	upstream.mu.Unlock()
	sound := answer{raw: upstream.soundAnswer(r, "200 OK")}
	out := sound
	if f != nil {
		out = f(r, body, count)
		if out == (answer{}) {
			out = sound
		}
	}
	if _, err := io.WriteString(conn, out.raw); err != nil {
		return false
	}
	return !out.close
}

// soundAnswer returns a complete answer with a status line of the given status.
func (upstream *upstream) soundAnswer(r *http.Request, status string) string {
	text := fmt.Sprintf("%s %s ran at %s", r.Method, r.RequestURI, upstream.id)
	return fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Signature: sig-%s-%s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("Attempt-Id"), upstream.id, r.Header.Get("Attempt-Id"), len(text), text)
}
