package http

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/retry"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// attempt is one try at a backend server.
type attempt struct {
	id           uint64
	grant        *entry.Grant
	progress     backend.Progress
	cancel       context.CancelFunc
	sentAt       time.Time
	firstByte    time.Duration
	response     *http.Response
	responseInfo dialect.ResponseInfo
	buffered     *bufferedBody // the whole body, if it was read before the answer is passed on
	suspectTimer *time.Timer
	overdue      bool
	returned     chan struct{} // closed when nothing more can be written
}

// send starts an attempt in the background.
func (exchange *exchange) send(e event) {
	ctx, cancel := context.WithCancel(exchange.ctx)
	ctx, span := exchange.handler.Tracer.Start(ctx, "backend")
	a := &attempt{id: e.id, grant: e.grant, cancel: cancel, sentAt: exchange.now(), returned: make(chan struct{})}
	exchange.out[a.id] = a
	out := exchange.outgoingRequest(ctx, e.grant)
	options := backend.Options{
		Address: e.grant.Address,
		// A connection that has gone silent must not meet a request twice.
		Fresh: e.grant.Fresh || e.grant.Close || !exchange.request.Idempotent || exchange.request.Number() > 1,
	}
	a.suspectTimer = time.AfterFunc(e.grant.SuspectAt.Sub(exchange.now()), func() { exchange.post(event{attempt: a, overdue: true}) })
	go func() {
		defer span.End()
		response, err := exchange.handler.Backend.Send(out, options, &a.progress)
		close(a.returned)
		exchange.post(event{attempt: a, response: response, err: err})
	}()
}

func (exchange *exchange) outgoingRequest(ctx context.Context, grant *entry.Grant) *http.Request {
	out := exchange.r.Clone(ctx)
	attemptInfo := dialect.Attempt{Now: exchange.now(), Deadline: exchange.request.Deadline, Server: grant.Server}
	out.Header = exchange.handler.outgoingHeader(exchange.r.WithContext(ctx), attemptInfo)
	out.Body = exchange.body.open()
	out.ContentLength = exchange.body.length
	if exchange.body.stream == nil {
		out.ContentLength = int64(len(exchange.body.small))
		out.TransferEncoding = nil
	}
	out.Close = false
	return out
}

// handleOverdue follows an attempt without a first byte at the time of suspicion.
func (exchange *exchange) handleOverdue(a *attempt) bool {
	if exchange.out[a.id] != a {
		return false
	}
	a.overdue = true
	exchange.logOverdue(a)
	exchange.suspects = append(exchange.suspects, a.grant)
	a.grant.Overdue(a.progress.Reused())
	return exchange.perform(exchange.request.Overdue(exchange.now(), exchange.body.replayable()))
}

// handleFailure follows an attempt that brought no answer.
func (exchange *exchange) handleFailure(a *attempt, err error) bool {
	outcome := pool.Reset
	if !a.progress.Wrote() {
		outcome = pool.ConnectFailed
		exchange.suspects = append(exchange.suspects, a.grant)
	}
	exchange.logFailed(a, outcome, err)
	exchange.close(a, outcome)
	return exchange.retryOrFinish(retry.Failure{Wrote: a.progress.Wrote(), Replayable: exchange.body.replayable()})
}

// retryOrFinish decides on another attempt; with none, a refusal of a backend server is passed on.
func (exchange *exchange) retryOrFinish(failure retry.Failure) bool {
	var action retry.Action
	exchange.handler.withRandom(func(random *rand.Rand) { action = exchange.request.Failed(exchange.now(), failure, random) })
	return exchange.perform(action)
}

// handleResponse follows the header of an answer.
func (exchange *exchange) handleResponse(a *attempt, response *http.Response) bool {
	a.response, a.firstByte = response, exchange.now().Sub(a.sentAt)
	exchange.handler.firstBytes.Observe(a.firstByte)
	exchange.recordResponseInfo(a)
	if a.responseInfo.Mismatched {
		_ = response.Body.Close()
		return exchange.handleFailure(a, errMismatched)
	}
	a.suspectTimer.Stop()
	if a.responseInfo.Refused || exchange.request.Idempotent && response.StatusCode == http.StatusServiceUnavailable {
		return exchange.handleRefusal(a, a.responseInfo.Refused)
	}
	if exchange.shouldBuffer(response) {
		go exchange.bufferBody(a)
		return false
	}
	return exchange.deliver(a)
}

