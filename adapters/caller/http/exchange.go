package http

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/retry"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// exchange is the state of one caller's request. One goroutine owns it and handles its events.
type exchange struct {
	handler       *Handler
	w             http.ResponseWriter
	r             *http.Request
	route         *rules.Route
	priority      int    // of the team, or of the route
	rulesVersion  uint64 // version that let the request pass
	keysRequired  bool
	limitedTeam   string // team whose limit the request counts towards
	service       *rules.Service
	slice         home.Slice
	body          *body
	fingerprint   uint64
	request       retry.Request
	claim         *idempotency.Claim // set for a non-idempotent request with an idempotency key
	writeDeadline time.Time          // deadline to start writing the request under the claim
	bodyDeadline  time.Time          // for the server's last byte of the response's body, zero for none
	events        chan event
	out           map[uint64]*attempt // attempts in flight, by id
	grants        []*entry.Grant      // all that were accepted
	suspects      []*entry.Grant      // of backend servers that were overdue or unreachable
	bufferedBytes int64               // of this request's buffered responses
	info          dialect.RequestInfo // metadata that the caller sent
	log           requestLog
	fallback      *attempt // a failure response, forwarded if no attempt succeeds
	fallbackRan   bool     // the server of fallback ran the request
	startedAt     time.Time
	ctx           context.Context
	cancel        context.CancelFunc
	endMu         sync.Mutex
	ended         bool // later events are discarded
}

// event is the outcome of a background task of an exchange: a decision, an overdue attempt, a response or error, a
// buffered body, or the time to retry a hedge.
type event struct {
	decision *pool.Decision // set with grant, if granted
	grant    *entry.Grant
	attempt  *attempt
	response *http.Response
	err      error
	overdue  bool
	buffered *bufferedBody // body of the attempt's response
	hedge    bool          // a refused hedge may be requested again
	id       uint64        // attempt id of the decision's ask
	askedAt  time.Time     // time of the decision's ask
}

// maxAttempts limits the attempts of a request, whatever the rules allow. eventBufferSize is large enough for the events of so many, so that
// post never blocks.
const (
	maxAttempts     = 10
	eventBufferSize = 64
)

func newExchange(handler *Handler, w http.ResponseWriter, r *http.Request, route *rules.Route, service *rules.Service, info dialect.RequestInfo, body *body) *exchange {
	ctx, cancel := context.WithCancel(r.Context())
	exchange := &exchange{
		handler: handler, w: w, r: r, route: route, service: service, info: info, body: body,
		fingerprint: fingerprint(r, &info, body), events: make(chan event, eventBufferSize), out: map[uint64]*attempt{},
		ctx: ctx, cancel: cancel, startedAt: handler.Clock(),
		request: retry.Request{Idempotent: route.Idempotent(r.Method), MaxAttempts: service.MaxAttempts, Deadline: info.Deadline, SpreadReturns: service.Queue == rules.ByTarget},
	}
	if route.MaxAttempts > 0 {
		exchange.request.MaxAttempts = route.MaxAttempts
	}
	exchange.request.MaxAttempts = min(exchange.request.MaxAttempts, maxAttempts)
	exchange.slice = handler.Entry.SliceFor(service.Name, exchange.fingerprint)
	if key := info.IdempotencyKey; key != "" && !exchange.request.Idempotent {
		exchange.claim = &idempotency.Claim{
			Key: claimKey(service.Name, key), CreatedAt: idempotency.CreatedAt(key), Attempt: handler.nextAttempt(),
			Digest: exchange.fingerprint, Deadline: info.Deadline,
		}
	}
	return exchange
}

func claimKey(service, key string) idempotency.Key {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return idempotency.Key(sum[:16])
}

