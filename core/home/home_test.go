package home

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

func entries(n, domains int) []instance.Entry {
	var out []instance.Entry
	for i := range n {
		out = append(out, instance.Entry{Name: fmt.Sprintf("entry-%d", i), Domain: fmt.Sprintf("d%d", i%domains)})
	}
	return out
}

func TestDeputyIsInAnotherDomain(t *testing.T) {
	candidates := Candidates(entries(48, 3))
	for i := range 500 {
		first, deputy := Choose(Slice{Service: fmt.Sprintf("service-%d", i)}, candidates)
		must.NotEq(t, candidates[first].Entry.Domain, candidates[deputy].Entry.Domain)
	}
}

func TestOneChangeMovesOnlyItsSlices(t *testing.T) {
	all := entries(48, 3)
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
	first, deputy := Choose(Slice{Service: "a"}, nil)
	must.Eq(t, []int{-1, -1}, []int{first, deputy})
	first, deputy = Choose(Slice{Service: "a"}, Candidates(entries(1, 1)))
	must.Eq(t, []int{0, -1}, []int{first, deputy})
	first, deputy = Choose(Slice{Service: "a"}, Candidates(entries(2, 1)))
	must.NotEq(t, first, deputy)
}

func TestVantagesAreInOtherDomains(t *testing.T) {
	any := func(*instance.Entry) bool { return true }
	all := entries(12, 3)
	candidates := Candidates(all)
	slice := Slice{Service: "balances"}
	first, deputy := Choose(slice, candidates)
	for _, from := range all {
		chosen := Vantages(slice, candidates, from, 2, any)
		must.SliceLen(t, 2, chosen)
		a, b := candidates[chosen[0]].Entry, candidates[chosen[1]].Entry
		must.NotEq(t, from.Domain, a.Domain)
		must.NotEq(t, from.Domain, b.Domain)
		must.NotEq(t, a.Domain, b.Domain)
		if d := from.Domain; d != candidates[first].Entry.Domain && d != candidates[deputy].Entry.Domain {
			must.Eq(t, []int{first, deputy}, chosen)
		}
	}
	must.SliceLen(t, 2, Vantages(slice, Candidates(entries(3, 1)), all[0], 2, any))
	must.SliceLen(t, 1, Vantages(slice, Candidates(entries(2, 2)), all[0], 2, any))
	must.SliceEmpty(t, Vantages(slice, Candidates(entries(1, 1)), all[0], 2, any))
}

func TestSlicesCoverAllServers(t *testing.T) {
	must.Eq(t, 1, Slices(0))
	must.Eq(t, 1, Slices(32))
	must.Eq(t, 2, Slices(33))
	for i := range 100 {
		must.Between(t, 0, IndexOf(fmt.Sprintf("server-%d", i), 4), 3)
	}
}

// BenchmarkChoose places one slice.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{48, 220, 880} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			candidates := Candidates(entries(n, 6))
			b.ReportAllocs()
			for b.Loop() {
				Choose(Slice{Service: "balances"}, candidates)
			}
		})
	}
}

// TestHomesGoByTheProcessor checks that strong instances decide more slices, in proportion to the square of their cores.
func TestHomesGoByTheProcessor(t *testing.T) {
	all := entries(24, 3)
	for i := range all {
		all[i].Processor = 0.16
	}
	for i := range 3 {
		all[i].Processor = 0.8
	}
	candidates := Candidates(all)
	const slices = 2000
	strong := 0
	for i := range slices {
		first, _ := Choose(Slice{Service: fmt.Sprintf("service-%d", i)}, candidates)
		if candidates[first].Entry.Processor > 0.5 {
			strong++
		}
	}
	// Three times 0.64 beside 21 times 0.0256: 78 of 100.
	must.Between(t, slices*75/100, strong, slices*81/100)
}
