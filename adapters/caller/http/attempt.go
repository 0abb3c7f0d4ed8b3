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
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// attempt is one request sent to one backend server.
type attempt struct {
	id           uint64
	grant        *entry.Grant
	progress     backend.Progress
	cancel       context.CancelFunc
	sentAt       time.Time
	firstByte    time.Duration
	response     *http.Response
	responseInfo dialect.ResponseInfo
	buffered     *bufferedBody // the complete body, if it was buffered before forwarding
	suspicion    *wait.Silence // until the server counts as overdue
	overdue      bool
	returned     chan struct{} // closed when Send has returned and can write no more
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
		// A reused connection may have gone silent. Retries use new ones, so that a request hits a silent one at most once.
		Fresh: e.grant.Fresh || e.grant.Close || !exchange.request.Idempotent || exchange.request.Number() > 1,
	}
	a.suspicion = wait.OnSilence(e.grant.SuspectAt, exchange.handler.Entry, func() { exchange.post(event{attempt: a, overdue: true}) })
	go func() {
		defer span.End()
		response, err := exchange.handler.Backend.Send(out, options, &a.progress)
		close(a.returned)
		exchange.post(event{attempt: a, response: response, err: err})
	}()
}

func (exchange *exchange) outgoingRequest(ctx context.Context, grant *entry.Grant) *http.Request {
	// Of the caller's request only what is changed below is copied: its header may be large.
	out := exchange.r.WithContext(ctx)
	out.Trailer = exchange.r.Trailer.Clone()
	attemptInfo := exchange.attemptInfo(grant.Server)
	out.URL = exchange.handler.outgoingURL(exchange.r)
	out.Header = exchange.handler.outgoingHeader(exchange.r.WithContext(ctx), attemptInfo)
	out.Body = exchange.body.open()
	out.ContentLength = exchange.body.length
	if exchange.body.stream == nil {
		out.ContentLength = int64(len(exchange.body.small))
		out.TransferEncoding = nil
		// The caller has been told to continue, and the body is at hand.
		out.Header.Del("Expect")
	}
	out.Close = false
	return out
}

// attemptInfo returns the metadata for an attempt at a server.
func (exchange *exchange) attemptInfo(server string) dialect.Attempt {
	return dialect.Attempt{
		Now: exchange.now(), Deadline: exchange.request.Deadline, Server: server, KeysRequired: exchange.keysRequired, Team: exchange.info.Team,
	}
}

// handleOverdue handles an attempt that has received no first byte by its grant's SuspectAt; it may start a hedge.
func (exchange *exchange) handleOverdue(a *attempt) bool {
	if exchange.out[a.id] != a {
		return false
	}
	a.overdue = true
	exchange.logOverdue(a)
	exchange.suspects = append(exchange.suspects, a.grant)
	a.grant.ReportOverdue(a.progress.Reused())
	return exchange.perform(exchange.request.Overdue(exchange.now(), exchange.body.shareable()))
}

// handleFailure handles an attempt that ended without a response.
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

// retryOrFinish starts another attempt, or finishes the exchange if none is allowed.
func (exchange *exchange) retryOrFinish(failure retry.Failure) bool {
	var action retry.Action
	exchange.handler.withRandom(func(random *rand.Rand) { action = exchange.request.Failed(exchange.now(), failure, random) })
	return exchange.perform(action)
}

// handleResponse handles a response whose header has arrived.
func (exchange *exchange) handleResponse(a *attempt, response *http.Response) bool {
	a.response, a.firstByte = response, exchange.now().Sub(a.sentAt)
	exchange.handler.firstBytes.Observe(a.firstByte)
	exchange.recordResponseInfo(a)
	err := foreignError(a.responseInfo)
	if err == nil && a.responseInfo.Unconfirmed && !exchange.request.Idempotent {
		err = errPromise
	}
	if err != nil {
		_ = response.Body.Close()
		a.progress.CloseConnection()
		return exchange.handleFailure(a, err)
	}
	a.suspicion.Stop()
	if a.responseInfo.Refused || exchange.request.Idempotent && response.StatusCode == http.StatusServiceUnavailable {
		return exchange.handleRefusal(a, a.responseInfo.Refused)
	}
	if exchange.shouldBuffer(response) {
		go exchange.bufferBody(a)
		return false
	}
	return exchange.deliver(a)
}

