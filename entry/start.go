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
	before := home.Readers(home.Candidates(group), entry.Domain, startRanks)
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

// startFrom learns lists and rules from an instance that may be starting as well, and reports whether it has fresh ones.
func (entry *Entry) startFrom(ctx context.Context, other instance.Entry) bool {
	// A name of its own keeps its silence from speaking against the instance as a home.
	peer := Peer{"start " + other.Name, other.Peer}
	pulled, err := entry.Peers.PullLists(ctx, peer, 0, pullWait)
	if err != nil || pulled.Entries.Revision == 0 || pulled.Age > staleAfter {
		return false
	}
	entry.pullFrom(ctx, peer, entry.rules.load().version)
	if entry.lists.apply(pulled) {
		entry.listsChanged()
	}
	entry.lists.heard(entry.Clock(), pulled.Age)
	return true
}
