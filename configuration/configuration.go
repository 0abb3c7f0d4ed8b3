// Package configuration stores versions of the rules in the platform's store.
//
// The text is split into parts, each stored under its digest and the version that introduced it, so that an update writes
// only the changed parts and each value stays small. The head lists the parts of the version in force and is updated by
// compare-and-swap. A part that the version in force no longer uses is never referenced again, so it can be deleted at any
// time.
package configuration

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/wire"
)

// Keys in the store.
const (
	HeadKey    = "sequoiaspan/rules/head"
	partPrefix = "sequoiaspan/rules/part/"
)

// Limits of parts and retries.
const (
	maxPartBytes     = 256 << 10
	meanPartLines    = 64 // average number of lines per part
	maxParts         = 10_000
	maxWriteAttempts = 5 // attempts at a write whose reply is lost
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindInvalid     Kind = "invalid"  // the rules or the stored values are not valid
	KindConflict    Kind = "conflict" // the version in force is not the base of the change
	KindUnavailable Kind = "away"     // the store is unreachable or failed
)

// Error is a failure to load or publish rules.
type Error struct {
	Op      string
	Kind    Kind
	Current *Version // the version in force, for a conflict
	Err     error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Version is one published version of the rules.
type Version struct {
	Number    uint64
	Text      string
	ChangedBy string
	ChangedAt time.Time
	Revision  uint64 // of the head in the store
	parts     []part
}

// part is a section of a version's text.
type part struct {
	name string // digest, a hyphen and the version that introduced it
	text string
}

// partNames returns the partNames of the version's parts, in order.
func (version *Version) partNames() []string {
	names := make([]string, len(version.parts))
	for i, p := range version.parts {
		names[i] = p.name
	}
	return names
}

// Store is the subset of the platform's store that Publish needs.
type Store interface {
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (newRevision uint64, err error)
	Delete(ctx context.Context, key string) error
}

// Getter is the subset of the platform's store that Load needs.
type Getter interface {
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
}

// Load reads the version in force. Number 0 means that no version has been published yet.
func Load(ctx context.Context, store Getter) (*Version, error) {
	value, revision, err := store.Get(ctx, HeadKey)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindUnavailable, Err: err}
	}
	return Resolve(ctx, store, value, revision, nil)
}

// Resolve reads the version that a head describes. It reuses the parts of a known version, which may be nil.
func Resolve(ctx context.Context, store Getter, head []byte, revision uint64, known *Version) (*Version, error) {
	if revision == 0 {
		return &Version{}, nil
	}
	message := &wire.RulesHead{}
	if err := proto.Unmarshal(head, message); err != nil {
		return nil, &Error{Op: "load", Kind: KindInvalid, Err: err}
	}
	if message.GetVersion() == 0 || len(message.GetParts()) > maxParts {
		return nil, &Error{Op: "load", Kind: KindInvalid, Err: errors.New("head without a version or with too many parts")}
	}
	version := &Version{
		Number: message.GetVersion(), ChangedBy: message.GetChangedBy(),
		ChangedAt: time.Unix(0, message.GetChangedUnixNanos()), Revision: revision,
	}
	texts := knownParts(known)
	whole := strings.Builder{}
	for _, name := range message.GetParts() {
		text, found := texts[name]
		if !found {
			var err error
			if text, err = loadPart(ctx, store, name); err != nil {
				return nil, err
			}
		}
		version.parts = append(version.parts, part{name, text})
		whole.WriteString(text)
	}
	version.Text = whole.String()
	return version, nil
}

// knownParts returns the texts of a version's parts by name.
func knownParts(known *Version) map[string]string {
	texts := map[string]string{}
	if known == nil {
		return texts
	}
	for _, p := range known.parts {
		texts[p.name] = p.text
	}
	return texts
}

func loadPart(ctx context.Context, store Getter, name string) (string, error) {
	value, revision, err := store.Get(ctx, partPrefix+name)
	if err != nil {
		return "", &Error{Op: "load", Kind: KindUnavailable, Err: err}
	}
	digest, _, _ := strings.Cut(name, "-")
	if revision == 0 || digestOf(string(value)) != digest {
		return "", &Error{Op: "load", Kind: KindInvalid, Err: fmt.Errorf("part %s is missing or damaged", name)}
	}
	return string(value), nil
}

// Publish validates the rules and puts them into force if the version in force is still the base.
//
// If the reply to a write is lost, Publish reads the value back to learn the outcome. Publishing is idempotent: repeating a
// publication that already succeeded returns its version.
func Publish(ctx context.Context, store Store, file, text, operator string, base uint64, now time.Time) (*Version, error) {
	if _, err := rules.Parse(file, text); err != nil {
		return nil, &Error{Op: "publish", Kind: KindInvalid, Err: err}
	}
	if err := checkLineLengths(text); err != nil {
		return nil, &Error{Op: "publish", Kind: KindInvalid, Err: err}
	}
	current, err := Load(ctx, store)
	if err != nil {
		return nil, err
	}
	if current.Number == base+1 && current.Text == text && current.ChangedBy == operator {
		return current, nil
	}
	if current.Number != base {
		return nil, conflictError(current, base)
	}
	next := &Version{Number: base + 1, Text: text, ChangedBy: operator, ChangedAt: now}
	if err := storeParts(ctx, store, current, next); err != nil {
		return nil, err
	}
	if err := swapHead(ctx, store, current, next); err != nil {
		var failed *Error
		if errors.As(err, &failed) && failed.Kind == KindConflict {
			deleteUnusedParts(ctx, store, next, failed.Current)
		}
		return nil, err
	}
	deleteUnusedParts(ctx, store, current, next)
	return next, nil
}