// foreignError returns why a response may not be the server's response to the request, or nil.
func foreignError(responseInfo dialect.ResponseInfo) error {
	switch {
	case responseInfo.Mismatched:
		return errMismatched
	case responseInfo.Unsigned:
		return errUnsigned
	}
	return nil
}

// recordResponseInfo parses what the response reports about the attempt and its server, and passes the server's notice
// to the grant. The notice of a response to another request is ignored.
func (exchange *exchange) recordResponseInfo(a *attempt) {
	responseInfo, err := exchange.handler.Dialect.ParseResponse(exchange.now(), exchange.info, a.response)
	responseInfo.Mismatched = responseInfo.Mismatched || responseInfo.Unidentified && a.progress.Reused()
	a.responseInfo = responseInfo
	if err != nil {
		exchange.logDecision("request: invalid header of a backend server ignored", zap.String("backend-server", a.grant.Server), zap.Error(err))
	}
	if !responseInfo.Mismatched {
		a.grant.RecordNotice(entry.Notice{Leaving: responseInfo.Leaving, PausedUntil: responseInfo.PausedUntil})
	}
}

// deliver forwards a response to the caller and ends the exchange.
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

// verifySuspects has other instances verify each server that was overdue or unreachable, once another server has answered
// the same request in time: the request itself is then not the cause.
func (exchange *exchange) verifySuspects(answered *attempt) {
	if exchange.handler.Dialect.Transparent() || len(exchange.suspects) == 0 || answered.overdue || backend.IsServerError(answered.response.StatusCode) {
		return
	}
	method := exchange.r.Method
	if method != http.MethodGet && method != http.MethodHead || exchange.body.length != 0 {
		return
	}
	copied := entry.RequestCopy{
		Method: method, Target: exchange.r.URL.RequestURI(), Host: exchange.r.Host,
	}
	for _, grant := range exchange.suspects {
		copied.Header = exchange.handler.outgoingHeader(exchange.r, exchange.attemptInfo(""))
		grant.RequestVerification(copied, exchange.handler.nextAttempt)
	}
}

// handleRefusal handles an overload rejection: it keeps the response as the fallback and retries at another server.
// refused means that the server reports that it did not run the request.
func (exchange *exchange) handleRefusal(a *attempt, refused bool) bool {
	delete(exchange.out, a.id)
	exchange.logFailed(a, pool.Shed, nil)
	a.grant.Done(pool.Report{Outcome: pool.Shed, Leaving: a.responseInfo.Leaving || a.responseInfo.Misdirected, PausedUntil: a.responseInfo.PausedUntil, Reused: a.progress.Reused()})
	exchange.keepFallback(a, !refused)
	return exchange.retryOrFinish(retry.Failure{Wrote: true, Refused: refused, Replayable: exchange.body.replayable()})
}

// keepFallback keeps a failure response for the case that no attempt succeeds. A response of a server that ran the
// request takes precedence over a refusal.
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

// close cancels an attempt and reports its outcome to the grant.
func (exchange *exchange) close(a *attempt, outcome pool.Outcome) {
	delete(exchange.out, a.id)
	a.suspicion.Stop()
	a.cancel()
	a.grant.Done(pool.Report{Outcome: outcome, Reused: a.progress.Reused()})
}

// closeAll cancels all attempts in flight and reports whether any of them may have written a byte.
//
// An attempt may obtain its connection just before it is canceled, so its progress is read only after Send has returned.
func (exchange *exchange) closeAll(outcome pool.Outcome) (wrote bool) {
	for _, a := range exchange.out {
		a.cancel()
		wrote = a.mayHaveWritten() || wrote
		exchange.close(a, outcome)
	}
	return wrote
}

// returnTimeout bounds the wait for Send to return after a cancellation.
const returnTimeout = time.Second

// mayHaveWritten reports whether a canceled attempt may have sent a byte. It assumes so if Send does not return within
// returnTimeout.
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
