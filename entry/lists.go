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

// Feed delivers incremental changes of the platform's lists and rules.
type Feed interface {
	// Next waits for a limited time for changes after a revision. For the zero revision it returns a full snapshot immediately.
	Next(ctx context.Context, after instance.Revision) (Lists, error)
	// Age returns the time since the last contact with the platform.
	Age(now time.Time) time.Duration
}

// RulesVersion is a version of the rules; number 0 means none.
type RulesVersion struct {
	Number uint64
	Text   string
}

// Registrar registers this instance with the platform.
type Registrar interface {
	// Announce keeps the instance registered until the context ends, and then removes it.
	Announce(ctx context.Context, self instance.Entry)
	// Confirm has the registration renewed soon, to learn whether the platform still answers this instance.
	Confirm()
	// SetListed records whether the current list contains the instance.
	SetListed(listed bool)
	// SetGeneration records the generation of the platform's list that other instances have observed. The registrar announces the
	// instance again in a new generation.
	SetGeneration(generation uint64)
}

// Timing of list synchronization.
const (
	watchersPerDomain = 2                       // candidates per failure domain to watch the platform; one of them is active
	maxPullWait       = 700 * time.Millisecond  // long-poll limit of a pull; an unresponsive watcher is detected after it
	staleAfter        = 1400 * time.Millisecond // a watch and the pause after it; older lists are pulled from another instance
	roleCheckInterval = 100 * time.Millisecond  // between checks whether this instance is a watcher
	listRetryInterval = 150 * time.Millisecond  // after a failed pull or watch
	maxFailedPulls    = 2                       // consecutive failed pulls after which a non-watcher watches the platform itself
	firstStartDelay   = 1500 * time.Millisecond // time for instances of a new fleet to register
)

// Lists holds changes of both lists and the time since the last contact with the platform.
type Lists struct {
	Age     time.Duration
	Entries instance.Changes[instance.Entry]
	Servers instance.Changes[instance.Server]
	// Rules is a new version of the rules. Between instances it is the version in force at the sender, without its text.
	Rules RulesVersion
	// RulesError is why the platform's latest configuration cannot be put in force at all. Between instances it is nil.
	RulesError error
	// RulesRevision is the platform's revision up to which Rules is the latest version. The lists may have reached a later one.
	RulesRevision instance.Revision
	// LeavingServers are servers that reported that they are leaving and are not yet marked as leaving in the platform's list.
	LeavingServers []notice.Server
}

// lists is this instance's copy of the platform's lists.
type lists struct {
	mu             sync.Mutex
	entries        instance.Catalog[instance.Entry]
	servers        instance.Catalog[instance.Server]
	rulesRevision  instance.Revision // up to which this instance knows the latest version of the rules
	confirmedAt    time.Time         // latest time at which the lists were known to be current
	changed        chan struct{}     // closed on the next change of the lists or the rules
	failedPulls    int               // consecutive pulls without fresh lists
	departureCheck departureCheck
	changeCount    uint64 // number of applied changes
	restorations   uint64 // restorations of the platform from an older copy
}

func (lists *lists) init() { lists.changed = make(chan struct{}) }

// revision returns the revision that both lists have reached.
func (lists *lists) revision() instance.Revision {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return lists.revisionLocked()
}

// revisionLocked is revision for callers that hold the lock.
func (lists *lists) revisionLocked() instance.Revision {
	return instance.Earlier(lists.entries.Revision(), lists.servers.Revision())
}

// watchRevision returns the revision from which to watch the platform. Rules are pulled after the lists that show a change of them, so the
// rules may have reached an earlier revision.
func (lists *lists) watchRevision() instance.Revision {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return instance.Earlier(lists.revisionLocked(), lists.rulesRevision)
}

// recordRulesRevision records that this instance knows the latest version of the rules up to a revision of the platform.
func (lists *lists) recordRulesRevision(revision instance.Revision) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	lists.rulesRevision = instance.Later(lists.rulesRevision, revision)
}

