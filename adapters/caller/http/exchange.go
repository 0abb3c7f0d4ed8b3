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

// exchange is one caller's request on its way; one goroutine owns it and takes in its events.
type exchange struct {
	handler       *Handler
	w             http.ResponseWriter
	r             *http.Request
	route         *rules.Route
	service       *rules.Service
	slice         home.Slice
	body          *body
	fingerprint   uint64
	request       retry.Request
	claim         *idempotency.Claim // of a non-idempotent request with a key
	writeDeadline time.Time          // deadline to begin writing under the claim
	events        chan event
	out           map[uint64]*attempt
	suspects      []*entry.Grant      // of backend servers that were silent or could not be reached
	bufferedBytes int64               // of answers read before they are passed on
	info          dialect.RequestInfo // the caller's word
	log           requestLog
	fallback      *attempt // a failure that a backend server answered, passed on when nothing better comes
	fallbackRan   bool     // the server ran the request
	startedAt     time.Time
	ctx           context.Context
	cancel        context.CancelFunc
	endMu         sync.Mutex
	ended         bool // events have no taker any more
}

// event is something that happened to an exchange; exactly one field besides the attempt is set.
type event struct {
	decision *pool.Decision // with the grant, if granted
	grant    *entry.Grant
	attempt  *attempt
	response *http.Response
	err      error
	overdue  bool
	buffered *bufferedBody // of an answer that is read before it is passed on
	hedge    bool          // a refused hedge may be tried again
	id       uint64        // of the ask that a decision answers
	askedAt  time.Time     // the time of that ask
}

// eventBufferSize holds the events of all attempts, so that none blocks after the exchange has ended.
const eventBufferSize = 64

func newExchange(handler *Handler, w http.ResponseWriter, r *http.Request, route *rules.Route, service *rules.Service, info dialect.RequestInfo, body *body) *exchange {
	ctx, cancel := context.WithCancel(r.Context())
	exchange := &exchange{
		handler: handler, w: w, r: r, route: route, service: service, info: info, body: body,
		fingerprint: fingerprint(r, &info, body), events: make(chan event, eventBufferSize), out: map[uint64]*attempt{},
		ctx: ctx, cancel: cancel, startedAt: handler.Clock(),
		request: retry.Request{Idempotent: route.Idempotent(r.Method), Attempts: service.Attempts, Deadline: info.Deadline},
	}
	if route.Attempts > 0 {
		exchange.request.Attempts = route.Attempts
	}
	exchange.slice = handler.Entry.SliceFor(service.Name, exchange.fingerprint)
	if key := info.Key; key != "" && !exchange.request.Idempotent {
		exchange.claim = &idempotency.Claim{
			Key: claimKey(service.Name, key), Born: idempotency.Born(key), Attempt: handler.nextAttempt(),
			Digest: exchange.fingerprint, RunBy: info.Deadline,
		}
	}
	return exchange
}

func claimKey(service, key string) idempotency.Key {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return idempotency.Key(sum[:16])
}

// run brings the exchange to its end.
func (exchange *exchange) run() {
	defer exchange.end()
	deadline := time.NewTimer(time.Until(exchange.request.Deadline))
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
			exchange.timeOut()
			return
		case <-exchange.r.Context().Done():
			exchange.abandon()
			return
		}
	}
}

// post passes an event to the exchange, or disposes of what it brings when the exchange has ended.
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

