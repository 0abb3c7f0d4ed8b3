package idempotency

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/home"
)

// Delays that spread out table writes, so that many instances do not write at the same time.
const (
	dropTimeout        = 3 * time.Second        // absence from the instance list before a member is removed
	dropStaggerStep    = 500 * time.Millisecond // additional delay for each member that ranks higher for the removal
	maxDropStagger     = 30 * time.Second
	initialSwapBackoff = 250 * time.Millisecond // after a failed compare-and-swap; doubled on each further failure, with jitter
	maxSwapBackoff     = 8 * time.Second
)

// Coordinator is an Owner that also maintains the ownership table: it joins and leaves as a member, removes departed
// members, and confirms the partitions it has taken over. Self must be set.
//
// A Coordinator is not safe for concurrent use.
type Coordinator struct {
	Owner
	Leaving bool // the instance is leaving

	revision     uint64
	selfListed   bool // the latest list contains this instance
	listTime     time.Time
	missingSince map[Incarnation]time.Time
	byName       map[string]Incarnation // members of the table by instance name
	swapFailures int                    // consecutive failed swaps
	nextSwapAt   time.Time
}

// ListSnapshot is the state of the instance list at one time.
type ListSnapshot struct {
	At           time.Time // as-of time reported by the platform, or the read time if it reports none
	AsOf         time.Time // as-of time reported by the platform; zero if it reports none
	Names        []string  // listed entry instances, sorted
	IncludesSelf bool      // the list contains this instance under its own address
}

// isListed reports whether an incarnation's name is listed and the table has no other incarnation of that name.
func (coordinator *Coordinator) isListed(list *ListSnapshot, incarnation Incarnation) bool {
	name := incarnation.Name()
	_, found := slices.BinarySearch(list.Names, name)
	newest, member := coordinator.byName[name]
	return found && (!member || newest == incarnation)
}

// ObserveTable adopts a table and its revision; a table older than the known one is ignored. If this incarnation is a
// member, its lease is renewed from the time the read was sent.
func (coordinator *Coordinator) ObserveTable(asked time.Time, table *Table, revision uint64) {
	known := coordinator.Table()
	if known != nil && table.Epoch < known.Epoch {
		return
	}
	if known == nil || table.Epoch > known.Epoch {
		coordinator.byName = make(map[string]Incarnation, len(table.Members))
		for _, member := range table.Members {
			coordinator.byName[member.Name()] = member
		}
	}
	coordinator.Adopt(table)
	coordinator.revision = revision
	if table.HasMember(coordinator.Self) {
		coordinator.RenewLease(asked)
	}
}

// Revision returns the store revision of the newest table.
func (coordinator *Coordinator) Revision() uint64 { return coordinator.revision }

// ObserveList records a snapshot of the instance list. A snapshot that has an as-of time and contains this instance
// extends a valid lease. It does not restore an expired one, because the partitions may have new owners by then, which
// only the table shows.
func (coordinator *Coordinator) ObserveList(list ListSnapshot) {
	table := coordinator.Table()
	coordinator.selfListed = list.IncludesSelf
	coordinator.UpdateAbsent(list.At, func(i Incarnation) bool { return coordinator.isListed(&list, i) })
	coordinator.updateMissing(list)
	observedAt := list.AsOf.Add(-MaxClockSkew)
	if list.IncludesSelf && !list.AsOf.IsZero() && table != nil && table.HasMember(coordinator.Self) && coordinator.LeaseValid(observedAt) {
		coordinator.RenewLease(observedAt)
	}
	coordinator.listTime = list.At
}

