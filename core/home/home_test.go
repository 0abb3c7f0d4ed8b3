package home

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

func testEntries(n, domains int) []instance.Entry {
	var out []instance.Entry
	for i := range n {
		out = append(out, instance.Entry{Name: fmt.Sprintf("entry-%d", i), Domain: fmt.Sprintf("d%d", i%domains)})
	}
	return out
}

func TestStandbyIsInAnotherDomain(t *testing.T) {
	candidates := Candidates(testEntries(48, 3))
	for i := range 500 {
		first, standby := Choose(Slice{Service: fmt.Sprintf("service-%d", i)}, candidates)
		must.NotEq(t, candidates[first].Entry.Domain, candidates[standby].Entry.Domain)
	}
}

func TestOneChangeMovesOnlyItsSlices(t *testing.T) {
	all := testEntries(48, 3)
	before := Candidates(all)
	all[7].State = instance.Leaving
	after := Candidates(all)
	moved := 0
	for i := range 1000 {
		slice := Slice{Service: fmt.Sprintf("service-%d", i)}
		a, _ := Choose(slice, before)
		b, _ := Choose(slice, after)
		if before[a].Entry.Name != after[b].Entry.Name {
			must.Eq(t, "entry-7", before[a].Entry.Name)
			moved++
		}
	}
	must.Between(t, 5, moved, 60)
}

func TestFewCandidates(t *testing.T) {
	first, standby := Choose(Slice{Service: "a"}, nil)
	must.Eq(t, []int{-1, -1}, []int{first, standby})
	first, standby = Choose(Slice{Service: "a"}, Candidates(testEntries(1, 1)))
	must.Eq(t, []int{0, -1}, []int{first, standby})
	first, standby = Choose(Slice{Service: "a"}, Candidates(testEntries(2, 1)))
	must.NotEq(t, first, standby)
}

func TestObserversAreInOtherDomains(t *testing.T) {
	any := func(*instance.Entry) bool { return true }
	all := testEntries(12, 3)
	candidates := Candidates(all)
	slice := Slice{Service: "balances"}
	first, standby := Choose(slice, candidates)
	for _, from := range all {
		chosen := Observers(slice, candidates, from, 2, any)
		must.SliceLen(t, 2, chosen)
		a, b := candidates[chosen[0]].Entry, candidates[chosen[1]].Entry
		must.NotEq(t, from.Domain, a.Domain)
		must.NotEq(t, from.Domain, b.Domain)
		must.NotEq(t, a.Domain, b.Domain)
		if d := from.Domain; d != candidates[first].Entry.Domain && d != candidates[standby].Entry.Domain {
			must.Eq(t, []int{first, standby}, chosen)
		}
	}
	must.SliceLen(t, 2, Observers(slice, Candidates(testEntries(3, 1)), all[0], 2, any))
	must.SliceLen(t, 1, Observers(slice, Candidates(testEntries(2, 2)), all[0], 2, any))
	must.SliceEmpty(t, Observers(slice, Candidates(testEntries(1, 1)), all[0], 2, any))
}

func TestSlicesCoverAllServers(t *testing.T) {
	must.Eq(t, 1, SliceCount(0))
	must.Eq(t, 1, SliceCount(32))
	must.Eq(t, 2, SliceCount(33))
	for i := range 100 {
		must.Between(t, 0, SliceIndex(fmt.Sprintf("server-%d", i), 4), 3)
	}
}

// BenchmarkChoose measures the choice of home and standby for one slice.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{48, 220, 880} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			candidates := Candidates(testEntries(n, 6))
			b.ReportAllocs()
			for b.Loop() {
				Choose(Slice{Service: "balances"}, candidates)
			}
		})
	}
}

// TestHomesAreProportionalToWeight checks that instances own slices in proportion to the square of their cores.
func TestHomesAreProportionalToWeight(t *testing.T) {
	all := testEntries(24, 3)
	for i := range all {
		all[i].Processor = 0.16
	}
	for i := range 3 {
		all[i].Processor = 0.8
	}
	candidates := Candidates(all)
	const slices = 2000
	onLarge := 0
	for i := range slices {
		first, _ := Choose(Slice{Service: fmt.Sprintf("service-%d", i)}, candidates)
		if candidates[first].Entry.Processor > 0.5 {
			onLarge++
		}
	}
	// The weights are 3*0.64 for the large instances and 21*0.0256 for the others: 78 % of the slices are on large ones.
	must.Between(t, slices*75/100, onLarge, slices*81/100)
}
