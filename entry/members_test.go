package entry

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

func listOf(entries, servers, services int) instance.List {
	list := instance.List{AsOf: time.Unix(1_800_000_000, 0)}
	for i := range entries {
		list.Entries = append(list.Entries, instance.Entry{
			Name: fmt.Sprintf("entry-%d", i), Domain: fmt.Sprintf("domain-%d", i%6), Caller: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
		})
	}
	for i := range servers {
		list.Servers = append(list.Servers, instance.Server{
			Name: fmt.Sprintf("server-%d", i), Service: fmt.Sprintf("service-%d", i%services), Domain: fmt.Sprintf("domain-%d", i%6),
		})
	}
	return list
}

// alwaysReachable is a stub of Peers for tests that send no messages.
type alwaysReachable struct{ Peers }

func (alwaysReachable) Reachable(string) bool { return true }

func newTestEntry(list instance.List) *Entry {
	e := &Entry{Name: "entry-0", Incarnation: "entry-0/1", Peers: alwaysReachable{}}
	e.Init()
	e.ApplyList(list)
	return e
}

func TestDirectoryDropsLeavingInstancesAndSpreadsCallers(t *testing.T) {
	e := newTestEntry(listOf(5, 4, 1))
	first := map[string]bool{}
	for range 10 {
		directory := e.Lookup("service-0", "", "")
		must.SliceLen(t, 5, directory.Addresses)
		first[directory.Addresses[0].Name] = true
	}
	must.MapLen(t, 5, first)
	must.Eq(t, "domain-2", e.Lookup("service-0", "domain-2", "").Addresses[0].Domain)
	e.MarkLeaving("entry-3")
	for _, address := range e.Lookup("service-0", "", "").Addresses {
		must.NotEq(t, "entry-3", address.Name)
	}
}

func TestDirectoryNamesTheHome(t *testing.T) {
	e := newTestEntry(listOf(48, 10, 10))
	for i := range 10 {
		service := fmt.Sprintf("service-%d", i)
		at := e.members.plan().place(home.Slice{Service: service}).home
		must.True(t, slices.ContainsFunc(e.Lookup(service, "", "").Addresses, func(a Address) bool { return a.Name == at.Name }))
	}
}

// TestRequestsOfOneKindUseAllSlices sends more requests of one kind than their slice has slots.
func TestRequestsOfOneKindUseAllSlices(t *testing.T) {
	e := newTestEntry(listOf(1, 64, 1))
	e.ApplyRules(1, "service service-0 slots=1 # asked by: test\n")
	slice := e.SliceFor("service-0", 7)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var grants []*Grant
	for attempt := range uint64(64) {
		ask := pool.Ask{Attempt: attempt + 1, Number: 1, Deadline: time.Now().Add(time.Second)}
		if grant, _ := e.AcquireAny(ctx, slice, ask); grant != nil {
			grants = append(grants, grant)
		}
	}
	must.SliceLen(t, 64, grants)

	// A server is verified in its own slice, regardless of which slice was asked first.
	peers := &verificationRecorder{}
	e.Peers = peers
	e.ApplyList(listOf(3, 64, 1))
	last := grants[63]
	must.NotEq(t, slice, last.Slice)
	last.RequestVerification(RequestCopy{Method: "GET", Target: "/"}, func() uint64 { return 99 })
	(<-e.verifications)(ctx)
	must.SliceLen(t, 2, peers.asked)
	must.Eq(t, last.Slice, peers.asked[0].Slice)
	must.Eq(t, last.Server, peers.asked[0].Server)
}

// verificationRecorder records the verifications that an instance requests from its peers.
type verificationRecorder struct {
	alwaysReachable
	asked []Verification
}

func (verificationRecorder *verificationRecorder) Verify(_ context.Context, _ Peer, verification Verification) error {
	verificationRecorder.asked = append(verificationRecorder.asked, verification)
	return nil
}

func TestLeavingWinsOverAnOlderList(t *testing.T) {
	e := newTestEntry(listOf(3, 1, 1))
	e.MarkLeaving("entry-1")
	e.ApplyList(listOf(3, 1, 1))
	must.SliceLen(t, 2, e.Lookup("service-0", "", "").Addresses)
	e.MarkStarted("entry-1")
	must.SliceLen(t, 3, e.Lookup("service-0", "", "").Addresses)
}

func TestEmptyOrOlderListsAreIgnored(t *testing.T) {
	e := newTestEntry(listOf(3, 1, 1))
	e.ApplyList(instance.List{AsOf: time.Unix(1_900_000_000, 0)})
	older := listOf(1, 1, 1)
	older.AsOf = older.AsOf.Add(-time.Second)
	e.ApplyList(older)
	must.SliceLen(t, 3, e.Lookup("service-0", "", "").Addresses)
}

