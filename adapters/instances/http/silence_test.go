package http

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// replyAfter is a transport whose replies take a time.
type replyAfter time.Duration

func (r replyAfter) RoundTrip(request *http.Request) (*http.Response, error) {
	timer := time.NewTimer(time.Duration(r))
	defer timer.Stop()
	select {
	case <-timer.C:
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Etag": {"v1"}}, Body: io.NopCloser(strings.NewReader(`{"as-of": "2026-01-01T00:00:00Z"}`))}, nil
	case <-request.Context().Done():
		return nil, context.Cause(request.Context())
	}
}

// late is an instance that runs late by an hour.
type late struct{}

func (late) QueueDelay() time.Duration { return time.Hour }

// TestOwnDelayIsNoSilenceOfThePlatform guards against an overloaded instance that gives up calls whose replies wait for it.
func TestOwnDelayIsNoSilenceOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &Client{Address: netip.MustParseAddrPort("127.0.0.1:1"), HTTPClient: http.Client{Transport: replyAfter(callTimeout + time.Second)}}
		list := func() error {
			_, err := client.List(t.Context())
			return err
		}
		must.ErrorIs(t, list(), context.DeadlineExceeded)
		client.Delays = late{}
		must.NoError(t, list())
	})
}
