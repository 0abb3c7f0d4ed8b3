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
	id        uint64
	grant     *entry.Grant
	progress  backend.Progress
	cancel    context.CancelFunc
	sentAt    time.Time
	firstByte time.Duration
	response  *http.Response
	said      dialect.ResponseInfo
	held      *heldBody // the whole body, if it was read before the answer is passed on
	suspect   *time.Timer
	overdue   bool
	returned  chan struct{} // closed when nothing more can be written
}

// send starts an attempt in the background.
func (exchange *exchange) send(e event) {
	ctx, cancel := context.WithCancel(exchange.ctx)
	ctx, span := exchange.handler.Tracer.Start(ctx, "backend")
	a := &attempt{id: e.id, grant: e.grant, cancel: cancel, sentAt: exchange.now(), returned: make(chan struct{})}
	exchange.out[a.id] = a
	out := exchange.outgoing(ctx, e.grant)
	options := backend.Options{
		Address: e.grant.Address,
		// A connection that has gone silent must not meet a request twice.
		Fresh: e.grant.Fresh || e.grant.Close || !exchange.request.Idempotent || exchange.request.Number() > 1,
	}
	a.suspect = time.AfterFunc(e.grant.SuspectAt.Sub(exchange.now()), func() { exchange.post(event{attempt: a, overdue: true}) })
	go func() {
		defer span.End()
		response, err := exchange.handler.Backend.Send(out, options, &a.progress)
		close(a.returned)
		exchange.post(event{attempt: a, response: response, err: err})
	}()
}

func (exchange *exchange) outgoing(ctx context.Context, grant *entry.Grant) *http.Request {
	out := exchange.r.Clone(ctx)
	told := dialect.Attempt{Now: exchange.now(), Deadline: exchange.request.Deadline, Server: grant.Server}
	out.Header = exchange.handler.outgoingHeader(exchange.r.WithContext(ctx), told)
	out.Body = exchange.body.open()
	out.ContentLength = exchange.body.length
	if exchange.body.stream == nil {
		out.ContentLength = int64(len(exchange.body.small))
		out.TransferEncoding = nil
	}
	out.Close = false
	return out
}

// suspect follows an attempt without a first byte at the time of suspicion.
func (exchange *exchange) suspect(a *attempt) bool {
	if exchange.out[a.id] != a {
		return false
	}
	a.overdue = true
	exchange.logSilent(a)
	exchange.doubtful = append(exchange.doubtful, a.grant)
	a.grant.ReportOverdue(a.progress.Reused())
	return exchange.do(exchange.request.Overdue(exchange.now(), exchange.body.replayable()))
}

// failed follows an attempt that brought no answer.
func (exchange *exchange) failed(a *attempt, err error) bool {
	outcome := pool.Reset
	if !a.progress.Wrote() {
		outcome = pool.ConnectFailed
		exchange.doubtful = append(exchange.doubtful, a.grant)
	}
	exchange.logFailed(a, outcome, err)
	exchange.close(a, outcome)
	return exchange.again(retry.Failure{Wrote: a.progress.Wrote(), Replayable: exchange.body.replayable()})
}

// again decides on another attempt; with none, a refusal of a backend server is passed on.
func (exchange *exchange) again(failure retry.Failure) bool {
	var action retry.Action
	exchange.handler.withRandom(func(random *rand.Rand) { action = exchange.request.Failed(exchange.now(), failure, random) })
	return exchange.do(action)
}

// answered follows the header of an answer.
func (exchange *exchange) answered(a *attempt, response *http.Response) bool {
	a.response, a.firstByte = response, exchange.now().Sub(a.sentAt)
	exchange.handler.firstBytes.Observe(a.firstByte)
	exchange.hear(a)
	if a.said.Mismatched {
		_ = response.Body.Close()
		return exchange.failed(a, errForeign)
	}
	a.suspect.Stop()
	if a.said.Refused || exchange.request.Idempotent && response.StatusCode == http.StatusServiceUnavailable {
		return exchange.shed(a, a.said.Refused)
	}
	if exchange.holds(response) {
		go exchange.hold(a)
		return false
	}
	return exchange.deliver(a)
}

