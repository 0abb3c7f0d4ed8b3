package instance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of a catalog's change history. Since returns a snapshot when the removals no longer cover the requested revision, and
// scans all items when the writes don't.
const (
	maxRemovals = 1024
	maxWrites   = 1024
)

// ReregistrationGrace is how long owners may take to write records again that expired during an outage of the platform or that its
// restored copy lacks. The platform itself allows about two seconds.
const ReregistrationGrace = 2 * time.Second

// Item is a listed value with the revision of the platform's list in which it was written.
type Item[T any] struct {
	Name     string
	Value    T
	Revision Revision
}

// Removal records that an item was removed from the list.
type Removal struct {
	Name     string
	Revision Revision
	// KeepUntil is the deadline until which the item stays in use. After an outage of the platform an item may be missing only
	// because its owner could not renew it. The zero time removes the item at once.
	KeepUntil time.Time
}

// Changes transform one revision of a list into another.
type Changes[T any] struct {
	Snapshot  bool      // Items are the complete list; items that it lacks are removed
	KeepUntil time.Time // deadline until which items that a snapshot lacks stay in use, see Removal
	Revision  Revision  // of the list after the changes
	Items     []Item[T]
	Removals  []Removal
}

// Empty reports whether the changes contain nothing but a revision.
func (changes *Changes[T]) Empty() bool {
	return !changes.Snapshot && len(changes.Items) == 0 && len(changes.Removals) == 0
}

// WithRestoreGrace returns the changes for a list at revision before. If they are a snapshot from a restored copy of the platform,
// items that the copy lacks stay in use until the deadline. The receiver sets the deadline because an instance that started from the
// restored copy forwards a snapshot without one.
func (changes Changes[T]) WithRestoreGrace(before Revision, until time.Time) Changes[T] {
	if changes.Snapshot && changes.KeepUntil.IsZero() && !before.IsZero() && changes.Revision.Generation > before.Generation {
		changes.KeepUntil = until
	}
	return changes
}

// Catalog is a list that is maintained by applying changes and that can forward them to other catalogs. The zero value is empty, at
// the zero revision.
//
// A Catalog is not safe for concurrent use.
type Catalog[T any] struct {
	revision          Revision
	items             map[string]Item[T]
	removals          []Removal            // oldest first
	writes            []write              // most recent ones, oldest first
	writesCompacted   Revision             // writes contains every write after this revision
	removalsCompacted Revision             // removals up to this revision may be missing from removals
	retained          map[string]time.Time // removed items that stay in use, by name, with their deadline
}

// write records that an item was added or changed.
type write struct {
	name     string
	revision Revision
}

// Revision returns the catalog's current revision. It is zero before the first changes are applied.
func (catalog *Catalog[T]) Revision() Revision { return catalog.revision }

// Apply applies changes and reports whether it did. It rejects changes to an earlier revision, and incremental changes while the
// catalog is at the zero revision.
func (catalog *Catalog[T]) Apply(changes Changes[T]) bool {
	if catalog.revision.After(changes.Revision) || catalog.revision.IsZero() && !changes.Snapshot {
		return false
	}
	if changes.Empty() {
		catalog.revision = changes.Revision
		return true
	}
	if catalog.items == nil {
		catalog.items = map[string]Item[T]{}
		catalog.retained = map[string]time.Time{}
	}
	if changes.Snapshot {
		catalog.applySnapshot(changes)
	}
	removed := catalog.removalRevisions()
	for _, item := range changes.Items {
		if at, gone := removed[item.Name]; gone && at.After(item.Revision) {
			continue // outdated: the sender still retains an item that is known to be removed
		}
		if known, found := catalog.items[item.Name]; !found || !known.Revision.After(item.Revision) {
			catalog.items[item.Name] = item
			delete(catalog.retained, item.Name)
			if !changes.Snapshot {
				catalog.recordWrite(write{item.Name, item.Revision})
			}
		}
	}
	for _, removal := range changes.Removals {
		catalog.remove(removal)
	}
	if changes.Snapshot {
		catalog.writes, catalog.writesCompacted = nil, changes.Revision
	}
	catalog.revision = changes.Revision
	return true
}

// removalRevisions returns the latest revisions at which items were removed without a deadline, by name.
func (catalog *Catalog[T]) removalRevisions() map[string]Revision {
	removed := make(map[string]Revision, len(catalog.removals))
	for _, removal := range catalog.removals {
		if removal.KeepUntil.IsZero() {
			removed[removal.Name] = Later(removed[removal.Name], removal.Revision)
		}
	}
	return removed
}