// run processes the request until the caller has an answer or disconnects.
func (exchange *exchange) run() {
	defer exchange.end()
	deadline := time.NewTimer(time.Until(exchange.request.Deadline.Add(-maxEarlyAnswer)))
	defer deadline.Stop()
	if exchange.claim != nil && !exchange.obtainClaim() {
		return
	}
	exchange.perform(exchange.request.Start(exchange.now()))
	for {
		select {
		case e := <-exchange.events:
			if exchange.handle(e) {
				return
			}
		case <-deadline.C:
			if left := time.Until(exchange.answerAt()); left > 0 {
				deadline.Reset(left)
				continue
			}
			exchange.timeOut()
			return
		case <-exchange.r.Context().Done():
			exchange.abandon()
			return
		case <-exchange.handler.Entry.RequestsEnd():
			exchange.stop()
			return
		}
	}
}

// maxEarlyAnswer is the longest time before its deadline at which a request is answered because this instance is late.
const maxEarlyAnswer = 500 * time.Millisecond

// answerAt returns when to answer the caller without a response: at the deadline, or earlier by as much as this instance is late now.
func (exchange *exchange) answerAt() time.Time {
	return exchange.request.Deadline.Add(-min(exchange.handler.Entry.Delay(), maxEarlyAnswer))
}

// post queues an event for the exchange, or discards it if the exchange has ended.
func (exchange *exchange) post(e event) {
	exchange.endMu.Lock()
	ended := exchange.ended
	if !ended {
		exchange.events <- e
	}
	exchange.endMu.Unlock()
	if ended {
		e.discard()
	}
}

// end cancels background work, releases the memory of buffered bodies and discards queued events. It also ends the grants that have not
// ended: a panic may end the exchange anywhere, and a grant that is held keeps a slot of its server.
func (exchange *exchange) end() {
	exchange.cancel()
	for _, grant := range exchange.grants {
		grant.Done(pool.Report{Outcome: pool.Canceled})
	}
	exchange.handler.bufferedTotal.Add(-exchange.bufferedBytes)
	exchange.endMu.Lock()
	exchange.ended = true
	exchange.endMu.Unlock()
	for {
		select {
		case e := <-exchange.events:
			e.discard()
		default:
			return
		}
	}
}

// discard returns the grant and closes the response of an event that is not handled.
func (event event) discard() {
	if event.grant != nil {
		event.grant.Done(pool.Report{Outcome: pool.Unused})
	}
	if event.response != nil {
		_ = event.response.Body.Close()
	}
}

func (exchange *exchange) now() time.Time { return exchange.handler.Clock() }

// obtainClaim claims the idempotency key. It reports whether the request may run, and answers the caller if not.
func (exchange *exchange) obtainClaim() bool {
	ctx, cancel := context.WithDeadline(exchange.ctx, exchange.request.Deadline)
	defer cancel()
	verdict := exchange.handler.Entry.Claim(ctx, *exchange.claim)
	if verdict.Answer == idempotency.Allowed {
		exchange.writeDeadline = verdict.WriteDeadline
		return true
	}
	if verdict.Answer == idempotency.NotReady {
		exchange.settle(idempotency.Settlement{NotRun: true})
	}
	answer := claimAnswer(verdict)
	exchange.logGivenUp(answer)
	exchange.handler.answer(exchange.w, exchange.r, answer)
	return false
}

func claimAnswer(verdict idempotency.Verdict) retry.Answer {
	answer := retry.Answer{ExecutionStatus: retry.NotRun, Reason: retry.ReasonKeyInvalid, RetryAt: verdict.RetryAt}
	switch verdict.Answer {
	case idempotency.NotReady, idempotency.NotOwner:
		answer.Reason = retry.ReasonKeyTakeover
	case idempotency.InProgress, idempotency.MayHaveRun:
		answer.ExecutionStatus, answer.Reason = retry.Unknown, retry.ReasonKeyUsed
	case idempotency.AlreadyRan:
		answer.ExecutionStatus, answer.Reason = retry.Ran, retry.ReasonKeyUsed
	}
	return answer
}

