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

// GroupedFeed is a Feed that can cheaply read a small group of the listed instances. All members of a group get the same result.
type GroupedFeed interface {
	// Group returns the listed members of this instance's group.
	Group(ctx context.Context) ([]instance.Entry, error)
}

// Limits of a mass restart. The platform's network link cannot carry full lists to all starting instances at once, so in each group one
// instance per failure domain reads them from the platform and the others pull them from it.
const (
	// minGroupSize is the group size from which instances pull the lists from their group. In smaller fleets all can read from the
	// platform at once, which is faster than pulling from instances that are starting as well.
	minGroupSize       = 12
	startSources       = 2                       // instances of a group to pull from
	startSourceTimeout = 1200 * time.Millisecond // per preceding source, before reading from the platform instead
	startRetryInterval = 50 * time.Millisecond   // between attempts
)

// loadFromGroup pulls the lists and the rules from preceding instances of the same group. It returns without them if this instance is
// the first of the group or none provides fresh lists in time.
func (entry *Entry) loadFromGroup(ctx context.Context) {
	grouped, ok := entry.Feed.(GroupedFeed)
	if !ok {
		return
	}
	group, err := grouped.Group(ctx)
	if err != nil {
		entry.Log.Info("instances: could not read the group of this instance; reading the full lists from the platform", zap.Error(err))
		return
	}
	if len(group) < minGroupSize {
		return
	}
	sources := home.Watchers(home.Candidates(group), entry.Domain, startSources)
	if i := slices.IndexFunc(sources, func(e instance.Entry) bool { return e.Name == entry.Name }); i >= 0 {
		sources = sources[:i]
	}
	until := entry.Clock().Add(time.Duration(len(sources)) * startSourceTimeout)
	for ctx.Err() == nil && entry.Clock().Before(until) {
		for _, other := range sources {
			if entry.loadFrom(ctx, other) {
				entry.count("lists.from-group")
				entry.Log.Info("instances: loaded the lists from another instance of the group", zap.String("instance", other.Name))
				return
			}
		}
		wait.For(ctx, startRetryInterval)
	}
}

// startPrefix prefixes the names of peers that are asked at startup. They may be starting as well, so a missing response must not mark
// them as unreachable homes.
const startPrefix = "start "

func startPeer(other instance.Entry) Peer { return Peer{startPrefix + other.Name, other.Peer} }

// loadFrom pulls lists and rules from an instance that may be starting as well, and reports whether its lists were fresh.
func (entry *Entry) loadFrom(ctx context.Context, other instance.Entry) bool {
	peer := startPeer(other)
	pulled, err := entry.Peers.PullLists(ctx, peer, instance.Revision{}, maxPullWait)
	if err != nil || pulled.Entries.Revision.IsZero() || pulled.Age > staleAfter {
		return false
	}
	entry.pullRulesWith(ctx, pulled, peer)
	entry.recordLeavingServers(pulled.LeavingServers)
	if entry.lists.apply(pulled) {
		entry.publishLists()
	}
	entry.lists.recordAge(entry.Clock(), pulled.Age)
	return true
}

// Limits of the synchronization of leaving servers at startup.
const (
	leavingSyncPeers   = 2                      // instances to ask
	leavingSyncTimeout = 300 * time.Millisecond // in total, after which the instance becomes ready without all responses
)

// syncLeavingServers asks other instances which servers reported that they are leaving, before this instance becomes ready: a restart
// loses the notices it had received.
func (entry *Entry) syncLeavingServers(ctx context.Context) {
	defer entry.initialSyncDone.Store(true)
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
			entry.Log.Debug("instances: could not get the leaving servers from a peer", zap.String("peer", other.Name), zap.Error(err))
			continue
		}
		entry.recordLeavingServers(pulled.LeavingServers)
	}
}
