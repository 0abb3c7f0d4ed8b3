package entry

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/notice"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// Feed brings the platform's lists and rules by changes.
type Feed interface {
	// Next waits for changes after a revision, for a bounded time. The zero revision asks for all there is at once.
	Next(ctx context.Context, after instance.Revision) (Lists, error)
	// Age returns how long ago the platform was last heard of.
	Age(now time.Time) time.Duration
}

// RulesVersion is a version of the rules; number 0 stands for none.
type RulesVersion struct {
	Number uint64
	Text   string
}

// Registrar keeps this instance on the platform's list.
type Registrar interface {
	// Announce keeps the instance on the list until the context ends, and then takes it off.
	Announce(ctx context.Context, self instance.Entry)
	// SetListed tells whether the list shows the instance.
	SetListed(listed bool)
	// Enter tells which generation of the platform's list other instances have seen. In a new one the instance announces itself anew.
	Enter(generation uint64)
}

// Following of lists.
const (
	listReaders  = 2                       // instances of a failure domain of which one reads the platform's lists for the others
	pullWait     = 700 * time.Millisecond  // longest wait of a pull for a change; a silent reader is noticed after it
	staleAfter   = 1400 * time.Millisecond // a watch and the pause after it; older lists are asked for elsewhere
	rolePause    = 100 * time.Millisecond  // between looks whether this instance is a reader
	failedPause  = 150 * time.Millisecond  // after a pull or a reading that failed
	patience     = 2                       // failed pulls in a row before an instance that is no reader reads itself
	gatherLength = 1500 * time.Millisecond // until instances that start together are listed
)

// Lists are changes of both lists, with the time since the platform was last heard of.
type Lists struct {
	Age     time.Duration
	Entries instance.Changes[instance.Entry]
	Servers instance.Changes[instance.Server]
	Rules   RulesVersion // not passed on between instances with the lists
	// Leavers are servers that have said that they are leaving, which the platform's list does not show so.
	Leavers []notice.Server
}

// lists are the platform's lists as this instance knows them.
type lists struct {
	mu           sync.Mutex
	entries      instance.Catalog[instance.Entry]
	servers      instance.Catalog[instance.Server]
	heardAt      time.Time     // when the platform had vouched for the lists
	changed      chan struct{} // closed at the next change of the lists or the rules
	failed       int           // pulls in a row that brought no fresh lists
	doubt        doubt
	changes      uint64 // applied so far
	restorations uint64 // of the platform from an older copy
}

func (lists *lists) init() { lists.changed = make(chan struct{}) }

// revision returns how far the lists have come.
func (lists *lists) revision() instance.Revision {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return lists.reached()
}

// reached returns how far the lists have come; the lock is held.
func (lists *lists) reached() instance.Revision {
	return instance.Earlier(lists.entries.Revision(), lists.servers.Revision())
}

// since returns the changes after a revision, and a channel that is closed at the next change.
func (lists *lists) since(revision instance.Revision) (Lists, <-chan struct{}) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return Lists{Entries: lists.entries.Since(revision), Servers: lists.servers.Since(revision)}, lists.changed
}

// apply takes in changes and reports whether they changed anything.
func (lists *lists) apply(changes Lists) bool {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	before, lapsed := lists.reached(), lists.servers.RetainedCount()
	changed := lists.take(changes)
	// What a restored list lacks has not left: its owners write it again.
	if lists.servers.RetainedCount() > lapsed && lists.reached().Generation == before.Generation {
		lists.doubt.begin(before)
	}
	return changed
}

// take takes in changes; the lock is held.
func (lists *lists) take(changes Lists) bool {
	before := lists.reached()
	changed := lists.entries.Apply(changes.Entries) && !changes.Entries.Empty()
	changed = lists.servers.Apply(changes.Servers) && !changes.Servers.Empty() || changed
	if !before.IsZero() && lists.reached().Generation > before.Generation {
		lists.restorations++
		changed = true
	}
	if changed {
		lists.changes++
		lists.signal()
	}
	return changed
}

// signal wakes those that wait for a change; the lock is held.
func (lists *lists) signal() {
	close(lists.changed)
	lists.changed = make(chan struct{})
}

// keepMissing has what an instance's restored lists lack stay in use for a while.
func (lists *lists) keepMissing(now time.Time, pulled *Lists) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	pulled.Entries = pulled.Entries.WithRestoreGrace(lists.entries.Revision(), now.Add(instance.ReregistrationGrace))
	pulled.Servers = pulled.Servers.WithRestoreGrace(lists.servers.Revision(), now.Add(instance.ReregistrationGrace))
}

