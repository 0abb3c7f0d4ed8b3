package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// otherDomainsInterval is the time between asks of other failure domains that brought nothing fresh.
const otherDomainsInterval = 500 * time.Millisecond

// roundRobin counts through the instances that are asked in turn; the zero value has asked none.
type roundRobin struct {
	mu       sync.Mutex
	count    uint64
	otherDomainsAt time.Time // when other failure domains may be asked again
}

// next returns the number of the next turn.
func (turns *roundRobin) next() uint64 {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	turns.count++
	return turns.count
}

// otherDomainsAfter returns when other failure domains may be asked.
func (turns *roundRobin) otherDomainsAfter() time.Time {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	return turns.otherDomainsAt
}

func (turns *roundRobin) delayOtherDomains(until time.Time) {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	turns.otherDomainsAt = until
}

// pullFromOtherDomains pulls from an instance of another failure domain, in turns, and reports whether its lists are fresh. Such pulls
// cost bytes between failure domains, and are spaced out while they bring nothing.
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

// nextRemotePeer returns the next reachable instance of another failure domain, or of this one if there is no other.
func (entry *Entry) nextRemotePeer() (instance.Entry, bool) {
	return entry.nextPeer(func(other instance.Entry) bool { return other.Domain != entry.Domain })
}

// nextLocalPeer returns the next reachable instance of the same failure domain, or of another one if this is the only one there.
func (entry *Entry) nextLocalPeer() (instance.Entry, bool) {
	return entry.nextPeer(func(other instance.Entry) bool { return other.Domain == entry.Domain && other.Name != entry.Name })
}

// nextPeer returns the next reachable instance of those that are preferred, or of all if there is none of them.
func (entry *Entry) nextPeer(preferred func(instance.Entry) bool) (instance.Entry, bool) {
	var near, all []instance.Entry
	for _, other := range entry.members.plan().entries {
		if other.Name == entry.Name || other.State != instance.Live || !entry.Peers.Reachable(other.Name) {
			continue
		}
		all = append(all, other)
		if preferred(other) {
			near = append(near, other)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return instance.Entry{}, false
	}
	// Instances that ask at the same time begin with different ones.
	first := xxhash.Sum64String(entry.Name)
	return near[(first+entry.turns.next())%uint64(len(near))], true
}