// hear takes in what a server says of the attempt and of itself. What comes with an answer to another request is left out.
func (exchange *exchange) hear(a *attempt) {
	said, err := exchange.handler.Dialect.ParseResponse(exchange.now(), exchange.terms, a.response)
	a.said = said
	if err != nil {
		exchange.explain("request: a header of a backend server makes no sense and is left out", zap.String("backend-server", a.grant.Server), zap.Error(err))
	}
	if !said.Mismatched {
		a.grant.Hear(entry.Notice{Leaving: said.Leaving, PausedUntil: said.PausedUntil})
	}
}

// deliver passes an answer on and ends the exchange.
func (exchange *exchange) deliver(a *attempt) bool {
	delete(exchange.out, a.id)
	exchange.dropSpare()
	exchange.verifyDoubtful(a)
	exchange.closeAll(pool.Canceled)
	if exchange.claim != nil {
		exchange.settle(idempotency.Settlement{Ran: true, Status: a.response.StatusCode})
	}
	exchange.logAnswered(a)
	exchange.forward(a)
	return true
}

// verifyDoubtful has other instances verify the servers that did badly with a request that one has now answered in time:
// the cause is not the request itself.
func (exchange *exchange) verifyDoubtful(answered *attempt) {
	if exchange.handler.Dialect.Transparent() || len(exchange.doubtful) == 0 || answered.overdue || backend.IsServerError(answered.response.StatusCode) {
		return
	}
	method := exchange.r.Method
	if method != http.MethodGet && method != http.MethodHead || exchange.body.length != 0 {
		return
	}
	copied := entry.RequestCopy{
		Method: method, Target: exchange.r.URL.RequestURI(), Host: exchange.r.Host,
	}
	for _, grant := range exchange.doubtful {
		told := dialect.Attempt{Now: exchange.now(), Deadline: exchange.request.Deadline}
		copied.Header = exchange.handler.outgoingHeader(exchange.r, told)
		grant.RequestVerification(copied, exchange.handler.nextAttempt)
	}
}

// shed follows a server's refusal: another may take the request, or the refusal is passed on.
func (exchange *exchange) shed(a *attempt, refused bool) bool {
	delete(exchange.out, a.id)
	exchange.logFailed(a, pool.Shed, nil)
	a.grant.Done(pool.Report{Outcome: pool.Shed, Leaving: a.said.Leaving || a.said.Misdirected, PausedUntil: a.said.PausedUntil, Reused: a.progress.Reused()})
	exchange.keepSpare(a, !refused)
	return exchange.again(retry.Failure{Wrote: true, Refused: refused, Replayable: exchange.body.replayable()})
}

// keepSpare keeps a failure that a server answered; one that ran the request goes before a refusal.
func (exchange *exchange) keepSpare(a *attempt, ran bool) {
	if exchange.spare != nil && exchange.spareRan && !ran {
		a.cancel()
		_ = a.response.Body.Close()
		return
	}
	exchange.dropSpare()
	exchange.spare, exchange.spareRan = a, ran
}

func (exchange *exchange) dropSpare() {
	if exchange.spare == nil {
		return
	}
	exchange.spare.cancel()
	_ = exchange.spare.response.Body.Close()
	exchange.spare = nil
}

// close ends an attempt and reports its outcome.
func (exchange *exchange) close(a *attempt, outcome pool.Outcome) {
	delete(exchange.out, a.id)
	a.suspect.Stop()
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

// returnPatience bounds the wait for a cancelled attempt to return.
const returnPatience = time.Second

// mayHaveWritten reports, of a cancelled attempt, whether a byte may have left.
func (attempt *attempt) mayHaveWritten() bool {
	timer := time.NewTimer(returnPatience)
	defer timer.Stop()
	select {
	case <-attempt.returned:
		return attempt.progress.Wrote()
	case <-timer.C:
		return true
	}
}
