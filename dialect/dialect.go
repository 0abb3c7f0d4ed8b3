// Package dialect defines the HTTP headers that callers, sequoiaspan and backend servers exchange about a request.
package dialect

import (
	"net/http"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/retry"
)

// Dialect reads and writes request metadata that standard HTTP does not define, and maps answers to statuses.
type Dialect interface {
	// ParseRequest returns the metadata of a caller's request. With an error, the deadline is not usable.
	ParseRequest(now time.Time, request *http.Request) (RequestInfo, error)
	// PrepareAttempt changes a copy of the caller's header into the header of an attempt.
	PrepareAttempt(header http.Header, attempt Attempt)
	// ParseResponse returns the metadata of a backend server's response. With an error, malformed headers are ignored and the other
	// fields are valid.
	ParseResponse(now time.Time, info RequestInfo, response *http.Response) (ResponseInfo, error)
	// PrepareAnswer completes the header of an answer that sequoiaspan generates itself, and returns its status.
	PrepareAnswer(now time.Time, header http.Header, answer retry.Answer) int
	// IsHealthy reports whether the response to a health check is healthy and from the named server. An empty name matches any server.
	IsHealthy(server string, response *http.Response) bool
	// DeadlineCoversBody reports whether a request's deadline is for the last byte of its response, and not for the first one.
	DeadlineCoversBody() bool
	// Transparent reports whether the proxy adds no forwarding headers (Via, Forwarded), and replaces refusals of backend servers
	// by its own answers.
	Transparent() bool
	// ExactPaths reports whether routes are matched by paths as callers send them, without decoding or cleaning, and no path is reserved for
	// sequoiaspan's own answers.
	ExactPaths() bool
}

// RequestInfo is the metadata of a caller's request.
type RequestInfo struct {
	ID       string    // empty if the caller sent none
	Deadline time.Time // zero for none
	// Team is the team that the caller claims to be. It is replaced by the team of the caller's key where the rules require keys.
	Team           string
	Credential     Credential
	IdempotencyKey string
}

// Attempt is the metadata that a backend server receives with an attempt.
type Attempt struct {
	Now      time.Time
	Deadline time.Time
	Server   string // that the attempt is addressed to, empty if unknown
	// KeysRequired is set where callers are identified by their keys: Team replaces any team that the caller claims, and the key
	// is removed.
	KeysRequired bool
	Team         string
}

// IdentifyTeam replaces the team in a header of an attempt, and removes the caller's key, if the rules require keys.
func (attempt *Attempt) IdentifyTeam(header http.Header, teamHeader string) {
	if !attempt.KeysRequired {
		return
	}
	removeCredential(header)
	header.Del(teamHeader)
	if attempt.Team != "" {
		header.Set(teamHeader, attempt.Team)
	}
}

// ResponseInfo is the metadata of a backend server's response to an attempt.
type ResponseInfo struct {
	Refused     bool // the server did not and will not run the request
	Leaving     bool // the server is draining and accepts no new requests
	Misdirected bool // another server uses the address now
	Mismatched  bool // the response belongs to another request
	// Unidentified means that the response does not tell which request it belongs to: on a kept connection it may be an earlier one.
	Unidentified bool
	// Unsigned means that the response reports a success without what shows that it is the server's own: callers must not get it.
	Unsigned bool
	// Unconfirmed means that the response's status promises callers that the request was not and will not be run, and that the server does not
	// say so: callers of non-idempotent requests must not get it.
	Unconfirmed bool
	// PausedUntil is the time until which this instance should send the server no requests, zero for no limit.
	PausedUntil time.Time
}