// updateMissing records since when members of the table have been missing from the list. After a gap of more than
// maxListGap between snapshots the time starts again, because a member may have been listed in between.
func (coordinator *Coordinator) updateMissing(list ListSnapshot) {
	table := coordinator.Table()
	if table == nil {
		return
	}
	missingSince := map[Incarnation]time.Time{}
	for _, member := range table.Members {
		if coordinator.isListed(&list, member) {
			continue
		}
		since, known := coordinator.missingSince[member]
		if !known || list.At.Sub(coordinator.listTime) > maxListGap {
			since = list.At
		}
		missingSince[member] = since
	}
	coordinator.missingSince = missingSince
}

// Tick returns the actions that are due.
func (coordinator *Coordinator) Tick(now time.Time) Actions {
	actions := Actions{Revision: coordinator.revision}
	table := coordinator.Table()
	if table == nil {
		return actions
	}
	var takenOver map[int]uint64
	actions.Handovers, takenOver = coordinator.advanceTakeovers(now)
	if !now.Before(coordinator.nextSwapAt) {
		actions.NewTable, actions.Reason = coordinator.nextTable(table, takenOver)
	}
	return actions
}

// RecordSwap records whether a compare-and-swap of the table succeeded. After a failure the next one is delayed by a
// backoff with jitter.
func (coordinator *Coordinator) RecordSwap(now time.Time, succeeded bool) {
	if succeeded {
		coordinator.swapFailures = 0
		return
	}
	backoff := min(maxSwapBackoff, initialSwapBackoff<<min(coordinator.swapFailures, 10))
	coordinator.swapFailures++
	jitter := xxhash.Sum64String(string(coordinator.Self)+strconv.Itoa(coordinator.swapFailures)) % uint64(backoff)
	coordinator.nextSwapAt = now.Add(backoff/2 + time.Duration(jitter)/2)
}

// nextTable returns the most urgent change to the table and its reason, or nil.
func (coordinator *Coordinator) nextTable(table *Table, takenOver map[int]uint64) (*Table, string) {
	member := table.HasMember(coordinator.Self)
	switch {
	case coordinator.Leaving && member && len(table.Members) > 1:
		return table.ChangeMembers([]Incarnation{coordinator.Self}, nil), "left"
	case !coordinator.Leaving && !member:
		return table.ChangeMembers(nil, []Incarnation{coordinator.Self}), "joined"
	}
	if departed := coordinator.departed(); len(departed) > 0 && coordinator.selfListed && !coordinator.Leaving {
		return table.ChangeMembers(departed, nil), "dropped members"
	}
	if len(takenOver) > 0 {
		return table.ClearPending(coordinator.Self, takenOver), "confirmed partitions"
	}
	return nil, ""
}

// departed returns the members that have been missing from the list for long enough to be removed by this instance.
func (coordinator *Coordinator) departed() []Incarnation {
	var out []Incarnation
	for member, since := range coordinator.missingSince {
		if member != coordinator.Self && coordinator.listTime.Sub(since) >= dropTimeout+coordinator.dropStagger(member) {
			out = append(out, member)
		}
	}
	slices.Sort(out)
	return out
}

// dropStagger returns how much longer this instance waits to remove a member than the highest-ranked instance does.
func (coordinator *Coordinator) dropStagger(member Incarnation) time.Duration {
	key := xxhash.Sum64String(string(member))
	own := home.Score(key, xxhash.Sum64String(string(coordinator.Self)))
	higherRanked := 0
	for _, other := range coordinator.Table().Members {
		if _, missing := coordinator.missingSince[other]; !missing && home.Score(key, xxhash.Sum64String(string(other))) > own {
			higherRanked++
		}
	}
	return min(maxDropStagger, time.Duration(higherRanked)*dropStaggerStep)
}

// HandoverComplete reports whether no other instance waits for this instance's keys.
func (coordinator *Coordinator) HandoverComplete() bool {
	table := coordinator.Table()
	if table == nil || table.HasMember(coordinator.Self) {
		return table == nil || len(table.Members) == 1
	}
	return !slices.ContainsFunc(table.Partitions, func(row Partition) bool { return slices.Contains(row.Pending, coordinator.Self) })
}
