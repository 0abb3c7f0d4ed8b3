package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sequoiaspan/sequoiaspan/dialect"
)

// Mode is how a backend server behaves.
type Mode uint8

// Modes.
const (
	Healthy   Mode = iota
	Stalling       // answers probes, stalls real work
	Slow           // takes SlowTime for real work
	Crashing       // cuts the connection of real work after running it
	Shedding       // refuses real work unrun
	Retiring       // works, and says that it is leaving
	Breaking       // breaks off downloads in the middle
	Dropping       // cuts the connection of real work before running it
	Trickling      // sends downloads in pieces with TricklePause between them
)

// SlowTime is how long a Slow server takes.
const SlowTime = 2 * time.Second

// TricklePause is between two pieces of a Trickling server's download.
const TricklePause = 500 * time.Millisecond

// chunkBytes is the size of the pieces of a download.
const chunkBytes = 32 << 10

// Backend stands in for a backend server. It counts how often each request ran, by the Request-Id header.
type Backend struct {
	Name     string
	WorkTime time.Duration // of each request

	mu      sync.Mutex
	mode    Mode
	poison  string // path whose requests crash the server
	lost    int    // requests that crashed it
	ran     map[string]int
	served  int
	active  int
	most    int
	content []byte
	server  *httptest.Server
}

// NewBackend starts a backend server on loopback; Close ends it.
func NewBackend(name string) *Backend {
	b := &Backend{Name: name, ran: map[string]int{}}
	b.server = httptest.NewUnstartedServer(http.HandlerFunc(b.serve))
	b.server.Config.ErrorLog = nil
	b.server.Start()
	return b
}

// Close ends the server and all its connections.
func (b *Backend) Close() {
	b.server.CloseClientConnections()
	b.server.Close()
}

// Address returns where the server is.
func (b *Backend) Address() netip.AddrPort { return addressOf(b.server) }

// SetMode changes the behaviour.
func (b *Backend) SetMode(mode Mode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = mode
}

// SetPoison makes requests for a path crash the server.
func (b *Backend) SetPoison(path string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.poison = path
}

// SetContent sets what /download gives.
func (b *Backend) SetContent(content []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.content = content
}

// Served returns how many requests were run.
func (b *Backend) Served() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.served
}

// Lost returns how often a request crashed the server.
func (b *Backend) Lost() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

// MostActive returns the most requests that were run at a time.
func (b *Backend) MostActive() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.most
}

// Ran returns how often a request ran.
func (b *Backend) Ran(requestID string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[requestID]
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	mode, poison, content := b.mode, b.poison, b.content
	b.mu.Unlock()
	if mode == Retiring {
		w.Header().Set(dialect.StateHeader, dialect.StateLeaving)
	}
	if r.URL.Path == "/health" {
		fmt.Fprintln(w, "ok")
		return
	}
	switch mode {
	case Shedding:
		w.Header().Set(dialect.OutcomeHeader, "not-run")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Dropping:
		panic(http.ErrAbortHandler)
	}
	if poison != "" && strings.HasSuffix(r.URL.Path, poison) {
		b.mu.Lock()
		b.lost++
		b.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	b.run(w, r, mode, content)
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request, mode Mode, content []byte) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.begin(r.Header.Get("Request-Id"))
	defer b.end()
	wait := b.WorkTime
	if mode == Slow {
		wait = SlowTime
	}
	if mode == Stalling {
		<-r.Context().Done()
		return
	}
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	if mode == Crashing {
		panic(http.ErrAbortHandler)
	}
	if strings.HasSuffix(r.URL.Path, "/download") {
		b.download(w, r, mode, content)
		return
	}
	b.answer(w, r, body)
}

func (b *Backend) begin(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served++
	b.active++
	b.most = max(b.most, b.active)
	if id != "" {
		b.ran[id]++
	}
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active--
}

// answer echoes what identifies the request.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	header := w.Header()
	header.Set("Backend-Server", b.Name)
	header.Set("Request-Id", r.Header.Get("Request-Id"))
	for _, name := range []string{dialect.DeadlineHeader, "X-Forwarded-For", "Forwarded", "Traceparent", "Connection-Only", "Idempotency-Key"} {
		header.Set("Echo-"+name, r.Header.Get(name))
	}
	header.Set("Trailer", "Digest-Length")
	fmt.Fprintf(w, "%s %s %s\n%s", r.Method, r.URL.RequestURI(), r.Header.Get("Request-Id"), body)
	header.Set("Digest-Length", strconv.Itoa(len(body)))
}

// download serves the content with a strong ETag and ranges.
func (b *Backend) download(w http.ResponseWriter, r *http.Request, mode Mode, content []byte) {
	w.Header().Set("ETag", `"v1"`)
	switch mode {
	case Breaking:
		breakOff(w, content)
	case Trickling:
		trickle(w, r, content)
	default:
		http.ServeContent(w, r, "", time.Time{}, strings.NewReader(string(content)))
	}
}

// trickle sends the content piece by piece.
func trickle(w http.ResponseWriter, r *http.Request, content []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	for sent := 0; sent < len(content); sent += chunkBytes {
		if _, err := w.Write(content[sent:min(len(content), sent+chunkBytes)]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(TricklePause):
		case <-r.Context().Done():
			return
		}
	}
}

// breakOff sends half of the content and cuts the connection.
func breakOff(w http.ResponseWriter, content []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	for sent := 0; sent < len(content)/2; sent += chunkBytes {
		if _, err := w.Write(content[sent:min(len(content), sent+chunkBytes)]); err != nil {
			return
		}
	}
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
