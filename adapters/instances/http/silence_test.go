package http

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/testing/slow"
)

// TestOwnDelayIsNoSilenceOfThePlatform guards against an overloaded instance that gives up calls whose replies wait for it.
func TestOwnDelayIsNoSilenceOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &Client{Address: netip.MustParseAddrPort("127.0.0.1:1"), HTTPClient: http.Client{Transport: slow.Transport{RoundTripper: slow.Reply{Header: http.Header{"Etag": {"v1"}}, Body: `{"as-of": "2026-01-01T00:00:00Z"}`}, Time: callTimeout + time.Second}}}
		list := func() error {
			_, err := client.List(t.Context())
			return err
		}
		must.ErrorIs(t, list(), context.DeadlineExceeded)
		client.Delays = slow.Instance(time.Hour)
		must.NoError(t, list())
	})
}
