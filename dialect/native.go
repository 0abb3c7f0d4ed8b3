package dialect

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/retry"
)

// Headers of sequoiaspan's own dialect.
const (
	OutcomeHeader  = "Sequoiaspan-Outcome"
	ReasonHeader   = "Sequoiaspan-Reason"
	DeadlineHeader = "Sequoiaspan-Deadline"
	StateHeader    = "Sequoiaspan-State" // a backend server's word that it is leaving
	TeamHeader     = "Sequoiaspan-Team"
	KeyHeader      = "Idempotency-Key"

	StateLeaving = "leaving"
)

// statusOf maps reasons to statuses.
var statusOf = map[retry.Reason]int{
	retry.ReasonNoRoute:      http.StatusNotFound,
	retry.ReasonBadRequest:   http.StatusBadRequest,
	retry.ReasonBodyTooLarge: http.StatusRequestEntityTooLarge,
	retry.ReasonNoRules:      http.StatusServiceUnavailable,
	retry.ReasonNoFreeSlot:   http.StatusServiceUnavailable,
	retry.ReasonNoServer:     http.StatusServiceUnavailable,
	retry.ReasonPaused:       http.StatusServiceUnavailable,
	retry.ReasonRetryBudget:  http.StatusServiceUnavailable,
	retry.ReasonQuarantined:  http.StatusServiceUnavailable,
	retry.ReasonStopping:     http.StatusServiceUnavailable,
	retry.ReasonRateLimit:    http.StatusTooManyRequests,
	retry.ReasonDeadline:     http.StatusGatewayTimeout,
	retry.ReasonUnreachable:  http.StatusServiceUnavailable,
	retry.ReasonResponseLost: http.StatusBadGateway,
	retry.ReasonKeyTakeover:  http.StatusServiceUnavailable,
	retry.ReasonKeyUsed:      http.StatusConflict,
	retry.ReasonKeyInvalid:   http.StatusUnprocessableEntity,
}

// Status returns the usual status for a reason.
func Status(reason retry.Reason) int { return statusOf[reason] }

// Native is sequoiaspan's own dialect.
type Native struct{}

// Terms reads the trace as the request's id, the deadline (RFC 3339), the team and the idempotency key.
func (Native) Terms(_ time.Time, request *http.Request) (Terms, error) {
	terms := Terms{ID: traceID(request.Header.Get("Traceparent")), Team: request.Header.Get(TeamHeader), Key: request.Header.Get(KeyHeader)}
	text := request.Header.Get(DeadlineHeader)
	if text == "" {
		return terms, nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	terms.Deadline = deadline
	return terms, err
}

// traceID returns the id in a W3C traceparent, or nothing.
func traceID(parent string) string {
	parts := strings.Split(parent, "-")
	if len(parts) < 4 || len(parts[1]) != 32 {
		return ""
	}
	return parts[1]
}

// Prepare tells the server the deadline.
func (Native) Prepare(header http.Header, attempt Attempt) {
	for _, name := range []string{OutcomeHeader, ReasonHeader, StateHeader} {
		header.Del(name)
	}
	header.Set(DeadlineHeader, attempt.Deadline.UTC().Format(time.RFC3339Nano))
}

// Reply reads the outcome and the state that the server gives, and Retry-After with a refusal for load.
func (Native) Reply(now time.Time, _ Terms, response *http.Response) (Reply, error) {
	reply := Reply{
		Refused: response.StatusCode >= http.StatusBadRequest && response.Header.Get(OutcomeHeader) == string(retry.NotRun),
	}
	var stateErr, pauseErr error
	reply.Leaving, stateErr = Flag(response.Header, StateHeader, StateLeaving)
	reply.PausedUntil, pauseErr = PausedUntil(now, response)
	return reply, errors.Join(stateErr, pauseErr)
}

// Answer gives the outcome, its reason and when to come back in whole seconds.
func (Native) Answer(now time.Time, header http.Header, answer retry.Answer) int {
	header.Set(OutcomeHeader, string(answer.ExecutionStatus))
	header.Set(ReasonHeader, string(answer.Reason))
	if !answer.RetryAt.IsZero() {
		seconds := math.Ceil(answer.RetryAt.Sub(now).Seconds())
		header.Set("Retry-After", strconv.Itoa(max(1, int(seconds))))
	}
	return statusOf[answer.Reason]
}

// Healthy accepts every server's word, as servers do not name themselves.
func (Native) Healthy(_ string, response *http.Response) bool {
	return response.StatusCode == http.StatusOK
}

// Transparent returns false: hops are told in Via and Forwarded.
func (Native) Transparent() bool { return false }
