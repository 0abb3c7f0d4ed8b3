package idempotency

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/home"
)

// Pacing of the table's changes, so that many instances do not write at once.
const (
	dropAfter    = 3 * time.Second        // the list must not show a member for so long before it is dropped
	dropStagger  = 500 * time.Millisecond // more for each member that ranks before this one for the task
	mostStagger  = 30 * time.Second
	firstBackoff = 250 * time.Millisecond // after a swap that failed, doubled each time, with jitter
	mostBackoff  = 8 * time.Second
)

// Keeper is an Owner that keeps the table true: it joins, leaves, drops members that are gone, and confirms
// what it has taken over. Self must be set.
//
// A Keeper is not safe for concurrent use.
type Keeper struct {
	Owner
	Leaving bool // set once the instance leaves

	revision uint64
	listed   bool // the latest list shows this instance
	listAt   time.Time
	missing  map[Incarnation]time.Time
	byName   map[string]Incarnation // members of the table by instance
	failures int                    // swaps failed in a row
	swapAt   time.Time
}

// Listing is a reading of the instance list, as a Keeper needs it.
type Listing struct {
	At    time.Time // time the platform vouches for, or of the reading if it does not say
	AsOf  time.Time // time the platform vouches for, zero if it does not say
	Names []string  // listed entry instances, sorted
	Self  bool      // this instance is among them, under its own address
}

// shows reports whether the list shows an incarnation: its name is listed, and no newer incarnation has that name.
func (keeper *Keeper) shows(listing *Listing, incarnation Incarnation) bool {
	name := incarnation.Name()
	_, found := slices.BinarySearch(listing.Names, name)
	newest, member := keeper.byName[name]
	return found && (!member || newest == incarnation)
}

// TableRead takes in a table that was asked for at a time. Being a member in it is a sight.
func (keeper *Keeper) TableRead(asked time.Time, table *Table, revision uint64) {
	known := keeper.Table()
	if known != nil && table.Epoch < known.Epoch {
		return
	}
	if known == nil || table.Epoch > known.Epoch {
		keeper.byName = make(map[string]Incarnation, len(table.Members))
		for _, member := range table.Members {
			keeper.byName[member.Name()] = member
		}
	}
	keeper.Adopt(table)
	keeper.revision = revision
	if table.Has(keeper.Self) {
		keeper.Sight(asked)
	}
}

// Revision returns the store's revision of the newest table.
func (keeper *Keeper) Revision() uint64 { return keeper.revision }

// ListRead takes in a reading of the instance list. Where the list says how old it is, being in it prolongs a sight. It
// does not begin one: once a sight has lapsed, others may have been served, and only the table tells.
func (keeper *Keeper) ListRead(listing Listing) {
	table := keeper.Table()
	keeper.listed = listing.Self
	keeper.Present(listing.At, func(i Incarnation) bool { return keeper.shows(&listing, i) })
	keeper.noteMissing(listing)
	seen := listing.AsOf.Add(-Skew)
	if listing.Self && !listing.AsOf.IsZero() && table != nil && table.Has(keeper.Self) && keeper.Serving(seen) {
		keeper.Sight(seen)
	}
	keeper.listAt = listing.At
}

// noteMissing keeps since when the list has not shown members of the table.
func (keeper *Keeper) noteMissing(listing Listing) {
	table := keeper.Table()
	if table == nil {
		return
	}
	missing := map[Incarnation]time.Time{}
	for _, member := range table.Members {
		if keeper.shows(&listing, member) {
			continue
		}
		since, known := keeper.missing[member]
		if !known || listing.At.Sub(keeper.listAt) > listGap {
			since = listing.At
		}
		missing[member] = since
	}
	keeper.missing = missing
}

// Tick returns what is to be done now.
func (keeper *Keeper) Tick(now time.Time) Actions {
	actions := Actions{Revision: keeper.revision}
	table := keeper.Table()
	if table == nil {
		return actions
	}
	var confirm map[int]uint64
	actions.Ask, confirm = keeper.tick(now)
	if !now.Before(keeper.swapAt) {
		actions.Swap, actions.Reason = keeper.nextTable(table, confirm)
	}
	return actions
}

// Swapped takes in whether the table was written. After a failure the next try waits.
func (keeper *Keeper) Swapped(now time.Time, done bool) {
	if done {
		keeper.failures = 0
		return
	}
	backoff := min(mostBackoff, firstBackoff<<min(keeper.failures, 10))
	keeper.failures++
	jitter := xxhash.Sum64String(string(keeper.Self)+strconv.Itoa(keeper.failures)) % uint64(backoff)
	keeper.swapAt = now.Add(backoff/2 + time.Duration(jitter)/2)
}

// nextTable returns the change that the table needs most, or nil.
func (keeper *Keeper) nextTable(table *Table, confirm map[int]uint64) (*Table, string) {
	member := table.Has(keeper.Self)
	switch {
	case keeper.Leaving && member && len(table.Members) > 1:
		return table.Change([]Incarnation{keeper.Self}, nil), "left"
	case !keeper.Leaving && !member:
		return table.Change(nil, []Incarnation{keeper.Self}), "joined"
	}
	if gone := keeper.gone(); len(gone) > 0 && keeper.listed && !keeper.Leaving {
		return table.Change(gone, nil), "dropped members"
	}
	if len(confirm) > 0 {
		return table.Confirm(keeper.Self, confirm), "confirmed partitions"
	}
	return nil, ""
}

// gone returns the members that the list has not shown for long enough.
func (keeper *Keeper) gone() []Incarnation {
	var out []Incarnation
	for member, since := range keeper.missing {
		if member != keeper.Self && keeper.listAt.Sub(since) >= dropAfter+keeper.stagger(member) {
			out = append(out, member)
		}
	}
	slices.Sort(out)
	return out
}

// stagger returns how much longer this instance waits to drop a member than the one that ranks first for it.
func (keeper *Keeper) stagger(member Incarnation) time.Duration {
	key := xxhash.Sum64String(string(member))
	own := home.Score(key, xxhash.Sum64String(string(keeper.Self)))
	before := 0
	for _, other := range keeper.Table().Members {
		if _, gone := keeper.missing[other]; !gone && home.Score(key, xxhash.Sum64String(string(other))) > own {
			before++
		}
	}
	return min(mostStagger, time.Duration(before)*dropStagger)
}

// Released reports whether nothing awaits this instance's keys any more.
func (keeper *Keeper) Released() bool {
	table := keeper.Table()
	if table == nil || table.Has(keeper.Self) {
		return table == nil || len(table.Members) == 1
	}
	return !slices.ContainsFunc(table.Partitions, func(row Partition) bool { return slices.Contains(row.Pending, keeper.Self) })
}
