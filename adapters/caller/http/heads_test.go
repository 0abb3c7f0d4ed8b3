package http

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/core/head"
	"github.com/sequoiaspan/sequoiaspan/dialect"
)

// name returns the i-th of many distinct short names.
func name(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+.^_`|~-"
	out := letters[i%26 : i%26+1]
	for i /= 26; i > 0; i /= len(letters) {
		out += letters[i%len(letters) : i%len(letters)+1]
	}
	return out
}

// TestCostIsNotBelowTheMemoryInUse measures the memory of parsed heads and two copies of each. Guards against an estimate that is too low, for
// example with another release of Go.
func TestCostIsNotBelowTheMemoryInUse(t *testing.T) {
	const (
		heads   = 40
		copies  = 2
		baseMax = 8 << 10 // of a request without header lines
	)
	for shape, line := range map[string]func(i int) string{
		"short":           func(i int) string { return name(i) + ":\n" },
		"short, values":   func(i int) string { return name(i) + ":v\r\n" },
		"rewritten":       func(i int) string { return strings.ToUpper(name(i)) + "-" + name(i) + ":\r\n" },
		"one name":        func(int) string { return "a:\n" },
		"one name, value": func(int) string { return "a:v\n" },
		"two names":       func(i int) string { return name(i/2) + ":\n" },
		"long names":      func(i int) string { return strings.Repeat("n", 100) + name(i) + ":v\r\n" },
		"continued":       func(i int) string { return []string{name(i) + ":\n", " v\n"}[i%2] },
	} {
		for _, size := range []int{300, 600, 1_600, 3_300, 4_000, 7_200, 12_000, 16_384} {
			text := "GET / HTTP/1.1\r\nHost: h\r\n"
			for i := 0; len(text) < size; i++ {
				text += line(i)
			}
			text += "\r\n"
			var before, after runtime.MemStats
			var kept [heads][]http.Header
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range kept {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
				must.NoError(t, err)
				kept[i] = append(kept[i], r.Header)
				for range copies {
					kept[i] = append(kept[i], r.Header.Clone())
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			each := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / heads
			runtime.KeepAlive(&kept)
			cost := head.Size{Bytes: len(text), Lines: strings.Count(text, "\n")}
			t.Logf("%s, %d bytes: %d bytes of memory for each of %d lines, cost %d", shape, len(text), each/int64(cost.Lines), cost.Lines, cost.Cost()/int64(cost.Lines))
			must.Less(t, cost.Cost()+baseMax, each, must.Sprintf("%s, %d bytes", shape, size))
		}
	}
}

// TestHeadsBeyondTheLimitAreNotServed holds a head of many lines and sends another one: its connection must be closed without an answer, and its
// request must not be served. Ordinary requests must be, and the memory of all must be released in the end.
func TestHeadsBeyondTheLimitAreNotServed(t *testing.T) {
	large := "GET /large HTTP/1.1\r\nHost: h\r\n"
	for i := range 1_000 {
		large += fmt.Sprintf("%s:\r\n", name(i))
	}
	cost := head.Size{Bytes: len(large), Lines: 1_002}.Cost()
	heads := &Heads{Limit: 3 * cost, Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
	port := &Port{Name: "test", Heads: heads, Limit: 10}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	served := make(chan string, 10)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { served <- r.URL.Path })}
	limited := port.Serve(server, listener)
	awaitClosed := reportedClosed(server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(limited)
	}()
	send := func(text string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		_, err = io.WriteString(conn, text)
		must.NoError(t, err)
		return conn, bufio.NewReader(conn)
	}
	used := func() int64 { return heads.Metrics.Get("heads.bytes").(metrics.Gauge).Value() }
	answer := func(reader *bufio.Reader) {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
	}

	// The answer to a short request shows that the server has read all bytes that came with it.
	held, reader := send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	answer(reader)
	_, err = io.WriteString(held, large)
	must.NoError(t, err)
	for used() < cost/2 { // the gauge exists, as a request has been answered
		runtime.Gosched()
	}
	rejected, reader := send(large + "\r\n")
	_, err = http.ReadResponse(reader, nil)
	must.Error(t, err)
	must.NoError(t, rejected.Close())
	for range 3 {
		ordinary, reader := send("GET /ordinary HTTP/1.1\r\nHost: h\r\n\r\n")
		answer(reader)
		must.NoError(t, ordinary.Close())
	}
	_, err = io.WriteString(held, "\r\n")
	must.NoError(t, err)
	must.NoError(t, held.(*net.TCPConn).CloseWrite())
	// The rejected request leaves room for the one that was read first.
	_, _ = io.Copy(io.Discard, held)
	must.NoError(t, server.Shutdown(t.Context()))
	<-done
	awaitClosed()
	must.Zero(t, used())
	close(served)
	var paths []string
	for path := range served {
		paths = append(paths, path)
	}
	must.Eq(t, []string{"/first", "/ordinary", "/ordinary", "/ordinary", "/large"}, paths)
}

// reportedClosed returns a function that waits until the server has reported all its connections closed. Shutdown may return before: net/http forgets
// a connection before it calls ConnState.
func reportedClosed(server *http.Server) (wait func()) {
	var open sync.WaitGroup
	track := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			open.Add(1)
		}
		track(conn, state)
		if state == http.StateClosed {
			open.Done()
		}
	}
	return open.Wait
}

// TestRequestWhoseTrailersFindNoRoomIsNotRun guards against a request that is rejected for want of memory after it has been read, and runs or gets
// no answer all the same.
func TestRequestWhoseTrailersFindNoRoomIsNotRun(t *testing.T) {
	handler := newTestHandler(func(*http.Request, *backend.Progress) (*http.Response, error) {
		t.Error("the request was sent")
		return nil, io.ErrUnexpectedEOF
	})
	heads := &Heads{Limit: 16 << 10, Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
	connections := &Connections{Limit: 10, Heads: heads, Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: handler, ConnState: connections.Track, ConnContext: connections.Context}
	limited := connections.Listen(listener)
	awaitClosed := reportedClosed(server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(limited)
	}()
	used := func() int64 { return heads.Metrics.Get("heads.bytes").(metrics.Gauge).Value() }

	held := connect(t, listener.Addr().String())
	_, err = io.WriteString(held, "GET /releases HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 20))
	must.NoError(t, err)
	for heads.Metrics.Get("heads.bytes") == nil || used() == 0 {
		runtime.Gosched()
	}
	rejected := connect(t, listener.Addr().String())
	_, err = io.WriteString(rejected, "POST /releases HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+strings.Repeat("a:\r\n", 100)+"\r\n")
	must.NoError(t, err)
	response := rejected.receive(t)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, "not-run", response.Header.Get(dialect.OutcomeHeader))
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	must.True(t, response.Close)
	must.NoError(t, held.Close())
	must.NoError(t, rejected.Close())
	must.NoError(t, server.Shutdown(t.Context()))
	<-done
	awaitClosed()
	must.Zero(t, used())
}
