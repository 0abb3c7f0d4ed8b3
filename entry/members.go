package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// members is what this instance knows of entry instances and backend servers.
type members struct {
	mu      sync.Mutex
	view    instance.View
	retries RetryBudget
	current atomic.Pointer[plan]
}

// plan is one immutable combination of rules and list.
type plan struct {
	version    uint64
	set        *rules.Set
	entries    []instance.Entry
	candidates []home.Candidate
	byName     map[string]instance.Entry
	listed     []instance.Server
	servers    map[string][]instance.Server // those listed, by service
	retries    RetryBudget
	// restorations is how often the platform had come back from an older copy by the list of this plan.
	restorations uint64

	readersOnce sync.Once
	readers     []instance.Entry // see listReaders

	placeMu sync.RWMutex
	places  map[home.Slice]place
}

// place is where a slice is decided; an empty name means nowhere.
type place struct {
	home, deputy instance.Entry
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
		places:     map[home.Slice]place{},
	}
	for _, e := range entries {
		p.byName[e.Name] = e
	}
	for _, s := range servers {
		p.servers[s.Service] = append(p.servers[s.Service], s)
	}
	return p
}

// rebuild makes a new plan of the rules in force and the members, and returns the one before and it.
func (entry *Entry) rebuild(now time.Time) (old, next *plan) {
	members := &entry.members
	members.mu.Lock()
	defer members.mu.Unlock()
	old = members.plan()
	// The rules are read under the lock: of two versions that come at once, the later one is not replaced by the other's plan.
	next = newPlan(old.version+1, entry.rules.load().set, members.view.Entries(now), members.view.Servers(now))
	next.retries, next.restorations = members.retries, members.view.Restorations()
	members.current.Store(next)
	return old, next
}

// expireBars lets what left before a restoration be used again in time, if it is listed, and reports whether there was any.
func (entry *Entry) expireBars(now time.Time) bool {
	vouched := now.Add(-entry.ListAge(now))
	entry.members.mu.Lock()
	expired := entry.members.view.ExpireSuppressed(vouched)
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

// place returns a slice's home and deputy.
func (plan *plan) place(slice home.Slice) place {
	plan.placeMu.RLock()
	found, known := plan.places[slice]
	plan.placeMu.RUnlock()
	if known {
		return found
	}
	first, deputy := home.Choose(slice, plan.candidates)
	if first >= 0 {
		found.home = plan.candidates[first].Entry
	}
	if deputy >= 0 {
		found.deputy = plan.candidates[deputy].Entry
	}
	plan.placeMu.Lock()
	plan.places[slice] = found
	plan.placeMu.Unlock()
	return found
}

// pool returns the policy and the members of a slice's pool.
func (plan *plan) pool(slice home.Slice) (pool.Policy, []pool.Member) {
	slices := plan.slices(slice.Service)
	policy := pool.Policy{}
	if service := plan.set.Service(slice.Service); service != nil {
		policy = pool.PolicyOf(service, slices)
	}
	policy.Servers = len(plan.servers[slice.Service])
	policy.RetryShare, policy.RetryBurst = plan.retries.Share, plan.retries.Burst/float64(slices)
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

// followInstances reads the instance list until the context ends.
func (entry *Entry) followInstances(ctx context.Context) {
	runPeriodically(ctx, entry.Intervals.List, entry.readInstances)
}

func (entry *Entry) readInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 5*entry.Intervals.List)
	defer cancel()
	list, err := entry.Instances.List(ctx)
	if err != nil {
		entry.count("instances.errors")
		entry.Log.Warn("instances: the list could not be read, the known one stays", zap.Error(err))
		return
	}
	entry.ApplyList(list)
}

// ApplyList takes in a reading of the instance list.
func (entry *Entry) ApplyList(list instance.List) {
	now := entry.Clock()
	entry.members.mu.Lock()
	if entry.members.view.Confirm(list) {
		entry.members.mu.Unlock()
		entry.observeList(list)
		return
	}
	before, restorations := entry.members.view.Digest(now), entry.members.view.Restorations()
	taken := entry.members.view.Apply(now, list)
	restored := list.Restorations > restorations
	changed := taken && (restored || entry.members.view.Digest(now) != before)
	entry.members.mu.Unlock()
	if !taken {
		entry.Log.Warn("instances: a stale or empty list was not taken", zap.Uint64("changes", list.Changes))
		return
	}
	if restored {
		entry.count("lists.restored")
		entry.Log.Warn("instances: the lists are from an older copy of the platform's, what had left of late stays unused for a while",
			zap.Stringer("revision", entry.lists.revision()), entry.LoggedListAge(now))
	}
	if changed {
		old, next := entry.rebuild(now)
		entry.notices.follow(now, next)
		entry.Log.Info("instances: the list changed",
			zap.Int("entries", len(list.Entries)), zap.Int("backend-servers", len(list.Servers)), entry.LoggedListAge(now),
			zap.Dict("instances", differenceFields(instance.DiffEntries(old.entries, next.entries))...),
			zap.Dict("servers", differenceFields(instance.DiffServers(old.listed, next.listed))...))
	}
	entry.observeList(list)
}

// mostNames bounds the names in a line on a changed list; the first reading and the loss of a rack change many.
const mostNames = 16

// differenceFields returns what a log line tells of a difference, without what is empty.
func differenceFields(difference instance.Diff) []zap.Field {
	var fields []zap.Field
	for _, part := range []struct {
		key   string
		names []string
	}{{"joined", difference.Joined}, {"leaving", difference.Draining}, {"gone", difference.Departed}} {
		if len(part.names) == 0 {
			continue
		}
		fields = append(fields, zap.Int(part.key+"-count", len(part.names)), zap.Strings(part.key, part.names[:min(mostNames, len(part.names))]))
	}
	return fields
}

// MarkLeaving takes in another instance's own word that it is leaving.
func (entry *Entry) MarkLeaving(name string) {
	now := entry.Clock()
	entry.members.mu.Lock()
	entry.members.view.MarkLeaving(now, name)
	entry.members.mu.Unlock()
	entry.rebuild(now)
	entry.Log.Info("instances: an instance says that it is leaving", zap.String("instance", name))
}

// MarkStarted takes in another instance's word that it has started.
func (entry *Entry) MarkStarted(name string) {
	entry.members.mu.Lock()
	cleared := entry.members.view.ClearLeaving(name)
	entry.members.mu.Unlock()
	if cleared {
		entry.rebuild(entry.Clock())
	}
	entry.greet(name)
}
