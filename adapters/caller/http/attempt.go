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
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// attempt is one try at a backend server.
type attempt struct {
	id        uint64
	grant     *entry.Grant
	progress  backend.Progress
	cancel    context.CancelFunc
	sentAt    time.Time
	firstByte time.Duration
	response  *http.Response
	suspect   *time.Timer
	overdue   bool
}

// send starts an attempt in the background.
func (x *exchange) send(e event) {
	ctx, cancel := context.WithCancel(x.ctx)
	ctx, span := x.handler.Tracer.Start(ctx, "backend")
	a := &attempt{id: e.id, grant: e.grant, cancel: cancel, sentAt: x.now()}
	x.out[a.id] = a
	out := x.outgoing(ctx)
	options := backend.Options{
		Address: e.grant.Address,
		// A connection that has gone silent must not meet a request twice.
		Fresh: e.grant.Fresh || e.grant.Close || !x.request.Idempotent || x.request.Number() > 1,
	}
	a.suspect = time.AfterFunc(e.grant.SuspectAt.Sub(x.now()), func() { x.post(event{attempt: a, overdue: true}) })
	go func() {
		defer span.End()
		response, err := x.handler.Backend.Send(out, options, &a.progress)
		x.post(event{attempt: a, response: response, err: err})
	}()
}

func (x *exchange) outgoing(ctx context.Context) *http.Request {
	out := x.r.Clone(ctx)
	out.Header = outgoingHeader(x.r.WithContext(ctx), x.request.Deadline)
	out.Body = x.body.open()
	out.ContentLength = x.body.length
	if x.body.stream == nil {
		out.ContentLength = int64(len(x.body.small))
		out.TransferEncoding = nil
	}
	out.Close = false
	return out
}

// suspect follows an attempt without a first byte at the time of suspicion.
func (x *exchange) suspect(a *attempt) bool {
	if x.out[a.id] != a {
		return false
	}
	a.overdue = true
	a.grant.Overdue(a.progress.Reused())
	return x.do(x.request.Overdue(x.now(), x.body.replayable()))
}

// failed follows an attempt that brought no answer.
func (x *exchange) failed(a *attempt, err error) bool {
	x.handler.Log.Debug("backend: an attempt failed", zap.String("backend-server", a.grant.Server), zap.Error(err))
	outcome := pool.ConnectFailed
	if a.progress.Wrote() {
		outcome = pool.Reset
	}
	x.close(a, outcome)
	return x.again(retry.Failure{Wrote: a.progress.Wrote(), Replayable: x.body.replayable()})
}

// again decides on another attempt; with none, a refusal of a backend server is passed on.
func (x *exchange) again(failure retry.Failure) bool {
	var action retry.Action
	x.handler.withRandom(func(random *rand.Rand) { action = x.request.Failed(x.now(), failure, random) })
	return x.do(action)
}

// answered follows the header of an answer.
func (x *exchange) answered(a *attempt, response *http.Response) bool {
	a.response, a.firstByte = response, x.now().Sub(a.sentAt)
	a.suspect.Stop()
	refused := backend.RefusedUnrun(response)
	if refused || x.request.Idempotent && response.StatusCode == http.StatusServiceUnavailable {
		return x.shed(a, refused)
	}
	delete(x.out, a.id)
	x.dropSpare()
	x.closeAll(pool.Canceled)
	if x.claim != nil {
		x.settle(idempotency.Settlement{Ran: true, Status: response.StatusCode})
	}
	x.forward(a)
	return true
}

// shed follows a server's refusal: another may take the request, or the refusal is passed on.
func (x *exchange) shed(a *attempt, refused bool) bool {
	delete(x.out, a.id)
	a.grant.Done(pool.Report{Outcome: pool.Shed, Leaving: backend.Leaving(a.response), Reused: a.progress.Reused()})
	x.dropSpare()
	x.spare = a
	return x.again(retry.Failure{Wrote: true, Refused: refused, Replayable: x.body.replayable()})
}

func (x *exchange) dropSpare() {
	if x.spare == nil {
		return
	}
	x.spare.cancel()
	_ = x.spare.response.Body.Close()
	x.spare = nil
}

// close ends an attempt and reports its outcome.
func (x *exchange) close(a *attempt, outcome pool.Outcome) {
	delete(x.out, a.id)
	a.suspect.Stop()
	a.cancel()
	a.grant.Done(pool.Report{Outcome: outcome, Reused: a.progress.Reused()})
}

// closeAll ends all attempts that are out. One that is past its time of suspicion keeps its evidence.
func (x *exchange) closeAll(outcome pool.Outcome) {
	for _, a := range x.out {
		x.close(a, outcome)
	}
}
