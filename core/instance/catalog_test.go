package instance

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// at returns a revision of the first generation.
func at(number uint64) Revision { return Revision{Generation: 1, Number: number} }

func item(name string, revision Revision) Item[string] {
	value := name + "@" + strconv.FormatUint(revision.Number, 10)
	if revision.Generation > 1 {
		value = name + "@" + revision.String()
	}
	return Item[string]{Name: name, Value: value, Revision: revision}
}

func TestCatalogRejectsOlderRevisions(t *testing.T) {
	catalog := Catalog[string]{}
	must.False(t, catalog.Apply(Changes[string]{Revision: at(3), Items: []Item[string]{item("a", at(3))}}), must.Sprint("incremental changes to an empty catalog"))
	must.True(t, catalog.Apply(Changes[string]{Snapshot: true, Revision: at(10), Items: []Item[string]{item("a", at(4)), item("b", at(9))}}))
	must.False(t, catalog.Apply(Changes[string]{Snapshot: true, Revision: at(9), Items: []Item[string]{item("a", at(4))}}), must.Sprint("a snapshot of an older revision"))
	must.True(t, catalog.Apply(Changes[string]{Revision: at(12), Removals: []Removal{{Name: "a", Revision: at(12)}}}))
	must.Eq(t, []string{"b@9"}, catalog.Values())
	must.True(t, catalog.RecentlyRemoved("a"))
	must.False(t, catalog.RecentlyRemoved("b"))
}

// TestCatalogRetainsRemovedItemsUntilDeadline removes items during an outage of the platform. They must stay in use until they are
// written again or their deadline passes, also in a catalog that follows this one.
func TestCatalogRetainsRemovedItemsUntilDeadline(t *testing.T) {
	now := time.Unix(100, 0)
	catalog := Catalog[string]{}
	catalog.Apply(Changes[string]{Snapshot: true, Revision: at(10), Items: []Item[string]{item("a", at(4)), item("b", at(9))}})
	catalog.Apply(Changes[string]{Revision: at(14), Removals: []Removal{
		{Name: "a", Revision: at(13), KeepUntil: now.Add(2 * time.Second)}, {Name: "b", Revision: at(14), KeepUntil: now.Add(2 * time.Second)},
	}})
	must.Eq(t, []string{"a@4", "b@9"}, catalog.Values())

	follower := Catalog[string]{}
	must.True(t, follower.Apply(catalog.Since(Revision{})))
	must.Eq(t, catalog.Values(), follower.Values())

	catalog.Apply(Changes[string]{Revision: at(16), Items: []Item[string]{item("b", at(16))}})
	must.False(t, catalog.Expire(now.Add(time.Second)))
	must.True(t, catalog.Expire(now.Add(3*time.Second)))
	must.Eq(t, []string{"b@16"}, catalog.Values())

	must.True(t, follower.Apply(catalog.Since(at(14))))
	must.True(t, follower.Expire(now.Add(3*time.Second)))
	must.Eq(t, []string{"b@16"}, follower.Values())
}

// TestCatalogAppliesRestoredList applies a list of a later generation. Items that it lacks must stay in use until the deadline, its
// lower revision numbers must be accepted, and changes of the earlier generation must be rejected.
func TestCatalogAppliesRestoredList(t *testing.T) {
	now := time.Unix(100, 0)
	restored := func(number uint64) Revision { return Revision{Generation: 2, Number: number} }
	catalog := Catalog[string]{}
	catalog.Apply(Changes[string]{Snapshot: true, Revision: at(20), Items: []Item[string]{item("a", at(4)), item("b", at(19)), item("c", at(20))}})
	follower := Catalog[string]{}
	must.True(t, follower.Apply(catalog.Since(Revision{})))
	must.True(t, catalog.Apply(Changes[string]{Snapshot: true, Revision: restored(15), KeepUntil: now.Add(time.Second), Items: []Item[string]{
		item("a", restored(4)), item("b", restored(14)),
	}}))
	must.Eq(t, []string{"a@2.4", "b@2.14", "c@20"}, catalog.Values())
	must.False(t, catalog.Apply(Changes[string]{Revision: at(21), Items: []Item[string]{item("a", at(21))}}))
	must.True(t, follower.Apply(catalog.Since(follower.Revision())))
	must.Eq(t, catalog.Values(), follower.Values())
	must.True(t, catalog.Apply(Changes[string]{Revision: restored(16), Items: []Item[string]{item("b", restored(16))}}))
	must.True(t, follower.Apply(catalog.Since(follower.Revision())))
	for _, c := range []*Catalog[string]{&catalog, &follower} {
		must.True(t, c.Expire(now.Add(time.Second)))
		must.Eq(t, []string{"a@2.4", "b@2.16"}, c.Values())
	}
}

// TestCatalogForwardsRemovalOfUnknownItem reads a list before an item is added and again after it is removed, so that the catalog never
// holds the item. A follower that got the item from another source must still receive the removal.
func TestCatalogForwardsRemovalOfUnknownItem(t *testing.T) {
	for _, whole := range []bool{false, true} {
		catalog, follower := Catalog[string]{}, Catalog[string]{}
		catalog.Apply(Changes[string]{Snapshot: true, Revision: at(1), Items: []Item[string]{item("a", at(1))}})
		follower.Apply(Changes[string]{Snapshot: true, Revision: at(2), Items: []Item[string]{item("a", at(1)), item("b", at(2))}})
		changes := Changes[string]{Snapshot: whole, Revision: at(4)}
		if whole {
			changes.Items = []Item[string]{item("a", at(1))}
		} else {
			changes.Removals = []Removal{{Name: "b", Revision: at(3)}}
		}
		must.True(t, catalog.Apply(changes))
		must.True(t, follower.Apply(catalog.Since(follower.Revision())))
		must.Eq(t, []string{"a@1"}, follower.Values())

		outdated := Changes[string]{Snapshot: true, Revision: at(5), Items: []Item[string]{item("a", at(1)), item("b", at(2))}}
		outdated.Removals = []Removal{{Name: "b", Revision: at(5), KeepUntil: time.Unix(100, 0)}}
		must.True(t, follower.Apply(outdated))
		must.Eq(t, []string{"a@1"}, follower.Values(), must.Sprint("an item that another instance still retains is known to be removed"))
	}
}

// TestCatalogForwardsEveryChange applies random changes and restores to a catalog. A follower that fetches the changes at random
// intervals must end up with the same list.
func TestCatalogForwardsEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		catalog, follower := Catalog[string]{}, Catalog[string]{}
		revision := at(1)
		catalog.Apply(Changes[string]{Snapshot: true, Revision: revision})
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			revision.Number += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			name := strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "name"))
			changes := Changes[string]{Revision: revision}
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				changes.Removals = []Removal{{Name: name, Revision: revision}}
			case 1:
				changes = catalog.Since(Revision{})
				changes.Revision = revision
			case 2:
				revision.Generation++
				revision.Number = uint64(rapid.IntRange(1, int(revision.Number)).Draw(t, "restored"))
				changes = Changes[string]{Snapshot: true, Revision: revision}
				for i := range rapid.IntRange(0, 5).Draw(t, "items") {
					changes.Items = append(changes.Items, item(strconv.Itoa(i), Revision{revision.Generation, 1}))
				}
			default:
				changes.Items = []Item[string]{item(name, revision)}
			}
			if !catalog.Apply(changes) {
				t.Fatalf("changes to %s were rejected", revision)
			}
			if rapid.Bool().Draw(t, "follow") {
				follower.Apply(catalog.Since(follower.Revision()))
				must.Eq(t, catalog.Values(), follower.Values())
			}
		}
	})
}
