package rules

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const keyed = `
service balances                                   # asked by: treasury, FG-112
route   /balances/ service=balances                # asked by: guides desk, FG-114
route   /help/     service=balances access=public  # asked by: guides desk, FG-115
team    agencies   limit=200/s burst=300 priority=1 # asked by: sales, FG-150
team    guides                                     # asked by: sales, FG-151
`

func keyLine(key, team string) string {
	return fmt.Sprintf("key %s team=%s # asked by: sales, FG-152\n", DigestKey(key), team)
}

func TestTeamOfKey(t *testing.T) {
	set, err := Parse("rules", keyed+keyLine("first", "agencies")+keyLine("second", "agencies")+keyLine("third", "guides"))
	must.NoError(t, err)
	must.True(t, set.KeysRequired())
	must.Eq(t, "agencies", set.TeamOfKey(DigestKey("first")).Name)
	must.Eq(t, "agencies", set.TeamOfKey(DigestKey("second")).Name)
	must.Eq(t, "guides", set.TeamOfKey(DigestKey("third")).Name)
	must.Nil(t, set.TeamOfKey(DigestKey("fourth")))
	must.Nil(t, set.TeamOfKey(Digest{}))
	must.Eq(t, 300, set.Team("agencies").Burst)
	must.Eq(t, 1, *set.Team("agencies").Priority)
	must.Nil(t, set.Team("guides").Priority)
	must.True(t, set.Route("GET", "", "/help/a").Public)
	must.False(t, set.Route("GET", "", "/balances/a").Public)
}

// TestKeysStayRequiredWithoutKeys guards against opening all routes when the last key is withdrawn.
func TestKeysStayRequiredWithoutKeys(t *testing.T) {
	set, err := Parse("rules", keyed)
	must.NoError(t, err)
	must.False(t, set.KeysRequired())
	set, err = Parse("rules", keyed+"callers keys=required # asked by: audit, FG-9\n")
	must.NoError(t, err)
	must.True(t, set.KeysRequired())
}

func TestKeyErrors(t *testing.T) {
	digest := DigestKey("first").String()
	for _, c := range []struct{ line, reason string }{
		{"key # x", "7:1: the key has no digest"},
		{"key secret-of-a-caller team=guides # x", "7:5: the key is not a SHA-256 digest"},
		{"key " + digest[:70] + " team=guides # x", "7:5: the key is not a SHA-256 digest"},
		{"key " + strings.ReplaceAll(digest, "a", "g") + " team=guides # x", "7:5: the key is not a SHA-256 digest"},
		{"key " + digest + " # x", "7:1: the key names no team"},
		{"key " + digest + " team=desk # x", `7:1: the key names team "desk", which no rule declares`},
		{"key " + digest + " team=guides team=agencies # x", "option team is given twice"},
		{"key " + digest + " team=guides # x\n" + strings.TrimSpace(keyLine("first", "agencies")), "8:5: key " + DigestKey("first").Short() + " is already declared in line 7"},
		{"team desk burst=10 # x", "7:1: the team has a burst without a limit"},
		{"team desk limit=10/s burst=0 # x", "7:28: burst=0 is not valid"},
		{"callers keys=yes # x", "7:14: keys=yes is not valid"},
		{"route /x service=balances access=all # x", "7:34: access=all is not valid"},
	} {
		_, err := Parse("rules", keyed+c.line)
		must.Error(t, err, must.Sprint(c.line))
		must.StrContains(t, err.Error(), c.reason)
		must.StrNotContains(t, err.Error(), "secret-of-a-caller")
	}
}

// BenchmarkTeamOfKey looks up the teams of keys in a large set, and reports the heap that a key occupies beyond the teams.
func BenchmarkTeamOfKey(b *testing.B) {
	const teams, keysPerTeam = 50_000, 2
	text := &strings.Builder{}
	for i := range teams {
		fmt.Fprintf(text, "team team-%d # x\n", i)
	}
	without, heapWithout := measureHeap(func() any { set, _ := Parse("rules", text.String()); return set })
	var digests []Digest
	for i := range teams * keysPerTeam {
		digests = append(digests, DigestKey(fmt.Sprintf("ftimaj3nr26tta%06d", i)))
		fmt.Fprintf(text, "key %s team=team-%d # x\n", digests[i], i%teams)
	}
	parsed, heap := measureHeap(func() any { set, _ := Parse("rules", text.String()); return set })
	set := parsed.(*Set)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if set.TeamOfKey(digests[i%len(digests)]) == nil {
			b.Fatal("no team")
		}
		i++
	}
	b.ReportMetric(float64(heap-heapWithout)/(teams*keysPerTeam), "heap-bytes/key")
	runtime.KeepAlive(without)
}

func BenchmarkDigestKey(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_ = DigestKey("ftimaj3nr26tta828m82")
	}
}
