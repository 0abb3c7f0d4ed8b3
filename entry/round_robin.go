package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// otherDomainsInterval is the delay after a pull from another failure domain that returned no fresh lists.
const otherDomainsInterval = 500 * time.Millisecond

// roundRobin selects peers in round robin and limits the rate of pulls from other failure domains. The zero value is ready to use.
type roundRobin struct {
	mu             sync.Mutex
	count          uint64
	otherDomainsAt time.Time // earliest time of the next pull from other failure domains
}

// next returns the number of the next selection.
func (roundRobin *roundRobin) next() uint64 {
	roundRobin.mu.Lock()
	defer roundRobin.mu.Unlock()
	roundRobin.count++
	return roundRobin.count
}

// otherDomainsAfter returns the earliest time of the next pull from other failure domains.
func (roundRobin *roundRobin) otherDomainsAfter() time.Time {
	roundRobin.mu.Lock()
	defer roundRobin.mu.Unlock()
	return roundRobin.otherDomainsAt
}

func (roundRobin *roundRobin) delayOtherDomains(until time.Time) {
	roundRobin.mu.Lock()
	defer roundRobin.mu.Unlock()
	roundRobin.otherDomainsAt = until
}

// pullFromOtherDomains pulls from the next instance of another failure domain and reports whether its lists are fresh. Traffic between
// failure domains is expensive, so pulls are delayed after one without fresh lists.
func (entry *Entry) pullFromOtherDomains(ctx context.Context) bool {
	now := entry.Clock()
	if now.Before(entry.turns.otherDomainsAfter()) {
		return false
	}
	other, found := entry.nextRemotePeer()
	if found && entry.pullFresh(ctx, other) {
		entry.count("lists.from-other-domains")
		return true
	}
	entry.turns.delayOtherDomains(now.Add(otherDomainsInterval))
	return false
}

// nextRemotePeer returns the next reachable instance of another failure domain, or of this one if there is no other domain.
func (entry *Entry) nextRemotePeer() (instance.Entry, bool) {
	return entry.nextPeer(func(other instance.Entry) bool { return other.Domain != entry.Domain })
}

// nextLocalPeer returns the next reachable instance of the same failure domain, or of another one if it has no other instance.
func (entry *Entry) nextLocalPeer() (instance.Entry, bool) {
	return entry.nextPeer(func(other instance.Entry) bool { return other.Domain == entry.Domain && other.Name != entry.Name })
}

// nextPeer returns the next reachable live instance among the preferred ones, or among all if none is preferred.
func (entry *Entry) nextPeer(preferred func(instance.Entry) bool) (instance.Entry, bool) {
	var candidates, all []instance.Entry
	for _, other := range entry.members.plan().entries {
		if other.Name == entry.Name || other.State != instance.Live || !entry.Peers.Reachable(other.Name) {
			continue
		}
		all = append(all, other)
		if preferred(other) {
			candidates = append(candidates, other)
		}
	}
	if len(candidates) == 0 {
		candidates = all
	}
	if len(candidates) == 0 {
		return instance.Entry{}, false
	}
	// The hash offset makes instances that ask at the same time start with different peers.
	first := xxhash.Sum64String(entry.Name)
	return candidates[(first+entry.turns.next())%uint64(len(candidates))], true
}
