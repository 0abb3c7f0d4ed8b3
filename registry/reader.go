package registry

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// Timing of reading.
const (
	// eventPause is between an event and the next watch: events come in series, and each watch is a call to be paid for.
	// It is a small part of the two seconds within which a change must be in force.
	eventPause = 250 * time.Millisecond
	// awayPause bounds the wait for the store to come back before it is tried anyway.
	awayPause = 5 * time.Second
	// cutPause is between a watch that was cut and its repetition.
	cutPause = 20 * time.Millisecond
	// emptyPause is between readings of a store that has no revision to watch from yet.
	emptyPause = 300 * time.Millisecond
)

// Batch is what a reading brought.
type Batch struct {
	Whole     bool      // the events are all records there are
	KeepUntil time.Time // deadline until which records that are gone stay in use, see instance.Removal
	Revision  instance.Revision
	Events    []Event
}

// Reader reads records and their changes; all fields must be set. It keeps no list: its caller says how far it has come.
//
// Watches are short: a store that drops its history may keep changes from a watch that waits, and tell them to the next one.
type Reader struct {
	Store   Store
	Contact *Contact
	Prefix  string
	Log     *zap.Logger
	Clock   func() time.Time

	reads  atomic.Uint64 // readings of all records
	paused atomic.Bool   // the next watch waits, as events came with the one before
}

// Next waits for changes after a revision, for a watch's length. The zero revision asks for all records at once.
func (reader *Reader) Next(ctx context.Context, after instance.Revision) (Batch, error) {
	reader.Contact.await(ctx, awayPause)
	if after.IsZero() {
		// What a stale reading misses comes with the watch after it.
		batch, err := reader.readAll(ctx, reader.reads.Add(1) == 1)
		if err == nil && batch.Revision.IsZero() {
			wait.For(ctx, emptyPause)
		}
		return batch, err
	}
	if reader.paused.Swap(false) {
		wait.For(ctx, eventPause)
	}
	batch, err := reader.watch(ctx, after)
	if err != nil && kindOf(err) == KindAway && ctx.Err() == nil {
		// A waiting watch may be cut while the store is well.
		wait.For(ctx, cutPause)
		batch, err = reader.watch(ctx, after)
	}
	if err == nil {
		return batch, nil
	}
	if kindOf(err) == KindCompacted {
		reader.Log.Info("store: history was dropped, all records are read anew", zap.Stringer("after-revision", after))
		return reader.readAll(ctx, false)
	}
	reader.missed(ctx, err)
	return batch, err
}

func (reader *Reader) missed(ctx context.Context, err error) {
	if kindOf(err) == KindAway && ctx.Err() == nil {
		reader.Contact.Missed(reader.Clock(), err)
	}
}

func (reader *Reader) watch(ctx context.Context, after instance.Revision) (Batch, error) {
	if reader.Contact.Generation() > after.Generation {
		return Batch{}, &Error{Op: "watch", Kind: KindCompacted, Key: reader.Prefix}
	}
	watching, cancel := reader.Contact.watch(ctx)
	defer cancel()
	events, revision, err := reader.Store.Watch(watching, reader.Prefix, after)
	if err != nil {
		return Batch{}, err
	}
	now := reader.Clock()
	// The answer proves that the store was there when it was given, and not when the watch began.
	reader.Contact.Heard(now.Add(-eventPause), now)
	reader.paused.Store(len(events) > 0)
	return Batch{Revision: instance.Later(after, revision), KeepUntil: reader.Contact.keepUntil(now), Events: events}, nil
}

func (reader *Reader) readAll(ctx context.Context, stale bool) (Batch, error) {
	started := reader.Clock()
	records, revision, err := reader.Store.Range(ctx, reader.Prefix, stale)
	if err != nil {
		reader.missed(ctx, err)
		return Batch{}, err
	}
	now := reader.Clock()
	reader.Contact.Answered(started, now)
	batch := Batch{Whole: true, Revision: revision, KeepUntil: reader.Contact.keepUntil(now)}
	for _, record := range records {
		batch.Events = append(batch.Events, Event{Record: record})
	}
	return batch, nil
}

// Changes returns a batch's changes of the list whose records are under a prefix. A record that makes no sense is logged and
// counts as removed; the others hold.
func Changes[T any](batch *Batch, prefix string, decode func(Record) (T, error), log *zap.Logger) instance.Changes[T] {
	changes := instance.Changes[T]{Snapshot: batch.Whole, KeepUntil: batch.KeepUntil, Revision: batch.Revision}
	for i := range batch.Events {
		event := &batch.Events[i]
		name, found := strings.CutPrefix(event.Key, prefix)
		if !found {
			continue
		}
		changes.Items = dropItem(changes.Items, name)
		changes.Removals = dropRemoval(changes.Removals, name)
		if event.Gone {
			changes.Removals = append(changes.Removals, instance.Removal{Name: name, Revision: event.Revision, KeepUntil: batch.KeepUntil})
			continue
		}
		value, err := decode(event.Record)
		if err != nil {
			log.Warn("store: a record makes no sense and is not used", zap.String("key", event.Key), zap.Stringer("revision", event.Revision), zap.Error(err))
			changes.Removals = append(changes.Removals, instance.Removal{Name: name, Revision: event.Revision})
			continue
		}
		changes.Items = append(changes.Items, instance.Item[T]{Name: name, Value: value, Revision: event.Revision})
	}
	return changes
}

func dropItem[T any](items []instance.Item[T], name string) []instance.Item[T] {
	return slices.DeleteFunc(items, func(item instance.Item[T]) bool { return item.Name == name })
}

func dropRemoval(removals []instance.Removal, name string) []instance.Removal {
	return slices.DeleteFunc(removals, func(removal instance.Removal) bool { return removal.Name == name })
}
