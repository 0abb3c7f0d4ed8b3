package notice

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_800_000_000, 0)

// listed returns a find function for servers with the starts of their runs.
func listed(starts map[string]time.Time) func(string) (time.Time, bool) {
	return func(name string) (time.Time, bool) {
		started, found := starts[name]
		return started, found
	}
}

func TestLeavingOutlivesTheListUntilANewRun(t *testing.T) {
	board := Board{}
	first := start.Add(-time.Hour)
	must.True(t, board.Leave(start, Server{Name: "a", Service: "s", Started: first}))
	must.False(t, board.Leave(start.Add(time.Second), Server{Name: "a", Service: "s", Started: first}), must.Sprint("the same word is no news"))
	board.Follow(start.Add(time.Hour), listed(map[string]time.Time{"a": first}))
	must.True(t, board.IsLeaving("a", time.Time{}), must.Sprint("the list still says that it is ready"))
	must.Eq(t, []Server{{Name: "a", Service: "s", Started: first}}, board.Leaving())
	board.Follow(start.Add(time.Hour), listed(map[string]time.Time{"a": start.Add(time.Minute)}))
	must.False(t, board.IsLeaving("a", time.Time{}), must.Sprint("a new run under the same name"))
}

func TestLeavingIsOfOneRun(t *testing.T) {
	board := Board{}
	must.True(t, board.Leave(start, Server{Name: "a", Service: "s", Started: start}))
	must.True(t, board.IsLeaving("a", start))
	must.False(t, board.IsLeaving("a", start.Add(time.Second)), must.Sprint("a later run"))
	must.False(t, board.Leave(start, Server{Name: "a", Service: "s", Started: start.Add(-time.Minute)}), must.Sprint("the word of an earlier run"))
	must.True(t, board.Leave(start, Server{Name: "a", Service: "s", Started: start.Add(time.Minute)}))
	board.Follow(start, listed(map[string]time.Time{"a": start}))
	must.True(t, board.IsLeaving("a", start.Add(time.Minute)), must.Sprint("the list is behind"))
}

func TestLeavingOfUnlistedServers(t *testing.T) {
	board := Board{}
	board.Leave(start, Server{Name: "a", Service: "s"})
	board.Follow(start.Add(time.Minute), listed(nil))
	must.True(t, board.IsLeaving("a", time.Time{}))
	board.Follow(start.Add(time.Minute), listed(map[string]time.Time{"a": start.Add(-time.Hour)}))
	must.True(t, board.IsLeaving("a", time.Time{}), must.Sprint("the run that spoke is back on the list"))
	board.Follow(start.Add(time.Minute), listed(map[string]time.Time{"a": start.Add(time.Second)}))
	must.False(t, board.IsLeaving("a", time.Time{}))
	board.Leave(start, Server{Name: "b", Service: "s"})
	board.Follow(start.Add(keepUnlisted+time.Second), listed(nil))
	must.False(t, board.IsLeaving("b", time.Time{}))
}

func TestPausesEnd(t *testing.T) {
	board := Board{}
	a, b := Server{Name: "a", Service: "s"}, Server{Name: "b", Service: "s"}
	must.Eq(t, start.Add(3*time.Second), board.Pause(start, a, start.Add(3*time.Second)))
	board.Pause(start, b, start.Add(time.Second))
	names, first := board.Paused(start, "s")
	must.Eq(t, []string{"a", "b"}, names)
	must.Eq(t, start.Add(time.Second), first)
	names, first = board.Paused(start.Add(time.Second), "s")
	must.Eq(t, []string{"a"}, names)
	must.Eq(t, start.Add(3*time.Second), first)
	must.False(t, board.IsPaused(start.Add(3*time.Second), "s", "a"))
	board.Pause(start, a, start.Add(time.Second))
	must.False(t, board.IsPaused(start.Add(2*time.Second), "s", "a"), must.Sprint("the latest word counts"))
	must.Eq(t, start.Add(MostPause), board.Pause(start, a, start.Add(1000*time.Hour)))
	board.Follow(start, listed(map[string]time.Time{"a": start.Add(time.Second)}))
	must.False(t, board.IsPaused(start, "s", "a"), must.Sprint("a new run has not asked for a pause"))
}
