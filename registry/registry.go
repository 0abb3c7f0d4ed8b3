// Package registry registers instances in the platform's key-value store under leases, and watches the registered ones.
package registry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// Record is a key with its value.
type Record struct {
	Key      string
	Value    []byte
	Revision instance.Revision // of the latest write
}

// Event is a write or a deletion of a record.
type Event struct {
	Record
	Deleted bool // the record was deleted at this revision
}

// Store is the part of the platform's key-value store that the registry uses. Its errors are *Error.
type Store interface {
	// Range returns all records under a prefix, and a revision from which a watch misses no change. A stale read is cheaper
	// and may be seconds old.
	Range(ctx context.Context, prefix string, stale bool) ([]Record, instance.Revision, error)
	// Watch waits for changes under a prefix after a revision, and returns the revision to continue from. It returns no
	// events when the store ends the wait. If the store's generation is later than the revision's, it fails with
	// KindCompacted.
	Watch(ctx context.Context, prefix string, after instance.Revision) ([]Event, instance.Revision, error)
	// Put writes a record that is deleted when its lease ends.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	// GrantLease creates a lease. The store may limit its TTL.
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// RenewLease restarts the TTL of a lease when the call arrives.
	RenewLease(ctx context.Context, lease uint64) error
	// RevokeLease ends a lease and deletes its records.
	RevokeLease(ctx context.Context, lease uint64) error
}

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindUnavailable Kind = "away"      // no reply, or the store rejected the call; a write may have been executed
	KindCompacted   Kind = "compacted" // the history after the given revision was dropped, or belongs to an earlier generation
	KindLeaseEnded  Kind = "ended"     // the lease does not exist any more
	KindInvalid     Kind = "invalid"   // the call, the reply or a record is malformed
)

// Error is a failure of an operation on the store.
type Error struct {
	Op   string
	Kind Kind
	Key  string // or prefix
	Err  error
}

// Error returns the operation, key, kind and cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s %s: %s", e.Op, e.Key, e.Kind)
	}
	return fmt.Sprintf("%s %s: %s: %v", e.Op, e.Key, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// kindOf returns the kind of an error, KindUnavailable for one that is not an *Error.
func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnavailable
}
