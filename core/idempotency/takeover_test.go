package idempotency

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// takeoverRun simulates a takeover from an owner that is still running: it is cut off from the store and from the other
// instances, and its entry in the instance list flaps. Meanwhile requests with keys of its partitions arrive at the owner
// and at other instances.
type takeoverRun struct {
	*simulation
	owner             string
	partitions        map[int]bool // partitions of the owner at the start
	nextKey           int
	readsOnlyUnlisted bool // the other instances read the list only while the owner is missing from it
	unlistedDuration  time.Duration
	listedDuration    time.Duration
}

// Steps of a takeoverRun, which together last for several fence durations.
const (
	takeoverSteps        = 130
	takeoverStepDuration = 350 * time.Millisecond
	recentRepeatKeys     = 8 // number of latest keys from which a recent key is repeated
)

func newTakeoverRun(t *rapid.T) *takeoverRun {
	sim := newSimulation(t)
	run := &takeoverRun{simulation: sim, owner: sim.pick("owner").name, partitions: map[int]bool{}}
	for p, row := range sim.table.Partitions {
		run.partitions[p] = row.Owner.Name() == run.owner
	}
	run.readsOnlyUnlisted = rapid.Bool().Draw(t, "reads-absent")
	run.unlistedDuration = time.Duration(rapid.SampledFrom([]int{4, 5, 6, 12, 25, 40}).Draw(t, "unlisted")) * time.Second
	run.listedDuration = time.Duration(rapid.IntRange(4, 6).Draw(t, "listed")) * time.Second
	sim.isolate(run.owner, run.owner)
	return run
}

// flap alternately removes the owner from the list and adds it again.
func (run *takeoverRun) flap() {
	if since, listed := run.listedSince[run.owner]; listed && run.now.Sub(since) >= run.listedDuration {
		run.unlist(run.owner)
	}
	if since, gone := run.unlistedSince[run.owner]; gone && run.now.Sub(since) >= run.unlistedDuration {
		run.relist(run.owner)
	}
}

// runInstances has every instance read the list and the table and perform its due actions.
func (run *takeoverRun) runInstances() {
	_, listed := run.listedSince[run.owner]
	for _, name := range slices.Sorted(maps.Keys(run.instances)) {
		p := run.instances[name]
		if name == run.owner || !listed || !run.readsOnlyUnlisted {
			run.readList(p, 0)
		}
		run.readTable(p)
		run.tick(p)
	}
	run.deliverOldest(3 * len(run.inFlight))
}

// ownedKey returns a new key in one of the owner's partitions.
func (run *takeoverRun) ownedKey() int {
	for run.nextKey++; !run.partitions[fuzzKey(run.nextKey).Partition()]; run.nextKey++ {
	}
	return run.nextKey
}

// TestTakeoverFromALivingOwner guards against a request that runs at both the earlier and the new owner. FenceDuration,
// maxListGap and the bounds on clock skew prevent this while the earlier owner is still running.
func TestTakeoverFromALivingOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newTakeoverRun(t)
		var keys []int
		for range takeoverSteps {
			run.flap()
			run.advance(takeoverStepDuration)
			run.runInstances()
			keys = append(keys, run.ownedKey())
			run.startRequest(run.instances[run.owner], keys[len(keys)-1])
			recent := keys[max(0, len(keys)-recentRepeatKeys):]
			run.startRequest(run.pick("instance"), rapid.SampledFrom(recent).Draw(t, "again"))
			run.startRequest(run.pick("instance"), rapid.SampledFrom(keys).Draw(t, "much later"))
			run.runInstances()
			run.checkInvariants()
		}
	})
}
