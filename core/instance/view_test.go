package instance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestViewRejectsOlderReadings applies a list that was read before the current one, which the view must reject. Two goroutines of an
// instance may apply their readings in a different order than they read them.
func TestViewRejectsOlderReadings(t *testing.T) {
	var view View
	now := time.Unix(1_900_000_000, 0)
	gone, stays := Server{Name: "gone", Service: "payouts"}, Server{Name: "stays", Service: "payouts"}
	older := List{Changes: 1, Servers: []Server{gone, stays}}
	later := List{Changes: 2, Servers: []Server{stays}}
	must.True(t, view.Apply(now, later))
	must.False(t, view.Apply(now, older))
	must.Len(t, 1, view.Servers(now))
	must.True(t, view.Apply(now, later), must.Sprint("the current reading again"))

	restored := List{Changes: 3, Restorations: 1, Servers: []Server{gone, stays}}
	must.True(t, view.Apply(now, List{Changes: 2, Servers: []Server{stays}}))
	must.True(t, view.Apply(now, restored))
}

// TestDepartedServersAfterARestore restores the platform's list from a copy that shows leaving and departed servers as live. They must
// count as leaving until the suppression ends, by when running servers have written their records again. New runs must be used at once.
func TestDepartedServersAfterARestore(t *testing.T) {
	now, run := time.Unix(1000, 0), time.Unix(900, 0)
	server := func(name string, state State, started time.Time) Server {
		return Server{Name: name, State: state, Started: started}
	}
	all := List{Entries: []Entry{{Name: "entry"}}, Servers: []Server{
		server("draining", Live, run), server("gone", Live, run), server("long-gone", Live, run), server("new-run", Live, run),
		server("returned", Live, run), server("stays", Live, run),
	}}
	view := View{}
	must.True(t, view.Apply(now, all))
	without := func(names ...string) List {
		list := List{Entries: all.Entries}
		for _, s := range all.Servers {
			for _, name := range names {
				if s.Name == name {
					s.Name = ""
				}
			}
			if s.Name != "" {
				list.Servers = append(list.Servers, s)
			}
		}
		return list
	}
	must.True(t, view.Apply(now, without("long-gone")))
	now = now.Add(departureTTL)
	must.True(t, view.Apply(now, without("long-gone", "gone", "new-run", "returned")))
	present := without("long-gone", "gone", "new-run")
	for i := range present.Servers {
		if present.Servers[i].Name == "draining" {
			present.Servers[i].State = Leaving
		}
	}
	must.True(t, view.Apply(now.Add(time.Second), present))

	now = now.Add(2 * time.Second)
	copied := List{Restorations: 1, Entries: all.Entries, Servers: append([]Server{}, all.Servers...)}
	for i := range copied.Servers {
		if copied.Servers[i].Name == "new-run" {
			copied.Servers[i].Started = now
		}
	}
	must.True(t, view.Apply(now, copied))
	states := func(at time.Time) map[string]State {
		out := map[string]State{}
		for _, s := range view.Servers(at) {
			out[s.Name] = s.State
		}
		return out
	}
	must.Eq(t, map[string]State{"draining": Leaving, "gone": Leaving, "long-gone": Live, "new-run": Live, "returned": Live, "stays": Live}, states(now))
	must.False(t, view.ExpireSuppressed(now.Add(suppressionDuration-time.Millisecond)))
	must.Eq(t, Leaving, states(now.Add(suppressionDuration - time.Millisecond))["gone"])
	must.True(t, view.ExpireSuppressed(now.Add(suppressionDuration)))
	must.Eq(t, Live, states(now.Add(suppressionDuration))["gone"])
}

// TestRestartedInstancesAreLive guards against taking an instance that was restarted for leaving: of those that it told that it leaves,
// only some hear from it again.
func TestRestartedInstancesAreLive(t *testing.T) {
	now := time.Unix(1000, 0)
	view := View{}
	both, one := []Entry{{Name: "entry-0"}, {Name: "entry-1"}}, []Entry{{Name: "entry-0"}}
	state := func() State { return view.Entries(now)[1].State }
	must.True(t, view.Apply(now, List{Changes: 1, Entries: both}))
	view.MarkLeaving(now, "entry-1")
	must.Eq(t, Leaving, state())
	must.True(t, view.Apply(now, List{Changes: 2, Entries: both}))
	must.Eq(t, Leaving, state(), must.Sprint("the list lags"))
	must.True(t, view.Apply(now, List{Changes: 3, Entries: one}))
	must.True(t, view.Apply(now, List{Changes: 4, Entries: both}))
	must.Eq(t, Live, state())

	// A restored copy of the list shows an instance that is still leaving.
	view.MarkLeaving(now, "entry-1")
	must.True(t, view.Apply(now, List{Changes: 5, Entries: one}))
	must.True(t, view.Apply(now, List{Changes: 6, Restorations: 1, Entries: both}))
	must.Eq(t, Leaving, state())
}
