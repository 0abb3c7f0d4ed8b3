package http

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
)

// lateAnswerer answers the second request of a connection with a refusal, and gives its answer only when a third request is there.
func lateAnswerer(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 1; ; i++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		switch i {
		case 2:
			_, _ = fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		case 3:
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Path: /2\r\nContent-Length: 0\r\n\r\n")
		default:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Path: %s\r\nContent-Length: 0\r\n\r\n", request.URL.Path)
		}
	}
}

// TestClosedConnectionGivesNoAnswerToLaterRequests closes the connection of an attempt whose answer belonged to another request.
func TestClosedConnectionGivesNoAnswerToLaterRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go lateAnswerer(conn)
		}
	}()
	backend := Backend{}
	defer backend.Close()
	options := Options{Address: netip.MustParseAddrPort(listener.Addr().String())}
	send := func(path string) (*http.Response, *Progress, error) {
		request, err := http.NewRequest(http.MethodGet, "http://server"+path, nil)
		must.NoError(t, err)
		progress := &Progress{}
		response, err := backend.Send(request, options, progress)
		if err == nil {
			_ = response.Body.Close()
		}
		return response, progress, err
	}
	_, _, err = send("/1")
	must.NoError(t, err)
	refused, progress, err := send("/2")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, refused.StatusCode)
	must.True(t, progress.Reused())
	progress.CloseConnection()
	// The transport may still hand out the closed connection, and fail.
	if response, _, err := send("/3"); err == nil {
		must.Eq(t, "/3", response.Header.Get("X-Path"))
	}
}
