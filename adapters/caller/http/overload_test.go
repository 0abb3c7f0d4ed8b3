package http

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/dialect"
)

// overload makes an instance late for some intervals.
func overload(handler *Handler, delay time.Duration) {
	for range 50 {
		handler.Entry.RecordDelay(time.Now(), delay)
	}
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
