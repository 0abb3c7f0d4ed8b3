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
	handler     *Handler
	w           http.ResponseWriter
	r           *http.Request
	route       *rules.Route
	service     *rules.Service
	slice       home.Slice
	body        *body
	fingerprint uint64
	request     retry.Request
	claim       *idempotency.Claim // of a non-idempotent request with a key
	writeBy     time.Time          // deadline to begin writing under the claim
	events      chan event
	out         map[uint64]*attempt
	doubtful    []*entry.Grant      // of backend servers that were silent or could not be reached
	heldBytes   int64               // of answers read before they are passed on
	terms       dialect.RequestInfo // the caller's word
	log         requestLog
	spare       *attempt // a failure that a backend server answered, passed on when nothing better comes
	spareRan    bool     // the server ran the request
	startedAt   time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	endMu       sync.Mutex
	ended       bool // events have no taker any more
}

// event is something that happened to an exchange; exactly one field besides the attempt is set.
type event struct {
	decision *pool.Decision // with the grant, if granted
	grant    *entry.Grant
	attempt  *attempt
	response *http.Response
	err      error
	overdue  bool
	held     *heldBody // of an answer that is read before it is passed on
	hedge    bool      // a refused hedge may be tried again
	id       uint64    // of the ask that a decision answers
	askedAt  time.Time // the time of that ask
}

// eventRoom holds the events of all attempts, so that none blocks after the exchange has ended.
const eventRoom = 64

