package instance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// announcementTTL is how long an instance's leaving announcement stays valid without confirmation by the list.
	announcementTTL = 10 * time.Minute
	// departureTTL is how long departures are remembered. A copy of the platform's store is some seconds old when it is restored.
	departureTTL = time.Minute
	// suppressionDuration is how long a departed server stays unused although a restored list shows it as live. By then its departure is
	// written again, or its record has expired: three missed reports at 1.5 s plus one or two seconds of outage.
	suppressionDuration = 10 * time.Second
)

// View merges the instance list with the leaving announcements of the instances themselves. The zero value is empty.
//
// Leaving overrides live, whichever source it is from. A View is not safe for concurrent use.
type View struct {
	list        List
	initialized bool
	leaving     map[string]time.Time // announced as leaving: entry or server name to expiry
	departed    map[run]time.Time    // runs no longer listed, to expiry
	suppressed  map[run]time.Time    // runs that a restored list may wrongly show as live, to deadline
}

// run identifies one run of a backend server. If the platform reports no start times, all runs of a server are the same.
type run struct {
	name    string
	started int64 // ns since the Unix epoch, 0 if unknown
}

func runOf(s *Server) run {
	if s.Started.IsZero() {
		return run{name: s.Name}
	}
	return run{s.Name, s.Started.UnixNano()}
}

// Apply replaces the list and reports whether it did.
//
// It rejects a list that is older than the current one, and any empty list after the first one: a malformed or stale reply must
// not empty the pools.
func (view *View) Apply(now time.Time, list List) bool {
	if !list.AsOf.IsZero() && list.AsOf.Before(view.list.AsOf) {
		return false
	}
	if list.Changes < view.list.Changes {
		return false // another goroutine has applied a later reading
	}
	if view.initialized && len(list.Entries) == 0 && len(list.Servers) == 0 {
		return false
	}
	if list.Restorations > view.list.Restorations {
		view.suppressDeparted(now)
	}
	before := view.list
	view.list = list
	view.list.Entries, view.list.Servers = slices.Clone(list.Entries), slices.Clone(list.Servers)
	slices.SortFunc(view.list.Entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(view.list.Servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	view.recordDepartures(now, &before)
	if list.Restorations == before.Restorations {
		view.clearRestarted(&before)
	}
	view.initialized = true
	return true
}

// recordDepartures records the runs of the previous list that the current one lacks or has replaced by a later run. A server that is
// listed with an earlier run has not departed: that run is from a restored copy.
func (view *View) recordDepartures(now time.Time, before *List) {
	maps.DeleteFunc(view.departed, func(_ run, until time.Time) bool { return !now.Before(until) })
	for i := range before.Servers {
		s := &before.Servers[i]
		if present, listed := FindServer(view.list.Servers, s.Name); listed && !present.Started.After(s.Started) {
			continue
		}
		if view.departed == nil {
			view.departed = map[run]time.Time{}
		}
		view.departed[runOf(s)] = now.Add(departureTTL)
	}
}

// clearRestarted drops the leaving announcements of instances that were missing from the previous list and are listed again: they
// have restarted. An instance learns of a restart directly only from those that open a session to it.
func (view *View) clearRestarted(before *List) {
	for i := range view.list.Entries {
		name := view.list.Entries[i].Name
		if _, found := view.leaving[name]; !found {
			continue
		}
		if !slices.ContainsFunc(before.Entries, func(e Entry) bool { return e.Name == name }) {
			delete(view.leaving, name)
		}
	}
}

// listsRun reports whether the current list contains the run.
func (view *View) listsRun(r run) bool {
	s, listed := FindServer(view.list.Servers, r.name)
	return listed && runOf(&s) == r
}

// suppressDeparted marks runs that recently departed, or are leaving, as leaving for suppressionDuration, because the older copy from
// which the platform was restored may show them as live. New runs of these servers are not suppressed.
func (view *View) suppressDeparted(now time.Time) {
	if view.suppressed == nil {
		view.suppressed = map[run]time.Time{}
	}
	for suppressed := range view.suppressed {
		view.suppressed[suppressed] = now.Add(suppressionDuration)
	}
	for departed, until := range view.departed {
		if now.Before(until) && !view.listsRun(departed) {
			view.suppressed[departed] = now.Add(suppressionDuration)
		}
	}
	for i := range view.list.Servers {
		if s := &view.list.Servers[i]; s.State == Leaving {
			view.suppressed[runOf(s)] = now.Add(suppressionDuration)
		}
	}
}

// ExpireSuppressed ends the suppression of the servers whose deadline is not after asOf, the time at which the platform last confirmed
// the list, and reports whether there were any. An older list lacks what was written since the restore.
func (view *View) ExpireSuppressed(asOf time.Time) bool {
	before := len(view.suppressed)
	maps.DeleteFunc(view.suppressed, func(_ run, until time.Time) bool { return !asOf.Before(until) })
	return len(view.suppressed) < before
}

func (view *View) isSuppressed(s *Server) bool {
	_, found := view.suppressed[runOf(s)]
	return found
}

// Confirm updates the time of the current list if the given list has the same version and is not older, and reports whether it did.
func (view *View) Confirm(list List) bool {
	if list.Version == "" || list.Version != view.list.Version || list.AsOf.Before(view.list.AsOf) {
		return false
	}
	view.list.AsOf = list.AsOf
	return true
}

// AsOf returns the time at which the platform confirmed the current list, zero if unknown.
func (view *View) AsOf() time.Time { return view.list.AsOf }

// Restorations returns how often the platform's list had been restored from an older copy, as of the current list.
func (view *View) Restorations() uint64 { return view.list.Restorations }

// MarkLeaving records an instance's announcement that it is leaving.
func (view *View) MarkLeaving(now time.Time, name string) {
	if view.leaving == nil {
		view.leaving = map[string]time.Time{}
	}
	view.leaving[name] = now.Add(announcementTTL)
}

// ClearLeaving drops the leaving announcement of an instance that has restarted, and reports whether there was one.
func (view *View) ClearLeaving(name string) bool {
	_, found := view.leaving[name]
	delete(view.leaving, name)
	return found
}

// Digest returns a hash of the results of Entries and Servers.
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

// Entries returns the entry instances sorted by name, with state Leaving for those that announced it.
func (view *View) Entries(now time.Time) []Entry {
	entries := slices.Clone(view.list.Entries)
	for i := range entries {
		if view.isLeaving(now, entries[i].Name) {
			entries[i].State = Leaving
		}
	}
	return entries
}

// Servers returns the backend servers sorted by name, with state Leaving for those that announced it or are suppressed.
func (view *View) Servers(now time.Time) []Server {
	servers := slices.Clone(view.list.Servers)
	for i := range servers {
		if view.isLeaving(now, servers[i].Name) || view.isSuppressed(&servers[i]) {
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
