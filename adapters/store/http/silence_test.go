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
		store := &Store{Address: netip.MustParseAddrPort("127.0.0.1:1"), Client: http.Client{Transport: slow.Transport{RoundTripper: slow.Reply{Header: http.Header{"Revision": {"1"}}}, Time: callTimeout + time.Second}}}
		get := func() error {
			_, _, err := store.Get(t.Context(), "key")
			return err
		}
		must.ErrorIs(t, get(), context.DeadlineExceeded)
		store.Delays = slow.Instance(time.Hour)
		must.NoError(t, get())
	})
}
