package idempotency

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

func benchMembers(n int) []Incarnation {
	var out []Incarnation
	for i := range n {
		out = append(out, NewIncarnation(fmt.Sprintf("entry-%d", i), "0193a1b2-0000-7000-8000-000000000000"))
	}
	return out
}

func benchKey(i uint64) Key {
	var key Key
	binary.BigEndian.PutUint64(key[:], i)
	binary.BigEndian.PutUint64(key[8:], i*0x9e3779b97f4a7c15)
	return key
}

// BenchmarkChange removes one member and adds another.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{48, 220, 880} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			table := (&Table{}).ChangeMembers(nil, benchMembers(n))
			b.ReportAllocs()
			for b.Loop() {
				table.ChangeMembers(table.Members[:1], []Incarnation{"entry-new/1"})
			}
		})
	}
}

// BenchmarkClaim claims and settles new keys, and reports the heap memory per stored key.
func BenchmarkClaim(b *testing.B) {
	coordinator := servingOwner()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := uint64(0)
	for b.Loop() {
		n++
		claim := Claim{Key: benchKey(n), CreatedAt: start, Attempt: n, Deadline: start.Add(time.Minute)}
		coordinator.Claim(start.Add(time.Second), claim)
		coordinator.Settle(start.Add(time.Second), Settlement{Key: claim.Key, Attempt: n, Ran: true, Status: 200})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-bytes/key")
	runtime.KeepAlive(coordinator)
}

// BenchmarkTick measures a tick without due actions.
func BenchmarkTick(b *testing.B) {
	coordinator := servingOwner()
	b.ReportAllocs()
	for b.Loop() {
		coordinator.Tick(start.Add(time.Second))
	}
}

// BenchmarkHandover hands over the keys of one of 48 members, with 10, 100 or 1000 keys per partition.
func BenchmarkHandover(b *testing.B) {
	for _, keys := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("keys=%d", keys*PartitionCount/48), func(b *testing.B) {
			source := servingOwner()
			for i := range uint64(keys * PartitionCount) {
				source.Claim(start.Add(time.Second), Claim{Key: benchKey(i), CreatedAt: start, Attempt: i, Deadline: start.Add(time.Minute)})
			}
			next := source.Table().ChangeMembers(nil, benchMembers(47))
			source.Adopt(next)
			target := next.Members[1]
			var partitions []int
			for p, row := range next.Partitions {
				if row.Owner == target {
					partitions = append(partitions, p)
				}
			}
			for b.Loop() {
				owner := &Owner{Self: target}
				owner.Adopt(next)
				reply, _ := source.HandOver(Handover{Target: target, Epoch: next.Epoch, Partitions: partitions})
				owner.TakeOver(reply)
			}
		})
	}
}

// BenchmarkListRead measures ObserveList.
func BenchmarkListRead(b *testing.B) {
	for _, n := range []int{48, 220, 880} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			members := benchMembers(n)
			coordinator := &Coordinator{Owner: Owner{Self: members[0]}}
			coordinator.ObserveTable(start, (&Table{}).ChangeMembers(nil, members), 1)
			var names []string
			for _, member := range members {
				names = append(names, member.Name())
			}
			slices.Sort(names)
			for b.Loop() {
				coordinator.ObserveList(ListSnapshot{At: start, AsOf: start, Names: names, IncludesSelf: true})
			}
		})
	}
}
