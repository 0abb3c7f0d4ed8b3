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
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Revision": {"1"}}, Body: io.NopCloser(strings.NewReader(``))}, nil
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
		store := &Store{Address: netip.MustParseAddrPort("127.0.0.1:1"), Client: http.Client{Transport: replyAfter(callTimeout + time.Second)}}
		get := func() error {
			_, _, err := store.Get(t.Context(), "key")
			return err
		}
		must.ErrorIs(t, get(), context.DeadlineExceeded)
		store.Delays = late{}
		must.NoError(t, get())
	})
}
