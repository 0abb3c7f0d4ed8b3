package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// held is what this instance holds from homes, in case a home is lost.
type held struct {
	mu      sync.Mutex
	grants  map[uint64]*Grant
	homes   map[home.Slice]string    // name of the home asked last
	used    map[home.Slice]time.Time // when a grant was last held
	ejected map[home.Slice][]pool.Ejected
}

func (held *held) add(grant *Grant) {
	held.mu.Lock()
	defer held.mu.Unlock()
	if held.grants == nil {
		held.grants = map[uint64]*Grant{}
	}
	held.grants[grant.ask.Attempt] = grant
	if held.used == nil {
		held.used = map[home.Slice]time.Time{}
	}
	held.used[grant.Slice] = grant.entry.Clock()
}

func (held *held) remove(attempt uint64) {
	held.mu.Lock()
	defer held.mu.Unlock()
	delete(held.grants, attempt)
}

// count returns the number of grants held.
func (held *held) count() int {
	held.mu.Lock()
	defer held.mu.Unlock()
	return len(held.grants)
}

func (held *held) isNewHome(slice home.Slice, name string) bool {
	held.mu.Lock()
	defer held.mu.Unlock()
	if held.homes == nil {
		held.homes = map[home.Slice]string{}
	}
	last, known := held.homes[slice]
	held.homes[slice] = name
	return known && last != name
}

func (held *held) setEjected(slice home.Slice, ejected []pool.Ejected) {
	held.mu.Lock()
	defer held.mu.Unlock()
	if len(ejected) == 0 {
		delete(held.ejected, slice)
		return
	}
	if held.ejected == nil {
		held.ejected = map[home.Slice][]pool.Ejected{}
	}
	held.ejected[slice] = ejected
}

func (held *held) ejectedIn(slice home.Slice) []pool.Ejected {
	held.mu.Lock()
	defer held.mu.Unlock()
	return held.ejected[slice]
}

// renewal returns what to tell a slice's home.
func (entry *Entry) renewal(slice home.Slice) SliceRenewal {
	renewal := entry.held.renewal(slice)
	renewal.Standing.Leaving = entry.leavingServers(slice)
	return renewal
}

// renewal returns the grants held from a slice's home, and the ejections known there.
func (held *held) renewal(slice home.Slice) SliceRenewal {
	held.mu.Lock()
	defer held.mu.Unlock()
	out := SliceRenewal{Slice: slice, Standing: pool.Snapshot{Ejected: held.ejected[slice]}}
	for attempt, grant := range held.grants {
		if grant.Slice == slice {
			out.Held = append(out.Held, pool.HeldGrant{Attempt: attempt, Server: grant.Server, Team: grant.ask.Team})
		}
	}
	return out
}

// tellFor is how long a slice's home is told of the grants held after the last one was taken, so that one whose report was lost
// does not keep its slot. It is a few renewals.
const tellFor = 15 * time.Second

// slices returns the slices in which grants are held or were of late.
func (held *held) slices(now time.Time) []home.Slice {
	held.mu.Lock()
	defer held.mu.Unlock()
	for _, grant := range held.grants {
		held.used[grant.Slice] = now
	}
	var out []home.Slice
	for slice, at := range held.used {
		if now.Sub(at) > tellFor {
			delete(held.used, slice)
			continue
		}
		out = append(out, slice)
	}
	return out
}

// renewGrants renews the grants held until the context ends.
func (entry *Entry) renewGrants(ctx context.Context) {
	every(ctx, entry.Intervals.Renew, entry.renewAll)
}

func (entry *Entry) renewAll(ctx context.Context) {
	byHome := map[Peer]*Renewal{}
	for _, slice := range entry.held.slices(entry.Clock()) {
		renewal := entry.renewal(slice)
		entry.renewHere(slice, renewal)
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
		// The next round makes a lost renewal good; a lease lasts several rounds.
		_ = entry.Peers.Renew(ctx, peer, *renewal)
	}
}

// renewHere renews the grants that this instance's own pools gave.
func (entry *Entry) renewHere(slice home.Slice, renewal SliceRenewal) {
	entry.HandleRenew(entry.Name, entry.Domain, Renewal{Slices: []SliceRenewal{renewal}})
	if !entry.alone.has(slice) {
		return
	}
	now := entry.Clock()
	alone := entry.held.heldFrom(slice, &entry.alone)
	entry.alone.with(now, &entry.members, slice, func(sp *slicePool) {
		sp.pool.Renew(now, entry.Name, entry.Domain, alone)
	})
}

// heldFrom returns the grants of a slice that some pools here gave.
func (held *held) heldFrom(slice home.Slice, local *homes) []pool.HeldGrant {
	held.mu.Lock()
	defer held.mu.Unlock()
	var out []pool.HeldGrant
	for attempt, grant := range held.grants {
		if grant.Slice == slice && grant.local == local {
			out = append(out, pool.HeldGrant{Attempt: attempt, Server: grant.Server, Team: grant.ask.Team})
		}
	}
	return out
}
