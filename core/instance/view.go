package instance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// announceFor bounds how long an instance's own word is kept without the list confirming it.
const announceFor = 10 * time.Minute

// View merges the instance list with what instances say of themselves; the zero value is empty.
//
// A leaving word wins over a live one from either source. A View is not safe for concurrent use.
type View struct {
	list    List
	seen    bool
	leaving map[string]time.Time // entry or server name to the deadline of its own word
}

// Apply replaces the listed part and reports whether it was taken.
//
// A list older than the present one, or one without any entry after a full one, is not taken:
// a malformed or stale reply must not empty the pools.
func (view *View) Apply(list List) bool {
	if !list.AsOf.IsZero() && list.AsOf.Before(view.list.AsOf) {
		return false
	}
	if view.seen && len(list.Entries) == 0 && len(list.Servers) == 0 {
		return false
	}
	view.list = List{Version: list.Version, AsOf: list.AsOf, Entries: slices.Clone(list.Entries), Servers: slices.Clone(list.Servers)}
	slices.SortFunc(view.list.Entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(view.list.Servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	view.seen = true
	return true
}

// Confirm takes in a list whose content is known to be the present one, and reports whether it was so.
func (view *View) Confirm(list List) bool {
	if list.Version == "" || list.Version != view.list.Version || list.AsOf.Before(view.list.AsOf) {
		return false
	}
	view.list.AsOf = list.AsOf
	return true
}

// AsOf returns the platform's time of the list taken last.
func (view *View) AsOf() time.Time { return view.list.AsOf }

// MarkLeaving records an instance's own word that it is leaving.
func (view *View) MarkLeaving(now time.Time, name string) {
	if view.leaving == nil {
		view.leaving = map[string]time.Time{}
	}
	view.leaving[name] = now.Add(announceFor)
}

// ClearLeaving drops the word of an instance that has started anew, and reports whether there was one.
func (view *View) ClearLeaving(name string) bool {
	_, found := view.leaving[name]
	delete(view.leaving, name)
	return found
}

// Digest returns a hash of all that Entries and Servers return.
func (view *View) Digest(now time.Time) uint64 {
	digest := xxhash.New()
	for _, e := range view.Entries(now) {
		fmt.Fprintln(digest, e.Name, e.Domain, e.Region, e.Caller, e.Peer, e.Operator, e.Processor, e.State)
	}
	for _, s := range view.Servers(now) {
		fmt.Fprintln(digest, s.Name, s.Service, s.Domain, s.Address, s.Slots, s.State, s.Started.UnixMilli(), s.WarmAt.UnixMilli())
	}
	return digest.Sum64()
}

// Entries returns the entry instances, leaving ones marked, sorted by name.
func (view *View) Entries(now time.Time) []Entry {
	entries := slices.Clone(view.list.Entries)
	for i := range entries {
		if view.isLeaving(now, entries[i].Name) {
			entries[i].State = Leaving
		}
	}
	return entries
}

// Servers returns the backend servers, leaving ones marked, sorted by name.
func (view *View) Servers(now time.Time) []Server {
	servers := slices.Clone(view.list.Servers)
	for i := range servers {
		if view.isLeaving(now, servers[i].Name) {
			servers[i].State = Leaving
		}
	}
	return servers
}

func (view *View) isLeaving(now time.Time, name string) bool {
	until, found := view.leaving[name]
	if found && !now.Before(until) {
		delete(view.leaving, name)
		return false
	}
	return found
}
