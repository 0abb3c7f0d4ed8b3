package entry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// Directory answers.
const (
	KeepLength     = 5 * time.Second // how long callers may keep an answer
	directoryMost  = 8               // addresses in an answer
	directoryLeast = 1               // below it unreachable instances are named too
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
func (entry *Entry) Lookup(service, domain, region string) Directory {
	plan := entry.members.plan()
	directory := Directory{Service: service, KeepUntil: entry.Clock().Add(KeepLength)}
	all := entry.ranked(plan, service, domain, region)
	for _, candidate := range all {
		if len(directory.Addresses) < directoryMost && entry.usable(candidate) {
			directory.Addresses = append(directory.Addresses, addressOf(candidate))
		}
	}
	if len(directory.Addresses) >= directoryLeast {
		rotate(directory.Addresses, near(all, domain, region), int(entry.lookups.Add(1)))
		return directory
	}
	for _, candidate := range all[:min(directoryMost, len(all))] {
		directory.Addresses = append(directory.Addresses, addressOf(candidate))
	}
	return directory
}

// near returns how many of the ranked instances are as near to the caller as the first one.
func near(ranked []instance.Entry, domain, region string) int {
	same := func(e instance.Entry) [2]bool {
		return [2]bool{domain != "" && e.Domain == domain, region != "" && e.Region == region}
	}
	n := 0
	for n < len(ranked) && same(ranked[n]) == same(ranked[0]) {
		n++
	}
	return n
}

// rotate shifts the nearest addresses, so that callers who take the first one are spread.
func rotate(addresses []Address, near, by int) {
	nearest := addresses[:min(near, len(addresses))]
	if len(nearest) == 0 {
		return
	}
	by %= len(nearest)
	copy(nearest, append(slices.Clone(nearest[by:]), nearest[:by]...))
}

// usable reports whether an instance can be reached from here; this one is usable unless it leaves.
func (entry *Entry) usable(candidate instance.Entry) bool {
	if candidate.Name == entry.Name {
		return !entry.IsLeaving()
	}
	return entry.Peers.Reachable(candidate.Name)
}

func (entry *Entry) ranked(plan *plan, service, domain, region string) []instance.Entry {
	type scored struct {
		entry instance.Entry
		near  int
		score uint64
	}
	key := xxhash.Sum64String(service)
	all := make([]scored, 0, len(plan.candidates))
	for _, candidate := range plan.candidates {
		near := 0
		if domain != "" && candidate.Entry.Domain == domain {
			near = 2
		} else if region != "" && candidate.Entry.Region == region {
			near = 1
		}
		all = append(all, scored{candidate.Entry, near, home.Weight(key, xxhash.Sum64String(candidate.Entry.Name))})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.near, a.near), cmp.Compare(b.score, a.score))
	})
	out := make([]instance.Entry, len(all))
	for i := range all {
		out[i] = all[i].entry
	}
	return out
}

func addressOf(entry instance.Entry) Address {
	return Address{Name: entry.Name, Address: entry.Caller, Domain: entry.Domain, Region: entry.Region}
}