// perform executes an action and reports whether it ended the exchange.
func (exchange *exchange) perform(action retry.Action) bool {
	switch action.Step {
	case retry.Ask:
		ask := pool.Ask{
			Attempt: exchange.handler.nextAttempt(), Team: exchange.info.Team, Idempotent: exchange.request.Idempotent,
			Hedge: action.Hedge, Number: exchange.request.Number(), Earned: exchange.request.AskedBefore(), Exclude: append([]string(nil), exchange.request.TriedServers()...),
			Deadline: earlier(exchange.request.Deadline, exchange.handler.Entry.End()), Fingerprint: exchange.fingerprint, Priority: exchange.priority, Large: exchange.route.Large, Last: exchange.request.IsLastAttempt(),
			TargetAt: exchange.targetAt(),
		}
		go exchange.ask(ask, action.At)
	case retry.Wait:
		if !action.At.IsZero() {
			exchange.scheduleHedge(action.At)
		}
	case retry.Finish:
		exchange.finish(action.Answer)
		return true
	}
	return false
}

// targetAt returns the time from which an answer is late, zero if the route has no target latency. It counts from the arrival of the request: a
// deadline that is shorter than the route's timeout does not tell whether the caller has returned after a rejection or has little time.
func (exchange *exchange) targetAt() time.Time {
	if exchange.route.TargetLatency == 0 {
		return time.Time{}
	}
	return exchange.startedAt.Add(exchange.route.TargetLatency)
}

// scheduleHedge requests a refused hedge again at the given time.
func (exchange *exchange) scheduleHedge(at time.Time) {
	timer := time.AfterFunc(at.Sub(exchange.now()), func() { exchange.post(event{hedge: true}) })
	context.AfterFunc(exchange.ctx, func() { timer.Stop() })
}

// ask acquires a grant, not before the given time, and posts the decision. It runs in its own goroutine.
func (exchange *exchange) ask(ask pool.Ask, at time.Time) {
	if pause := at.Sub(exchange.now()); pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-exchange.ctx.Done():
			return
		}
	}
	askedAt := exchange.now()
	grant, decision := exchange.handler.Entry.AcquireAny(exchange.ctx, exchange.slice, ask)
	exchange.handler.waits.Observe(exchange.now().Sub(askedAt))
	exchange.post(event{id: ask.Attempt, grant: grant, decision: &decision, askedAt: askedAt})
}

// handle processes an event and reports whether the exchange has ended.
func (exchange *exchange) handle(e event) bool {
	switch {
	case e.decision != nil:
		return exchange.handleDecision(e)
	case e.hedge:
		return exchange.perform(exchange.request.Overdue(exchange.now(), exchange.body.shareable()))
	case e.overdue:
		return exchange.handleOverdue(e.attempt)
	case exchange.out[e.attempt.id] != e.attempt:
		e.discard()
		return false
	case e.buffered != nil:
		return exchange.handleBuffered(e.attempt, e.buffered)
	case e.err != nil:
		return exchange.handleFailure(e.attempt, e.err)
	}
	return exchange.handleResponse(e.attempt, e.response)
}

