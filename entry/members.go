package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// members holds the entry instances and backend servers known to this instance.
type members struct {
	mu       sync.Mutex
	view     instance.View
	retries  RetryBudget
	locality Locality
	current  atomic.Pointer[plan]
}

// plan is an immutable snapshot of the rules and the instance list, with lookups derived from them. Placements are cached on demand.
type plan struct {
	version    uint64
	set        *rules.Set
	entries    []instance.Entry
	candidates []home.Candidate
	// candidateChanges is how often the candidates have changed, and candidatesAt when they last did.
	candidateChanges uint64
	candidatesAt     time.Time
	byName           map[string]instance.Entry
	listed           []instance.Server
	servers          map[string][]instance.Server // listed servers by service
	retries          RetryBudget
	locality         Locality
	askers           pool.Askers
	// restorations is the number of restorations of the platform from an older copy, as of this plan's list.
	restorations uint64

	watchersOnce sync.Once
	watchers     []instance.Entry // see watchersPerDomain

	placementsMu sync.RWMutex
	placements   map[home.Slice]placement

	countersMu sync.Mutex
	counters   map[string][]Peer // by team, see Entry.Counters
}

// placement is the home of a slice and its standby; an instance without a name means none.
type placement struct {
	home, standby instance.Entry
}

func (members *members) init() {
	members.current.Store(newPlan(0, &rules.Set{}, nil, nil))
}

func (members *members) plan() *plan { return members.current.Load() }

func newPlan(version uint64, set *rules.Set, entries []instance.Entry, servers []instance.Server) *plan {
	p := &plan{
		version: version, set: set, entries: entries, listed: servers,
		candidates: home.Candidates(entries),
		byName:     map[string]instance.Entry{},
		servers:    map[string][]instance.Server{},
		placements: map[home.Slice]placement{},
		counters:   map[string][]Peer{},
	}
	for _, e := range entries {
		p.byName[e.Name] = e
	}
	for _, s := range servers {
		p.servers[s.Service] = append(p.servers[s.Service], s)
	}
	return p
}

// rebuild creates a plan from the rules in force and the current members. It returns the previous plan and the new one.
func (entry *Entry) rebuild(now time.Time) (old, next *plan) {
	members := &entry.members
	members.mu.Lock()
	defer members.mu.Unlock()
	old = members.plan()
	// Reading the rules under the lock prevents a concurrent rebuild from replacing this plan with one of an older version.
	next = newPlan(old.version+1, entry.rules.load().set, members.view.Entries(now), members.view.Servers(now))
	next.retries, next.locality, next.restorations = members.retries, members.locality, members.view.Restorations()
	next.candidateChanges, next.candidatesAt = old.candidateChanges, old.candidatesAt
	if !slices.EqualFunc(old.candidates, next.candidates, func(a, b home.Candidate) bool {
		return a.Entry.Name == b.Entry.Name && a.Entry.Processor == b.Entry.Processor
	}) {
		next.candidateChanges, next.candidatesAt = old.candidateChanges+1, now
	}
	next.askers = old.askers.Update(now, len(next.entries))
	members.current.Store(next)
	return old, next
}

// expireSuppressed ends the suppression of servers that left before a restoration, and reports whether any was suppressed.
func (entry *Entry) expireSuppressed(now time.Time) bool {
	asOf := now.Add(-entry.ListAge(now))
	entry.members.mu.Lock()
	expired := entry.members.view.ExpireSuppressed(asOf)
	entry.members.mu.Unlock()
	if expired {
		entry.rebuild(now)
	}
	return expired
}

// server returns a listed backend server.
func (plan *plan) server(name string) (instance.Server, bool) {
	return instance.FindServer(plan.listed, name)
}

// slices returns how many slices a service has.
func (plan *plan) slices(service string) int {
	return home.SliceCount(len(plan.servers[service]))
}

// place returns a slice's home and standby.
func (plan *plan) place(slice home.Slice) placement {
	plan.placementsMu.RLock()
	found, known := plan.placements[slice]
	plan.placementsMu.RUnlock()
	if known {
		return found
	}
	first, standby := home.Choose(slice, plan.candidates)
	if first >= 0 {
		found.home = plan.candidates[first].Entry
	}
	if standby >= 0 {
		found.standby = plan.candidates[standby].Entry
	}
	plan.placementsMu.Lock()
	plan.placements[slice] = found
	plan.placementsMu.Unlock()
	return found
}