// end ends the exchange and disposes of the events not taken.
func (exchange *exchange) end() {
	exchange.cancel()
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

// discard frees what an event brings.
func (event event) discard() {
	if event.grant != nil {
		event.grant.Done(pool.Report{Outcome: pool.Unused})
	}
	if event.response != nil {
		_ = event.response.Body.Close()
	}
}

func (exchange *exchange) now() time.Time { return exchange.handler.Clock() }

// obtainClaim asks whether the request may run and answers the caller when it may not.
func (exchange *exchange) obtainClaim() bool {
	ctx, cancel := context.WithDeadline(exchange.ctx, exchange.request.Deadline)
	defer cancel()
	verdict := exchange.handler.Entry.Claim(ctx, *exchange.claim)
	if verdict.Answer == idempotency.Run {
		exchange.writeDeadline = verdict.WriteBy
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
	answer := retry.Answer{Truth: retry.NotRun, Reason: retry.ReasonKeyInvalid, RetryAt: verdict.RetryAt}
	switch verdict.Answer {
	case idempotency.NotReady, idempotency.NotOwner:
		answer.Reason = retry.ReasonKeyTakeover
	case idempotency.InProgress, idempotency.MayHaveRun:
		answer.Truth, answer.Reason = retry.Unknown, retry.ReasonKeyUsed
	case idempotency.AlreadyRan:
		answer.Truth, answer.Reason = retry.Ran, retry.ReasonKeyUsed
	}
	return answer
}

// perform carries out an action and reports whether it ended the exchange.
func (exchange *exchange) perform(action retry.Action) bool {
	switch action.Step {
	case retry.Ask:
		ask := pool.Ask{
			Attempt: exchange.handler.nextAttempt(), Team: exchange.info.Team, Idempotent: exchange.request.Idempotent,
			Hedge: action.Hedge, Number: exchange.request.Number(), Exclude: append([]string(nil), exchange.request.Tried()...),
			Deadline: exchange.request.Deadline, Fingerprint: exchange.fingerprint, Priority: exchange.route.Priority, Large: exchange.route.Large, Last: exchange.request.IsLast(),
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

// scheduleHedge tries a refused hedge again at a time.
func (exchange *exchange) scheduleHedge(at time.Time) {
	timer := time.AfterFunc(at.Sub(exchange.now()), func() { exchange.post(event{hedge: true}) })
	context.AfterFunc(exchange.ctx, func() { timer.Stop() })
}

// ask acquires a grant in the background.
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

// handle handles an event and reports whether the exchange has ended.
func (exchange *exchange) handle(e event) bool {
	switch {
	case e.decision != nil:
		return exchange.handleDecision(e)
	case e.hedge:
		return exchange.perform(exchange.request.Overdue(exchange.now(), exchange.body.replayable()))
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

// handleDecision follows a grant or a refusal.
func (exchange *exchange) handleDecision(e event) bool {
	waited := exchange.now().Sub(e.askedAt)
	if e.grant == nil {
		exchange.logRefused(e.decision, waited)
		return exchange.perform(exchange.request.Refused(e.decision.Verdict, e.decision.RetryAt))
	}
	exchange.request.Granted(e.grant.Server)
	exchange.logPlaced(e.grant, waited)
	if exchange.claim != nil && !exchange.now().Before(exchange.writeDeadline) && !exchange.renewClaim(e.grant) {
		return true
	}
	if e.grant.Expired() || !exchange.request.Sending(exchange.now()) {
		e.grant.Done(pool.Report{Outcome: pool.Unused})
		return exchange.perform(exchange.request.Failed(exchange.now(), retry.Failure{}, nil))
	}
	exchange.send(e)
	return false
}

// renewClaim renews a claim whose deadline to write passed while the request was queued.
func (exchange *exchange) renewClaim(grant *entry.Grant) bool {
	if exchange.obtainClaim() {
		return true
	}
	grant.Done(pool.Report{Outcome: pool.Unused})
	return false
}

// timeOut ends the exchange at its deadline.
func (exchange *exchange) timeOut() {
	wrote := exchange.closeAll(pool.TimedOut)
	exchange.finish(exchange.request.TimedOut(exchange.now(), wrote).Answer)
}

// finish answers the caller, and settles the claim by the same truth.
func (exchange *exchange) finish(answer retry.Answer) {
	exchange.closeAll(pool.Canceled)
	exchange.settle(idempotency.Settlement{NotRun: answer.Truth == retry.NotRun})
	if exchange.fallback != nil && (exchange.fallbackRan || !exchange.handler.Dialect.Transparent()) {
		exchange.forwardFallback(exchange.fallback, answer.Truth)
		return
	}
	exchange.dropFallback()
	exchange.logGivenUp(answer)
	exchange.handler.answer(exchange.w, exchange.r, answer)
}

// abandon ends the exchange of a caller that has gone.
func (exchange *exchange) abandon() {
	wrote := exchange.closeAll(pool.Canceled)
	exchange.dropFallback()
	action := exchange.request.TimedOut(exchange.now(), wrote)
	exchange.logCallerGone(wrote)
	exchange.settle(idempotency.Settlement{NotRun: action.Answer.Truth == retry.NotRun})
}

func (exchange *exchange) settle(settlement idempotency.Settlement) {
	if exchange.claim == nil {
		return
	}
	settlement.Key, settlement.Attempt = exchange.claim.Key, exchange.claim.Attempt
	exchange.handler.Entry.Settle(settlement)
}