func newExchange(handler *Handler, w http.ResponseWriter, r *http.Request, route *rules.Route, service *rules.Service, terms dialect.RequestInfo, body *body) *exchange {
	ctx, cancel := context.WithCancel(r.Context())
	exchange := &exchange{
		handler: handler, w: w, r: r, route: route, service: service, terms: terms, body: body,
		fingerprint: fingerprint(r, &terms, body), events: make(chan event, eventRoom), out: map[uint64]*attempt{},
		ctx: ctx, cancel: cancel, startedAt: handler.Clock(),
		request: retry.Request{Idempotent: route.Idempotent(r.Method), MaxAttempts: service.MaxAttempts, Deadline: terms.Deadline},
	}
	if route.MaxAttempts > 0 {
		exchange.request.MaxAttempts = route.MaxAttempts
	}
	exchange.slice = handler.Entry.SliceFor(service.Name, exchange.fingerprint)
	if key := terms.Key; key != "" && !exchange.request.Idempotent {
		exchange.claim = &idempotency.Claim{
			Key: claimKey(service.Name, key), CreatedAt: idempotency.CreatedAt(key), Attempt: handler.nextAttempt(),
			Digest: exchange.fingerprint, Deadline: terms.Deadline,
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
	if exchange.claim != nil && !exchange.claimFirst() {
		return
	}
	exchange.do(exchange.request.Start(exchange.now()))
	for {
		select {
		case e := <-exchange.events:
			if exchange.take(e) {
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
		e.dispose()
	}
}

// end ends the exchange and disposes of the events not taken.
func (exchange *exchange) end() {
	exchange.cancel()
	exchange.handler.held.Add(-exchange.heldBytes)
	exchange.endMu.Lock()
	exchange.ended = true
	exchange.endMu.Unlock()
	for {
		select {
		case e := <-exchange.events:
			e.dispose()
		default:
			return
		}
	}
}

// dispose frees what an event brings.
func (event event) dispose() {
	if event.grant != nil {
		event.grant.Done(pool.Report{Outcome: pool.Unused})
	}
	if event.response != nil {
		_ = event.response.Body.Close()
	}
}

func (exchange *exchange) now() time.Time { return exchange.handler.Clock() }

// claimFirst asks whether the request may run and answers the caller when it may not.
func (exchange *exchange) claimFirst() bool {
	ctx, cancel := context.WithDeadline(exchange.ctx, exchange.request.Deadline)
	defer cancel()
	verdict := exchange.handler.Entry.Claim(ctx, *exchange.claim)
	if verdict.Answer == idempotency.Allowed {
		exchange.writeBy = verdict.WriteDeadline
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

// do carries out an action and reports whether it ended the exchange.
func (exchange *exchange) do(action retry.Action) bool {
	switch action.Step {
	case retry.Ask:
		ask := pool.Ask{
			Attempt: exchange.handler.nextAttempt(), Team: exchange.terms.Team, Idempotent: exchange.request.Idempotent,
			Hedge: action.Hedge, Number: exchange.request.Number(), Exclude: append([]string(nil), exchange.request.TriedServers()...),
			Deadline: exchange.request.Deadline, Fingerprint: exchange.fingerprint, Priority: exchange.route.Priority, Large: exchange.route.Large, Last: exchange.request.IsLastAttempt(),
		}
		go exchange.ask(ask, action.At)
	case retry.Wait:
		if !action.At.IsZero() {
			exchange.hedgeAt(action.At)
		}
	case retry.Finish:
		exchange.finish(action.Answer)
		return true
	}
	return false
}

// hedgeAt tries a refused hedge again at a time.
func (exchange *exchange) hedgeAt(at time.Time) {
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

// take handles an event and reports whether the exchange has ended.
func (exchange *exchange) take(e event) bool {
	switch {
	case e.decision != nil:
		return exchange.decided(e)
	case e.hedge:
		return exchange.do(exchange.request.Overdue(exchange.now(), exchange.body.replayable()))
	case e.overdue:
		return exchange.suspect(e.attempt)
	case exchange.out[e.attempt.id] != e.attempt:
		e.dispose()
		return false
	case e.held != nil:
		return exchange.wasHeld(e.attempt, e.held)
	case e.err != nil:
		return exchange.failed(e.attempt, e.err)
	}
	return exchange.answered(e.attempt, e.response)
}

// decided follows a grant or a refusal.
func (exchange *exchange) decided(e event) bool {
	waited := exchange.now().Sub(e.askedAt)
	if e.grant == nil {
		exchange.logRefused(e.decision, waited)
		return exchange.do(exchange.request.Refused(e.decision.Verdict, e.decision.RetryAt))
	}
	exchange.request.Granted(e.grant.Server)
	exchange.logPlaced(e.grant, waited)
	if exchange.claim != nil && !exchange.now().Before(exchange.writeBy) && !exchange.claimAgain(e.grant) {
		return true
	}
	if e.grant.Expired() || !exchange.request.AllowWrite(exchange.now()) {
		e.grant.Done(pool.Report{Outcome: pool.Unused})
		return exchange.do(exchange.request.Failed(exchange.now(), retry.Failure{}, nil))
	}
	exchange.send(e)
	return false
}

// claimAgain renews a claim whose deadline to write passed while the request was queued.
func (exchange *exchange) claimAgain(grant *entry.Grant) bool {
	if exchange.claimFirst() {
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
	exchange.settle(idempotency.Settlement{NotRun: answer.ExecutionStatus == retry.NotRun})
	if exchange.spare != nil && (exchange.spareRan || !exchange.handler.Dialect.Transparent()) {
		exchange.passOn(exchange.spare, answer.ExecutionStatus)
		return
	}
	exchange.dropSpare()
	exchange.logGivenUp(answer)
	exchange.handler.answer(exchange.w, exchange.r, answer)
}

// abandon ends the exchange of a caller that has gone.
func (exchange *exchange) abandon() {
	wrote := exchange.closeAll(pool.Canceled)
	exchange.dropSpare()
	action := exchange.request.TimedOut(exchange.now(), wrote)
	exchange.logLeft(wrote)
	exchange.settle(idempotency.Settlement{NotRun: action.Answer.ExecutionStatus == retry.NotRun})
}

func (exchange *exchange) settle(settlement idempotency.Settlement) {
	if exchange.claim == nil {
		return
	}
	settlement.Key, settlement.Attempt = exchange.claim.Key, exchange.claim.Attempt
	exchange.handler.Entry.Settle(settlement)
}
