package idempotency

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/home"
)

// Incarnation identifies one run of an entry instance's process: the instance's name, a slash and a unique part.
type Incarnation string

// NewIncarnation returns the incarnation for an instance's name and a part that is unique to the run.
func NewIncarnation(name, unique string) Incarnation {
	return Incarnation(name + "/" + unique)
}

// Name returns the instance's name.
func (incarnation Incarnation) Name() string {
	name, _, _ := strings.Cut(string(incarnation), "/")
	return name
}

// Partition is the table row of one key partition.
type Partition struct {
	Owner   Incarnation
	Since   uint64        // epoch at which the owner got the partition
	Pending []Incarnation // earlier owners that are not confirmed to have stopped
}

// Table assigns an owner to each partition. A Table must not change once it is shared; the zero value has no members.
type Table struct {
	Epoch      uint64
	Members    []Incarnation
	Partitions []Partition // PartitionCount rows, or none before the first member joins
}

// Check returns an *Error of KindMalformed if a table read from the store is inconsistent.
func (table *Table) Check() error {
	if len(table.Members) == 0 && len(table.Partitions) == 0 {
		return nil
	}
	if len(table.Partitions) != PartitionCount {
		return &Error{Op: "check-table", Kind: KindMalformed, Reason: "wrong number of partitions"}
	}
	known := map[Incarnation]bool{}
	for _, member := range table.Members {
		known[member] = true
	}
	for _, row := range table.Partitions {
		if len(table.Members) > 0 && !known[row.Owner] || row.Since > table.Epoch {
			return &Error{Op: "check-table", Kind: KindMalformed, Reason: "partition with an unknown owner or epoch"}
		}
	}
	return nil
}

// HasMember reports whether an incarnation is a member.
func (table *Table) HasMember(incarnation Incarnation) bool {
	return slices.Contains(table.Members, incarnation)
}

// ChangeMembers returns the next table with members removed and added, or nil if nothing changes or no member is left.
//
// A joining member replaces an earlier incarnation of the same name. Partitions are assigned by
// rendezvous hashing, so only partitions of changed members move.
func (table *Table) ChangeMembers(drop []Incarnation, join []Incarnation) *Table {
	members := slices.DeleteFunc(slices.Clone(table.Members), func(m Incarnation) bool {
		return slices.Contains(drop, m) || isReplaced(m, join)
	})
	for _, member := range join {
		if !slices.Contains(members, member) {
			members = append(members, member)
		}
	}
	if slices.Equal(members, table.Members) || len(members) == 0 {
		return nil
	}
	next := &Table{Epoch: table.Epoch + 1, Members: members, Partitions: make([]Partition, PartitionCount)}
	copy(next.Partitions, table.Partitions)
	hashes := make([]uint64, len(members))
	for i, member := range members {
		hashes[i] = xxhash.Sum64String(string(member))
	}
	for p := range next.Partitions {
		next.assign(p, members[highestRanked(uint64(p), hashes)])
	}
	return next
}

func isReplaced(member Incarnation, join []Incarnation) bool {
	return slices.ContainsFunc(join, func(j Incarnation) bool {
		return j.Name() == member.Name() && j != member
	})
}

// highestRanked returns the index of the member with the highest rendezvous score for a partition.
func highestRanked(partition uint64, hashes []uint64) int {
	key := partition*0x9e3779b97f4a7c15 + 1
	best, score := 0, uint64(0)
	for i, hash := range hashes {
		if s := home.Score(key, hash); i == 0 || s > score {
			best, score = i, s
		}
	}
	return best
}

// assign sets the owner of a partition and adds the previous owner to the pending ones.
func (table *Table) assign(p int, owner Incarnation) {
	row := table.Partitions[p]
	if row.Owner == owner {
		return
	}
	pending := slices.Clone(row.Pending)
	if row.Owner != "" && !slices.Contains(pending, row.Owner) {
		pending = append(pending, row.Owner)
	}
	table.Partitions[p] = Partition{Owner: owner, Since: table.Epoch, Pending: pending}
}

// ClearPending returns the next table without pending earlier owners in the partitions taken over by an owner, or nil if
// nothing changes.
//
// The map takenOver gives the epoch of ownership by partition. A partition that was reassigned since that epoch is not cleared.
func (table *Table) ClearPending(owner Incarnation, takenOver map[int]uint64) *Table {
	next := &Table{Epoch: table.Epoch + 1, Members: table.Members, Partitions: slices.Clone(table.Partitions)}
	changed := false
	for p, since := range takenOver {
		row := &next.Partitions[p]
		if row.Owner == owner && row.Since == since && len(row.Pending) > 0 {
			row.Pending = nil
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return next
}
