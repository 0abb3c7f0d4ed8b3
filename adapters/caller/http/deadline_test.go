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

// TestAnswersLeaveBeforeTheCallersDeadline guards against own answers that are written when the caller has just closed its connection: the
// deadline of an instance, which servers get too, leaves time for the way back and for its own delay.
func TestAnswersLeaveBeforeTheCallersDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		left, delay, margin time.Duration
	}{
		"on time":        {2 * time.Second, 0, callerRoundTrip},
		"short deadline": {80 * time.Millisecond, 0, 10 * time.Millisecond},
		"late":           {2 * time.Second, 80 * time.Millisecond, callerRoundTrip + 80*time.Millisecond},
		"after timeout":  {20 * time.Second, 0, 10 * time.Second}, // the route's timeout is earlier
	} {
		t.Run(name, func(t *testing.T) {
			var deadline string
			handler := newTestHandler(func(request *http.Request, progress *backend.Progress) (*http.Response, error) {
				deadline = request.Header.Get(dialect.DeadlineHeader)
				progress.SetConnected(false)
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
			})
			handler.Entry.ApplyRules(2, "service payouts # asked by: test\nroute /releases service=payouts repeatable=no deadline=10s # asked by: test\n")
			handler.Entry.RecordDelay(time.Now(), 0, c.delay)
			now := time.Now()
			handler.Clock = func() time.Time { return now }
			request := httptest.NewRequest(http.MethodPost, "/releases", nil)
			request.Header.Set(dialect.DeadlineHeader, now.Add(c.left).UTC().Format(time.RFC3339Nano))
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			must.Eq(t, http.StatusOK, recorder.Code)
			got, err := time.Parse(time.RFC3339Nano, deadline)
			must.NoError(t, err)
			must.Eq(t, c.margin, now.Add(c.left).Sub(got))
		})
	}
}

// TestRequestThatCannotBeAnsweredInTimeIsNotSent guards against work for callers that will have left: it is refused before anything is sent.
func TestRequestThatCannotBeAnsweredInTimeIsNotSent(t *testing.T) {
	handler := newTestHandler(func(*http.Request, *backend.Progress) (*http.Response, error) {
		t.Error("sent")
		return nil, http.ErrHandlerTimeout
	})
	handler.Entry.RecordDelay(time.Now(), 0, 2*time.Second)
	request := httptest.NewRequest(http.MethodPost, "/releases", nil)
	request.Header.Set(dialect.DeadlineHeader, time.Now().Add(1900*time.Millisecond).UTC().Format(time.RFC3339Nano))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	must.Eq(t, "not-run", recorder.Header().Get(dialect.OutcomeHeader))
	must.Eq(t, "deadline-passed", recorder.Header().Get(dialect.ReasonHeader))
}

// TestLateInstanceAnswersEarlier guards against an own answer that is written at the deadline while all that this instance does is late: its
// delay may have begun after the request arrived.
func TestLateInstanceAnswersEarlier(t *testing.T) {
	handler := newTestHandler(nil)
	handler.once.Do(handler.init)
	deadline := time.Now().Add(time.Minute)
	e := &exchange{handler: handler}
	e.request.Deadline = deadline
	must.Eq(t, deadline, e.answerAt())
	handler.Entry.RecordDelay(time.Now(), 0, 300*time.Millisecond)
	must.Eq(t, deadline.Add(-300*time.Millisecond), e.answerAt())
	handler.Entry.RecordDelay(time.Now(), 0, 3*time.Second)
	must.Eq(t, deadline.Add(-maxEarlyAnswer), e.answerAt())
}
