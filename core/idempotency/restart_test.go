package idempotency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// storeWrites is what the platform's store takes in a second ("several hundred").
const storeWrites = 500

// TestRestartOfAFailureDomain restarts a sixth of 880 instances at once. Of the swaps of one quarter of a second only the
// first succeeds, which is worse than in a fleet, where a table is read right before it is swapped. It checks the writes in the busiest second and that all partitions
// are served again.
func TestRestartOfAFailureDomain(t *testing.T) {
	const all, restarted, most = 880, 147, 5 * time.Minute
	var names []string
	var members []Incarnation
	for i := range all {
		names = append(names, fmt.Sprintf("entry-%03d", i))
		members = append(members, NewIncarnation(names[i], "1"))
	}
	table, revision := (&Table{}).Change(nil, members), uint64(1)
	var keepers []*Keeper
	for i := range all {
		run := "1"
		if i < restarted {
			run = "2"
		}
		keepers = append(keepers, &Keeper{Owner: Owner{Self: NewIncarnation(names[i], run)}})
		keepers[i].TableRead(start, table, revision)
	}
	writes, swaps, busiest := 0, 0, 0
	now := start
	for ; now.Before(start.Add(most)); now = now.Add(time.Second) {
		inSecond := 0
		for quarter := range 4 {
			at := now.Add(time.Duration(quarter) * 250 * time.Millisecond)
			before := revision
			for i, keeper := range keepers {
				if quarter == i%4 {
					keeper.TableRead(at, table, revision)
					keeper.ListRead(Listing{At: now, AsOf: now, Names: names, Self: true})
				}
				actions := keeper.Tick(at)
				for earlier, handover := range actions.Ask {
					askAll(keepers, keeper, earlier, handover)
				}
				if actions.Swap == nil {
					continue
				}
				inSecond++
				done := actions.Revision == before && revision == before
				if done {
					table, revision = actions.Swap, revision+1
					swaps++
				}
				keeper.Swapped(at, done)
			}
		}
		writes += inSecond
		busiest = max(busiest, inSecond)
		if settled(table, members[:restarted]) {
			break
		}
	}
	t.Logf("%d restarted of %d: %d writes, %d of them taken, %d in the busiest second, served again after %s", restarted, all, writes, swaps, busiest, now.Sub(start))
	must.LessEq(t, storeWrites, busiest)
	must.True(t, settled(table, members[:restarted]), must.Sprint("all partitions are served again"))
}

func askAll(keepers []*Keeper, taker *Keeper, earlier Incarnation, handover Handover) {
	i := slices.IndexFunc(keepers, func(k *Keeper) bool { return k.Self == earlier })
	if i < 0 {
		return
	}
	if keys, known := keepers[i].Give(handover); known {
		taker.Receive(keys)
	}
}

// settled reports whether the old incarnations are out of the table and nothing is pending.
func settled(table *Table, gone []Incarnation) bool {
	return !slices.ContainsFunc(table.Partitions, func(row Partition) bool { return len(row.Pending) > 0 }) &&
		!slices.ContainsFunc(gone, table.Has)
}
