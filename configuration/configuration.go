// Package configuration keeps the rules text and its version in the platform's store.
//
// The text is cut into parts, each stored under its digest and the version that brought it, so that a change moves only
// what changed and each value stays small. A head names the parts of the version in force and changes by
// compare-and-swap. A part that no version in force names any more is never named again, so it can be deleted at any time.
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

// Sizes of parts.
const (
	mostPartBytes = 256 << 10
	partLines     = 64 // lines in a part on average
	mostParts     = 10_000
	settleTries   = 5 // readings back after a lost reply
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindInvalid  Kind = "invalid"  // the rules or the stored values are not valid
	KindConflict Kind = "conflict" // another version came into force meanwhile
	KindAway     Kind = "away"     // the store does not answer
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

// Version is one accepted configuration.
type Version struct {
	Number    uint64
	Text      string
	ChangedBy string
	ChangedAt time.Time
	Revision  uint64 // of the head in the store
	parts     []part
}

// part is a piece of a version's text.
type part struct {
	name string // digest, a hyphen and the version that brought it
	text string
}

// names returns the names of the version's parts, in order.
func (version *Version) names() []string {
	names := make([]string, len(version.parts))
	for i, p := range version.parts {
		names[i] = p.name
	}
	return names
}

// Store is the part of the platform's store that configuration uses.
type Store interface {
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (newRevision uint64, err error)
	Delete(ctx context.Context, key string) error
}

// Reader is the part of the platform's store that reading needs.
type Reader interface {
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
}

// Load reads the version in force; number 0 means that none was published yet.
func Load(ctx context.Context, store Reader) (*Version, error) {
	value, revision, err := store.Get(ctx, HeadKey)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindAway, Err: err}
	}
	return Resolve(ctx, store, value, revision, nil)
}

// Resolve reads the parts that a head names; parts of a known version are not read again.
func Resolve(ctx context.Context, store Reader, head []byte, revision uint64, known *Version) (*Version, error) {
	if revision == 0 {
		return &Version{}, nil
	}
	message := &wire.RulesHead{}
	if err := proto.Unmarshal(head, message); err != nil {
		return nil, &Error{Op: "load", Kind: KindInvalid, Err: err}
	}
	if message.GetVersion() == 0 || len(message.GetParts()) > mostParts {
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

func loadPart(ctx context.Context, store Reader, name string) (string, error) {
	value, revision, err := store.Get(ctx, partPrefix+name)
	if err != nil {
		return "", &Error{Op: "load", Kind: KindAway, Err: err}
	}
	digest, _, _ := strings.Cut(name, "-")
	if revision == 0 || digestOf(string(value)) != digest {
		return "", &Error{Op: "load", Kind: KindInvalid, Err: fmt.Errorf("part %s is missing or damaged", name)}
	}
	return string(value), nil
}

// Publish checks the rules and brings them into force, if the version in force is still the base.
//
// A reply that is lost is settled by reading back. Publishing the text in force again returns its version.
func Publish(ctx context.Context, store Store, file, text, operator string, base uint64, now time.Time) (*Version, error) {
	if _, err := rules.Parse(file, text); err != nil {
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
		return nil, conflict(current, base)
	}
	next := &Version{Number: base + 1, Text: text, ChangedBy: operator, ChangedAt: now}
	if err := storeParts(ctx, store, current, next); err != nil {
		return nil, err
	}
	if err := swapHead(ctx, store, current, next); err != nil {
		var failed *Error
		if errors.As(err, &failed) && failed.Kind == KindConflict {
			dropParts(ctx, store, next, failed.Current)
		}
		return nil, err
	}
	dropParts(ctx, store, current, next)
	return next, nil
}

func conflict(current *Version, base uint64) *Error {
	return &Error{Op: "publish", Kind: KindConflict, Current: current, Err: fmt.Errorf(
		"version %d is in force since %s, changed by %s; the change was made from version %d",
		current.Number, current.ChangedAt.UTC().Format(time.RFC3339), current.ChangedBy, base)}
}

// storeParts cuts the text into parts and stores those that the version before does not have.
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
				return &Error{Op: "publish", Kind: KindAway, Err: err}
			}
		}
		next.parts = append(next.parts, part{name, text})
	}
	return nil
}

// storePart writes a part unless it is there; after a lost reply it looks again.
func storePart(ctx context.Context, store Store, name, text string) error {
	key := partPrefix + name
	var cause error
	for range settleTries {
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

// swapHead writes the head; when the reply is lost it reads back what became of the write.
func swapHead(ctx context.Context, store Store, current, next *Version) error {
	value, err := proto.Marshal(&wire.RulesHead{
		Version: next.Number, Parts: next.names(), ChangedBy: next.ChangedBy, ChangedUnixNanos: next.ChangedAt.UnixNano(),
	})
	if err != nil {
		return &Error{Op: "publish", Kind: KindInvalid, Err: err}
	}
	var cause error
	for range settleTries {
		next.Revision, cause = store.CompareAndSwap(ctx, HeadKey, current.Revision, value)
		if cause == nil {
			return nil
		}
		found, err := Load(ctx, store)
		if err != nil {
			continue
		}
		if found.Number == next.Number && found.ChangedAt.Equal(next.ChangedAt) && slices.Equal(found.names(), next.names()) {
			next.Revision = found.Revision
			return nil
		}
		if found.Number != current.Number {
			return conflict(found, current.Number)
		}
	}
	return &Error{Op: "publish", Kind: KindAway, Err: fmt.Errorf("it is not known whether version %d came into force: %w", next.Number, cause)}
}

// dropParts removes the parts that a version which is not in force names and the one in force does not; what stays
// behind is harmless.
func dropParts(ctx context.Context, store Store, gone, inForce *Version) {
	kept := knownParts(inForce)
	for _, p := range gone.parts {
		if _, found := kept[p.name]; !found {
			_ = store.Delete(ctx, partPrefix+p.name)
		}
	}
}

func isConflict(err error) bool {
	var e *entry.Error
	return errors.As(err, &e) && e.Kind == entry.KindConflict
}

// split cuts a text after lines whose hash marks a boundary, so that a changed line changes one part.
func split(text string) []string {
	var parts []string
	start := 0
	for i := 0; i < len(text); {
		end := strings.IndexByte(text[i:], '\n')
		if end < 0 {
			break
		}
		end += i + 1
		if xxhash.Sum64String(text[i:end])%partLines == 0 || end-start >= mostPartBytes {
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