// pool returns the policy and the backend servers of a slice's pool.
func (plan *plan) pool(slice home.Slice) (pool.Policy, []pool.Member) {
	slices := plan.slices(slice.Service)
	policy := pool.Policy{}
	if service := plan.set.Service(slice.Service); service != nil {
		policy = pool.PolicyOf(service, slices)
	}
	policy.Servers = len(plan.servers[slice.Service])
	policy.RetryShare = plan.retries.Share
	policy.Locality, policy.BytePrice = plan.locality.Enabled, plan.locality.BytePrice
	var out []pool.Member
	for _, s := range plan.servers[slice.Service] {
		if home.SliceIndex(s.Name, slices) != slice.Index {
			continue
		}
		out = append(out, pool.Member{
			Name: s.Name, Domain: s.Domain, Address: s.Address, Slots: s.Slots, Leaving: s.State == instance.Leaving,
			Started: s.Started, WarmAt: s.WarmAt,
		})
	}
	return policy, out
}

// pollInstances polls the instance list until the context ends.
func (entry *Entry) pollInstances(ctx context.Context) {
	runPeriodically(ctx, entry.Intervals.List, entry.readInstances)
}

func (entry *Entry) readInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 5*entry.Intervals.List)
	defer cancel()
	list, err := entry.Instances.List(ctx)
	if err != nil {
		entry.count("instances.errors")
		entry.Log.Warn("instances: could not read the list; keeping the current one", zap.Error(err))
		return
	}
	entry.ApplyList(list)
}

// ApplyList puts a new instance list into use. It ignores lists that are empty or older than the current one.
func (entry *Entry) ApplyList(list instance.List) {
	now := entry.Clock()
	entry.members.mu.Lock()
	if entry.members.view.Confirm(list) {
		entry.members.mu.Unlock()
		entry.observeList(list)
		return
	}
	before, restorations := entry.members.view.Digest(now), entry.members.view.Restorations()
	applied := entry.members.view.Apply(now, list)
	restored := list.Restorations > restorations
	changed := applied && (restored || entry.members.view.Digest(now) != before)
	entry.members.mu.Unlock()
	if !applied {
		entry.Log.Warn("instances: ignored a stale or empty list", zap.Uint64("changes", list.Changes))
		return
	}
	if restored {
		entry.count("lists.restored")
		entry.Log.Warn("instances: platform was restored from an older copy; servers that left recently stay unused for a while",
			zap.Stringer("revision", entry.lists.revision()), entry.LoggedListAge(now))
	}
	if changed {
		previous, next := entry.rebuild(now)
		entry.notices.prune(now, next)
		entry.Log.Info("instances: the list changed",
			zap.Int("entries", len(list.Entries)), zap.Int("backend-servers", len(list.Servers)), entry.LoggedListAge(now),
			zap.Dict("instances", diffFields(instance.DiffEntries(previous.entries, next.entries))...),
			zap.Dict("servers", diffFields(instance.DiffServers(previous.listed, next.listed))...))
	}
	entry.observeList(list)
}

// maxLoggedNames limits the names in a log line about a list change: the first list and the loss of a rack change many items.
const maxLoggedNames = 16

// diffFields returns the log fields for a difference of two lists, omitting empty parts.
func diffFields(difference instance.Diff) []zap.Field {
	var fields []zap.Field
	for _, part := range []struct {
		key   string
		names []string
	}{{"joined", difference.Joined}, {"leaving", difference.Draining}, {"gone", difference.Departed}} {
		if len(part.names) == 0 {
			continue
		}
		fields = append(fields, zap.Int(part.key+"-count", len(part.names)), zap.Strings(part.key, part.names[:min(maxLoggedNames, len(part.names))]))
	}
	return fields
}

// MarkLeaving records an instance's notification that it is leaving.
func (entry *Entry) MarkLeaving(name string) {
	now := entry.Clock()
	entry.members.mu.Lock()
	entry.members.view.MarkLeaving(now, name)
	entry.members.mu.Unlock()
	entry.rebuild(now)
	entry.Log.Info("instances: an instance reported that it is leaving", zap.String("instance", name))
}

// MarkStarted records an instance's notification that it has started, and sends it the known leaving servers.
func (entry *Entry) MarkStarted(name string) {
	entry.members.mu.Lock()
	cleared := entry.members.view.ClearLeaving(name)
	entry.members.mu.Unlock()
	if cleared {
		entry.rebuild(entry.Clock())
	}
	entry.greet(name)
}