// checkLineLengths returns an error for a line that does not fit into a part.
func checkLineLengths(text string) error {
	number := 0
	for line := range strings.Lines(text) {
		number++
		if len(line) > maxPartBytes {
			return fmt.Errorf("line %d has %d bytes, more than %d", number, len(line), maxPartBytes)
		}
	}
	return nil
}

func conflictError(current *Version, base uint64) *Error {
	return &Error{Op: "publish", Kind: KindConflict, Current: current, Err: fmt.Errorf(
		"version %d is in force since %s, changed by %s; the change was made from version %d",
		current.Number, current.ChangedAt.UTC().Format(time.RFC3339), current.ChangedBy, base)}
}

// storeParts splits the text into parts and stores those that the current version lacks.
func storeParts(ctx context.Context, store Store, current, next *Version) error {
	names := map[string]string{}
	for _, p := range current.parts {
		names[p.text] = p.name
	}
	for _, text := range split(next.Text) {
		name, kept := names[text]
		if !kept {
			name = digestOf(text) + "-" + strconv.FormatUint(next.Number, 10)
			if err := storePart(ctx, store, name, text); err != nil {
				return &Error{Op: "publish", Kind: KindUnavailable, Err: err}
			}
		}
		next.parts = append(next.parts, part{name, text})
	}
	return nil
}

// storePart writes a part unless the store has it, and checks again after a lost reply.
func storePart(ctx context.Context, store Store, name, text string) error {
	key := partPrefix + name
	var cause error
	for range maxWriteAttempts {
		_, revision, err := store.Get(ctx, key)
		if err == nil && revision != 0 {
			return nil
		}
		if err == nil {
			_, err = store.CompareAndSwap(ctx, key, 0, []byte(text))
		}
		if err == nil || isConflict(err) {
			return nil
		}
		cause = err
	}
	return cause
}

// swapHead updates the head by compare-and-swap. If the reply is lost, it reads the head back to learn the outcome.
func swapHead(ctx context.Context, store Store, current, next *Version) error {
	value, err := proto.Marshal(&wire.RulesHead{
		Version: next.Number, Parts: next.partNames(), ChangedBy: next.ChangedBy, ChangedUnixNanos: next.ChangedAt.UnixNano(),
	})
	if err != nil {
		return &Error{Op: "publish", Kind: KindInvalid, Err: err}
	}
	var cause error
	for range maxWriteAttempts {
		next.Revision, cause = store.CompareAndSwap(ctx, HeadKey, current.Revision, value)
		if cause == nil {
			return nil
		}
		found, err := Load(ctx, store)
		if err != nil {
			continue
		}
		if found.Number == next.Number && found.ChangedAt.Equal(next.ChangedAt) && slices.Equal(found.partNames(), next.partNames()) {
			next.Revision = found.Revision
			return nil
		}
		if found.Number != current.Number {
			return conflictError(found, current.Number)
		}
	}
	return &Error{Op: "publish", Kind: KindUnavailable, Err: fmt.Errorf("unknown whether version %d is in force: %w", next.Number, cause)}
}

// deleteUnusedParts deletes the parts of an unused version that the version in force does not share. Errors are
// ignored because leftover parts are harmless.
func deleteUnusedParts(ctx context.Context, store Store, unused, inForce *Version) {
	kept := knownParts(inForce)
	for _, p := range unused.parts {
		if _, found := kept[p.name]; !found {
			_ = store.Delete(ctx, partPrefix+p.name)
		}
	}
}

func isConflict(err error) bool {
	var e *entry.Error
	return errors.As(err, &e) && e.Kind == entry.KindConflict
}

// split cuts a text after lines whose hash marks a boundary (content-defined chunking), so that a changed line changes
// one part.
func split(text string) []string {
	var parts []string
	start := 0
	for i := 0; i < len(text); {
		end := strings.IndexByte(text[i:], '\n')
		if end < 0 {
			break
		}
		end += i + 1
		if xxhash.Sum64String(text[i:end])%meanPartLines == 0 || end-start >= maxPartBytes {
			parts = append(parts, text[start:end])
			start = end
		}
		i = end
	}
	if start < len(text) {
		parts = append(parts, text[start:])
	}
	return parts
}

func digestOf(part string) string {
	sum := sha256.Sum256([]byte(part))
	return hex.EncodeToString(sum[:])
}
