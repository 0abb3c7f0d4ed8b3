package entry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// Defaults of directory answers.
const (
	DefaultKeep      = 5 * time.Second // how long callers may keep an answer
	DefaultAddresses = 8               // most addresses in an answer
	// leastNear is how many addresses near the caller are enough for an answer without farther ones.
	leastNear = 4
)

// Address is an entry instance that callers may use.
type Address struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"failure-domain"`
	Region  string         `json:"region,omitempty"`
}

// Directory is an answer to a caller's question which addresses to use.
type Directory struct {
	Service   string    `json:"service"`
	KeepUntil time.Time `json:"keep-until"`
	Addresses []Address `json:"addresses"`
}

// Lookup returns the addresses for a service, best first: the caller's failure domain, then its region, then by
// rendezvous for the service, so that the callers of one service meet at few instances, its home among them.
//
// Instances that cannot be reached from here are named only when there is no other.
func (entry *Entry) Lookup(service, domain, region string) Directory {
	plan := entry.members.plan()
	directory := Directory{Service: service, KeepUntil: entry.Clock().Add(entry.DirectoryTTL)}
	from := locality{domain, region}
	chosen := plan.nearest(service, from, entry.MaxAddresses, entry.usable)
	if len(chosen) == 0 {
		chosen = plan.nearest(service, from, entry.MaxAddresses, func(*instance.Entry) bool { return true })
	}
	rotate(chosen, int(entry.lookups.Add(1)))
	for _, r := range chosen {
		directory.Addresses = append(directory.Addresses, addressOf(r.entry))
	}
	return directory
}

// locality is where a caller is, as far as it says.
type locality struct {
	domain, region string
}

// nearness grades an instance for the caller, 2 for its failure domain and 1 for its region.
func (locality locality) nearness(entry *instance.Entry) int {
	switch {
	case locality.domain != "" && entry.Domain == locality.domain:
		return 2
	case locality.region != "" && entry.Region == locality.region:
		return 1
	}
	return 0
}

// ranked is an instance with its rank in an answer.
type ranked struct {
	entry    *instance.Entry
	nearness int
	rank     home.Rank
}

// compareRanked orders better instances first.
func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.nearness, a.nearness), b.rank.Compare(a.rank))
}

// nearest returns the best usable instances for an answer, in order.
func (plan *plan) nearest(service string, from locality, most int, usable func(*instance.Entry) bool) []ranked {
	key := home.Slice{Service: service}.Key()
	best := make([]ranked, 0, most+1)
	for i := range plan.candidates {
		candidate := &plan.candidates[i]
		r := ranked{&candidate.Entry, from.nearness(&candidate.Entry), candidate.Rank(key)}
		if len(best) == most && compareRanked(r, best[most-1]) > 0 || !usable(&candidate.Entry) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, r, compareRanked)
		best = slices.Insert(best, at, r)
		best = best[:min(most, len(best))]
	}
	return trimFar(best)
}

// trimFar leaves farther instances out of an answer that has enough near ones: bytes between failure domains are dear.
func trimFar(best []ranked) []ranked {
	for i := range best {
		if i >= leastNear && best[i].nearness < best[0].nearness {
			return best[:i]
		}
	}
	return best
}

// rotate shifts the instances that are as near as the first one, so that callers who take the first address are spread.
func rotate(chosen []ranked, by int) {
	near := 0
	for near < len(chosen) && chosen[near].nearness == chosen[0].nearness {
		near++
	}
	if near == 0 {
		return
	}
	by %= near
	copy(chosen, append(slices.Clone(chosen[by:near]), chosen[:by]...))
}

// usable reports whether an instance can be reached from here; this one is usable unless it leaves.
func (entry *Entry) usable(candidate *instance.Entry) bool {
	if candidate.Name == entry.Name {
		return !entry.IsLeaving()
	}
	return entry.Peers.Reachable(candidate.Name)
}

func addressOf(entry *instance.Entry) Address {
	return Address{Name: entry.Name, Address: entry.Caller, Domain: entry.Domain, Region: entry.Region}
}