// expire ends the use of items that lapsed and have not come back in time, and reports whether there were any.
func (lists *lists) expire(now time.Time) bool {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	expired := lists.entries.Expire(now)
	expired = lists.servers.Expire(now) || expired
	if expired {
		lists.changes++
	}
	return expired
}

// wake wakes those that wait for a change.
func (lists *lists) wake() {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	lists.signal()
}

// list returns the lists as one.
func (lists *lists) list() instance.List {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return instance.List{
		Entries: lists.entries.Values(), Servers: lists.servers.Values(),
		Changes: lists.changes, Restorations: lists.restorations,
	}
}

// removed reports whether a backend server was removed from the list.
func (lists *lists) removed(server string) bool {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return lists.servers.RecentlyRemoved(server)
}

// restoredTo returns how often the platform has come back from an older copy.
func (lists *lists) restoredTo() uint64 {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return lists.restorations
}

// heard notes when the platform vouched for the lists, and reports whether it did so lately.
func (lists *lists) heard(now time.Time, age time.Duration) bool {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	if at := now.Add(-age); at.After(lists.heardAt) {
		lists.heardAt = at
	}
	return age <= staleAfter
}

// pulled counts pulls that failed in a row.
func (lists *lists) pulled(fresh bool) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	lists.failed++
	if fresh {
		lists.failed = 0
	}
}

// ListAge returns how long ago the platform vouched for the lists, 0 for a platform whose list is polled.
func (entry *Entry) ListAge(now time.Time) time.Duration {
	if entry.Feed == nil {
		return 0
	}
	entry.lists.mu.Lock()
	age := now.Sub(entry.lists.heardAt)
	entry.lists.mu.Unlock()
	if entry.readsFeed() {
		age = min(age, entry.Feed.Age(now))
	}
	return age
}

// LoggedListAge returns the age of the lists for the log, nothing before the platform has vouched for any.
func (entry *Entry) LoggedListAge(now time.Time) zap.Field {
	age := entry.ListAge(now)
	if age == math.MaxInt64 {
		return zap.Skip()
	}
	return zap.Duration("list-age", age)
}

// readers returns the instances of this one's failure domain that read the lists for the others, the first one first.
func (entry *Entry) readers() []instance.Entry {
	plan := entry.members.plan()
	// Every pull asks for them, and they change with the plan only.
	plan.readersOnce.Do(func() { plan.readers = home.Watchers(plan.candidates, entry.Domain, listReaders) })
	return plan.readers
}

// readsFeed reports whether this instance reads the lists itself: it is the first reader, or those before it give no fresh
// lists while the platform answers here.
func (entry *Entry) readsFeed() bool {
	entry.lists.mu.Lock()
	failed := entry.lists.failed
	entry.lists.mu.Unlock()
	readers := entry.readers()
	rank := slices.IndexFunc(readers, func(reader instance.Entry) bool { return reader.Name == entry.Name })
	switch {
	case len(readers) == 0 || rank == 0:
		return true
	case rank < 0:
		rank = patience
	}
	return failed >= rank && entry.Feed.Age(entry.Clock()) <= staleAfter
}

// followFeed reads the lists from the platform while that is this instance's part.
func (entry *Entry) followFeed(ctx context.Context) {
	if entry.FirstStart {
		// All instances start at the same time: the first reading is of use once they are listed.
		wait.For(ctx, gatherLength)
	} else {
		entry.startFromGroup(ctx)
	}
	for ctx.Err() == nil {
		if !entry.lists.revision().IsZero() && !entry.readsFeed() {
			wait.For(ctx, rolePause)
			continue
		}
		lists, err := entry.Feed.Next(ctx, entry.lists.revision())
		if err != nil {
			entry.count("lists.errors")
			entry.askSeeds(ctx)
			wait.For(ctx, failedPause)
			continue
		}
		now := entry.Clock()
		entry.lists.heard(now, entry.Feed.Age(now))
		if entry.lists.apply(lists) {
			entry.listsChanged()
		}
		if lists.Rules.Number > 0 {
			entry.ApplyRules(lists.Rules.Number, lists.Rules.Text)
		}
	}
}

