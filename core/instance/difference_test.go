package instance

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestDifferenceOfLists(t *testing.T) {
	before := []Server{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d", State: Leaving}, {Name: "z"}}
	after := []Server{{Name: "aa"}, {Name: "b", State: Leaving}, {Name: "c"}, {Name: "d", State: Leaving}, {Name: "e"}}
	must.Eq(t, Difference{Joined: []string{"aa", "e"}, Left: []string{"b"}, Gone: []string{"a", "z"}}, ServerDifference(before, after))
	must.Eq(t, Difference{}, ServerDifference(after, after))
	must.Eq(t, Difference{Joined: []string{"x"}}, EntryDifference(nil, []Entry{{Name: "x"}}))
}