// TestRulesNeverGoBack applies versions in random order, some of them invalid.
func TestRulesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newTestEntry(listOf(1, 1, 1))
		highest := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			version := rapid.Uint64Range(1, 20).Draw(t, "version")
			text := fmt.Sprintf("service service-%d # asked by: test\n", version)
			if rapid.IntRange(0, 3).Draw(t, "invalid") == 0 {
				text = "nonsense\n"
			} else {
				highest = max(highest, version)
			}
			e.ApplyRules(version, text)
			set, inForce := e.Rules()
			if inForce != highest {
				t.Fatalf("version %d is in force, %d was accepted", inForce, highest)
			}
			if inForce > 0 && set.Service(fmt.Sprintf("service-%d", inForce)) == nil {
				t.Fatalf("version %d has another version's rules", inForce)
			}
		}
	})
}

// TestRulesFromTwoSourcesAtOnce applies increasing versions concurrently, as from the platform and from peers. The plan must use the
// rules of the version in force.
func TestRulesFromTwoSourcesAtOnce(t *testing.T) {
	const rounds, sources, versions = 200, 4, 20
	for round := range rounds {
		e := newTestEntry(listOf(1, 1, 1))
		var offering sync.WaitGroup
		for source := range sources {
			offering.Go(func() {
				for version := source + 1; version <= versions; version += sources {
					e.ApplyRules(uint64(version), fmt.Sprintf("service service-%d # asked by: test\n", version))
				}
			})
		}
		offering.Wait()
		set, version := e.Rules()
		must.Eq(t, versions, version)
		must.True(t, set == e.members.plan().set, must.Sprint("round ", round))
	}
}

func TestCompareVersionsWithoutPeers(t *testing.T) {
	e := newTestEntry(instance.List{})
	e.compareVersions(t.Context(), 0)
	e.ApplyList(listOf(1, 1, 1))
	e.compareVersions(t.Context(), 1)
}

// BenchmarkListChange applies a changed list and rebuilds the plan, and reports the heap used by both.
func BenchmarkListChange(b *testing.B) {
	for _, size := range []struct{ entries, servers, services int }{{48, 41, 4}, {220, 2750, 125}, {880, 11_000, 500}} {
		b.Run(fmt.Sprintf("entries=%d/servers=%d", size.entries, size.servers), func(b *testing.B) {
			var before, after runtime.MemStats
			list := listOf(size.entries, size.servers, size.services)
			runtime.GC()
			runtime.ReadMemStats(&before)
			e := newTestEntry(list)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for i := 0; b.Loop(); i++ {
				list.Servers[0].Slots = i + 1
				e.ApplyList(list)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
		})
	}
}

// BenchmarkPlaces computes the placement of all slices of a fleet after a change.
func BenchmarkPlaces(b *testing.B) {
	for _, size := range []struct{ entries, services int }{{48, 4}, {220, 125}, {880, 500}} {
		b.Run(fmt.Sprintf("entries=%d/services=%d", size.entries, size.services), func(b *testing.B) {
			e := newTestEntry(listOf(size.entries, size.services, size.services))
			for b.Loop() {
				e.rebuild(time.Now())
				for i := range size.services {
					e.members.plan().place(home.Slice{Service: fmt.Sprintf("service-%d", i)})
				}
			}
		})
	}
}

// unreachablePeers is a stub of Peers without a reachable peer.
type unreachablePeers struct{ Peers }

func (unreachablePeers) Reachable(string) bool { return false }

func TestUnreachableHomesAreNotAskedEachTime(t *testing.T) {
	e := newTestEntry(listOf(9, 4, 1))
	slice := e.SliceFor("service-0", 1)
	must.SliceLen(t, 2, e.deciders(slice))
	e.Peers = unreachablePeers{}
	for _, decider := range e.deciders(slice) {
		must.Eq(t, e.Name, decider.Name)
	}
}

// BenchmarkLookup measures one directory lookup.
func BenchmarkLookup(b *testing.B) {
	for _, entries := range []int{48, 220, 880} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			e := newTestEntry(listOf(entries, 1, 1))
			b.ReportAllocs()
			for b.Loop() {
				e.Lookup("service-0", "domain-1", "")
			}
		})
	}
}

// TestBaselineAsksNoHome checks the DecideAlone mode, the baseline for comparisons: each instance uses only its own observations.
func TestBaselineAsksNoHome(t *testing.T) {
	e := newTestEntry(listOf(9, 4, 1))
	e.Peers = nil // a call to a peer would panic
	e.DecideLocally = true
	slice := e.SliceFor("service-0", 1)
	must.SliceEmpty(t, e.deciders(slice))
	grant, decision := e.Acquire(t.Context(), slice, pool.Ask{Attempt: 1, Number: 1, Idempotent: true})
	must.Eq(t, pool.Granted, decision.Verdict)
	grant.Done(pool.Report{Outcome: pool.Answered})
	must.True(t, e.localPools.has(slice))
	must.False(t, e.homePools.has(slice))
}
