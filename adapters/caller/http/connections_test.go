package http

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/dialect"
)

// startLimited serves callers with a limit on their connections, and returns the address.
func startLimited(t *testing.T, limit int, send senderFunc) (string, *Connections) {
	t.Helper()
	handler := newTestHandler(send)
	handler.Entry.ApplyRules(2, "service payouts # asked by: test\nroute /releases service=payouts repeatable=no deadline=1m # asked by: test\n")
	connections := &Connections{Limit: limit, Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: handler, ConnState: connections.Track, ConnContext: connections.Context}
	go func() { _ = server.Serve(connections.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), connections
}

// answerAtOnce answers each request.
func answerAtOnce(_ *http.Request, progress *backend.Progress) (*http.Response, error) {
	progress.SetConnected(false)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// awaitIdle waits until a number of connections are idle: the server counts one as idle after its caller has the answer.
func awaitIdle(connections *Connections, want int) {
	for idle := -1; idle != want; runtime.Gosched() {
		connections.mu.Lock()
		_, idle = connections.table.Count()
		connections.mu.Unlock()
	}
}

// testCaller is a caller's connection.
type testCaller struct {
	net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, address string) *testCaller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	return &testCaller{conn, bufio.NewReader(conn)}
}

func (c *testCaller) send(t *testing.T) {
	t.Helper()
	_, err := io.WriteString(c, "POST /releases HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	must.NoError(t, err)
}

func (c *testCaller) receive(t *testing.T) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	return response
}

// TestIdleConnectionsGiveWayToRequests guards against callers that cannot get in while others keep connections open that they do not use.
func TestIdleConnectionsGiveWayToRequests(t *testing.T) {
	address, connections := startLimited(t, 2, answerAtOnce)
	var callers []*testCaller
	for i := range 3 {
		c := connect(t, address)
		c.send(t)
		must.Eq(t, http.StatusOK, c.receive(t).StatusCode)
		awaitIdle(connections, min(i+1, 2))
		callers = append(callers, c)
	}
	_, err := callers[0].reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	callers[1].send(t)
	must.Eq(t, http.StatusOK, callers[1].receive(t).StatusCode)
}

// TestRequestsBeyondTheLimitAreRefusedAtOnce guards against requests that wait until other callers have their answers.
func TestRequestsBeyondTheLimitAreRefusedAtOnce(t *testing.T) {
	began, end := make(chan struct{}), make(chan struct{})
	address, _ := startLimited(t, 1, func(request *http.Request, progress *backend.Progress) (*http.Response, error) {
		close(began)
		<-end
		return answerAtOnce(request, progress)
	})
	busy := connect(t, address)
	busy.send(t)
	<-began
	beyond := connect(t, address)
	beyond.send(t)
	response := beyond.receive(t)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, "not-run", response.Header.Get(dialect.OutcomeHeader))
	must.Eq(t, "too-many-connections", response.Header.Get(dialect.ReasonHeader))
	must.True(t, response.Close)
	close(end)
	must.Eq(t, http.StatusOK, busy.receive(t).StatusCode)
}

// TestRequestThatCrossesTheCloseIsNotServed: its bytes had been read when the connection gave way.
func TestRequestThatCrossesTheCloseIsNotServed(t *testing.T) {
	connections := &Connections{Limit: 1, Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
	connections.once.Do(connections.init)
	near, far := net.Pipe()
	defer near.Close()
	idle := connections.open(near)
	read := make(chan int)
	go func() {
		n, _ := idle.Read(make([]byte, 100))
		read <- n
	}()
	connections.mu.Lock() // the bytes have been read, and the reader waits for the lock
	_, err := io.WriteString(far, "POST /")
	must.NoError(t, err)
	must.True(t, connections.table.Begin(connections.table.Open(nil)))
	_, ok := connections.table.MakeRoom()
	must.True(t, ok)
	connections.mu.Unlock()
	must.Zero(t, <-read)
}
