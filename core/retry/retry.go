// Package retry decides what follows each event in the life of one caller's request.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// Timing of attempts.
const (
	firstBackoff = 5 * time.Millisecond // doubled with each attempt, with full jitter
	mostBackoff  = 200 * time.Millisecond
	unknownRetry = 2 * time.Second // for callers, after a failure
	mostUnrun    = 3               // attempts of one request that no connection was at hand for, or that a server refused unrun
)

// Truth is what a caller is told of a request that has no backend server's answer.
type Truth string

// Truths, as the Sequoiaspan-Outcome header gives them.
const (
	// NotRun: no byte left for a backend server, or the server refused the request unrun.
	NotRun Truth = "not-run"
	// Unknown: the request may have run.
	Unknown Truth = "unknown"
	// Ran: a backend server ran the request and its answer is not at hand.
	Ran Truth = "ran"
)

// Reason says why sequoiaspan answers itself.
type Reason string

// Reasons, as the Sequoiaspan-Reason header gives them.
const (
	ReasonNoRoute     Reason = "no-route"
	ReasonBadRequest  Reason = "bad-request"
	ReasonFull        Reason = "no-free-slot"
	ReasonNoServer    Reason = "no-backend-server"
	ReasonPaused      Reason = "backend-servers-turn-instance-away"
	ReasonBudget      Reason = "retry-budget-spent"
	ReasonQuarantine  Reason = "request-quarantined"
	ReasonLimit       Reason = "limit-reached"
	ReasonDeadline    Reason = "deadline-passed"
	ReasonUnreachable Reason = "backend-server-unreachable"
	ReasonLost        Reason = "answer-lost"
	ReasonKeyTakeover Reason = "idempotency-key-takeover"
	ReasonKeyUsed     Reason = "idempotency-key-used"
	ReasonKeyInvalid  Reason = "idempotency-key-invalid"
	ReasonNoRules     Reason = "no-rules-yet"
	ReasonTooLarge    Reason = "body-too-large"
	ReasonStopping    Reason = "instance-stopping"
)

// Answer is a final answer that sequoiaspan makes itself.
type Answer struct {
	Truth   Truth
	Reason  Reason
	RetryAt time.Time // when a repeat is worthwhile, zero if it is not
}

// Step is what to do next.
type Step uint8

// Steps.
const (
	// Wait for the attempts that are out; with a time, call Overdue again then.
	Wait Step = iota
	// Ask for a grant at the action's time.
	Ask
	// Finish with the action's answer.
	Finish
)

// Action follows an event.
type Action struct {
	Step   Step
	At     time.Time
	Hedge  bool
	Answer Answer
}

// Request is the state of one caller's request; the zero value is a non-idempotent request of one attempt.
type Request struct {
	Idempotent bool
	Attempts   int // most attempts, hedges included
	Deadline   time.Time

	started int      // attempts asked for
	unsent  int      // attempts that reached no server
	unrun   int      // attempts that a server refused unrun
	out     int      // asks and attempts that have not ended
	tried   []string // servers
	spent   bool     // the single write of a non-idempotent request was made
	mayRun  bool     // some attempt may have run
	hedged  bool
}

// Start returns the first action.
func (request *Request) Start(now time.Time) Action {
	return request.ask(now, false)
}

// Number returns the number of the latest attempt, from 1. Those that reached no server are not counted.
func (request *Request) Number() int { return max(1, request.started-request.unsent) }

// IsLast reports whether no attempt is left after the latest one.
func (request *Request) IsLast() bool {
	return !request.Idempotent || request.run() >= request.Attempts
}

// Tried returns the servers that were granted so far.
func (request *Request) Tried() []string { return request.tried }

func (request *Request) ask(at time.Time, hedge bool) Action {
	request.started++
	request.out++
	return Action{Step: Ask, At: at, Hedge: hedge}
}

// Granted records the server of an attempt.
func (request *Request) Granted(server string) {
	request.tried = append(request.tried, server)
}

