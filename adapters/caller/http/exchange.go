package http

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"
	"time"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/retry"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
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
	spare       *attempt // a refusal of a backend server, passed on when nothing better comes
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
	hedge    bool   // a refused hedge may be tried again
	id       uint64 // of the ask that a decision answers
}

// eventRoom holds the events of all attempts, so that none blocks after the exchange has ended.
const eventRoom = 64

func newExchange(handler *Handler, w http.ResponseWriter, r *http.Request, route *rules.Route, service *rules.Service, deadline time.Time, body *body) *exchange {
	ctx, cancel := context.WithCancel(r.Context())
	x := &exchange{
		handler: handler, w: w, r: r, route: route, service: service, body: body,
		fingerprint: fingerprint(r, body), events: make(chan event, eventRoom), out: map[uint64]*attempt{},
		ctx: ctx, cancel: cancel,
		request: retry.Request{Idempotent: route.Idempotent(r.Method), Attempts: service.Attempts, Deadline: deadline},
	}
	x.slice = handler.Entry.SliceFor(route.Service, x.fingerprint)
	if key := r.Header.Get(backend.KeyHeader); key != "" && !x.request.Idempotent {
		x.claim = &idempotency.Claim{
			Key: claimKey(route.Service, key), Born: idempotency.Born(key), Attempt: handler.nextAttempt(),
			Digest: x.fingerprint, RunBy: deadline,
		}
	}
	return x
}

func claimKey(service, key string) idempotency.Key {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return idempotency.Key(sum[:16])
}

// run brings the exchange to its end.
func (x *exchange) run() {
	defer x.end()
	deadline := time.NewTimer(time.Until(x.request.Deadline))
	defer deadline.Stop()
	if x.claim != nil && !x.claimFirst() {
		return
	}
	x.do(x.request.Start(x.now()))
	for {
		select {
		case e := <-x.events:
			if x.take(e) {
				return
			}
		case <-deadline.C:
			x.timeOut()
			return
		case <-x.r.Context().Done():
			x.abandon(pool.Canceled)
			return
		}
	}
}

// post passes an event to the exchange, or disposes of what it brings when the exchange has ended.
func (x *exchange) post(e event) {
	x.endMu.Lock()
	ended := x.ended
	if !ended {
		x.events <- e
	}
	x.endMu.Unlock()
	if ended {
		e.dispose()
	}
}

// end ends the exchange and disposes of the events not taken.
func (x *exchange) end() {
	x.cancel()
	x.endMu.Lock()
	x.ended = true
	x.endMu.Unlock()
	for {
		select {
		case e := <-x.events:
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

func (x *exchange) now() time.Time { return x.handler.Clock() }

// claimFirst asks whether the request may run and answers the caller when it may not.
func (x *exchange) claimFirst() bool {
	ctx, cancel := context.WithDeadline(x.ctx, x.request.Deadline)
	defer cancel()
	verdict := x.handler.Entry.Claim(ctx, *x.claim)
	if verdict.Answer == idempotency.Run {
		x.writeBy = verdict.WriteBy
		return true
	}
	if verdict.Answer == idempotency.NotReady {
		x.settle(idempotency.Settlement{NotRun: true})
	}
	x.handler.answer(x.w, x.r, claimAnswer(verdict))
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

// do carries out an action and reports whether it ended the exchange.
func (x *exchange) do(action retry.Action) bool {
	switch action.Step {
	case retry.Ask:
		ask := pool.Ask{
			Attempt: x.handler.nextAttempt(), Team: x.r.Header.Get(backend.TeamHeader), Idempotent: x.request.Idempotent,
			Hedge: action.Hedge, Number: x.request.Number(), Exclude: append([]string(nil), x.request.Tried()...),
			Deadline: x.request.Deadline, Fingerprint: x.fingerprint,
		}
		go x.ask(ask, action.At)
	case retry.Wait:
		if !action.At.IsZero() {
			x.hedgeAt(action.At)
		}
	case retry.Finish:
		x.finish(action.Answer)
		return true
	}
	return false
}

// hedgeAt tries a refused hedge again at a time.
func (x *exchange) hedgeAt(at time.Time) {
	timer := time.AfterFunc(at.Sub(x.now()), func() { x.post(event{hedge: true}) })
	context.AfterFunc(x.ctx, func() { timer.Stop() })
}

// ask acquires a grant in the background.
func (x *exchange) ask(ask pool.Ask, at time.Time) {
	if pause := at.Sub(x.now()); pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-x.ctx.Done():
			return
		}
	}
	grant, decision := x.handler.Entry.Acquire(x.ctx, x.slice, ask)
	x.post(event{id: ask.Attempt, grant: grant, decision: &decision})
}

// take handles an event and reports whether the exchange has ended.
func (x *exchange) take(e event) bool {
	switch {
	case e.decision != nil:
		return x.decided(e)
	case e.hedge:
		return x.do(x.request.Overdue(x.now(), x.body.replayable()))
	case e.overdue:
		return x.suspect(e.attempt)
	case x.out[e.attempt.id] != e.attempt:
		e.dispose()
		return false
	case e.err != nil:
		return x.failed(e.attempt, e.err)
	}
	return x.answered(e.attempt, e.response)
}

// decided follows a grant or a refusal.
func (x *exchange) decided(e event) bool {
	if e.grant == nil {
		return x.do(x.request.Refused(e.decision.Verdict, e.decision.RetryAt))
	}
	x.request.Granted(e.grant.Server)
	if x.claim != nil && !x.now().Before(x.writeBy) && !x.claimAgain(e.grant) {
		return true
	}
	if !x.request.Sending(x.now()) {
		e.grant.Done(pool.Report{Outcome: pool.Unused})
		return x.do(x.request.Failed(x.now(), retry.Failure{}, nil))
	}
	x.send(e)
	return false
}

// claimAgain renews a claim whose deadline to write passed while the request was queued.
func (x *exchange) claimAgain(grant *entry.Grant) bool {
	if x.claimFirst() {
		return true
	}
	grant.Done(pool.Report{Outcome: pool.Unused})
	return false
}

// timeOut ends the exchange at its deadline.
func (x *exchange) timeOut() {
	wrote := false
	for _, a := range x.out {
		wrote = wrote || a.progress.Wrote()
	}
	x.closeAll(pool.TimedOut)
	x.finish(x.request.TimedOut(x.now(), wrote).Answer)
}

// finish answers the caller, and settles the claim by the same truth.
func (x *exchange) finish(answer retry.Answer) {
	x.closeAll(pool.Canceled)
	x.settle(idempotency.Settlement{NotRun: answer.Truth == retry.NotRun})
	if x.spare != nil {
		x.passOn(x.spare)
		return
	}
	x.handler.answer(x.w, x.r, answer)
}

// abandon ends the exchange of a caller that has gone.
func (x *exchange) abandon(outcome pool.Outcome) {
	wrote := false
	for _, a := range x.out {
		wrote = wrote || a.progress.Wrote()
	}
	x.closeAll(outcome)
	x.dropSpare()
	action := x.request.TimedOut(x.now(), wrote)
	x.settle(idempotency.Settlement{NotRun: action.Answer.Truth == retry.NotRun})
}

func (x *exchange) settle(settlement idempotency.Settlement) {
	if x.claim == nil {
		return
	}
	settlement.Key, settlement.Attempt = x.claim.Key, x.claim.Attempt
	x.handler.Entry.Settle(settlement)
}
