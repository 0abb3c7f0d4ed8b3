package http

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/core/limit"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/retry"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// The decision log contains all lines of requests that fail, are late or are retried, and one line per second of a
// request that succeeds. The lines of a request share its id.

// Limits of the decision log.
const (
	maxDetailedPerSecond  = 50               // requests per second that are logged in detail, with a few lines each
	sampleInterval        = time.Second      // between lines of successful requests
	droppedReportInterval = 10 * time.Second // between reports of the number of dropped requests
	lateShare             = 0.5              // of the time until the deadline, after which a response is late if the route has no target
)

// logBudget limits the number of logged requests. The zero value is a full budget.
type logBudget struct {
	mu         sync.Mutex
	detailed   limit.Bucket
	sampledAt  time.Time
	dropped    int // requests not logged since reportedAt
	reportedAt time.Time
}

// admit reports whether a request is logged in detail. Once per droppedReportInterval it also returns the number of
// requests dropped since the last report, otherwise 0.
func (budget *logBudget) admit(now time.Time) (admitted bool, dropped int) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	granted, _ := budget.detailed.Take(now, limit.Limit{Rate: maxDetailedPerSecond}, 1)
	if granted == 0 {
		budget.dropped++
	}
	if budget.dropped > 0 && now.Sub(budget.reportedAt) >= droppedReportInterval {
		dropped, budget.dropped, budget.reportedAt = budget.dropped, 0, now
	}
	return granted > 0, dropped
}

// sample reports whether a successful request is logged.
func (budget *logBudget) sample(now time.Time) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if now.Sub(budget.sampledAt) < sampleInterval {
		return false
	}
	budget.sampledAt = now
	return true
}

// admitDetailedLog reports whether a failed, late or retried request is logged, and counts it as dropped if not.
func (handler *Handler) admitDetailedLog() bool {
	if !handler.Log.Core().Enabled(zap.InfoLevel) {
		return false
	}
	admitted, dropped := handler.logBudget.admit(handler.Clock())
	if dropped > 0 {
		handler.Log.Warn("request: log limit reached, some requests are not logged", zap.Int("requests", dropped))
	}
	if !admitted {
		handler.count("log.requests-dropped")
	}
	return admitted
}

// requestLog is the state of one request's log lines.
type requestLog struct {
	detailed bool // the request failed, is late or is retried
	admitted bool // the log budget admits its lines
	first    placement
}

// placement describes a grant. The line of a request's first grant is delayed until its log is detailed.
type placement struct {
	at     time.Time
	waited time.Duration
	grant  *entry.Grant
}

// logDecision writes a line of a failed, late or retried request. The first call also writes the delayed line of the
// first grant.
func (exchange *exchange) logDecision(message string, more ...zap.Field) {
	log := &exchange.log
	if !log.detailed {
		log.detailed, log.admitted = true, exchange.handler.admitDetailedLog()
		if log.admitted && log.first.grant != nil {
			exchange.writeLine(log.first.at, "request: assigned to a backend server", exchange.placementFields(log.first)...)
		}
	}
	if log.admitted {
		exchange.writeLine(exchange.now(), message, more...)
	}
}

// writeLine writes a line with the fields that all lines of a request share.
func (exchange *exchange) writeLine(at time.Time, message string, more ...zap.Field) {
	line := exchange.handler.Log.Check(zap.InfoLevel, message)
	if line == nil {
		return
	}
	line.Time = at
	_, version := exchange.handler.Entry.Rules()
	line.Write(append([]zap.Field{
		zap.String("request", exchange.info.ID), zap.Uint64("fingerprint", exchange.fingerprint), zap.String("service", exchange.service.Name),
		zap.String("route", exchange.route.Host+exchange.route.Prefix), zap.Uint64("rules-version", version),
		exchange.handler.Entry.LoggedListAge(at),
		zap.Duration("age", at.Sub(exchange.startedAt)), zap.Duration("left", exchange.request.Deadline.Sub(at)),
	}, more...)...)
}

func (exchange *exchange) placementFields(placement placement) []zap.Field {
	return []zap.Field{
		zap.String("backend-server", placement.grant.Server), zap.String("server-failure-domain", placement.grant.Domain),
		zap.String("decided-by", placement.grant.DecidedBy()), zap.Duration("waited", placement.waited),
	}
}

// logPlaced logs the grant of a further attempt, and keeps that of the first attempt for a later call of logDecision.
func (exchange *exchange) logPlaced(grant *entry.Grant, waited time.Duration) {
	placement := placement{exchange.now(), waited, grant}
	if exchange.log.first.grant == nil {
		exchange.log.first = placement
		return
	}
	exchange.logDecision("request: tried at another backend server", append(exchange.placementFields(placement),
		zap.Bool("hedge", len(exchange.out) > 0), zap.Int("attempt", exchange.request.Number()), zap.Int("attempts-allowed", exchange.request.MaxAttempts),
	)...)
}

// logOverdue logs an attempt that has received no first byte by its grant's SuspectAt.
func (exchange *exchange) logOverdue(a *attempt) {
	exchange.logDecision("request: no first byte from the backend server within the suspicion timeout", zap.String("backend-server", a.grant.Server),
		zap.Duration("suspect-after", a.grant.SuspectAt.Sub(a.sentAt)), zap.Bool("connection-reused", a.progress.Reused()))
}

