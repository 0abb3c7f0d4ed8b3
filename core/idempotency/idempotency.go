// Package idempotency remembers the idempotency keys of non-idempotent requests, so that each runs at most once.
//
// Keys are hashed to partitions. A table in the platform's store, changed by compare-and-swap, names
// one owner for each partition. An owner serves a partition only after every earlier owner has handed
// over its keys or is known to have stopped. All functions take the time; none does I/O.
package idempotency

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Partitions is the number of key partitions.
const Partitions = 1024

// Bounds that the at-most-once argument rests on; docs/IDEMPOTENCY.md derives FenceLength from them.
const (
	// Retention is how long a key is remembered.
	Retention = 24 * time.Hour
	// SightLength is how long an owner serves after its last sight of itself in the table or the list.
	SightLength = 10 * time.Second
	// WriteLength is how long after asking an entry instance may begin to write a claimed request.
	WriteLength = 2 * time.Second
	// Skew bounds the difference between the clocks of any two instances, and of callers that make keys.
	Skew = 2 * time.Second
	// FenceLength is how long after a silent owner was dropped its partitions stay unserved.
	FenceLength = SightLength + WriteLength + 2*Skew
)

// Key is the digest of a service's name and a caller's idempotency key.
type Key [16]byte

// Partition returns the partition of the key.
func (key Key) Partition() int {
	return int(binary.BigEndian.Uint64(key[8:]) % Partitions)
}

// Born returns the creation time within a UUIDv7 idempotency key, or the zero time for any other key.
func Born(text string) time.Time {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	milliseconds := int64(binary.BigEndian.Uint64(id[:8]) >> 16)
	return time.UnixMilli(milliseconds)
}

// State is what is known of a key's request.
type State uint8

// States of a key.
const (
	// Running requests have been allowed to run and not been settled.
	Running State = iota
	// Ran requests were answered by a backend server.
	Ran
	// Unknown requests may have run.
	Unknown
)

// Record is one remembered key.
type Record struct {
	Key     Key
	Attempt uint64 // attempt that was allowed to run
	Digest  uint64 // digest of the request, to tell another request under the same key
	State   State
	Status  int       // status of the backend server's answer, once ran
	RunBy   time.Time // deadline of a running request; unsettled by then it is unknown
	Expires time.Time
}

// Claim asks whether a request may run.
type Claim struct {
	Epoch   uint64 // epoch since which the owner has the partition, as the asking entry knows it
	Key     Key
	Born    time.Time // zero when the key does not tell
	Attempt uint64    // the same in every repetition of this claim
	Digest  uint64
	RunBy   time.Time // deadline of the request
}

// Answer says whether a claimed request may run.
type Answer uint8

// Answers to a claim.
const (
	// Run: the request may be written once, until the deadline.
	Run Answer = iota
	// InProgress: an earlier request with this key is running or its end is not known yet.
	InProgress
	// AlreadyRan: an earlier request with this key was answered.
	AlreadyRan
	// MayHaveRun: an earlier request with this key may have run.
	MayHaveRun
	// OtherRequest: the key was used for another request; this one was not run.
	OtherRequest
	// ClockAhead: the key was made in the future; the request was not run.
	ClockAhead
	// NotReady: this owner is taking over the partition; the request was not run.
	NotReady
	// NotOwner: the partition has another owner; the request was not run.
	NotOwner
)

// NotRun reports whether the answer promises that this request was not run by this claim's key.
func (answer Answer) NotRun() bool {
	return answer >= OtherRequest
}

// Verdict answers a claim.
type Verdict struct {
	Answer  Answer
	WriteBy time.Time // deadline to begin writing, when Run
	RetryAt time.Time // when a repeat is worthwhile, zero if it is not
	Status  int       // status of the earlier answer, when AlreadyRan
}

// Settlement tells an owner what came of a claim.
type Settlement struct {
	Key     Key
	Attempt uint64
	NotRun  bool // nothing was written; the key is free again
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
