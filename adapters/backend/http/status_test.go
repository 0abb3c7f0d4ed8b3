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

// TestInvalidStatusesAreNoResponses guards against a status line that is passed on to a caller though HTTP has no such final status, and against
// the use of its connection for another request.
func TestInvalidStatusesAreNoResponses(t *testing.T) {
	for status, valid := range map[string]bool{
		"200 OK": true, "299": true, "404 Not Found": true, "599 X": true,
		"000 OK": false, "007 OK": false, "099 OK": false, "+20 OK": false, "-20 OK": false, "20 OK": false, "2 OK": false, "2000 OK": false, " OK": false, "2e2 OK": false,
		"101 Switching Protocols": false, "101 X\r\nConnection: Upgrade\r\nUpgrade: h2c": false, "600 X": false, "999 X": false,
	} {
		for _, framing := range []string{"Content-Length: 0", "Content-Length: 3", "Transfer-Encoding: chunked"} {
			for _, fresh := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, fresh=%v", status, framing, fresh), func(t *testing.T) {
					listener, err := net.Listen("tcp", "127.0.0.1:0")
					must.NoError(t, err)
					defer listener.Close()
					closed := make(chan struct{})
					go func() {
						defer close(closed)
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						defer conn.Close()
						reader := bufio.NewReader(conn)
						_, _ = http.ReadRequest(reader)
						body := map[string]string{"Content-Length: 3": "abc", "Transfer-Encoding: chunked": "3\r\nabc\r\n0\r\n\r\n"}[framing]
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s\r\n\r\n%s", status, framing, body)
						_, _ = reader.ReadByte()
					}()
					sender := &Backend{}
					defer sender.Close()
					request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", nil)
					must.NoError(t, err)
					progress := &Progress{}
					response, err := sender.Send(request, Options{Address: netip.MustParseAddrPort(listener.Addr().String()), Fresh: fresh}, progress)
					must.True(t, progress.Wrote())
					must.Eq(t, valid, err == nil)
					if err == nil {
						must.NoError(t, response.Body.Close())
						return
					}
					<-closed
				})
			}
		}
	}
}
