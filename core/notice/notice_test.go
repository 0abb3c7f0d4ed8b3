package notice

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_800_000_000, 0)

// listed returns a lookup function for servers with the given start times of their runs.
func listed(starts map[string]time.Time) func(string) (time.Time, bool) {
	return func(name string) (time.Time, bool) {
		started, found := starts[name]
		return started, found
	}
}

func TestLeavingHoldsUntilTheNextRunIsListed(t *testing.T) {
	tracker := Tracker{}
	first := start.Add(-time.Hour)
	must.True(t, tracker.MarkLeaving(start, Server{Name: "a", Service: "s", Started: first}))
	must.False(t, tracker.MarkLeaving(start.Add(time.Second), Server{Name: "a", Service: "s", Started: first}), must.Sprint("a repeated notice is not new"))
	tracker.Prune(start.Add(time.Hour), listed(map[string]time.Time{"a": first}))
	must.True(t, tracker.IsLeaving("a", time.Time{}), must.Sprint("the list still shows the run as live"))
	must.Eq(t, []Server{{Name: "a", Service: "s", Started: first}}, tracker.Leaving())
	tracker.Prune(start.Add(time.Hour), listed(map[string]time.Time{"a": start.Add(time.Minute)}))
	must.False(t, tracker.IsLeaving("a", time.Time{}), must.Sprint("a new run under the same name"))
}

func TestLeavingAppliesToOneRun(t *testing.T) {
	tracker := Tracker{}
	must.True(t, tracker.MarkLeaving(start, Server{Name: "a", Service: "s", Started: start}))
	must.True(t, tracker.IsLeaving("a", start))
	must.False(t, tracker.IsLeaving("a", start.Add(time.Second)), must.Sprint("a later run"))
	must.False(t, tracker.MarkLeaving(start, Server{Name: "a", Service: "s", Started: start.Add(-time.Minute)}), must.Sprint("a notice of an earlier run"))
	must.True(t, tracker.MarkLeaving(start, Server{Name: "a", Service: "s", Started: start.Add(time.Minute)}))
	tracker.Prune(start, listed(map[string]time.Time{"a": start}))
	must.True(t, tracker.IsLeaving("a", start.Add(time.Minute)), must.Sprint("the list lags behind"))
}

func TestLeavingOfUnlistedServers(t *testing.T) {
	tracker := Tracker{}
	tracker.MarkLeaving(start, Server{Name: "a", Service: "s"})
	tracker.Prune(start.Add(time.Minute), listed(nil))
	must.True(t, tracker.IsLeaving("a", time.Time{}))
	tracker.Prune(start.Add(time.Minute), listed(map[string]time.Time{"a": start.Add(-time.Hour)}))
	must.True(t, tracker.IsLeaving("a", time.Time{}), must.Sprint("the run that sent the notice is listed again"))
	tracker.Prune(start.Add(time.Minute), listed(map[string]time.Time{"a": start.Add(time.Second)}))
	must.False(t, tracker.IsLeaving("a", time.Time{}))
	tracker.MarkLeaving(start, Server{Name: "b", Service: "s"})
	tracker.Prune(start.Add(unlistedTTL+time.Second), listed(nil))
	must.False(t, tracker.IsLeaving("b", time.Time{}))
}

func TestPausesEnd(t *testing.T) {
	tracker := Tracker{}
	a, b := Server{Name: "a", Service: "s"}, Server{Name: "b", Service: "s"}
	must.Eq(t, start.Add(3*time.Second), tracker.Pause(start, a, start.Add(3*time.Second)))
	tracker.Pause(start, b, start.Add(time.Second))
	names, nextEnd := tracker.Paused(start, "s")
	must.Eq(t, []string{"a", "b"}, names)
	must.Eq(t, start.Add(time.Second), nextEnd)
	names, nextEnd = tracker.Paused(start.Add(time.Second), "s")
	must.Eq(t, []string{"a"}, names)
	must.Eq(t, start.Add(3*time.Second), nextEnd)
	must.False(t, tracker.IsPaused(start.Add(3*time.Second), "s", "a"))
	tracker.Pause(start, a, start.Add(time.Second))
	must.False(t, tracker.IsPaused(start.Add(2*time.Second), "s", "a"), must.Sprint("the most recent notice applies"))
	must.Eq(t, start.Add(MaxPause), tracker.Pause(start, a, start.Add(1000*time.Hour)))
	tracker.Prune(start, listed(map[string]time.Time{"a": start.Add(time.Second)}))
	must.False(t, tracker.IsPaused(start, "s", "a"), must.Sprint("a new run has not requested a pause"))
}
