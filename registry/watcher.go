package registry

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/logs"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// Delays of a watcher.
const (
	// batchDelay is the delay before the watch after one with events. Events come in bursts, and each watch costs a call to the
	// store. It is a small part of the two seconds within which a change must be in force.
	batchDelay = 250 * time.Millisecond
	// maxOutageWait limits the wait for the store to be reachable again; then it is tried anyway.
	maxOutageWait = 5 * time.Second
	// watchRetryDelay is the delay before an interrupted watch is retried.
	watchRetryDelay = 20 * time.Millisecond
	// emptyStoreDelay is the delay between reads of a store that has no revision to watch from yet.
	emptyStoreDelay = 300 * time.Millisecond
)

// Batch is the result of a read or a watch.
type Batch struct {
	Snapshot  bool      // the events are all existing records, not changes
	KeepUntil time.Time // until when missing records stay in use, see instance.Removal
	Revision  instance.Revision
	Events    []Event
}

// Watcher reads records and their changes. All fields must be set. It keeps no state of the records: the caller passes the revision
// to continue from.
//
// Watches are short, because a store that compacts its history may not deliver changes to a pending watch, only to the next one.
type Watcher struct {
	Store   Store
	Monitor *Monitor
	Prefix  string
	Log     *zap.Logger
	Clock   func() time.Time

	fullReads      atomic.Uint64 // number of reads of all records
	delayNextWatch atomic.Bool   // the latest watch had events
}

// Next returns changes after a revision, waiting as long as one watch. For the zero revision it returns all records at once. Its
// errors are *Error.
func (watcher *Watcher) Next(ctx context.Context, after instance.Revision) (Batch, error) {
	watcher.Monitor.awaitReachable(ctx, maxOutageWait)
	if after.IsZero() {
		// The first read may be stale: the following watch returns what it misses.
		batch, err := watcher.readAll(ctx, watcher.fullReads.Add(1) == 1)
		if err == nil && batch.Revision.IsZero() {
			wait.For(ctx, emptyStoreDelay)
		}
		return batch, err
	}
	if watcher.delayNextWatch.Swap(false) {
		wait.For(ctx, batchDelay)
	}
	batch, err := watcher.watch(ctx, after)
	if err != nil && kindOf(err) == KindUnavailable && ctx.Err() == nil {
		// A pending watch may be interrupted while the store is available.
		wait.For(ctx, watchRetryDelay)
		batch, err = watcher.watch(ctx, after)
	}
	if err == nil {
		return batch, nil
	}
	if kindOf(err) == KindCompacted {
		watcher.Log.Info("store: history was compacted; reading all records", zap.Stringer("after-revision", after))
		return watcher.readAll(ctx, false)
	}
	watcher.recordFailure(ctx, err)
	return batch, err
}

func (watcher *Watcher) recordFailure(ctx context.Context, err error) {
	if kindOf(err) == KindUnavailable && ctx.Err() == nil {
		watcher.Monitor.RecordFailure(watcher.Clock(), err)
	}
}

func (watcher *Watcher) watch(ctx context.Context, after instance.Revision) (Batch, error) {
	if watcher.Monitor.Generation() > after.Generation {
		return Batch{}, &Error{Op: "watch", Kind: KindCompacted, Key: watcher.Prefix}
	}
	watching, cancel := watcher.Monitor.watch(ctx)
	defer cancel()
	events, revision, err := watcher.Store.Watch(watching, watcher.Prefix, after)
	if err != nil {
		return Batch{}, err
	}
	now := watcher.Clock()
	// The reply proves that the store was reachable when it was sent, not when the watch began.
	watcher.Monitor.RecordReply(now.Add(-batchDelay), now)
	watcher.delayNextWatch.Store(len(events) > 0)
	return Batch{Revision: instance.Later(after, revision), KeepUntil: watcher.Monitor.keepUntil(now), Events: events}, nil
}

func (watcher *Watcher) readAll(ctx context.Context, stale bool) (Batch, error) {
	started := watcher.Clock()
	records, revision, err := watcher.Store.Range(ctx, watcher.Prefix, stale)
	if err != nil {
		watcher.recordFailure(ctx, err)
		return Batch{}, err
	}
	now := watcher.Clock()
	watcher.Monitor.RecordCall(started, now)
	batch := Batch{Snapshot: true, Revision: revision, KeepUntil: watcher.Monitor.keepUntil(now)}
	for _, record := range records {
		batch.Events = append(batch.Events, Event{Record: record})
	}
	return batch, nil
}

// DecodeChanges returns a batch's changes of the records under a prefix. A malformed record is logged and counts as removed; the
// other records are not affected.
func DecodeChanges[T any](batch *Batch, prefix string, decode func(Record) (T, error), log *zap.Logger) instance.Changes[T] {
	changes := instance.Changes[T]{Snapshot: batch.Snapshot, KeepUntil: batch.KeepUntil, Revision: batch.Revision}
	for i := range batch.Events {
		event := &batch.Events[i]
		name, found := strings.CutPrefix(event.Key, prefix)
		if !found {
			continue
		}
		changes.Items = dropItem(changes.Items, name)
		changes.Removals = dropRemoval(changes.Removals, name)
		if event.Deleted {
			changes.Removals = append(changes.Removals, instance.Removal{Name: name, Revision: event.Revision, KeepUntil: batch.KeepUntil})
			continue
		}
		value, err := decode(event.Record)
		if err != nil {
			log.Warn("store: ignored a malformed record", zap.String("key", event.Key), zap.Stringer("revision", event.Revision), logs.ShortError(err))
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