// recordResponseInfo takes in what a server says of the attempt and of itself. What comes with an answer to another request is left out.
func (exchange *exchange) recordResponseInfo(a *attempt) {
	responseInfo, err := exchange.handler.Dialect.ParseResponse(exchange.now(), exchange.info, a.response)
	a.responseInfo = responseInfo
	if err != nil {
		exchange.logDecision("request: a header of a backend server makes no sense and is left out", zap.String("backend-server", a.grant.Server), zap.Error(err))
	}
	if !responseInfo.Mismatched {
		a.grant.Hear(entry.Notice{Leaving: responseInfo.Leaving, PausedUntil: responseInfo.PausedUntil})
	}
}

// deliver passes an answer on and ends the exchange.
func (exchange *exchange) deliver(a *attempt) bool {
	delete(exchange.out, a.id)
	exchange.dropFallback()
	exchange.verifySuspects(a)
	exchange.closeAll(pool.Canceled)
	if exchange.claim != nil {
		exchange.settle(idempotency.Settlement{Ran: true, Status: a.response.StatusCode})
	}
	exchange.logAnswered(a)
	exchange.forward(a)
	return true
}

// verifySuspects has other instances verify the servers that did badly with a request that one has now answered in time:
// the cause is not the request itself.
func (exchange *exchange) verifySuspects(answered *attempt) {
	if exchange.handler.Dialect.Transparent() || len(exchange.suspects) == 0 || answered.overdue || backend.IsServerError(answered.response.StatusCode) {
		return
	}
	method := exchange.r.Method
	if method != http.MethodGet && method != http.MethodHead || exchange.body.length != 0 {
		return
	}
	copied := entry.Copy{
		Method: method, Target: exchange.r.URL.RequestURI(), Host: exchange.r.Host,
	}
	for _, grant := range exchange.suspects {
		attemptInfo := dialect.Attempt{Now: exchange.now(), Deadline: exchange.request.Deadline}
		copied.Header = exchange.handler.outgoingHeader(exchange.r, attemptInfo)
		grant.VerifyBeside(copied, exchange.handler.nextAttempt)
	}
}

// handleRefusal follows a server's refusal: another may take the request, or the refusal is passed on.
func (exchange *exchange) handleRefusal(a *attempt, refused bool) bool {
	delete(exchange.out, a.id)
	exchange.logFailed(a, pool.Shed, nil)
	a.grant.Done(pool.Report{Outcome: pool.Shed, Leaving: a.responseInfo.Leaving || a.responseInfo.Misdirected, PausedUntil: a.responseInfo.PausedUntil, Reused: a.progress.Reused()})
	exchange.keepFallback(a, !refused)
	return exchange.retryOrFinish(retry.Failure{Wrote: true, Refused: refused, Replayable: exchange.body.replayable()})
}

// keepFallback keeps a failure that a server answered; one that ran the request goes before a refusal.
func (exchange *exchange) keepFallback(a *attempt, ran bool) {
	if exchange.fallback != nil && exchange.fallbackRan && !ran {
		a.cancel()
		_ = a.response.Body.Close()
		return
	}
	exchange.dropFallback()
	exchange.fallback, exchange.fallbackRan = a, ran
}

func (exchange *exchange) dropFallback() {
	if exchange.fallback == nil {
		return
	}
	exchange.fallback.cancel()
	_ = exchange.fallback.response.Body.Close()
	exchange.fallback = nil
}

// close ends an attempt and reports its outcome.
func (exchange *exchange) close(a *attempt, outcome pool.Outcome) {
	delete(exchange.out, a.id)
	a.suspectTimer.Stop()
	a.cancel()
	a.grant.Done(pool.Report{Outcome: outcome, Reused: a.progress.Reused()})
}

// closeAll ends all attempts that are out, and reports whether any of them may have written a byte.
//
// An attempt may get its connection right before it is cancelled, so its word counts only once it has returned.
func (exchange *exchange) closeAll(outcome pool.Outcome) (wrote bool) {
	for _, a := range exchange.out {
		a.cancel()
		wrote = a.mayHaveWritten() || wrote
		exchange.close(a, outcome)
	}
	return wrote
}

// returnTimeout bounds the wait for a cancelled attempt to return.
const returnTimeout = time.Second

// mayHaveWritten reports, of a cancelled attempt, whether a byte may have left.
func (attempt *attempt) mayHaveWritten() bool {
	timer := time.NewTimer(returnTimeout)
	defer timer.Stop()
	select {
	case <-attempt.returned:
		return attempt.progress.Wrote()
	case <-timer.C:
		return true
	}
}
