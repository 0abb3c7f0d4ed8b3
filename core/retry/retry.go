// Package retry decides when to retry, hedge or fail one caller's request.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// Backoff and retry limits.
const (
	initialBackoff        = 5 * time.Millisecond // doubles with each attempt, with full jitter
	maxBackoff            = 200 * time.Millisecond
	failureRetryAfter     = 2 * time.Second // retry delay advised to callers after a failure
	maxUnexecutedAttempts = 3               // attempts per request that were not written or that a server refused to execute
	minReturnShare        = 0.1             // of the remaining time, after which a caller returns that servers have rejected, at the earliest
	maxReturnShare        = 0.32            // the same at the latest: callers honour up to a third
	idempotentFinishShare = 0.5             // of the time after which a server is suspect, which is twice what 95 of 100 answers need
)

// ExecutionStatus reports to the caller whether a request without a response from a backend server was executed.
type ExecutionStatus string

// Values of the Sequoiaspan-Outcome header.
const (
	// NotRun means that no byte was sent to a backend server, or that the server refused to execute the request.
	NotRun ExecutionStatus = "not-run"
	// Unknown means that the request may have been executed.
	Unknown ExecutionStatus = "unknown"
	// Ran means that a backend server executed the request, but its response is not available.
	Ran ExecutionStatus = "ran"
)

// Reason is the cause of a response that sequoiaspan generates itself.
type Reason string

// Values of the Sequoiaspan-Reason header.
const (
	ReasonNoRoute      Reason = "no-route"
	ReasonBadRequest   Reason = "bad-request"
	ReasonNoFreeSlot   Reason = "no-free-slot"
	ReasonNoServer     Reason = "no-backend-server"
	ReasonPaused       Reason = "backend-servers-turn-instance-away"
	ReasonRetryBudget  Reason = "retry-budget-spent"
	ReasonQuarantined  Reason = "request-quarantined"
	ReasonRateLimit    Reason = "limit-reached"
	ReasonDeadline     Reason = "deadline-passed"
	ReasonUnreachable  Reason = "backend-server-unreachable"
	ReasonResponseLost Reason = "answer-lost"
	ReasonKeyTakeover  Reason = "idempotency-key-takeover"
	ReasonKeyUsed      Reason = "idempotency-key-used"
	ReasonKeyInvalid   Reason = "idempotency-key-invalid"
	ReasonNoRules      Reason = "no-rules-yet"
	ReasonClosed       Reason = "rule-closed"
	ReasonBodyTooLarge Reason = "body-too-large"
	ReasonStopping     Reason = "instance-stopping"
	ReasonKeyUnknown   Reason = "key-unknown"
	ReasonLimitUnknown Reason = "limit-unknown"
	ReasonOverload     Reason = "instance-overloaded"
	ReasonConnections  Reason = "too-many-connections"
)

// Answer is a final response that sequoiaspan generates itself.
type Answer struct {
	ExecutionStatus ExecutionStatus
	Reason          Reason
	RetryAt         time.Time // earliest useful retry by the caller, zero if retrying cannot help
}

// Step is the kind of an Action.
type Step uint8

// Kinds of actions.
const (
	// Wait for the pending attempts. If the action has a time, call Overdue again at that time.
	Wait Step = iota
	// Ask for a grant at the action's time.
	Ask
	// Finish the request with the action's answer.
	Finish
)

// Action is what the caller of this package does next.
type Action struct {
	Step   Step
	At     time.Time
	Hedge  bool
	Answer Answer
}

// Request is the retry state of one caller's request. The zero value is a non-idempotent request with one attempt.
type Request struct {
	Idempotent  bool
	MaxAttempts int // hedges included
	Deadline    time.Time
	// SpreadReturns advises callers whose request servers have rejected unrun to return spread out and early enough for an answer, rather than
	// after failureRetryAfter.
	SpreadReturns bool

	requested    int // attempts that a grant was requested for
	unsent       int // attempts that were not written to a server
	refused      int // attempts that a server refused to execute
	pending      int // asks and attempts that have not ended
	triedServers []string
	written      bool // a write was allowed; a non-idempotent request has only one
	mayHaveRun   bool // a server may have executed an attempt
	hedged       bool
}

// Start returns the action for a new request.
func (request *Request) Start(now time.Time) Action {
	return request.requestGrant(now, false)
}

// Number returns the number of the latest attempt, from 1. Attempts that were not written to a server do not count.
func (request *Request) Number() int { return max(1, request.requested-request.unsent) }

// AskedBefore reports whether a grant was requested before the latest one.
func (request *Request) AskedBefore() bool { return request.requested > 1 }

// IsLastAttempt reports whether the latest attempt is the last one allowed.
func (request *Request) IsLastAttempt() bool {
	return !request.Idempotent || request.countedAttempts() >= request.MaxAttempts
}

// TriedServers returns the servers granted so far.
func (request *Request) TriedServers() []string { return request.triedServers }

func (request *Request) requestGrant(at time.Time, hedge bool) Action {
	request.requested++
	request.pending++
	return Action{Step: Ask, At: at, Hedge: hedge}
}

// Granted records the server of an attempt.
func (request *Request) Granted(server string) {
	request.triedServers = append(request.triedServers, server)
}

// AllowWrite reports whether an attempt may be written. Call it immediately before the write.
//
// It returns false after the deadline. A non-idempotent request is written only once, unless nothing was sent or the server
// refused to execute it.
func (request *Request) AllowWrite(now time.Time) bool {
	if !now.Before(request.Deadline) || !request.Idempotent && request.written {
		return false
	}
	request.written = true
	return true
}