// askSeeds learns lists and rules from other instances, for one that starts while the platform does not answer.
func (entry *Entry) askSeeds(ctx context.Context) {
	for _, address := range entry.Seeds {
		if !entry.lists.revision().IsZero() {
			return
		}
		if address == entry.Peer {
			continue
		}
		seed := Peer{"seed " + address.String(), address}
		pulled, err := entry.Peers.PullLists(ctx, seed, instance.Revision{}, pullWait)
		if err != nil || pulled.Entries.Revision.IsZero() {
			entry.count("lists.silent-seeds")
			continue
		}
		entry.Log.Info("instances: the platform does not answer, the lists are from another instance", zap.Stringer("seed", address), zap.Duration("age", pulled.Age))
		if entry.lists.apply(pulled) {
			entry.listsChanged()
		}
		entry.pullFrom(ctx, seed, entry.rules.load().version)
	}
}

// listsChanged makes the lists the ones in use.
func (entry *Entry) listsChanged() {
	list, revision := entry.lists.list(), entry.lists.revision()
	entry.ApplyList(list)
	if entry.Registrar == nil || entry.IsLeaving() || revision.IsZero() {
		return
	}
	entry.Registrar.Enter(revision.Generation)
	listed := slices.ContainsFunc(list.Entries, func(e instance.Entry) bool { return e.Name == entry.Name })
	entry.Registrar.SetListed(listed)
}

// pullLists follows the lists that the readers of this failure domain have.
func (entry *Entry) pullLists(ctx context.Context) {
	for ctx.Err() == nil {
		if !entry.pullOnce(ctx) {
			wait.For(ctx, failedPause)
		}
	}
}

// pullOnce pulls from the first reader that gives fresh lists, and reports whether one did. An instance that is cut off from the
// platform asks the readers after it too, and then instances of other failure domains.
func (entry *Entry) pullOnce(ctx context.Context) bool {
	readers := entry.readers()
	if len(readers) == 0 {
		return false
	}
	cutOff := entry.Feed.Age(entry.Clock()) > staleAfter
	for _, reader := range readers {
		if reader.Name != entry.Name && entry.pullFresh(ctx, reader) {
			return true
		}
		if reader.Name == entry.Name && !cutOff {
			break
		}
	}
	if cutOff && entry.pullFromOthers(ctx) {
		return true
	}
	entry.lists.pulled(false)
	return false
}

// pullFresh pulls from an instance, and reports whether its lists are fresh.
func (entry *Entry) pullFresh(ctx context.Context, from instance.Entry) bool {
	pulled, err := entry.Peers.PullLists(ctx, Peer{from.Name, from.Peer}, entry.lists.revision(), pullWait)
	if err != nil || pulled.Entries.Revision.IsZero() {
		entry.count("lists.silent-readers")
		return false
	}
	entry.takePulled(pulled, entry.lists.apply)
	if !entry.lists.heard(entry.Clock(), pulled.Age) {
		return false
	}
	entry.lists.pulled(true)
	return true
}

// takePulled takes in what another instance knows, with a function that brings its changes into the lists.
func (entry *Entry) takePulled(pulled Lists, apply func(Lists) bool) {
	entry.toldOf(pulled.Leavers)
	entry.lists.keepMissing(entry.Clock(), &pulled)
	if apply(pulled) {
		entry.listsChanged()
	}
}

// expireLists ends the use of items that lapsed during an outage and have not come back.
func (entry *Entry) expireLists(ctx context.Context) {
	runPeriodically(ctx, rolePause, func(context.Context) {
		now := entry.Clock()
		if entry.lists.expire(now) {
			entry.Log.Info("instances: listed items that lapsed while the platform was away have not come back")
			entry.listsChanged()
		}
		if entry.expireBars(now) {
			entry.Log.Info("instances: what had left before the platform's list was restored is used again if it is still listed")
		}
	})
}

// announce keeps this instance on the platform's list until it leaves.
func (entry *Entry) announce(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(entry.leaveCtx, cancel)
	defer stop()
	entry.Registrar.Announce(ctx, instance.Entry{
		Name: entry.Name, Domain: entry.Domain, Region: entry.Region, Caller: entry.Caller, Peer: entry.Peer, Operator: entry.Operator,
		Processor: entry.Processor,
	})
}

// HandlePullLists waits for a change of the lists after a revision or of the rules, and returns what changed. Lists that are
// stale are returned at once, so that the other instance asks elsewhere.
func (entry *Entry) HandlePullLists(revision instance.Revision, wait time.Duration) Lists {
	lists, changed := entry.lists.since(revision)
	wait = min(wait, pullWait, staleAfter-entry.ListAge(entry.Clock())+time.Millisecond)
	if lists.Entries.Empty() && lists.Servers.Empty() && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
			lists, _ = entry.lists.since(revision)
		case <-timer.C:
		}
	}
	lists.Age = entry.ListAge(entry.Clock())
	lists.Leavers = entry.unlistedLeavers()
	return lists
}
