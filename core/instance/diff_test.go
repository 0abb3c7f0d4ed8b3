package instance

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestDiffOfLists(t *testing.T) {
	before := []Server{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d", State: Leaving}, {Name: "z"}}
	after := []Server{{Name: "aa"}, {Name: "b", State: Leaving}, {Name: "c"}, {Name: "d", State: Leaving}, {Name: "e"}}
	must.Eq(t, Diff{Joined: []string{"aa", "e"}, Draining: []string{"b"}, Departed: []string{"a", "z"}}, DiffServers(before, after))
	must.Eq(t, Diff{}, DiffServers(after, after))
	must.Eq(t, Diff{Joined: []string{"x"}}, DiffEntries(nil, []Entry{{Name: "x"}}))
}
