// Package dialect is the vocabulary in which callers, sequoiaspan and backend servers tell each other about a request.
package dialect

import (
	"net/http"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/retry"
)

// Dialect reads and writes what HTTP itself has no words for.
type Dialect interface {
	// Terms returns what a caller says of its request.
	Terms(now time.Time, request *http.Request) (Terms, error)
	// Prepare turns the caller's header into that of an attempt.
	Prepare(header http.Header, attempt Attempt)
	// Reply returns what a backend server says of an attempt, and of itself, beside its status. With an error some of it makes
	// no sense and is left out.
	Reply(now time.Time, terms Terms, response *http.Response) (Reply, error)
	// Answer completes the header of an answer that sequoiaspan makes itself, and returns its status.
	Answer(now time.Time, header http.Header, answer retry.Answer) int
	// Healthy reports whether the answer to a health check comes from the named server; an empty name stands for any.
	Healthy(server string, response *http.Response) bool
	// Transparent reports whether hops leave no trace in the headers, and refusals of backend servers are replaced by
	// sequoiaspan's own answers.
	Transparent() bool
}

// Terms are what a caller says of its request.
type Terms struct {
	ID       string    // empty if callers do not number their requests
	Deadline time.Time // zero for none
	Team     string
	Key      string // idempotency key
}

// Attempt is what a backend server is told of an attempt.
type Attempt struct {
	Now      time.Time
	Deadline time.Time
	Server   string // that the attempt is meant for
}

// Reply is what a backend server says of an attempt.
type Reply struct {
	Refused bool // it did not and will not run the request
	Leaving bool // it takes no new work
	Moved   bool // another server has its address now
	Foreign bool // the answer belongs to another request
	// PausedUntil is until when the server wants no request from this instance, zero if it did not say so.
	PausedUntil time.Time
}
