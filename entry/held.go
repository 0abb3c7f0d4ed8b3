package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// heldGrants tracks the grants of this instance and the ejections reported by homes, so that a new home of a slice can restore
// this state.
type heldGrants struct {
	mu       sync.Mutex
	grants   map[uint64]*Grant
	lastHome map[home.Slice]string    // name of the home asked last
	lastUsed map[home.Slice]time.Time // time at which a grant was last held
	ejected  map[home.Slice][]pool.Ejected
}

func (heldGrants *heldGrants) add(grant *Grant) {
	heldGrants.mu.Lock()
	defer heldGrants.mu.Unlock()
	if heldGrants.grants == nil {
		heldGrants.grants = map[uint64]*Grant{}
	}
	heldGrants.grants[grant.ask.Attempt] = grant
	if heldGrants.lastUsed == nil {
		heldGrants.lastUsed = map[home.Slice]time.Time{}
	}
	heldGrants.lastUsed[grant.Slice] = grant.entry.Clock()
}

func (heldGrants *heldGrants) remove(attempt uint64) {
	heldGrants.mu.Lock()
	defer heldGrants.mu.Unlock()
	delete(heldGrants.grants, attempt)
}

// count returns the number of grants held.
func (heldGrants *heldGrants) count() int {
	heldGrants.mu.Lock()
	defer heldGrants.mu.Unlock()
	return len(heldGrants.grants)
}

// recordHome records which home is asked for a slice and reports whether it replaces a different one.
func (heldGrants *heldGrants) recordHome(slice home.Slice, name string) bool {
	heldGrants.mu.Lock()
	defer heldGrants.mu.Unlock()
	if heldGrants.lastHome == nil {
		heldGrants.lastHome = map[home.Slice]string{}
	}
	last, known := heldGrants.lastHome[slice]
	heldGrants.lastHome[slice] = name
	return known && last != name
}

func (heldGrants *heldGrants) setEjected(slice home.Slice, ejected []pool.Ejected) {
	heldGrants.mu.Lock()
	defer heldGrants.mu.Unlock()
	if len(ejected) == 0 {
		delete(heldGrants.ejected, slice)
		return
	}
	if heldGrants.ejected == nil {
		heldGrants.ejected = map[home.Slice][]pool.Ejected{}
	}
	heldGrants.ejected[slice] = ejected
}

func (heldGrants *heldGrants) ejectedIn(slice home.Slice) []pool.Ejected {
	heldGrants.mu.Lock()
	defer heldGrants.mu.Unlock()
	return heldGrants.ejected[slice]
}

// renewal returns the renewal for a slice's home, including the servers known to be leaving.
func (entry *Entry) renewal(slice home.Slice) SliceRenewal {
	renewal := entry.held.renewal(slice)
	renewal.Snapshot.Leaving = entry.leavingServers(slice)
	return renewal
}

// renewal returns the grants held in a slice and the ejections reported by its home.
func (heldGrants *heldGrants) renewal(slice home.Slice) SliceRenewal {
	heldGrants.mu.Lock()
	defer heldGrants.mu.Unlock()
	out := SliceRenewal{Slice: slice, Snapshot: pool.Snapshot{Ejected: heldGrants.ejected[slice]}}
	for attempt, grant := range heldGrants.grants {
		if grant.Slice == slice {
			out.Grants = append(out.Grants, pool.HeldGrant{Attempt: attempt, Server: grant.Server, Team: grant.ask.Team})
		}
	}
	return out
}

// idleRenewalDuration is how long renewals for a slice continue after its last grant. It covers several renewals, so that the home
// reclaims the slot of a grant whose final report was lost.
const idleRenewalDuration = 15 * time.Second

// activeSlices returns the slices in which grants are held or were held within idleRenewalDuration.
func (heldGrants *heldGrants) activeSlices(now time.Time) []home.Slice {
	heldGrants.mu.Lock()
	defer heldGrants.mu.Unlock()
	for _, grant := range heldGrants.grants {
		heldGrants.lastUsed[grant.Slice] = now
	}
	var out []home.Slice
	for slice, at := range heldGrants.lastUsed {
		if now.Sub(at) > idleRenewalDuration {
			delete(heldGrants.lastUsed, slice)
			continue
		}
		out = append(out, slice)
	}
	return out
}

// renewGrants renews the held grants periodically until the context ends.
func (entry *Entry) renewGrants(ctx context.Context) {
	runPeriodically(ctx, entry.Intervals.Renew, entry.renewAll)
}

func (entry *Entry) renewAll(ctx context.Context) {
	byHome := map[Peer]*Renewal{}
	for _, slice := range entry.held.activeSlices(entry.Clock()) {
		renewal := entry.renewal(slice)
		entry.renewLocally(slice, renewal)
		deciders := entry.deciders(slice)
		if len(deciders) == 0 || deciders[0].Name == entry.Name {
			continue
		}
		peer := Peer{deciders[0].Name, deciders[0].Peer}
		if byHome[peer] == nil {
			byHome[peer] = &Renewal{}
		}
		byHome[peer].Slices = append(byHome[peer].Slices, renewal)
	}
	for peer, renewal := range byHome {
		// If a renewal is lost, the next round replaces it: a lease lasts several rounds.
		_ = entry.Peers.Renew(ctx, peer, *renewal)
	}
}

// renewLocally renews the grants issued by this instance's own pools.
func (entry *Entry) renewLocally(slice home.Slice, renewal SliceRenewal) {
	entry.HandleRenew(entry.Name, entry.Domain, Renewal{Slices: []SliceRenewal{renewal}})
	if !entry.localPools.has(slice) {
		return
	}
	now := entry.Clock()
	local := entry.held.grantsFrom(slice, &entry.localPools)
	entry.localPools.withPool(now, &entry.members, slice, func(sp *slicePool) {
		sp.pool.Renew(now, entry.Name, entry.Domain, local)
	})
}

// grantsFrom returns the grants held in a slice that the given pools issued.
func (heldGrants *heldGrants) grantsFrom(slice home.Slice, pools *pools) []pool.HeldGrant {
	heldGrants.mu.Lock()
	defer heldGrants.mu.Unlock()
	var out []pool.HeldGrant
	for attempt, grant := range heldGrants.grants {
		if grant.Slice == slice && grant.pools == pools {
			out = append(out, pool.HeldGrant{Attempt: attempt, Server: grant.Server, Team: grant.ask.Team})
		}
	}
	return out
}
