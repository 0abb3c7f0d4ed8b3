package http

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/dialect"
)

// overload makes an instance late for some intervals.
func overload(handler *Handler, delay time.Duration) {
	for range 50 {
		handler.Entry.RecordDelay(time.Now(), 0, delay)
	}
}

// listServers lists a number of servers of the service payouts.
func listServers(handler *Handler, servers int) {
	address := netip.MustParseAddrPort("127.0.0.1:9")
	list := instance.List{Entries: []instance.Entry{{Name: "entry-0", Domain: "domain-0", Caller: address, Peer: address}}}
	for i := range servers {
		list.Servers = append(list.Servers, instance.Server{Name: fmt.Sprintf("payouts-%d", i), Service: "payouts", Domain: "domain-0", Address: address})
	}
	handler.Entry.ApplyList(list)
}

// TestLateInstanceRefusesAtOnce guards against requests that an overloaded instance passes on and whose answers it cannot deliver before their
// callers leave.
func TestLateInstanceRefusesAtOnce(t *testing.T) {
	sent := 0
	handler := newTestHandler(func(_ *http.Request, progress *backend.Progress) (*http.Response, error) {
		sent++
		progress.SetConnected(false)
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
	})
	handler.Entry.ApplyRules(2, "service payouts # asked by: test\nroute /releases service=payouts repeatable=no deadline=10s # asked by: test\n")
	overload(handler, 200*time.Millisecond)
	refused := 0
	for range 100 {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/releases", nil))
		if recorder.Code != http.StatusServiceUnavailable {
			continue
		}
		refused++
		must.Eq(t, "not-run", recorder.Header().Get(dialect.OutcomeHeader))
		must.Eq(t, "instance-overloaded", recorder.Header().Get(dialect.ReasonHeader))
		must.Eq(t, "1", recorder.Header().Get("Retry-After"))
	}
	must.Between(t, 95, refused, 99)
	must.Eq(t, 100, refused+sent)
}

// TestOwnDelayMakesNoServerSuspect guards against second attempts at requests whose answers wait for an overloaded instance.
func TestOwnDelayMakesNoServerSuspect(t *testing.T) {
	var sent atomic.Int64
	handler := newTestHandler(func(_ *http.Request, progress *backend.Progress) (*http.Response, error) {
		sent.Add(1)
		progress.SetConnected(false)
		time.Sleep(time.Second) // longer than the time of suspicion
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
	})
	listServers(handler, 4)
	handler.Entry.ApplyRules(2, "service payouts # asked by: test\nroute /balances service=payouts deadline=10s # asked by: test\n")
	handler.Entry.RecordDelay(time.Now(), 0, 2*time.Second)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/balances", nil))
	must.Eq(t, http.StatusOK, recorder.Code)
	must.Eq(t, 1, sent.Load())
}
