package http

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
)

// TestOneAttemptAtATimeHasAStreamedBody guards against servers that run a request with an empty body or a part of it: while an attempt waits for
// 100 Continue, a hedge read the body, or an attempt that had been given up did.
func TestOneAttemptAtATimeHasAStreamedBody(t *testing.T) {
	content := strings.Repeat("0123456789abcdef", 2*maxReadAheadBytes/16)
	bodies := make(chan string, 10)
	handler := newTestHandler(func(request *http.Request, progress *backend.Progress) (*http.Response, error) {
		progress.SetConnected(false)
		time.Sleep(time.Second) // longer than the time of suspicion
		content, err := io.ReadAll(request.Body)
		must.NoError(t, err)
		bodies <- string(content)
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
	})
	listServers(handler, 4)
	handler.Entry.ApplyRules(2, "service payouts # asked by: test\nroute /balances service=payouts deadline=10s # asked by: test\n")
	server := httptest.NewServer(handler)
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/balances", io.MultiReader(strings.NewReader(content)))
	must.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, content, <-bodies)
	must.Eq(t, 0, len(bodies))
}

// TestEarlierAttemptReadsNoMore: the transport may ask for the body after its attempt has failed.
func TestEarlierAttemptReadsNoMore(t *testing.T) {
	stream := newBodyStream(strings.NewReader("content"), http.NewResponseController(httptest.NewRecorder()), time.Time{})
	_, err := stream.fill(0)
	must.NoError(t, err)
	earlier, latest := stream.open(), stream.open()
	_, err = earlier.Read(make([]byte, 10))
	must.ErrorIs(t, err, errTakenOver)
	must.True(t, stream.isUnread())
	content, err := io.ReadAll(latest)
	must.NoError(t, err)
	must.Eq(t, "content", string(content))
}
