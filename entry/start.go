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
	// leastGroup is the size from which the lists are learnt from the group. In smaller fleets the platform's link is wide enough for
	// all to read them at once, and instances that start at the same moment are slower to tell each other.
	leastGroup    = 12
	startRanks    = 2                       // instances of a group that may be asked
	startPatience = 1200 * time.Millisecond // with each of those that go before, until the platform's lists are read after all
	startPause    = 50 * time.Millisecond   // between tries
)

// startFromGroup learns the lists and the rules from an instance of the same group, unless this one is the first of them or they
// do not have fresh lists in time.
func (entry *Entry) startFromGroup(ctx context.Context) {
	grouped, ok := entry.Feed.(GroupedFeed)
	if !ok {
		return
	}
	group, err := grouped.Group(ctx)
	if err != nil {
		entry.Log.Info("instances: the group of this instance could not be read, the platform's lists are", zap.Error(err))
		return
	}
	if len(group) < leastGroup {
		return
	}
	before := home.Watchers(home.Candidates(group), entry.Domain, startRanks)
	if i := slices.IndexFunc(before, func(e instance.Entry) bool { return e.Name == entry.Name }); i >= 0 {
		before = before[:i]
	}
	until := entry.Clock().Add(time.Duration(len(before)) * startPatience)
	for ctx.Err() == nil && entry.Clock().Before(until) {
		for _, other := range before {
			if entry.startFrom(ctx, other) {
				entry.count("lists.from-group")
				entry.Log.Info("instances: the lists are from another instance of the group", zap.String("instance", other.Name))
				return
			}
		}
		wait.For(ctx, startPause)
	}
}

// startName begins the names of instances that are asked at a start. They may be starting as well, and their silence must not speak
// against them as homes.
const startName = "start "

func startPeer(other instance.Entry) Peer { return Peer{startName + other.Name, other.Peer} }

// startFrom learns lists and rules from an instance that may be starting as well, and reports whether it has fresh ones.
func (entry *Entry) startFrom(ctx context.Context, other instance.Entry) bool {
	peer := startPeer(other)
	pulled, err := entry.Peers.PullLists(ctx, peer, instance.Revision{}, pullWait)
	if err != nil || pulled.Entries.Revision.IsZero() || pulled.Age > staleAfter {
		return false
	}
	entry.pullFrom(ctx, peer, entry.rules.load().version)
	entry.toldOf(pulled.Leavers)
	if entry.lists.apply(pulled) {
		entry.listsChanged()
	}
	entry.lists.heard(entry.Clock(), pulled.Age)
	return true
}

// Introduction of an instance that has just learnt the lists.
const (
	introductions = 2                      // instances that are asked
	introduceMost = 300 * time.Millisecond // for all of them, after which the instance is ready all the same
)

// introduce asks other instances which servers are leaving by their own word, before this one counts as ready: what it knew of them
// before a restart is lost.
func (entry *Entry) introduce(ctx context.Context) {
	defer entry.initialSyncDone.Store(true)
	for entry.lists.revision().IsZero() && ctx.Err() == nil {
		wait.For(ctx, startPause)
	}
	ctx, cancel := context.WithTimeout(ctx, introduceMost)
	defer cancel()
	asked := 0
	for _, other := range append(slices.Clone(entry.readers()), entry.members.plan().entries...) {
		if other.Name == entry.Name || asked == introductions {
			continue
		}
		asked++
		pulled, err := entry.Peers.PullLists(ctx, startPeer(other), entry.lists.revision(), 0)
		if err != nil {
			entry.Log.Debug("instances: a peer did not tell which servers are leaving", zap.String("peer", other.Name), zap.Error(err))
			continue
		}
		entry.toldOf(pulled.Leavers)
	}
}