func (catalog *Catalog[T]) recordWrite(w write) {
	catalog.writes = append(catalog.writes, w)
	if len(catalog.writes) > maxWrites {
		catalog.writesCompacted = Later(catalog.writesCompacted, catalog.writes[0].revision)
		catalog.writes = catalog.writes[1:]
	}
}

// applySnapshot removes the items that a snapshot does not name. The removals in a snapshot name items that stay in use until a
// deadline.
func (catalog *Catalog[T]) applySnapshot(changes Changes[T]) {
	named := make(map[string]bool, len(changes.Items))
	for _, item := range changes.Items {
		named[item.Name] = true
	}
	for _, removal := range changes.Removals {
		named[removal.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(catalog.items)) {
		if !named[name] {
			catalog.remove(Removal{Name: name, Revision: changes.Revision, KeepUntil: changes.KeepUntil})
		}
	}
	// A snapshot does not show items that were added and removed since the last reading, although other catalogs may hold them.
	catalog.removalsCompacted = changes.Revision
}

func (catalog *Catalog[T]) remove(removal Removal) {
	known, found := catalog.items[removal.Name]
	if found && known.Revision.After(removal.Revision) {
		return
	}
	// An item that was added and removed between two readings is unknown here, but catalogs that receive the removal may hold it.
	if !found && (!removal.KeepUntil.IsZero() || slices.Contains(catalog.removals, removal)) {
		return
	}
	if removal.KeepUntil.IsZero() {
		delete(catalog.items, removal.Name)
		delete(catalog.retained, removal.Name)
	} else if until, kept := catalog.retained[removal.Name]; !kept || removal.KeepUntil.Before(until) {
		catalog.retained[removal.Name] = removal.KeepUntil
	}
	catalog.removals = append(catalog.removals, removal)
	if len(catalog.removals) > maxRemovals {
		catalog.removalsCompacted = catalog.removals[0].Revision
		catalog.removals = catalog.removals[1:]
	}
}

// Expire drops the retained items whose deadline has passed, and reports whether there were any.
func (catalog *Catalog[T]) Expire(now time.Time) bool {
	expired := false
	for name, until := range catalog.retained {
		if now.Before(until) {
			continue
		}
		delete(catalog.items, name)
		delete(catalog.retained, name)
		expired = true
	}
	return expired
}

// RetainedCount returns the number of removed items that stay in use until their deadline.
func (catalog *Catalog[T]) RetainedCount() int { return len(catalog.retained) }

// Since returns the changes after a revision, or a snapshot if the history no longer reaches back that far.
func (catalog *Catalog[T]) Since(revision Revision) Changes[T] {
	changes := Changes[T]{Revision: catalog.revision}
	if !catalog.revision.After(revision) {
		return changes
	}
	changes.Snapshot = catalog.removalsCompacted.After(revision) || revision.IsZero()
	changes.Items = catalog.itemsSince(revision, changes.Snapshot)
	for _, removal := range catalog.removals {
		_, inUse := catalog.retained[removal.Name]
		if removal.Revision.After(revision) && (!changes.Snapshot || inUse) {
			changes.Removals = append(changes.Removals, removal)
		}
	}
	return changes
}

// itemsSince returns the items written after a revision, or all items, sorted by name.
func (catalog *Catalog[T]) itemsSince(revision Revision, all bool) []Item[T] {
	var items []Item[T]
	// The writes are not strictly ordered by revision, since one batch of changes may hold them in any order. writesCompacted bounds
	// the revisions that they cover.
	if !all && len(catalog.writes) > 0 && !catalog.writesCompacted.After(revision) {
		seen := map[string]bool{}
		for i := len(catalog.writes) - 1; i >= 0; i-- {
			w := catalog.writes[i]
			if item, found := catalog.items[w.name]; found && !seen[w.name] && item.Revision.After(revision) {
				seen[w.name] = true
				items = append(items, item)
			}
		}
	} else {
		for _, item := range catalog.items {
			if all || item.Revision.After(revision) {
				items = append(items, item)
			}
		}
	}
	slices.SortFunc(items, func(a, b Item[T]) int { return cmp.Compare(a.Name, b.Name) })
	return items
}

// Values returns the values of all items in use, sorted by name.
func (catalog *Catalog[T]) Values() []T {
	items := slices.SortedFunc(maps.Values(catalog.items), func(a, b Item[T]) int { return cmp.Compare(a.Name, b.Name) })
	values := make([]T, 0, len(items))
	for _, item := range items {
		values = append(values, item.Value)
	}
	return values
}

// RecentlyRemoved reports whether the history holds a removal of the name and the name is not in use.
func (catalog *Catalog[T]) RecentlyRemoved(name string) bool {
	if _, found := catalog.items[name]; found {
		return false
	}
	return slices.ContainsFunc(catalog.removals, func(removal Removal) bool { return removal.Name == name })
}
