package dialect

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

func TestParseCredential(t *testing.T) {
	for name, c := range map[string]struct {
		values           []string
		presented, valid bool
	}{
		"none":           {nil, false, false},
		"key":            {[]string{"Bearer k1"}, true, true},
		"scheme's case":  {[]string{"bEARER k1"}, true, true},
		"more spaces":    {[]string{"Bearer   k1 "}, true, true},
		"other scheme":   {[]string{"Basic k1"}, true, false},
		"no key":         {[]string{"Bearer "}, true, false},
		"scheme alone":   {[]string{"Bearer"}, true, false},
		"empty":          {[]string{""}, true, false},
		"two headers":    {[]string{"Bearer k1", "Bearer k1"}, true, false},
		"two keys":       {[]string{"Bearer k1 k2"}, true, false},
		"list":           {[]string{"Bearer k1, Bearer k2"}, true, false},
		"key too long":   {[]string{"Bearer " + strings.Repeat("k", maxKeyBytes+1)}, true, false},
		"key and a tab":  {[]string{"Bearer k1\tk2"}, true, false},
		"empty and key":  {[]string{"", "Bearer k1"}, true, false},
		"longest of all": {[]string{"Bearer " + strings.Repeat("k", maxKeyBytes)}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			credential := ParseCredential(http.Header{"Authorization": c.values}, "Bearer")
			must.Eq(t, c.presented, credential.Presented)
			must.Eq(t, c.valid, credential.Valid)
			if c.valid && len(c.values[0]) < 20 {
				must.Eq(t, rules.DigestKey("k1"), credential.Digest)
			}
		})
	}
}

func TestIdentifyTeam(t *testing.T) {
	header := http.Header{"Authorization": {"Bearer k1"}, "Team": {"claimed", "again"}}
	(&Attempt{Team: "claimed"}).IdentifyTeam(header, "Team")
	must.Eq(t, http.Header{"Authorization": {"Bearer k1"}, "Team": {"claimed", "again"}}, header)
	(&Attempt{KeysRequired: true, Team: "agencies"}).IdentifyTeam(header, "Team")
	must.Eq(t, http.Header{"Team": {"agencies"}}, header)
	(&Attempt{KeysRequired: true}).IdentifyTeam(header, "Team")
	must.Eq(t, http.Header{}, header)
}