// handleDecision sends the request under a grant, or follows up on a refusal.
func (exchange *exchange) handleDecision(e event) bool {
	waited := exchange.now().Sub(e.askedAt)
	if e.grant == nil {
		exchange.logRefused(e.decision, waited)
		return exchange.perform(exchange.request.Refused(e.decision.Verdict, e.decision.RetryAt))
	}
	if exchange.r.Context().Err() != nil {
		e.grant.Done(pool.Report{Outcome: pool.Unused})
		exchange.abandon()
		return true
	}
	exchange.grants = append(exchange.grants, e.grant)
	exchange.request.Granted(e.grant.Server)
	exchange.logPlaced(e.grant, waited)
	if exchange.claim != nil && !exchange.now().Before(exchange.writeDeadline) && !exchange.renewClaim(e.grant) {
		return true
	}
	if reason := exchange.denial(); reason != "" {
		e.grant.Done(pool.Report{Outcome: pool.Unused})
		retryAt := time.Time{}
		if reason == retry.ReasonClosed {
			retryAt = exchange.now().Add(closedRetryDelay)
		}
		return exchange.perform(exchange.request.Denied(reason, retryAt))
	}
	if end := exchange.handler.Entry.End(); !exchange.request.CanFinish(exchange.now(), e.grant.AnswerLikelyAfter(), end) {
		exchange.logTooLate(e.grant, end)
		e.grant.Done(pool.Report{Outcome: pool.Unused})
		return exchange.perform(exchange.request.Denied(retry.ReasonStopping, exchange.now()))
	}
	if e.grant.Expired() || !exchange.request.AllowWrite(exchange.now()) {
		e.grant.Done(pool.Report{Outcome: pool.Unused})
		return exchange.retryOrFinish(retry.Failure{})
	}
	exchange.send(e)
	return false
}

// renewClaim renews a claim whose write deadline passed while the request was queued.
func (exchange *exchange) renewClaim(grant *entry.Grant) bool {
	if exchange.obtainClaim() {
		return true
	}
	grant.Done(pool.Report{Outcome: pool.Unused})
	return false
}

// timeOut cancels all attempts at the request's deadline and answers the caller.
func (exchange *exchange) timeOut() {
	wrote := exchange.closeAll(pool.TimedOut)
	exchange.finish(exchange.request.TimedOut(exchange.now(), wrote).Answer)
}

// stop delivers a response that has arrived. Otherwise it cancels all attempts because this instance ends, and answers the caller.
func (exchange *exchange) stop() {
	for len(exchange.events) > 0 {
		if exchange.handle(<-exchange.events) {
			return
		}
	}
	wrote := exchange.closeAll(pool.Canceled)
	exchange.finish(exchange.request.Stopped(exchange.now(), wrote).Answer)
}

// finish answers the caller and settles the claim with the same execution status.
func (exchange *exchange) finish(answer retry.Answer) {
	exchange.closeAll(pool.Canceled)
	exchange.settle(idempotency.Settlement{NotRun: answer.ExecutionStatus == retry.NotRun})
	if exchange.fallback != nil && (exchange.fallbackRan || !exchange.handler.Dialect.Transparent()) {
		exchange.forwardFallback(exchange.fallback, answer.ExecutionStatus)
		return
	}
	exchange.dropFallback()
	exchange.logGivenUp(answer)
	exchange.closeUnlessRead()
	exchange.handler.answer(exchange.w, exchange.r, answer)
}

// closeUnlessRead has the caller's connection closed after the response unless the request's body has been read to its end.
func (exchange *exchange) closeUnlessRead() {
	if !exchange.body.hasEnded() {
		exchange.w.Header().Set("Connection", "close")
	}
}

// abandon ends the exchange of a caller that has disconnected.
func (exchange *exchange) abandon() {
	wrote := exchange.closeAll(pool.Canceled)
	exchange.dropFallback()
	action := exchange.request.TimedOut(exchange.now(), wrote)
	exchange.logCallerGone(wrote)
	exchange.settle(idempotency.Settlement{NotRun: action.Answer.ExecutionStatus == retry.NotRun})
	// Otherwise net/http sends an empty response with status 200, which a caller that closed only its sending side takes for the server's.
	panic(http.ErrAbortHandler)
}

// settle ends the request's claim, and gives back what a request that was not run used of its team's limit.
func (exchange *exchange) settle(settlement idempotency.Settlement) {
	if settlement.NotRun {
		exchange.handler.returnQuota(exchange.limitedTeam)
	}
	if exchange.claim == nil {
		return
	}
	settlement.Key, settlement.Attempt = exchange.claim.Key, exchange.claim.Attempt
	exchange.handler.Entry.Settle(settlement)
}
