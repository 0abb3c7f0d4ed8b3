package idempotency

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drill is a takeover from an owner that lives on: it is cut off from the store and from the others, and the list
// shows it by turns. Keys of its partitions come all the while, at it and at another instance.
type drill struct {
	*world
	owner       string
	partitions  map[int]bool // those that the owner has at the start
	nextKey     int
	readsAbsent bool // the others read the list only while it does not show the owner
	unlistedFor time.Duration
	listedFor   time.Duration
}

// Steps of a drill; together they are longer than a few fences.
const (
	drillSteps  = 130
	drillStep   = 350 * time.Millisecond
	repeatAfter = 8 // a repeat is of one of so many latest keys, or of any
)

func newDrill(t *rapid.T) *drill {
	w := newFuzzWorld(t)
	d := &drill{world: w, owner: w.pick("owner").name, partitions: map[int]bool{}}
	for p, row := range w.table.Partitions {
		d.partitions[p] = row.Owner.Name() == d.owner
	}
	d.readsAbsent = rapid.Bool().Draw(t, "reads-absent")
	d.unlistedFor = time.Duration(rapid.SampledFrom([]int{4, 5, 6, 12, 25, 40}).Draw(t, "unlisted")) * time.Second
	d.listedFor = time.Duration(rapid.IntRange(4, 6).Draw(t, "listed")) * time.Second
	w.split(d.owner, d.owner)
	return d
}

// flap lists and unlists the owner by turns.
func (d *drill) flap() {
	if since, listed := d.listing[d.owner]; listed && d.now.Sub(since) >= d.listedFor {
		d.unlist(d.owner)
	}
	if since, gone := d.unlisted[d.owner]; gone && d.now.Sub(since) >= d.unlistedFor {
		d.relist(d.owner)
	}
}

// work has each instance read what it reaches.
func (d *drill) work() {
	_, listed := d.listing[d.owner]
	for _, name := range slices.Sorted(maps.Keys(d.instances)) {
		p := d.instances[name]
		if name == d.owner || !listed || !d.readsAbsent {
			d.readList(p, 0)
		}
		d.readTable(p)
		d.tick(p)
	}
	d.deliverOldest(3 * len(d.bag))
}

// ownedKey returns a new key of the owner's partitions.
func (d *drill) ownedKey() int {
	for d.nextKey++; !d.partitions[fuzzKey(d.nextKey).Partition()]; d.nextKey++ {
	}
	return d.nextKey
}

// TestTakeoverFromALivingOwner checks the windows that the fence, the gap between readings and the bounds of clocks close.
func TestTakeoverFromALivingOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDrill(t)
		var keys []int
		for range drillSteps {
			d.flap()
			d.advance(drillStep)
			d.work()
			keys = append(keys, d.ownedKey())
			d.request(d.instances[d.owner], keys[len(keys)-1])
			recent := keys[max(0, len(keys)-repeatAfter):]
			d.request(d.pick("instance"), rapid.SampledFrom(recent).Draw(t, "again"))
			d.request(d.pick("instance"), rapid.SampledFrom(keys).Draw(t, "much later"))
			d.work()
			d.check()
		}
	})
}
