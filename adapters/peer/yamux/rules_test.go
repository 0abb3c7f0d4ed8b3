package yamux

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestRulesAreCompressedOnTheWire guards against rules that arrive too late. On civitas-portal-grown, 34 instances of a failure
// domain pulled an uncompressed text of 380 rules at once from an instance with a 10 Mbit/s link. None received it within the 100 ms
// timeout and all retried, so the version took 3 s to be in force.
func TestRulesAreCompressedOnTheWire(t *testing.T) {
	const (
		instances = 34             // pulling at the same time
		link      = 10_000_000 / 8 // bytes per second, the users' slowest link
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
	must.Greater(t, int(link*rulesTimeout.Seconds()/instances), text.Len(), must.Sprint("the uncompressed text would arrive in time"))
	// A reply without newer rules must not drop the cached text.
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
	for end := 0; end < len(deflated); end += 1 + len(deflated)/50 {
		_, err = inflateRules(deflated[:end])
		must.Error(t, err, must.Sprint("cut text"))
	}
}
