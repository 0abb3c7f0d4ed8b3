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
	StateHeader    = "Sequoiaspan-State" // a backend server reports with it that it is leaving
	TeamHeader     = "Sequoiaspan-Team"
	KeyHeader      = "Idempotency-Key"
	// ChallengeHeader names the scheme of the Authorization header in an answer with status 401 (RFC 9110, section 11.6.1).
	ChallengeHeader = "Www-Authenticate"

	StateLeaving = "leaving"
)

// keyScheme is the scheme of the Authorization header with an API key (RFC 6750).
const keyScheme = "Bearer"

// statusByReason maps reasons to statuses.
var statusByReason = map[retry.Reason]int{
	retry.ReasonNoRoute:      http.StatusNotFound,
	retry.ReasonBadRequest:   http.StatusBadRequest,
	retry.ReasonBodyTooLarge: http.StatusRequestEntityTooLarge,
	retry.ReasonNoRules:      http.StatusServiceUnavailable,
	retry.ReasonClosed:       http.StatusServiceUnavailable,
	retry.ReasonKeyUnknown:   http.StatusUnauthorized,
	retry.ReasonLimitUnknown: http.StatusServiceUnavailable,
	retry.ReasonNoFreeSlot:   http.StatusServiceUnavailable,
	retry.ReasonNoServer:     http.StatusServiceUnavailable,
	retry.ReasonPaused:       http.StatusServiceUnavailable,
	retry.ReasonRetryBudget:  http.StatusServiceUnavailable,
	retry.ReasonQuarantined:  http.StatusServiceUnavailable,
	retry.ReasonStopping:     http.StatusServiceUnavailable,
	retry.ReasonOverload:     http.StatusServiceUnavailable,
	retry.ReasonConnections:  http.StatusServiceUnavailable,
	retry.ReasonRateLimit:    http.StatusTooManyRequests,
	retry.ReasonDeadline:     http.StatusGatewayTimeout,
	retry.ReasonUnreachable:  http.StatusServiceUnavailable,
	retry.ReasonResponseLost: http.StatusBadGateway,
	retry.ReasonKeyTakeover:  http.StatusServiceUnavailable,
	retry.ReasonKeyUsed:      http.StatusConflict,
	retry.ReasonKeyInvalid:   http.StatusUnprocessableEntity,
}

// Status returns the usual status for a reason.
func Status(reason retry.Reason) int { return statusByReason[reason] }

// Native is sequoiaspan's own dialect.
type Native struct{}

// ParseRequest reads the request id (the trace id of Traceparent), the deadline (RFC 3339), the team and the idempotency key.
func (Native) ParseRequest(_ time.Time, request *http.Request) (RequestInfo, error) {
	info := RequestInfo{ID: traceID(request.Header.Get("Traceparent")), Team: request.Header.Get(TeamHeader), IdempotencyKey: request.Header.Get(KeyHeader),
		Credential: ParseCredential(request.Header, keyScheme)}
	text := request.Header.Get(DeadlineHeader)
	if text == "" {
		return info, nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	info.Deadline = deadline
	return info, err
}

// traceID returns the trace id in a W3C traceparent, or an empty string.
func traceID(parent string) string {
	parts := strings.Split(parent, "-")
	if len(parts) < 4 || len(parts[1]) != 32 {
		return ""
	}
	return parts[1]
}

// PrepareAttempt sets the deadline, and removes headers that only backend servers may send.
func (Native) PrepareAttempt(header http.Header, attempt Attempt) {
	for _, name := range []string{OutcomeHeader, ReasonHeader, StateHeader} {
		header.Del(name)
	}
	attempt.IdentifyTeam(header, TeamHeader)
	header.Set(DeadlineHeader, attempt.Deadline.UTC().Format(time.RFC3339Nano))
}

// ParseResponse reads the outcome and the state from the headers, and Retry-After of an overload rejection.
func (Native) ParseResponse(now time.Time, _ RequestInfo, response *http.Response) (ResponseInfo, error) {
	info := ResponseInfo{
		Refused: response.StatusCode >= http.StatusBadRequest && response.Header.Get(OutcomeHeader) == string(retry.NotRun),
	}
	var stateErr, pauseErr error
	info.Leaving, stateErr = Flag(response.Header, StateHeader, StateLeaving)
	info.PausedUntil, pauseErr = PausedUntil(now, response)
	return info, errors.Join(stateErr, pauseErr)
}

// PrepareAnswer sets the outcome, the reason and, if a retry is worthwhile, Retry-After in whole seconds.
func (Native) PrepareAnswer(now time.Time, header http.Header, answer retry.Answer) int {
	header.Set(OutcomeHeader, string(answer.ExecutionStatus))
	header.Set(ReasonHeader, string(answer.Reason))
	if !answer.RetryAt.IsZero() {
		seconds := math.Ceil(answer.RetryAt.Sub(now).Seconds())
		header.Set("Retry-After", strconv.Itoa(max(1, int(seconds))))
	}
	status := statusByReason[answer.Reason]
	if status == http.StatusUnauthorized {
		header.Set(ChallengeHeader, keyScheme)
	}
	return status
}

// IsHealthy checks only the status, as the servers of this dialect do not identify themselves.
func (Native) IsHealthy(_ string, response *http.Response) bool {
	return response.StatusCode == http.StatusOK
}

// DeadlineCoversBody returns false: exports may take longer than their callers wait for the first byte.
func (Native) DeadlineCoversBody() bool { return false }

// Transparent returns false: Via and Forwarded are added.
func (Native) Transparent() bool { return false }

// ExactPaths returns false: paths are decoded and cleaned before they are matched.
func (Native) ExactPaths() bool { return false }
