package idempotency

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/home"
)

// Incarnation names one run of an entry instance's process: the instance's name, a slash and a unique part.
type Incarnation string

// NewIncarnation returns the incarnation of an instance's run.
func NewIncarnation(name, unique string) Incarnation {
	return Incarnation(name + "/" + unique)
}

// Name returns the instance's name.
func (incarnation Incarnation) Name() string {
	name, _, _ := strings.Cut(string(incarnation), "/")
	return name
}

// Partition is a table row.
type Partition struct {
	Owner   Incarnation
	Since   uint64        // epoch at which the owner got it
	Pending []Incarnation // earlier owners that the owner has not confirmed to have stopped
}

// Table names the owner of each partition. A Table is immutable once shared; the zero value has no members.
type Table struct {
	Epoch      uint64
	Members    []Incarnation
	Partitions []Partition // Partitions rows, or none before the first member
}

// Check returns an error when a table read from the store breaks its own rules.
func (table *Table) Check() error {
	if len(table.Members) == 0 && len(table.Partitions) == 0 {
		return nil
	}
	if len(table.Partitions) != Partitions {
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

// Has reports whether an incarnation is a member.
func (table *Table) Has(incarnation Incarnation) bool {
	return slices.Contains(table.Members, incarnation)
}

// Change returns the next table, with some members dropped and some joined; nil when nothing changes.
//
// A joining member replaces an earlier incarnation of the same name. A member is the owner of the
// partitions for which it ranks highest, so only the partitions of changed members move.
func (table *Table) Change(drop []Incarnation, join []Incarnation) *Table {
	members := slices.DeleteFunc(slices.Clone(table.Members), func(m Incarnation) bool {
		return slices.Contains(drop, m) || replaced(m, join)
	})
	for _, member := range join {
		if !slices.Contains(members, member) {
			members = append(members, member)
		}
	}
	if slices.Equal(members, table.Members) || len(members) == 0 {
		return nil
	}
	next := &Table{Epoch: table.Epoch + 1, Members: members, Partitions: make([]Partition, Partitions)}
	copy(next.Partitions, table.Partitions)
	hashes := make([]uint64, len(members))
	for i, member := range members {
		hashes[i] = xxhash.Sum64String(string(member))
	}
	for p := range next.Partitions {
		next.assign(p, members[highest(uint64(p), hashes)])
	}
	return next
}

func replaced(member Incarnation, join []Incarnation) bool {
	return slices.ContainsFunc(join, func(j Incarnation) bool {
		return j.Name() == member.Name() && j != member
	})
}

func highest(partition uint64, hashes []uint64) int {
	key := partition*0x9e3779b97f4a7c15 + 1
	best, score := 0, uint64(0)
	for i, hash := range hashes {
		if s := home.Score(key, hash); i == 0 || s > score {
			best, score = i, s
		}
	}
	return best
}

// assign gives a partition to an owner and keeps the one before as pending.
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

// Confirm returns the next table, in which an owner's partitions have no pending earlier owners; nil when nothing changes.
//
// Only rows that the owner holds since the epoch it settled are cleared.
func (table *Table) Confirm(owner Incarnation, settled map[int]uint64) *Table {
	next := &Table{Epoch: table.Epoch + 1, Members: table.Members, Partitions: slices.Clone(table.Partitions)}
	changed := false
	for p, since := range settled {
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
