package http

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/testing/slow"
)

// TestOwnDelayCancelsNoHeader guards against an overloaded instance that gives up responses whose header waits for it.
func TestOwnDelayCancelsNoHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		monitor := &headerMonitor{cancel: cancel, delays: slow.Instance(time.Hour)}
		monitor.onFirstByte()
		time.Sleep(headerTimeout + time.Second)
		must.NoError(t, ctx.Err())
		monitor.stop()

		monitor = &headerMonitor{cancel: cancel}
		monitor.onFirstByte()
		time.Sleep(headerTimeout + time.Second)
		must.ErrorIs(t, context.Cause(ctx), errHeaderTimeout)
	})
}

// TestOwnDelayCancelsNoCopy guards against an overloaded instance that finds a server failing as the answer to a copy waits for it.
func TestOwnDelayCancelsNoCopy(t *testing.T) {
	const suspectAfter = 10 * time.Millisecond
	canceled := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		limitPassed := time.NewTimer(10 * pool.LateFactor * suspectAfter)
		defer limitPassed.Stop()
		select {
		case <-limitPassed.C:
			canceled <- false
		case <-r.Context().Done():
			canceled <- true
		}
	}))
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	asking := &entry.Entry{Name: "entry-0", FirstStart: true}
	asking.Init()
	asking.ApplyList(instance.List{
		Entries: []instance.Entry{{Name: "entry-0", Domain: "domain-0", Caller: address, Peer: address}},
		Servers: []instance.Server{{Name: "payouts-0", Service: "payouts", Domain: "domain-0", Address: address}},
	})
	asking.ApplyRules(1, "service payouts # asked by: test\nroute /releases service=payouts deadline=10s # asked by: test\n")
	for _, delayed := range []bool{true, false} {
		b := &Backend{}
		if delayed {
			b.Delays = slow.Instance(time.Hour)
		}
		grant, decision := asking.Acquire(t.Context(), home.Slice{Service: "payouts"}, pool.Ask{
			Attempt: 1, Idempotent: true, Number: 1, Deadline: time.Now().Add(10 * time.Second),
		})
		must.NotNil(t, grant, must.Sprint(decision))
		grant.SuspectAt = time.Now().Add(suspectAfter)
		b.Replay(t.Context(), grant, entry.RequestCopy{Method: http.MethodGet, Target: "/releases", Header: http.Header{}})
		must.Eq(t, !delayed, <-canceled)
	}
}
