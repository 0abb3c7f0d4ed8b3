package control

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// TestNewKey checks that a new key and the digest that is printed with it work together in a rules file.
func TestNewKey(t *testing.T) {
	seen := map[string]bool{}
	for range 10 {
		out := &bytes.Buffer{}
		must.NoError(t, (&Control{Out: out}).NewKey())
		var key, digest string
		_, err := fmt.Sscanf(out.String(), "key %s\ndigest %s\n", &key, &digest)
		must.NoError(t, err)
		must.False(t, seen[key])
		seen[key] = true
		set, err := rules.Parse("rules", "team agencies # asked by: sales\nkey "+digest+" team=agencies # asked by: sales\n")
		must.NoError(t, err)
		must.Eq(t, "agencies", set.TeamOfKey(rules.DigestKey(key)).Name)
		must.False(t, strings.ContainsAny(key, " ,"))
	}
}
