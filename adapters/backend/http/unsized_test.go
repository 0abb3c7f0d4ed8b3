package http

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/testing/raw"
)

// upload sends a request with a body and returns what it reads of the answer's body.
func upload(t *testing.T, to netip.AddrPort, body io.Reader) ([]byte, error) {
	t.Helper()
	backend := &Backend{}
	defer backend.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server/", body)
	must.NoError(t, err)
	response, err := backend.Send(request, Options{Address: to, Fresh: true}, &Progress{})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

// TestResetDuringAnUploadIsNoEndOfTheAnswer has a server answer a long upload at once, without a length, send a part of the body and reset the
// connection. Guards against a loss of the connection that the write learns of and the read takes for the end of the answer.
func TestResetDuringAnUploadIsNoEndOfTheAnswer(t *testing.T) {
	const repetitions = 5
	for _, uploadBytes := range []int{64 << 10, 1 << 20, 8 << 20} {
		for _, sentBytes := range []int{20, 60_000} {
			for _, pause := range []time.Duration{100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
				for _, drains := range []bool{false, true} {
					name := fmt.Sprintf("upload of %d bytes, %d bytes answered, reset after %s, drains=%t", uploadBytes, sentBytes, pause, drains)
					t.Run(name, func(t *testing.T) {
						address := raw.Serve(t, func(conn *net.TCPConn) {
							_, _ = conn.Read(make([]byte, 4<<10)) // the head and some of the body
							if drains {
								go func() { _, _ = io.Copy(io.Discard, conn) }()
							}
							_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s", strings.Repeat("x", sentBytes))
							time.Sleep(pause)
							_ = conn.SetLinger(0) // has Close reset the connection
							_ = conn.Close()
						})
						for range repetitions {
							_, err := upload(t, address, bytes.NewReader(make([]byte, uploadBytes)))
							must.Error(t, err)
						}
					})
				}
			}
		}
	}
}

// blockedReader is a body whose bytes after the first ones come once a channel is closed.
type blockedReader struct {
	first   []byte
	release <-chan struct{}
}

// Read reads from the body.
func (blockedReader *blockedReader) Read(p []byte) (int, error) {
	if len(blockedReader.first) > 0 {
		n := copy(p, blockedReader.first)
		blockedReader.first = blockedReader.first[n:]
		return n, nil
	}
	<-blockedReader.release
	return len(p), nil
}

// TestAnswersThatEndWithTheirConnectionAreWhole has servers answer without a length and end the connection, before, during and after an upload.
func TestAnswersThatEndWithTheirConnectionAreWhole(t *testing.T) {
	answered := strings.Repeat("answer ", 10_000)
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"} {
		for name, c := range map[string]struct {
			bodyBytes int  // sent at once
			isEndless bool // the body does not end before its answer has been read
			end       func(conn *net.TCPConn, rest io.Reader)
		}{
			"without an upload":            {0, false, func(conn *net.TCPConn, _ io.Reader) { _ = conn.Close() }},
			"after the upload":             {1 << 20, false, func(conn *net.TCPConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest); _ = conn.Close() }},
			"while it is read further":     {64 << 20, true, func(conn *net.TCPConn, rest io.Reader) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, rest) }},
			"while it is not read further": {64 << 20, true, func(conn *net.TCPConn, _ io.Reader) { _ = conn.CloseWrite(); <-t.Context().Done(); _ = conn.Close() }},
			"before the rest is sent":      {0, true, func(conn *net.TCPConn, _ io.Reader) { _ = conn.Close() }},
		} {
			t.Run(strings.TrimSpace(head)+", "+name, func(t *testing.T) {
				t.Parallel()
				address := raw.Serve(t, func(conn *net.TCPConn) {
					request, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, head+answered)
					c.end(conn, request.Body)
				})
				release := make(chan struct{})
				defer close(release)
				body := io.Reader(bytes.NewReader(make([]byte, c.bodyBytes)))
				if c.isEndless {
					body = &blockedReader{make([]byte, c.bodyBytes), release}
				}
				got, err := upload(t, address, body)
				must.NoError(t, err)
				must.EqOp(t, answered, string(got))
			})
		}
	}
}