// Sending must be called right before an attempt is written; false forbids the write.
//
// A non-idempotent request gets one write in its life, unless the server refused it unrun.
func (request *Request) Sending(now time.Time) bool {
	if !now.Before(request.Deadline) || !request.Idempotent && request.spent {
		return false
	}
	request.spent = true
	return true
}

// Refused follows a refusal of a grant. While another attempt is out, a refused hedge may be tried again later.
func (request *Request) Refused(verdict pool.Verdict, retryAt time.Time) Action {
	request.out--
	if request.out > 0 {
		request.hedged = false
		request.started--
		return Action{Step: Wait, At: retryAt}
	}
	return request.finish(reasonOf(verdict), retryAt)
}

func reasonOf(verdict pool.Verdict) Reason {
	switch verdict {
	case pool.NoServer:
		return ReasonNoServer
	case pool.OverBudget:
		return ReasonBudget
	case pool.Quarantined:
		return ReasonQuarantine
	case pool.Limited:
		return ReasonLimit
	case pool.Paused:
		return ReasonPaused
	}
	return ReasonFull
}

// Failure describes an attempt that brought no answer for the caller.
type Failure struct {
	Wrote      bool // a byte may have left for the server
	Refused    bool // the server said that it did not run the request
	Replayable bool // the request's body can be sent again
}

// Failed follows a failed attempt.
func (request *Request) Failed(now time.Time, failure Failure, random *rand.Rand) Action {
	request.out--
	ran := failure.Wrote && !failure.Refused
	switch {
	case !failure.Wrote:
		request.unsent++
	case failure.Refused:
		request.unrun++
	}
	request.mayRun = request.mayRun || ran
	if !ran && request.out == 0 {
		request.spent = false
	}
	if request.out > 0 {
		return Action{Step: Wait}
	}
	if request.mayTryAgain(now, failure) {
		return request.ask(now.Add(request.backoff(random)), false)
	}
	reason := ReasonLost
	if !request.mayRun {
		reason = ReasonUnreachable
	}
	return request.finish(reason, now.Add(unknownRetry))
}

// run returns the number of attempts that servers may have run: what the bound on attempts counts.
func (request *Request) run() int { return request.started - request.unsent - request.unrun }

func (request *Request) mayTryAgain(now time.Time, failure Failure) bool {
	if request.run() >= request.Attempts || request.unsent+request.unrun > mostUnrun || !now.Before(request.Deadline) {
		return false
	}
	if !failure.Replayable {
		return false
	}
	return request.Idempotent || !request.mayRun
}

// backoff returns a jittered pause; the first retry goes to another server and need not wait long.
func (request *Request) backoff(random *rand.Rand) time.Duration {
	most := min(mostBackoff, firstBackoff<<min(request.started-1, 10))
	return time.Duration(random.Int64N(int64(most)))
}

// Overdue follows an attempt without a first byte at its time of suspicion.
func (request *Request) Overdue(now time.Time, replayable bool) Action {
	if !request.Idempotent || request.hedged || !replayable {
		return Action{Step: Wait}
	}
	if request.run() >= request.Attempts || !now.Before(request.Deadline) {
		return Action{Step: Wait}
	}
	request.hedged = true
	return request.ask(now, true)
}

// Resume starts one more attempt for the rest of an answer that broke off; the action's time is its deadline.
func (request *Request) Resume(now, deadline time.Time) Action {
	request.Deadline = deadline
	action := request.ask(now, false)
	action.At = deadline
	return action
}

// TimedOut follows the request's deadline.
func (request *Request) TimedOut(now time.Time, wrote bool) Action {
	request.mayRun = request.mayRun || wrote
	return request.finish(ReasonDeadline, now.Add(unknownRetry))
}

func (request *Request) finish(reason Reason, retryAt time.Time) Action {
	truth := NotRun
	if request.mayRun {
		truth = Unknown
	}
	return Action{Step: Finish, Answer: Answer{Truth: truth, Reason: reason, RetryAt: retryAt}}
}
