package entry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// Defaults and limits of directory responses.
const (
	DefaultDirectoryTTL = 5 * time.Second // how long callers may cache a response
	DefaultMaxAddresses = 8               // limit of addresses in a response
	// minNearbyAddresses is the number of addresses close to the caller from which more distant ones are omitted.
	minNearbyAddresses = 4
)

// Address describes an entry instance that accepts requests from callers.
type Address struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"failure-domain"`
	Region  string         `json:"region,omitempty"`
}

// Directory is the response to a lookup of the entry instances to use for a service.
type Directory struct {
	Service   string    `json:"service"`
	KeepUntil time.Time `json:"keep-until"`
	Addresses []Address `json:"addresses"`
}

// Lookup returns the addresses for a service in order of preference: the caller's failure domain, then its region, then
// rendezvous hashing of the service, which concentrates the callers of a service on few instances including its home.
//
// Instances that are unreachable from this one are returned only if no other instance is available.
func (entry *Entry) Lookup(service, domain, region string) Directory {
	plan := entry.members.plan()
	directory := Directory{Service: service, KeepUntil: entry.Clock().Add(entry.DirectoryTTL)}
	from := location{domain, region}
	chosen := plan.nearest(service, from, entry.MaxAddresses, entry.isUsable)
	if len(chosen) == 0 {
		chosen = plan.nearest(service, from, entry.MaxAddresses, func(*instance.Entry) bool { return true })
	}
	rotate(chosen, int(entry.lookups.Add(1)))
	for _, r := range chosen {
		directory.Addresses = append(directory.Addresses, addressOf(r.entry))
	}
	return directory
}

// location is where a caller reports to be; fields may be empty.
type location struct {
	domain, region string
}

// proximity returns 2 for an instance in the caller's failure domain, 1 for one in its region and 0 otherwise.
func (location location) proximity(entry *instance.Entry) int {
	switch {
	case location.domain != "" && entry.Domain == location.domain:
		return 2
	case location.region != "" && entry.Region == location.region:
		return 1
	}
	return 0
}

// ranked is an instance with its sort keys for a lookup.
type ranked struct {
	entry     *instance.Entry
	proximity int
	rank      home.Rank
}

// compareRanked sorts by descending proximity, then by descending rendezvous rank.
func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.proximity, a.proximity), b.rank.Compare(a.rank))
}

// nearest returns up to limit usable instances in order of preference.
func (plan *plan) nearest(service string, from location, limit int, usable func(*instance.Entry) bool) []ranked {
	key := home.Slice{Service: service}.Key()
	best := make([]ranked, 0, limit+1)
	for i := range plan.candidates {
		candidate := &plan.candidates[i]
		r := ranked{&candidate.Entry, from.proximity(&candidate.Entry), candidate.Rank(key)}
		if len(best) == limit && compareRanked(r, best[limit-1]) > 0 || !usable(&candidate.Entry) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, r, compareRanked)
		best = slices.Insert(best, at, r)
		best = best[:min(limit, len(best))]
	}
	return dropDistant(best)
}

// dropDistant omits distant instances when there are enough near ones, because traffic between failure domains is expensive.
func dropDistant(best []ranked) []ranked {
	for i := range best {
		if i >= minNearbyAddresses && best[i].proximity < best[0].proximity {
			return best[:i]
		}
	}
	return best
}

// rotate rotates the instances that are as close as the first one, which spreads callers that use only the first address.
func rotate(chosen []ranked, by int) {
	near := 0
	for near < len(chosen) && chosen[near].proximity == chosen[0].proximity {
		near++
	}
	if near == 0 {
		return
	}
	by %= near
	copy(chosen, append(slices.Clone(chosen[by:near]), chosen[:by]...))
}

// isUsable reports whether an instance is reachable from this one. This instance itself is usable unless it is leaving.
func (entry *Entry) isUsable(candidate *instance.Entry) bool {
	if candidate.Name == entry.Name {
		return !entry.IsLeaving()
	}
	return entry.Peers.Reachable(candidate.Name)
}

func addressOf(entry *instance.Entry) Address {
	return Address{Name: entry.Name, Address: entry.Caller, Domain: entry.Domain, Region: entry.Region}
}
