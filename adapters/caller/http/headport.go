package http

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/sequoiaspan/sequoiaspan/core/connection"
)

// Port bounds the connections of a port that does not forward requests, such as the directory, and the memory of their heads. Beyond the
// limit the connection closes that has waited for a complete head the longest, since such ports answer at once. Its fields must be set before
// the first connection.
type Port struct {
	Name  string // of its metrics
	Heads *Heads
	Limit int // connections that may be open

	once  sync.Once
	mu    sync.Mutex
	table connection.Table
}

func (port *Port) init() {
	port.table.Limit = port.Limit
	metrics.NewRegisteredFunctionalGauge("ports.connections{port="+port.Name+"}", port.Heads.Metrics, func() int64 {
		port.mu.Lock()
		defer port.mu.Unlock()
		open, _ := port.table.Count()
		return int64(open)
	})
}

// Serve has a server follow the connections that a listener accepts, and returns the listener for it.
func (port *Port) Serve(server *http.Server, listener net.Listener) net.Listener {
	port.once.Do(port.init)
	server.ConnState = port.track
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connContextKey{}, conn)
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connContextKey{}).(*portConn); ok && !conn.begin(r) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
	return &portListener{Listener: listener, port: port}
}

type portListener struct {
	net.Listener
	port *Port
}

// Accept waits for the next connection, and closes another one if there are too many.
func (portListener *portListener) Accept() (net.Conn, error) {
	conn, err := portListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	port := portListener.port
	out := &portConn{Conn: conn, port: port, head: port.Heads.open(conn)}
	port.mu.Lock()
	out.entry = port.table.Open(out)
	evicted, _ := port.table.MakeRoom()
	port.mu.Unlock()
	if evicted != nil {
		metrics.GetOrRegisterCounter("ports.connections-closed{port="+port.Name+"}", port.Heads.Metrics).Inc(1)
		// It has no request in progress, so its error does not matter.
		_ = evicted.Value.(net.Conn).Close()
	}
	return out, nil
}

// portConn is a connection to a Port.
type portConn struct {
	net.Conn
	port  *Port
	entry *connection.Conn // the lock of port guards it
	head  *connHead
}

// Read reads from the connection, as long as there is memory for the head of its request.
func (portConn *portConn) Read(p []byte) (int, error) {
	n, err := portConn.Conn.Read(p)
	if headErr := portConn.head.read(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// begin records that a request is in progress. It returns false if the connection has given way to another, or there is no memory for the request.
func (portConn *portConn) begin(r *http.Request) bool {
	fits := portConn.head.begin(r)
	portConn.port.mu.Lock()
	defer portConn.port.mu.Unlock()
	return fits && portConn.port.table.Begin(portConn.entry)
}

// track records the state of a connection. It is the ConnState of the port's server.
func (port *Port) track(conn net.Conn, state http.ConnState) {
	portConn, ok := conn.(*portConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		portConn.head.end()
		port.mu.Lock()
		port.table.End(portConn.entry)
		port.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		portConn.head.close()
		port.mu.Lock()
		port.table.Close(portConn.entry)
		port.mu.Unlock()
	}
}
