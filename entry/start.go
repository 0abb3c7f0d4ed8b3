package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// GroupedFeed is a Feed that can read a small group of the instances at little cost. All instances of a group are told the same.
type GroupedFeed interface {
	// Group returns the listed instances of this instance's group.
	Group(ctx context.Context) ([]instance.Entry, error)
}

// Start of an instance while many others start: the platform's link does not carry whole lists to all of them at once. Each failure
// domain's part of a group has one instance that reads the platform's lists, and the others learn them from it.
const (
	// minGroupSize is the size from which the lists are learnt from the group. In smaller fleets the platform's link is wide enough for
	// all to read them at once, and instances that start at the same moment are slower to tell each other.
	minGroupSize    = 12
	startSources    = 2                       // instances of a group that may be asked
	startSourceTimeout = 1200 * time.Millisecond // with each of those that go before, until the platform's lists are read after all
	startRetryInterval    = 50 * time.Millisecond   // between tries
)

// loadFromGroup learns the lists and the rules from an instance of the same group, unless this one is the first of them or they
// do not have fresh lists in time.
func (entry *Entry) loadFromGroup(ctx context.Context) {
	grouped, ok := entry.Feed.(GroupedFeed)
	if !ok {
		return
	}
	group, err := grouped.Group(ctx)
	if err != nil {
		entry.Log.Info("instances: the group of this instance could not be read, the platform's lists are", zap.Error(err))
		return
	}
	if len(group) < minGroupSize {
		return
	}
	before := home.Watchers(home.Candidates(group), entry.Domain, startSources)
	if i := slices.IndexFunc(before, func(e instance.Entry) bool { return e.Name == entry.Name }); i >= 0 {
		before = before[:i]
	}
	until := entry.Clock().Add(time.Duration(len(before)) * startSourceTimeout)
	for ctx.Err() == nil && entry.Clock().Before(until) {
		for _, other := range before {
			if entry.loadFrom(ctx, other) {
				entry.count("lists.from-group")
				entry.Log.Info("instances: the lists are from another instance of the group", zap.String("instance", other.Name))
				return
			}
		}
		wait.For(ctx, startRetryInterval)
	}
}

// startPrefix begins the names of instances that are asked at a start. They may be starting as well, and their silence must not speak
// against them as homes.
const startPrefix = "start "

func startPeer(other instance.Entry) Peer { return Peer{startPrefix + other.Name, other.Peer} }

// loadFrom learns lists and rules from an instance that may be starting as well, and reports whether it has fresh ones.
func (entry *Entry) loadFrom(ctx context.Context, other instance.Entry) bool {
	peer := startPeer(other)
	pulled, err := entry.Peers.PullLists(ctx, peer, instance.Revision{}, maxPullWait)
	if err != nil || pulled.Entries.Revision.IsZero() || pulled.Age > staleAfter {
		return false
	}
	entry.pullRulesFrom(ctx, peer, entry.rules.load().version)
	entry.recordLeavingServers(pulled.LeavingServers)
	if entry.lists.apply(pulled) {
		entry.publishLists()
	}
	entry.lists.recordAge(entry.Clock(), pulled.Age)
	return true
}

// Introduction of an instance that has just learnt the lists.
const (
	leavingSyncPeers = 2                      // instances that are asked
	leavingSyncTimeout = 300 * time.Millisecond // for all of them, after which the instance is ready all the same
)

// syncLeavingServers asks other instances which servers are leaving by their own word, before this one counts as ready: what it knew of them
// before a restart is lost.
func (entry *Entry) syncLeavingServers(ctx context.Context) {
	defer entry.introduced.Store(true)
	for entry.lists.revision().IsZero() && ctx.Err() == nil {
		wait.For(ctx, startRetryInterval)
	}
	ctx, cancel := context.WithTimeout(ctx, leavingSyncTimeout)
	defer cancel()
	asked := 0
	for _, other := range append(slices.Clone(entry.watchers()), entry.members.plan().entries...) {
		if other.Name == entry.Name || asked == leavingSyncPeers {
			continue
		}
		asked++
		pulled, err := entry.Peers.PullLists(ctx, startPeer(other), entry.lists.revision(), 0)
		if err != nil {
			entry.Log.Debug("instances: a peer did not tell which servers are leaving", zap.String("peer", other.Name), zap.Error(err))
			continue
		}
		entry.recordLeavingServers(pulled.LeavingServers)
	}
}
