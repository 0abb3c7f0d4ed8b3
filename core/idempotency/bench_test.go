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

// BenchmarkChange drops one member and joins another.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{48, 220, 880} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			table := (&Table{}).Change(nil, benchMembers(n))
			b.ReportAllocs()
			for b.Loop() {
				table.Change(table.Members[:1], []Incarnation{"entry-new/1"})
			}
		})
	}
}

// BenchmarkClaim claims and settles new keys, and reports the memory of one remembered key.
func BenchmarkClaim(b *testing.B) {
	keeper := servingOwner()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := uint64(0)
	for b.Loop() {
		n++
		claim := Claim{Key: benchKey(n), Born: start, Attempt: n, RunBy: start.Add(time.Minute)}
		keeper.Claim(start.Add(time.Second), claim)
		keeper.Settle(start.Add(time.Second), Settlement{Key: claim.Key, Attempt: n, Ran: true, Status: 200})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-bytes/key")
	runtime.KeepAlive(keeper)
}

// BenchmarkTick is a keeper's tick with nothing to do.
func BenchmarkTick(b *testing.B) {
	keeper := servingOwner()
	b.ReportAllocs()
	for b.Loop() {
		keeper.Tick(start.Add(time.Second))
	}
}

// BenchmarkHandover gives and receives the keys of one of 48 members, with so many keys a partition.
func BenchmarkHandover(b *testing.B) {
	for _, keys := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("keys=%d", keys*Partitions/48), func(b *testing.B) {
			giver := servingOwner()
			for i := range uint64(keys * Partitions) {
				giver.Claim(start.Add(time.Second), Claim{Key: benchKey(i), Born: start, Attempt: i, RunBy: start.Add(time.Minute)})
			}
			next := giver.Table().Change(nil, benchMembers(47))
			giver.Adopt(next)
			taker := next.Members[1]
			var partitions []int
			for p, row := range next.Partitions {
				if row.Owner == taker {
					partitions = append(partitions, p)
				}
			}
			for b.Loop() {
				owner := &Owner{Self: taker}
				owner.Adopt(next)
				given, _ := giver.Give(Handover{Taker: taker, Epoch: next.Epoch, Partitions: partitions})
				owner.Receive(given)
			}
		})
	}
}

// BenchmarkListRead takes in a reading of the instance list.
func BenchmarkListRead(b *testing.B) {
	for _, n := range []int{48, 220, 880} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			members := benchMembers(n)
			keeper := &Keeper{Owner: Owner{Self: members[0]}}
			keeper.TableRead(start, (&Table{}).Change(nil, members), 1)
			var names []string
			for _, member := range members {
				names = append(names, member.Name())
			}
			slices.Sort(names)
			for b.Loop() {
				keeper.ListRead(Listing{At: start, AsOf: start, Names: names, Self: true})
			}
		})
	}
}
