package yamux

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestRulesAreCompressedOnTheWire deflates a text of many routes. On civitas-portal-grown, 34 instances of a failure domain pulled 380 rules
// from one with a link of 10 Mbit/s at the same time, none got them within the 100 ms allowed, and all asked again: 3 s until a
// version was in force.
func TestRulesAreCompressedOnTheWire(t *testing.T) {
	const (
		instances = 34             // that pull at the same time
		link      = 10_000_000 / 8 // bytes a second, the slowest link of the users' machines
		routes    = 380
	)
	text := &strings.Builder{}
	for i := range routes {
		fmt.Fprintf(text, "route gateway-%d.example/path-%d/ service=service-%d repeatable=yes deadline=%dms target=1200ms attempts=2 priority=2 # asked by: operators, route r-%d\n", i%7, i*7919%1000, i%4, 2000+i, i)
	}
	rules := deflatedRules{}
	deflated, err := rules.get(3, text.String())
	must.NoError(t, err)
	must.Less(t, int(link*rulesTimeout.Seconds()/instances), len(deflated))
	must.Greater(t, int(link*rulesTimeout.Seconds()/instances), text.Len(), must.Sprint("it would be in time without"))
	// The answer that nothing is newer must not drop what is kept.
	none, err := rules.get(0, "")
	must.NoError(t, err)
	must.SliceEmpty(t, none)
	again, err := rules.get(3, "not looked at")
	must.NoError(t, err)
	must.Eq(t, deflated, again)
	inflated, err := inflateRules(deflated)
	must.NoError(t, err)
	must.Eq(t, text.String(), inflated)
	_, err = inflateRules([]byte("no deflated text"))
	must.Error(t, err)
}