// logFailed logs an attempt that failed, with the status of its response if there is one.
func (exchange *exchange) logFailed(a *attempt, outcome pool.Outcome, err error) {
	status := 0
	if a.response != nil {
		status = a.response.StatusCode
	}
	exchange.logDecision("request: an attempt failed",
		zap.String("backend-server", a.grant.Server), zap.Stringer("outcome", outcome), zap.Int("status", status),
		zap.Bool("sent", a.progress.Wrote()), zap.Bool("connection-reused", a.progress.Reused()), zap.Bool("overdue", a.overdue),
		zap.Duration("attempt-age", exchange.now().Sub(a.sentAt)), zap.Error(err),
	)
}

// logRefused logs that an attempt was granted no slot.
func (exchange *exchange) logRefused(decision *pool.Decision, waited time.Duration) {
	fields := []zap.Field{zap.Stringer("verdict", decision.Verdict), zap.Duration("waited", waited), zap.Int("attempt", exchange.request.Number())}
	if !decision.RetryAt.IsZero() {
		fields = append(fields, zap.Duration("retry-in", decision.RetryAt.Sub(exchange.now())))
	}
	exchange.logDecision("request: no slot granted", fields...)
}

// logAnswered logs a response that is forwarded: always if it is a server error, late or follows a logged problem,
// otherwise as a sample.
func (exchange *exchange) logAnswered(a *attempt) {
	now := exchange.now()
	fields := []zap.Field{
		zap.String("backend-server", a.grant.Server), zap.Int("status", a.response.StatusCode), zap.Int("attempts", exchange.request.Number()),
		zap.Duration("attempt-age", now.Sub(a.sentAt)), zap.Duration("first-byte", a.firstByte),
	}
	switch {
	case backend.IsServerError(a.response.StatusCode):
		exchange.logForwardedFailure(a, retry.Ran)
	case exchange.log.detailed || exchange.isLate(now):
		exchange.logDecision("request: answered", append(fields, zap.Bool("late", exchange.isLate(now)))...)
	case exchange.handler.logBudget.sample(now):
		exchange.writeLine(now, "request: answered", append(fields,
			zap.Bool("sampled", true), zap.Duration("waited", exchange.log.first.waited), zap.String("decided-by", a.grant.DecidedBy()))...)
	}
}

// isLate reports whether a response at the given time exceeds the route's target latency or, without a target, lateShare
// of the time until the request's deadline.
func (exchange *exchange) isLate(now time.Time) bool {
	age := now.Sub(exchange.startedAt)
	if exchange.route.TargetLatency > 0 {
		return age > exchange.route.TargetLatency
	}
	return float64(age) > lateShare*float64(exchange.request.Deadline.Sub(exchange.startedAt))
}

// logGivenUp logs a final response that sequoiaspan generates itself.
func (exchange *exchange) logGivenUp(answer retry.Answer) {
	exchange.logDecision("request: given up", append(answerFields(exchange.now(), answer), zap.Strings("tried", exchange.request.TriedServers()))...)
}

func answerFields(now time.Time, answer retry.Answer) []zap.Field {
	retryIn := time.Duration(0)
	if !answer.RetryAt.IsZero() {
		retryIn = answer.RetryAt.Sub(now)
	}
	return []zap.Field{
		zap.String("reason", string(answer.Reason)), zap.String("outcome", string(answer.ExecutionStatus)), zap.Duration("retry-in", retryIn),
	}
}

// logForwardedFailure logs a failure response of a backend server that is forwarded to the caller.
func (exchange *exchange) logForwardedFailure(a *attempt, executionStatus retry.ExecutionStatus) {
	exchange.logDecision("request: failure response of a backend server forwarded",
		zap.String("backend-server", a.grant.Server), zap.Int("status", a.response.StatusCode), zap.String("outcome", string(executionStatus)),
		zap.Strings("tried", exchange.request.TriedServers()),
	)
}

// logAborted logs a response whose body ended early.
func (exchange *exchange) logAborted(a *attempt, err error) {
	exchange.logDecision("request: response aborted", zap.String("backend-server", a.grant.Server), zap.Int("status", a.response.StatusCode), zap.Error(err))
}

// logCallerGone logs that the caller disconnected before its response.
func (exchange *exchange) logCallerGone(sent bool) {
	exchange.logDecision("request: caller disconnected", zap.Bool("sent", sent), zap.Strings("tried", exchange.request.TriedServers()))
}

// logRejected logs a request that was rejected before any grant was requested.
func (handler *Handler) logRejected(r *http.Request, info *dialect.RequestInfo, answer retry.Answer, more ...zap.Field) {
	if !handler.admitDetailedLog() {
		return
	}
	_, version := handler.Entry.Rules()
	now := handler.Clock()
	fields := []zap.Field{
		zap.String("request", info.ID), zap.String("method", r.Method), zap.String("host", r.Host), zap.String("path", r.URL.Path),
		zap.String("team", info.Team), zap.Uint64("rules-version", version), handler.Entry.LoggedListAge(now),
	}
	if info.Credential.Presented {
		fields = append(fields, zap.Bool("key-well-formed", info.Credential.Valid))
	}
	if info.Credential.Valid {
		fields = append(fields, zap.String("key", info.Credential.Digest.Short()))
	}
	handler.Log.Info("request: rejected", append(append(fields, answerFields(now, answer)...), more...)...)
}

// logTooLate logs a grant that is not used because this instance ends before an answer is likely.
func (exchange *exchange) logTooLate(grant *entry.Grant, end time.Time) {
	now := exchange.now()
	exchange.logDecision("request: not sent, the instance stops before an answer is likely", zap.String("backend-server", grant.Server),
		zap.Duration("answer-likely-after", grant.AnswerLikelyAfter()), zap.Duration("ends-after", end.Sub(now)))
}
