package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	instances "github.com/sequoiaspan/sequoiaspan/adapters/instances/http"
)

// serve starts a backend server with a handler and an entry instance in front of it, and returns the instance's URL.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f := newFleet(t, 1, []instances.Server{{
		Name: "balances-0", Service: "balances", Domain: "domain-0", State: "live",
		Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
	}})
	return "http://" + f.settings[0].Caller.String()
}

func TestCancelledCallerCancelsTheBackendServer(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	base := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		// net/http detects that the client has disconnected only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/releases", strings.NewReader("x"))
	must.NoError(t, err)
	go func() {
		<-began
		cancel()
	}()
	_, err = http.DefaultClient.Do(request)
	must.ErrorIs(t, err, context.Canceled)
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Fatal("the backend server's request was not canceled")
	}
}

// TestBodiesStreamBothWays sends a chunk only after the previous one has been echoed. It fails if the proxy buffers a body.
func TestBodiesStreamBothWays(t *testing.T) {
	base := serve(t, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		must.NoError(t, control.EnableFullDuplex())
		w.WriteHeader(http.StatusOK)
		must.NoError(t, control.Flush())
		lines := bufio.NewReader(r.Body)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			fmt.Fprint(w, line)
			must.NoError(t, control.Flush())
		}
	})
	reader, writer := io.Pipe()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/balances", reader)
	must.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	answers := bufio.NewReader(response.Body)
	for i := range 5 {
		_, err := fmt.Fprintf(writer, "piece %d\n", i)
		must.NoError(t, err)
		line, err := answers.ReadString('\n')
		must.NoError(t, err)
		must.Eq(t, fmt.Sprintf("piece %d\n", i), line)
	}
	must.NoError(t, writer.Close())
	_, err = answers.ReadString('\n')
	must.ErrorIs(t, err, io.EOF)
}

func TestLargeUploadArrivesWhole(t *testing.T) {
	content := make([]byte, 8<<20)
	_, _ = rand.Read(content)
	base := serve(t, func(w http.ResponseWriter, r *http.Request) {
		got, err := io.ReadAll(r.Body)
		must.NoError(t, err)
		fmt.Fprint(w, bytes.Equal(got, content))
	})
	response, err := http.Post(base+"/balances", "application/octet-stream", bytes.NewReader(content))
	must.NoError(t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, "true", string(answer))
}

// TestAnswersPassUnchanged checks statuses, headers and bodies that a proxy might alter.
func TestAnswersPassUnchanged(t *testing.T) {
	base := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/balances/none":
			w.WriteHeader(http.StatusNoContent)
		case "/balances/cached":
			w.Header().Set("ETag", `"7"`)
			w.WriteHeader(http.StatusNotModified)
		case "/balances/packed":
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write([]byte("not really packed"))
		case "/balances/cookies":
			w.Header().Add("Set-Cookie", "a=1")
			w.Header().Add("Set-Cookie", "b=2")
			w.Header().Set("Keep-Alive", "timeout=5")
			w.WriteHeader(http.StatusTeapot)
		default:
			fmt.Fprintf(w, "%s|%s|%s", r.URL.RequestURI(), r.Host, r.Header.Get("Accept-Encoding"))
		}
	})
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	get := func(path string) (*http.Response, string) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, base+path, nil)
		must.NoError(t, err)
		request.Host = "portal.example"
		response, err := client.Do(request)
		must.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		return response, string(body)
	}
	response, _ := get("/balances/none")
	must.Eq(t, http.StatusNoContent, response.StatusCode)
	response, _ = get("/balances/cached")
	must.Eq(t, http.StatusNotModified, response.StatusCode)
	must.Eq(t, `"7"`, response.Header.Get("ETag"))
	response, body := get("/balances/packed")
	must.Eq(t, "gzip", response.Header.Get("Content-Encoding"))
	must.Eq(t, "not really packed", body)
	response, _ = get("/balances/cookies")
	must.Eq(t, http.StatusTeapot, response.StatusCode)
	must.Eq(t, []string{"a=1", "b=2"}, response.Header["Set-Cookie"])
	must.Eq(t, "", response.Header.Get("Keep-Alive"))
	_, body = get("/balances/a%2Fb?q=%C3%BC&r")
	must.Eq(t, "/balances/a%2Fb?q=%C3%BC&r|portal.example|", body)
}

// TestOversizedHeadersAreRefused sends a header beyond the limit.
func TestOversizedHeadersAreRefused(t *testing.T) {
	base := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	must.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /balances HTTP/1.1\r\nHost: a\r\nX-Large: %s\r\n\r\n", strings.Repeat("x", 128<<10))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer response.Body.Close()
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}
