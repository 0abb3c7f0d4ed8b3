package idempotency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxStoreWritesPerSecond is the write rate that the platform's store accepts ("several hundred").
const maxStoreWritesPerSecond = 500

// TestRestartOfAFailureDomain restarts a sixth of 880 instances at once, which must not overload the store with table
// writes. It checks the writes in the busiest second and that all partitions are served again.
//
// Only the first swap in each quarter of a second succeeds. That is worse than in production, where the table is read
// right before each swap.
func TestRestartOfAFailureDomain(t *testing.T) {
	const instances, restarted, timeout = 880, 147, 5 * time.Minute
	var names []string
	var members []Incarnation
	for i := range instances {
		names = append(names, fmt.Sprintf("entry-%03d", i))
		members = append(members, NewIncarnation(names[i], "1"))
	}
	table, revision := (&Table{}).ChangeMembers(nil, members), uint64(1)
	var coordinators []*Coordinator
	for i := range instances {
		run := "1"
		if i < restarted {
			run = "2"
		}
		coordinators = append(coordinators, &Coordinator{Owner: Owner{Self: NewIncarnation(names[i], run)}})
		coordinators[i].ObserveTable(start, table, revision)
	}
	writes, successfulSwaps, maxWritesPerSecond := 0, 0, 0
	now := start
	for ; now.Before(start.Add(timeout)); now = now.Add(time.Second) {
		writesThisSecond := 0
		for quarter := range 4 {
			at := now.Add(time.Duration(quarter) * 250 * time.Millisecond)
			before := revision
			for i, coordinator := range coordinators {
				if quarter == i%4 {
					coordinator.ObserveTable(at, table, revision)
					coordinator.ObserveList(ListSnapshot{At: now, AsOf: now, Names: names, IncludesSelf: true})
				}
				actions := coordinator.Tick(at)
				for earlier, handover := range actions.Handovers {
					transferKeys(coordinators, coordinator, earlier, handover)
				}
				if actions.NewTable == nil {
					continue
				}
				writesThisSecond++
				succeeded := actions.Revision == before && revision == before
				if succeeded {
					table, revision = actions.NewTable, revision+1
					successfulSwaps++
				}
				coordinator.RecordSwap(at, succeeded)
			}
		}
		writes += writesThisSecond
		maxWritesPerSecond = max(maxWritesPerSecond, writesThisSecond)
		if takeoverComplete(table, members[:restarted]) {
			break
		}
	}
	t.Logf("%d restarted of %d: %d writes, %d of them taken, %d in the busiest second, served again after %s", restarted, instances, writes, successfulSwaps, maxWritesPerSecond, now.Sub(start))
	must.LessEq(t, maxStoreWritesPerSecond, maxWritesPerSecond)
	must.True(t, takeoverComplete(table, members[:restarted]), must.Sprint("not all partitions are served again"))
}

func transferKeys(coordinators []*Coordinator, target *Coordinator, earlier Incarnation, handover Handover) {
	i := slices.IndexFunc(coordinators, func(k *Coordinator) bool { return k.Self == earlier })
	if i < 0 {
		return
	}
	if keys, known := coordinators[i].HandOver(handover); known {
		target.TakeOver(keys)
	}
}

// takeoverComplete reports whether the table contains no departed incarnation and no pending earlier owner.
func takeoverComplete(table *Table, departed []Incarnation) bool {
	return !slices.ContainsFunc(table.Partitions, func(row Partition) bool { return len(row.Pending) > 0 }) &&
		!slices.ContainsFunc(departed, table.HasMember)
}
