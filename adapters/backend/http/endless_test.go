package http

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/dialect"
)

// endlessServer answers each request with a prefix and then sends repeat after each pause, until the client closes the
// connection.
type endlessServer struct {
	prefix string
	repeat string
	pause  time.Duration
}

// serve starts the server and returns its address, and a WaitGroup to wait until the client has closed all connections.
func (endlessServer endlessServer) serve(t *testing.T) (netip.AddrPort, *sync.WaitGroup) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	closed := &sync.WaitGroup{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			closed.Go(func() { endlessServer.answer(conn) })
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), closed
}

// answer sends until the client closes the connection.
func (endlessServer endlessServer) answer(conn net.Conn) {
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
		return
	}
	_, err := io.WriteString(conn, endlessServer.prefix)
	for repeat := endlessServer.repeat; err == nil; {
		time.Sleep(endlessServer.pause)
		_, err = io.WriteString(conn, repeat)
	}
}

const (
	// failureTimeout is the time within which an attempt at an endless server must fail.
	failureTimeout = headerTimeout + time.Second
	// maxHeapGrowth is the memory that a machine provides for the control plane, in bytes.
	maxHeapGrowth  = 32 << 20
	sampleInterval = 50 * time.Millisecond
	// concurrentAttempts is the number of simultaneous attempts at endless servers.
	concurrentAttempts = 200
)

// TestAnswersWithoutEnd sends 200 concurrent requests to servers whose response headers do not end. Each request must fail
// in time, its connection must be closed, and memory use must stay bounded.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\n"
		flood = 10 * time.Millisecond // between writes, of 4 KB in most cases
	)
	for name, server := range map[string]endlessServer{
		"no answer in the protocol": {repeat: strings.Repeat("x", 4<<10), pause: flood},
		"one header field":          {prefix: head + "Name: ", repeat: strings.Repeat("x", 4<<10), pause: flood},
		"header fields":             {prefix: head, repeat: strings.Repeat("Name: value\r\n", 300), pause: flood},
		"interim answers":           {repeat: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", pause: flood},
		"header in a trickle":       {prefix: head, repeat: "N", pause: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := server.serve(t)
			backend := &Backend{}
			defer backend.Close()
			before := heapBytes()
			var failed sync.WaitGroup
			for range concurrentAttempts {
				failed.Go(func() {
					// On a busy machine the dial may time out; such an attempt is repeated, since it does not test the header.
					for wrote := false; !wrote; {
						wrote = failsInTime(t, backend, address)
					}
				})
			}
			done := make(chan struct{})
			go func() {
				failed.Wait()
				close(done)
			}()
			peak := uint64(0)
			for running := true; running; {
				peak = max(peak, heapBytes())
				select {
				case <-done:
					running = false
				case <-time.After(sampleInterval):
				}
			}
			closed.Wait()
			must.Less(t, before+maxHeapGrowth, peak)
		})
	}
}

// failsInTime checks that a request to an endless server fails within failureTimeout, and reports whether it was sent.
func failsInTime(t *testing.T, backend *Backend, address netip.AddrPort) (wrote bool) {
	started, progress := time.Now(), &Progress{}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://service/", strings.NewReader("body"))
	if err != nil {
		t.Error(err)
		return true
	}
	response, err := backend.Send(request, Options{Address: address, Fresh: true}, progress)
	if err == nil {
		_ = response.Body.Close()
		t.Error("Send accepted a response whose header does not end")
	}
	if time.Since(started) > failureTimeout {
		t.Errorf("failed after %s with %v", time.Since(started), err)
	}
	return progress.Wrote()
}

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}

// TestBodiesWithoutEnd reads from servers that send endlessly: beyond the Content-Length, in the chunked framing or in the
// trailers. The body must be complete or fail with an error, and the connection must be closed.
func TestBodiesWithoutEnd(t *testing.T) {
	const (
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		filler  = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	)
	for name, c := range map[string]struct {
		server endlessServer
		want   string // the complete body, empty if reading must fail
	}{
		"beyond the length": {endlessServer{prefix: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", repeat: strings.Repeat(filler, 100)}, "ok"},
		"chunk extension":   {endlessServer{prefix: chunked + "2;", repeat: strings.Repeat(filler, 100)}, ""},
		"chunk size":        {endlessServer{prefix: chunked, repeat: "0000"}, ""},
		"trailer field":     {endlessServer{prefix: chunked + "2\r\nok\r\n0\r\nName: ", repeat: strings.Repeat(filler, 100)}, ""},
		"trailer fields":    {endlessServer{prefix: chunked + "2\r\nok\r\n0\r\n", repeat: strings.Repeat("Name: value\r\n", 100)}, ""},
		"empty chunks":      {endlessServer{prefix: chunked, repeat: "1;" + strings.Repeat("x", 4000) + "\r\nx\r\n"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, closed := c.server.serve(t)
			backend := &Backend{}
			defer backend.Close()
			ctx, cancel := context.WithTimeout(t.Context(), failureTimeout)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://service/", nil)
			must.NoError(t, err)
			response, err := backend.Send(request, Options{Address: address}, &Progress{})
			must.NoError(t, err)
			text, err := io.ReadAll(response.Body)
			must.NoError(t, response.Body.Close())
			if c.want == "" {
				must.Error(t, err)
				must.False(t, errors.Is(err, context.DeadlineExceeded), must.Sprint(err))
			} else {
				must.NoError(t, err)
				must.Eq(t, c.want, string(text))
			}
			closed.Wait()
		})
	}
}

// TestHealthAnswerWithoutEnd checks that a health check is bounded in bytes and in time if the response does not end.
func TestHealthAnswerWithoutEnd(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for name, server := range map[string]endlessServer{
		"head":         {prefix: head, repeat: strings.Repeat("Name: value\r\n", 300)},
		"body":         {prefix: head + "\r\n", repeat: strings.Repeat("x", 4<<10)},
		"trickle":      {prefix: head + "\r\n", repeat: "x", pause: 100 * time.Millisecond},
		"head trickle": {prefix: head, repeat: "N", pause: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := server.serve(t)
			backend := &Backend{Dialect: dialect.Native{}}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			healthy, _ := backend.Probe(ctx, pool.Probe{Server: "s0", Address: address}, "/health")
			must.Eq(t, name == "body", healthy, must.Sprint("the first bytes of a body are sufficient"))
			closed.Wait()
		})
	}
}
