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

// The decision log: all lines of a request that fails, is late or is tried again, and one line a second of one that goes well.
// Lines of one request share its id.

// Volume of the decision log.
const (
	explainedMost = 50               // requests a second whose lines are written; each has a few
	sampledEvery  = time.Second      // between lines of requests that went well
	reportEvery   = 10 * time.Second // between reports of how many requests have no lines
	lateShare     = 0.5              // of a request's time, after which its answer counts as late where its route has no target
)

// logBudget bounds the requests that have lines; the zero value has spent nothing.
type logBudget struct {
	mu         sync.Mutex
	explained  limit.Bucket
	sampledAt  time.Time
	dropped    int // requests without lines since reportedAt
	reportedAt time.Time
}

// admit reports whether a request's lines are written, and now and then how many requests had none.
func (budget *logBudget) admit(now time.Time) (admitted bool, dropped int) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	granted, _ := budget.explained.Take(now, explainedMost, 1)
	if granted == 0 {
		budget.dropped++
	}
	if budget.dropped > 0 && now.Sub(budget.reportedAt) >= reportEvery {
		dropped, budget.dropped, budget.reportedAt = budget.dropped, 0, now
	}
	return granted > 0, dropped
}

// sample reports whether a request that went well has a line.
func (budget *logBudget) sample(now time.Time) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if now.Sub(budget.sampledAt) < sampledEvery {
		return false
	}
	budget.sampledAt = now
	return true
}

// admitsLines reports whether the lines of a request that did not go well are written.
func (handler *Handler) admitsLines() bool {
	if !handler.Log.Core().Enabled(zap.InfoLevel) {
		return false
	}
	written, dropped := handler.logBudget.admit(handler.Clock())
	if dropped > 0 {
		handler.Log.Warn("request: too many to explain, some have no lines", zap.Int("requests", dropped))
	}
	if !written {
		handler.count("log.requests-dropped")
	}
	return written
}

// requestLog is the state of one request's lines.
type requestLog struct {
	begun   bool // the request did not go well
	written bool // its lines are written
	first   placement
}

// placement is the first attempt's, whose line is held back while all goes well.
type placement struct {
	at     time.Time
	waited time.Duration
	grant  *entry.Grant
}

// explain writes a line of a request that does not go well.
func (exchange *exchange) explain(message string, more ...zap.Field) {
	log := &exchange.log
	if !log.begun {
		log.begun, log.written = true, exchange.handler.admitsLines()
		if log.written && log.first.grant != nil {
			exchange.write(log.first.at, "request: placed at a backend server", exchange.placed(log.first)...)
		}
	}
	if log.written {
		exchange.write(exchange.now(), message, more...)
	}
}

// write writes a line with what all lines of a request have.
func (exchange *exchange) write(at time.Time, message string, more ...zap.Field) {
	line := exchange.handler.Log.Check(zap.InfoLevel, message)
	if line == nil {
		return
	}
	line.Time = at
	_, version := exchange.handler.Entry.Rules()
	line.Write(append([]zap.Field{
		zap.String("request", exchange.terms.ID), zap.Uint64("fingerprint", exchange.fingerprint), zap.String("service", exchange.service.Name),
		zap.String("route", exchange.route.Host+exchange.route.Prefix), zap.Uint64("rules-version", version),
		exchange.handler.Entry.LoggedListAge(at),
		zap.Duration("age", at.Sub(exchange.startedAt)), zap.Duration("left", exchange.request.Deadline.Sub(at)),
	}, more...)...)
}

func (exchange *exchange) placed(placement placement) []zap.Field {
	return []zap.Field{
		zap.String("backend-server", placement.grant.Server), zap.String("server-failure-domain", placement.grant.Domain),
		zap.String("decided-by", placement.grant.DecidedBy()), zap.Duration("waited", placement.waited),
	}
}

// logPlaced tells of a grant: at once for a further attempt, and otherwise when the request turns out not to go well.
func (exchange *exchange) logPlaced(grant *entry.Grant, waited time.Duration) {
	placement := placement{exchange.now(), waited, grant}
	if exchange.log.first.grant == nil {
		exchange.log.first = placement
		return
	}
	exchange.explain("request: tried at another backend server", append(exchange.placed(placement),
		zap.Bool("hedge", len(exchange.out) > 0), zap.Int("attempt", exchange.request.Number()), zap.Int("attempts-allowed", exchange.request.MaxAttempts),
	)...)
}

// logSilent tells of an attempt without a first byte at the time of suspicion.
func (exchange *exchange) logSilent(a *attempt) {
	exchange.explain("request: a backend server is silent beyond the time of suspicion", zap.String("backend-server", a.grant.Server),
		zap.Duration("suspect-after", a.grant.SuspectAt.Sub(a.sentAt)), zap.Bool("connection-reused", a.progress.Reused()))
}