// since returns the changes after a revision and a channel that is closed on the next change.
func (lists *lists) since(revision instance.Revision) (Lists, <-chan struct{}) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return Lists{Entries: lists.entries.Since(revision), Servers: lists.servers.Since(revision), RulesRevision: lists.rulesRevision}, lists.changed
}

// apply applies changes and reports whether the lists changed. It starts a departure check if records are newly missing.
func (lists *lists) apply(changes Lists) bool {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	before, missing := lists.revisionLocked(), lists.servers.RetainedCount()
	changed := lists.applyLocked(changes)
	// Records missing from a restored list are no departures: their owners write them again.
	if lists.servers.RetainedCount() > missing && lists.revisionLocked().Generation == before.Generation {
		lists.departureCheck.start(before)
	}
	return changed
}

// applyLocked applies changes and reports whether the lists changed; the caller holds the lock.
func (lists *lists) applyLocked(changes Lists) bool {
	before := lists.revisionLocked()
	changed := lists.entries.Apply(changes.Entries) && !changes.Entries.Empty()
	changed = lists.servers.Apply(changes.Servers) && !changes.Servers.Empty() || changed
	if !before.IsZero() && lists.revisionLocked().Generation > before.Generation {
		lists.restorations++
		changed = true
	}
	if changed {
		lists.changeCount++
		lists.signal()
	}
	return changed
}

// signal wakes all waiters for a change; the caller holds the lock.
func (lists *lists) signal() {
	close(lists.changed)
	lists.changed = make(chan struct{})
}

// addRestoreGrace keeps items that are missing from pulled lists of a restored platform in use for instance.ReregistrationGrace.
func (lists *lists) addRestoreGrace(now time.Time, pulled *Lists) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	pulled.Entries = pulled.Entries.WithRestoreGrace(lists.entries.Revision(), now.Add(instance.ReregistrationGrace))
	pulled.Servers = pulled.Servers.WithRestoreGrace(lists.servers.Revision(), now.Add(instance.ReregistrationGrace))
}

// expire drops missing items whose grace period has ended and reports whether there were any.
func (lists *lists) expire(now time.Time) bool {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	expired := lists.entries.Expire(now)
	expired = lists.servers.Expire(now) || expired
	if expired {
		lists.changeCount++
	}
	return expired
}

// wake wakes all waiters for a change.
func (lists *lists) wake() {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	lists.signal()
}

// list returns both lists as one instance.List.
func (lists *lists) list() instance.List {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return instance.List{
		Entries: lists.entries.Values(), Servers: lists.servers.Values(),
		Changes: lists.changeCount, Restorations: lists.restorations,
	}
}

// recentlyRemoved reports whether a backend server was recently removed from the list.
func (lists *lists) recentlyRemoved(server string) bool {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return lists.servers.RecentlyRemoved(server)
}

// restorationCount returns the number of times that the platform was restored from an older copy.
func (lists *lists) restorationCount() uint64 {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return lists.restorations
}

// recordAge records the time at which the lists were current, given their age, and reports whether they are fresh.
func (lists *lists) recordAge(now time.Time, age time.Duration) bool {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	if at := now.Add(-age); at.After(lists.confirmedAt) {
		lists.confirmedAt = at
	}
	return age <= staleAfter
}

// recordPull updates the count of consecutive failed pulls.
func (lists *lists) recordPull(fresh bool) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	lists.failedPulls++
	if fresh {
		lists.failedPulls = 0
	}
}

// ListAge returns the time since the lists were known to be current, or 0 if the list is polled.
func (entry *Entry) ListAge(now time.Time) time.Duration {
	if entry.Feed == nil {
		return 0
	}
	entry.lists.mu.Lock()
	age := now.Sub(entry.lists.confirmedAt)
	entry.lists.mu.Unlock()
	if entry.watchesFeed() {
		age = min(age, entry.Feed.Age(now))
	}
	return age
}