// Refused returns the action after a grant was refused. A refused hedge may be retried while another attempt is pending.
func (request *Request) Refused(verdict pool.Verdict, retryAt time.Time) Action {
	request.pending--
	if request.pending > 0 {
		request.hedged = false
		request.requested--
		return Action{Step: Wait, At: retryAt}
	}
	return request.finish(refusalReason(verdict), retryAt)
}

func refusalReason(verdict pool.Verdict) Reason {
	switch verdict {
	case pool.NoServer:
		return ReasonNoServer
	case pool.OverBudget:
		return ReasonRetryBudget
	case pool.Quarantined:
		return ReasonQuarantined
	case pool.Limited:
		return ReasonRateLimit
	case pool.Paused:
		return ReasonPaused
	}
	return ReasonNoFreeSlot
}

// Failure describes an attempt that produced no response for the caller.
type Failure struct {
	Wrote      bool // a byte may have been sent to the server
	Refused    bool // the server reported that it did not execute the request
	Replayable bool // the request's body can be sent again
}

// Failed returns the action after a failed attempt.
func (request *Request) Failed(now time.Time, failure Failure, random *rand.Rand) Action {
	request.pending--
	ran := failure.Wrote && !failure.Refused
	switch {
	case !failure.Wrote:
		request.unsent++
	case failure.Refused:
		request.refused++
	}
	request.mayHaveRun = request.mayHaveRun || ran
	if !ran && request.pending == 0 {
		request.written = false
	}
	if request.pending > 0 {
		return Action{Step: Wait}
	}
	if request.canRetry(now, failure) {
		return request.requestGrant(now.Add(request.backoff(random)), false)
	}
	reason := ReasonResponseLost
	if !request.mayHaveRun {
		reason = ReasonUnreachable
	}
	return request.finish(reason, request.returnAt(now, random))
}

// returnAt returns when the caller of a request without an answer may return.
func (request *Request) returnAt(now time.Time, random *rand.Rand) time.Time {
	if !request.SpreadReturns || request.mayHaveRun || request.refused == 0 {
		return now.Add(failureRetryAfter)
	}
	share := minReturnShare + (maxReturnShare-minReturnShare)*random.Float64()
	return now.Add(min(failureRetryAfter, time.Duration(share*float64(request.Deadline.Sub(now)))))
}

// Denied returns the action for a granted attempt that must not be sent. It waits for attempts that are under way.
func (request *Request) Denied(reason Reason, retryAt time.Time) Action {
	request.pending--
	request.unsent++
	if request.pending > 0 {
		return Action{Step: Wait}
	}
	return request.finish(reason, retryAt)
}

// CanFinish reports whether an attempt that is sent now is likely answered before this instance ends, if longer silences than suspectAfter make a
// server suspect. A zero end means that the instance does not end.
func (request *Request) CanFinish(now time.Time, suspectAfter time.Duration, end time.Time) bool {
	if end.IsZero() {
		return true
	}
	if request.Idempotent {
		suspectAfter = time.Duration(idempotentFinishShare * float64(suspectAfter))
	}
	return !now.Add(suspectAfter).After(end)
}

// countedAttempts returns the number of attempts that count towards MaxAttempts: those that servers may have executed.
func (request *Request) countedAttempts() int {
	return request.requested - request.unsent - request.refused
}

func (request *Request) canRetry(now time.Time, failure Failure) bool {
	if request.countedAttempts() >= request.MaxAttempts || request.unsent+request.refused > maxUnexecutedAttempts || !now.Before(request.Deadline) {
		return false
	}
	if !failure.Replayable {
		return false
	}
	return request.Idempotent || !request.mayHaveRun
}

// backoff returns a jittered delay. It starts short, because the first retry goes to another server.
func (request *Request) backoff(random *rand.Rand) time.Duration {
	maxDelay := min(maxBackoff, initialBackoff<<min(request.requested-1, 10))
	return time.Duration(random.Int64N(int64(maxDelay)))
}

// Overdue returns the action when an attempt has no first byte at its suspect time: a hedge, if one is allowed.
func (request *Request) Overdue(now time.Time, replayable bool) Action {
	if !request.Idempotent || request.hedged || !replayable {
		return Action{Step: Wait}
	}
	if request.countedAttempts() >= request.MaxAttempts || !now.Before(request.Deadline) {
		return Action{Step: Wait}
	}
	request.hedged = true
	return request.requestGrant(now, true)
}

// Resume starts another attempt for the rest of an interrupted response. The action's time is the attempt's deadline.
func (request *Request) Resume(now, deadline time.Time) Action {
	request.Deadline = deadline
	action := request.requestGrant(now, false)
	action.At = deadline
	return action
}

// TimedOut returns the action when the request's deadline passes.
func (request *Request) TimedOut(now time.Time, wrote bool) Action {
	request.mayHaveRun = request.mayHaveRun || wrote
	return request.finish(ReasonDeadline, now.Add(failureRetryAfter))
}

// Stopped returns the action when this instance ends before the request does.
func (request *Request) Stopped(now time.Time, wrote bool) Action {
	request.mayHaveRun = request.mayHaveRun || wrote
	return request.finish(ReasonStopping, now)
}

func (request *Request) finish(reason Reason, retryAt time.Time) Action {
	status := NotRun
	if request.mayHaveRun {
		status = Unknown
	}
	return Action{Step: Finish, Answer: Answer{ExecutionStatus: status, Reason: reason, RetryAt: retryAt}}
}