// logFailed tells of an attempt that brought no answer to pass on.
func (exchange *exchange) logFailed(a *attempt, outcome pool.Outcome, err error) {
	status := 0
	if a.response != nil {
		status = a.response.StatusCode
	}
	exchange.explain("request: an attempt failed",
		zap.String("backend-server", a.grant.Server), zap.Stringer("outcome", outcome), zap.Int("status", status),
		zap.Bool("sent", a.progress.Wrote()), zap.Bool("connection-reused", a.progress.Reused()), zap.Bool("overdue", a.overdue),
		zap.Duration("attempt-age", exchange.now().Sub(a.sentAt)), zap.Error(err),
	)
}

// logRefused tells that no slot was granted for an attempt.
func (exchange *exchange) logRefused(decision *pool.Decision, waited time.Duration) {
	fields := []zap.Field{zap.Stringer("verdict", decision.Verdict), zap.Duration("waited", waited), zap.Int("attempt", exchange.request.Number())}
	if !decision.RetryAt.IsZero() {
		fields = append(fields, zap.Duration("retry-in", decision.RetryAt.Sub(exchange.now())))
	}
	exchange.explain("request: no slot is granted", fields...)
}

// logAnswered tells of an answer that is passed on.
func (exchange *exchange) logAnswered(a *attempt) {
	now := exchange.now()
	fields := []zap.Field{
		zap.String("backend-server", a.grant.Server), zap.Int("status", a.response.StatusCode), zap.Int("attempts", exchange.request.Number()),
		zap.Duration("attempt-age", now.Sub(a.sentAt)), zap.Duration("first-byte", a.firstByte),
	}
	switch {
	case backend.IsServerError(a.response.StatusCode):
		exchange.logPassedOn(a, retry.Ran)
	case exchange.log.begun || exchange.isLate(now):
		exchange.explain("request: answered", append(fields, zap.Bool("late", exchange.isLate(now)))...)
	case exchange.handler.logBudget.sample(now):
		exchange.write(now, "request: answered", append(fields,
			zap.Bool("sampled", true), zap.Duration("waited", exchange.log.first.waited), zap.String("decided-by", a.grant.DecidedBy()))...)
	}
}

// isLate reports whether an answer comes later than the route's target, or late for the request's deadline where there is none.
func (exchange *exchange) isLate(now time.Time) bool {
	age := now.Sub(exchange.startedAt)
	if exchange.route.TargetLatency > 0 {
		return age > exchange.route.TargetLatency
	}
	return float64(age) > lateShare*float64(exchange.request.Deadline.Sub(exchange.startedAt))
}

// logGivenUp tells of an answer that sequoiaspan makes itself.
func (exchange *exchange) logGivenUp(answer retry.Answer) {
	exchange.explain("request: given up", append(answerFields(exchange.now(), answer), zap.Strings("tried", exchange.request.TriedServers()))...)
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

// logPassedOn tells of a backend server's failure that is passed on.
func (exchange *exchange) logPassedOn(a *attempt, truth retry.ExecutionStatus) {
	exchange.explain("request: the failure of a backend server is passed on",
		zap.String("backend-server", a.grant.Server), zap.Int("status", a.response.StatusCode), zap.String("outcome", string(truth)),
		zap.Strings("tried", exchange.request.TriedServers()),
	)
}

// logBrokenOff tells of an answer that ended before it was whole.
func (exchange *exchange) logBrokenOff(a *attempt, err error) {
	exchange.explain("request: its answer was broken off", zap.String("backend-server", a.grant.Server), zap.Int("status", a.response.StatusCode), zap.Error(err))
}

// logLeft tells of a caller that has gone.
func (exchange *exchange) logLeft(sent bool) {
	exchange.explain("request: the caller has gone", zap.Bool("sent", sent), zap.Strings("tried", exchange.request.TriedServers()))
}

// logTurnedAway tells of a request that no backend server was asked for.
func (handler *Handler) logTurnedAway(r *http.Request, terms *dialect.RequestInfo, answer retry.Answer) {
	if !handler.admitsLines() {
		return
	}
	_, version := handler.Entry.Rules()
	now := handler.Clock()
	handler.Log.Info("request: turned away", append([]zap.Field{
		zap.String("request", terms.ID), zap.String("method", r.Method), zap.String("host", r.Host), zap.String("path", r.URL.Path),
		zap.String("team", terms.Team), zap.Uint64("rules-version", version), handler.Entry.LoggedListAge(now),
	}, answerFields(now, answer)...)...)
}