// LoggedListAge returns a log field with the age of the lists. It is empty until the first lists arrive.
func (entry *Entry) LoggedListAge(now time.Time) zap.Field {
	age := entry.ListAge(now)
	if age == math.MaxInt64 {
		return zap.Skip()
	}
	return zap.Duration("list-age", age)
}

// watchers returns the instances that watch the platform for this instance's failure domain, in priority order.
func (entry *Entry) watchers() []instance.Entry {
	plan := entry.members.plan()
	// Computed once per plan because every pull needs them.
	plan.watchersOnce.Do(func() { plan.watchers = home.Watchers(plan.candidates, entry.Domain, watchersPerDomain) })
	return plan.watchers
}

// watchesFeed reports whether this instance watches the platform itself: it is the first watcher, or the watchers before it provide no
// fresh lists while the platform responds to this instance.
func (entry *Entry) watchesFeed() bool {
	entry.lists.mu.Lock()
	failedPulls := entry.lists.failedPulls
	entry.lists.mu.Unlock()
	watchers := entry.watchers()
	rank := slices.IndexFunc(watchers, func(watcher instance.Entry) bool { return watcher.Name == entry.Name })
	switch {
	case len(watchers) == 0 || rank == 0:
		return true
	case rank < 0:
		rank = maxFailedPulls
	}
	return failedPulls >= rank && entry.Feed.Age(entry.Clock()) <= staleAfter
}

// watchFeed watches the platform while this instance is the active watcher.
func (entry *Entry) watchFeed(ctx context.Context) {
	if entry.FirstStart {
		// All instances start at the same time, so a list is useful only after they have registered.
		wait.For(ctx, firstStartDelay)
	} else {
		entry.loadFromGroup(ctx)
	}
	for ctx.Err() == nil {
		if !entry.lists.revision().IsZero() && !entry.watchesFeed() {
			wait.For(ctx, roleCheckInterval)
			continue
		}
		lists, err := entry.Feed.Next(ctx, entry.lists.watchRevision())
		if err != nil {
			entry.count("lists.errors")
			entry.pullFromSeeds(ctx)
			wait.For(ctx, listRetryInterval)
			continue
		}
		now := entry.Clock()
		entry.lists.recordAge(now, entry.Feed.Age(now))
		switch {
		case lists.RulesError != nil:
			entry.rejectRules(lists.RulesError)
		case lists.Rules.Number > 0:
			entry.ApplyRules(lists.Rules.Number, lists.Rules.Text)
		}
		entry.lists.recordRulesRevision(lists.RulesRevision)
		if entry.lists.apply(lists) {
			entry.publishLists()
		}
	}
}

// pullFromSeeds pulls lists and rules from the seed instances when this instance starts while the platform does not respond.
func (entry *Entry) pullFromSeeds(ctx context.Context) {
	for _, address := range entry.Seeds {
		if !entry.lists.revision().IsZero() {
			return
		}
		if address == entry.Peer {
			continue
		}
		seed := Peer{"seed " + address.String(), address}
		pulled, err := entry.Peers.PullLists(ctx, seed, instance.Revision{}, maxPullWait)
		if err != nil || pulled.Entries.Revision.IsZero() {
			entry.count("lists.silent-seeds")
			continue
		}
		entry.Log.Info("instances: platform does not respond; using the lists of a seed instance", zap.Stringer("seed", address), zap.Duration("age", pulled.Age))
		if entry.lists.apply(pulled) {
			entry.publishLists()
		}
		entry.pullRulesWith(ctx, pulled, seed)
	}
}

