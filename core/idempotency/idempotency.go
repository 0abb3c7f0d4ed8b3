// Package idempotency records the idempotency keys of non-idempotent requests, so that each request runs at most once.
//
// Keys are hashed to partitions. A table in the platform's store, updated by compare-and-swap, assigns
// one owner to each partition. An owner serves a partition only after every earlier owner has handed
// over its keys or is known to have stopped. Functions take the current time as an argument and do no I/O.
package idempotency

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// PartitionCount is the number of key partitions.
const PartitionCount = 1024

// Bounds required for at-most-once execution; docs/IDEMPOTENCY.md derives FenceDuration from them.
const (
	// Retention is how long a key is kept.
	Retention = 24 * time.Hour
	// LeaseDuration is how long an owner may serve after it last observed itself in the table or the instance list.
	LeaseDuration = 10 * time.Second
	// WriteStartTimeout is how long after sending a claim an entry instance may start to write the request.
	WriteStartTimeout = 2 * time.Second
	// MaxClockSkew bounds the clock difference between any two instances, and between instances and callers that create keys.
	MaxClockSkew = 2 * time.Second
	// FenceDuration is how long an earlier owner must be absent from the instance list before its partitions
	// are served without its keys. It covers that owner's lease, the last write it allowed, and clock skew.
	FenceDuration = LeaseDuration + WriteStartTimeout + 2*MaxClockSkew
)

// Key is the digest of a service's name and a caller's idempotency key.
type Key [16]byte

// Partition returns the partition of the key.
func (key Key) Partition() int {
	return int(binary.BigEndian.Uint64(key[8:]) % PartitionCount)
}

// CreatedAt returns the creation time encoded in a UUIDv7 idempotency key, or the zero time for any other key.
func CreatedAt(text string) time.Time {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	milliseconds := int64(binary.BigEndian.Uint64(id[:8]) >> 16)
	return time.UnixMilli(milliseconds)
}

// State is the execution state of a key's request.
type State uint8

// States of a key.
const (
	// Running requests have been allowed to run and have no settlement yet.
	Running State = iota
	// Ran requests were answered by a backend server.
	Ran
	// Unknown requests may have run.
	Unknown
)

// Record is the stored state of one key.
type Record struct {
	Key      Key
	Attempt  uint64 // attempt that was allowed to run
	Digest   uint64 // digest of the request, to detect a different request with the same key
	State    State
	Status   int       // HTTP status of the backend server's response, if State is Ran
	Deadline time.Time // deadline of a running request; without a settlement by then, the request may have run
	Expires  time.Time
}

// Claim asks whether a request may run.
type Claim struct {
	Epoch     uint64 // epoch at which the owner got the partition, as known to the claiming entry instance
	Key       Key
	CreatedAt time.Time // zero if the key does not contain its creation time
	Attempt   uint64    // the same in every retry of this claim
	Digest    uint64
	Deadline  time.Time // deadline of the request
}

// Answer is an owner's decision on a claim.
type Answer uint8

// Answers to a claim.
const (
	// Allowed: the request may be written once, if the write starts before the write deadline.
	Allowed Answer = iota
	// InProgress: an earlier request with this key is running or its outcome is not known yet.
	InProgress
	// AlreadyRan: an earlier request with this key was answered by a backend server.
	AlreadyRan
	// MayHaveRun: an earlier request with this key may have run.
	MayHaveRun
	// RequestMismatch: the key was used for a different request; this one was not run.
	RequestMismatch
	// ClockAhead: the key's creation time is in the future; the request was not run.
	ClockAhead
	// NotReady: this owner is taking over the partition; the request was not run.
	NotReady
	// NotOwner: the partition has another owner; the request was not run.
	NotOwner
)

// NotRun reports whether the answer guarantees that the claimed request was not run.
func (answer Answer) NotRun() bool {
	return answer >= RequestMismatch
}

// Verdict answers a claim.
type Verdict struct {
	Answer        Answer
	WriteDeadline time.Time // deadline to start writing, if Allowed
	RetryAt       time.Time // earliest useful retry; zero if a retry cannot help
	Status        int       // HTTP status of the earlier response, if AlreadyRan
}

// Settlement reports the outcome of a claim to the key's owner.
type Settlement struct {
	Key     Key
	Attempt uint64
	NotRun  bool // nothing was written; the key can be claimed again
	Ran     bool // the backend server answered
	Status  int
}

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindMalformed Kind = "malformed"
)

// Error is a failure of this package's operations.
type Error struct {
	Op     string
	Kind   Kind
	Reason string
}

// Error returns the operation, kind and reason.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Reason) }