// publishLists puts the current lists into use and updates the registrar's view of this instance.
func (entry *Entry) publishLists() {
	list, revision := entry.lists.list(), entry.lists.revision()
	entry.ApplyList(list)
	if entry.Registrar == nil || entry.IsLeaving() || revision.IsZero() {
		return
	}
	entry.Registrar.SetGeneration(revision.Generation)
	listed := slices.ContainsFunc(list.Entries, func(e instance.Entry) bool { return e.Name == entry.Name })
	entry.Registrar.SetListed(listed)
}

// pullLists keeps pulling the lists from the watchers of this failure domain.
func (entry *Entry) pullLists(ctx context.Context) {
	for ctx.Err() == nil {
		if !entry.pullOnce(ctx) {
			wait.For(ctx, listRetryInterval)
		}
	}
}

// pullOnce pulls from the first watcher with fresh lists and reports whether one was found. An instance without contact to the platform
// also asks the watchers after itself and then instances of other failure domains.
func (entry *Entry) pullOnce(ctx context.Context) bool {
	watchers := entry.watchers()
	if len(watchers) == 0 {
		return false
	}
	disconnected := entry.Feed.Age(entry.Clock()) > staleAfter
	for _, watcher := range watchers {
		if watcher.Name != entry.Name && entry.pullFresh(ctx, watcher) {
			return true
		}
		if watcher.Name == entry.Name && !disconnected {
			break
		}
	}
	if disconnected && entry.pullFromOtherDomains(ctx) {
		return true
	}
	entry.lists.recordPull(false)
	return false
}

// pullFresh pulls from an instance, applies its lists and reports whether they are fresh.
func (entry *Entry) pullFresh(ctx context.Context, from instance.Entry) bool {
	pulled, err := entry.Peers.PullLists(ctx, Peer{from.Name, from.Peer}, entry.lists.revision(), maxPullWait)
	if err != nil || pulled.Entries.Revision.IsZero() {
		entry.count("lists.silent-readers")
		return false
	}
	entry.applyPulled(pulled, entry.lists.apply)
	if !entry.lists.recordAge(entry.Clock(), pulled.Age) {
		return false
	}
	entry.lists.recordPull(true)
	return true
}

// applyPulled records the leaving servers that another instance sent and applies its lists with the given function.
func (entry *Entry) applyPulled(pulled Lists, apply func(Lists) bool) {
	entry.recordLeavingServers(pulled.LeavingServers)
	entry.recordPulledRules(pulled)
	entry.lists.addRestoreGrace(entry.Clock(), &pulled)
	if apply(pulled) {
		entry.publishLists()
	}
}

// expireLists drops items that went missing during an outage of the platform and were not announced again in time, and lifts the
// suppression of servers that departed before a restoration.
func (entry *Entry) expireLists(ctx context.Context) {
	runPeriodically(ctx, roleCheckInterval, func(context.Context) {
		now := entry.Clock()
		if entry.lists.expire(now) {
			entry.Log.Info("instances: dropped items that went missing during a platform outage and were not announced again")
			entry.publishLists()
		}
		if entry.expireSuppressed(now) {
			entry.Log.Info("instances: servers that left before the platform was restored are used again if still listed")
		}
	})
}

// announce keeps this instance registered with the platform until it leaves.
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

// HandlePullLists returns the changes of the lists after a revision. It waits for a change of the lists or the rules, but returns stale
// lists immediately so that the caller can ask another instance.
func (entry *Entry) HandlePullLists(revision instance.Revision, wait time.Duration) Lists {
	lists, changed := entry.lists.since(revision)
	wait = min(wait, maxPullWait, staleAfter-entry.ListAge(entry.Clock())+time.Millisecond)
	if lists.Entries.Empty() && lists.Servers.Empty() && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
			lists, _ = entry.lists.since(revision)
		case <-timer.C:
		}
	}
	// Read after RulesRevision, so that it is at least the version which that revision covers.
	lists.Rules.Number = entry.rules.load().version
	lists.Age = entry.ListAge(entry.Clock())
	lists.LeavingServers = entry.unlistedLeavingServers()
	return lists
}
