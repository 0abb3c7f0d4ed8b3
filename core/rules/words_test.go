package rules

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestQuotedNamesKeepTheirText guards against a name that is read back as another one, or as more than one word or rule.
func TestQuotedNamesKeepTheirText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service, path, host := rapid.String().Draw(t, "service"), "/"+rapid.StringMatching(`[^/.]{1,9}`).Draw(t, "path"), rapid.StringMatching(`[^/A-Z]{0,9}`).Draw(t, "host")
		if service == "" || host != strings.ToLower(host) {
			t.Skip("not a name")
		}
		set, err := Parse("rules", "service "+QuoteName(service)+" health="+QuotePath(path)+" # asked by: a\n"+
			"route "+QuoteRoute(host, path)+" split="+QuoteName(service)+":3 # asked by: a\n")
		must.NoError(t, err)
		must.Eq(t, 2, set.Len())
		must.Eq(t, path, set.Service(service).HealthPath)
		must.Eq(t, service, set.Route("GET", host, path).Split[0].Service)
	})
}

func TestQuotedTextErrors(t *testing.T) {
	for _, c := range []struct {
		line   string
		column int
		reason string
	}{
		{`service "balances # x`, 9, "no end"},
		{`service "a\q" # x`, 9, "no end or an invalid escape"},
		{`service "" # x`, 9, "is not a name"},
		{`service "a"b # x`, 9, "is not a name"},
		{`service "\xff" # x`, 9, "is not a name"},
		{`service a "floor=75%" # x`, 11, "unknown option"},
		{`route "a" service=a # x`, 1, "has no path"},
		{`route "Gateway/a" service=a # x`, 7, "is not a host name"},
		{`route /a access=some # x`, 17, "access=some is not valid"},
		{`route /a access=none service=a # x`, 1, "both access=none and a service"},
		{`team "a\nb" # x`, 6, "cannot be named to backend servers"},
		{`team " a" # x`, 6, "cannot be named to backend servers"},
		{`key ` + DigestKey("a").String() + ` access=none team=a # x`, 1, "names no team"},
		{`rejected "op" row=1 # `, 23, "does not say who asked"},
	} {
		_, err := Parse("rules", c.line)
		var parseErr *Error
		must.True(t, errors.As(err, &parseErr), must.Sprint(c.line))
		must.StrContains(t, parseErr.Reason, c.reason)
		must.Eq(t, c.column, parseErr.Column, must.Sprint(c.line))
		must.LessEq(t, 1000, len(err.Error()))
	}
}

func TestClosedRulesAndRejections(t *testing.T) {
	rejection := Rejection{File: "document", Row: "routes 3, \"r\"", Field: "service", Reason: "no\nservice"}
	set, err := Parse("rules", "team agencies # asked by: a\nroute /a access=none # asked by: a\nroute gateway.example/b access=none # asked by: a\n"+
		"key "+DigestKey("k1").String()+" "+DigestKey("k2").String()+" team=agencies # asked by: a\nkey "+DigestKey("k3").String()+" access=none # asked by: a\n"+
		rejection.Rule()+" # asked by: a\n")
	must.NoError(t, err)
	must.True(t, set.Route("GET", "", "/a/b").Closed)
	must.SliceEmpty(t, set.Route("GET", "gateway.example:80", "/b").Services())
	must.Eq(t, "agencies", set.TeamOfKey(DigestKey("k2")).Name)
	must.Nil(t, set.TeamOfKey(DigestKey("k3")))
	must.True(t, set.IsClosedKey(DigestKey("k3")))
	must.False(t, set.IsClosedKey(DigestKey("k1")))
	must.False(t, set.IsClosedKey(DigestKey("k4")))
	must.Eq(t, []Rejection{rejection}, set.Rejections())
	must.SliceEmpty(t, set.Warnings("rules"))
}

// TestExactRoutes guards against a path that is taken for one of another route because it is decoded or cleaned (review/8).
func TestExactRoutes(t *testing.T) {
	var text strings.Builder
	for service, prefix := range map[string]string{"root": "/", "encoded": "/dep%C3%B3sitos/", "letters": "/ó b|/", "empty": "/a//b/", "dots": "/a/../b/", "plain": "/a/b/"} {
		text.WriteString("service " + service + " # asked by: a\nroute " + QuoteRoute("", EncodePath(prefix)) + " match=below service=" + service + " # asked by: a\n")
	}
	set, err := Parse("rules", text.String())
	must.NoError(t, err)
	for path, service := range map[string]string{
		"/": "root", "": "root", "*": "root", "/dep%C3%B3sitos/7": "encoded", "/dep%C3%B3sitos/": "encoded", "/dep%C3%B3sitos": "root", "/dep\u00f3sitos/7": "encoded",
		"/dep%c3%b3sitos/7": "root", "/%C3%B3%20b%7C/1": "letters", "/\u00f3%20b|/1": "letters", "/a//b/c": "empty", "/a//b//c": "empty", "/a/../b/c": "dots",
		"/x/../a/b/c": "root", "/a/b/c": "plain", "/a/b//": "plain", "/a/b": "root", "/a%2Fb/c": "root", "/a/./b/c": "root", "//a/b/c": "root",
	} {
		must.Eq(t, service, set.ExactRoute("GET", "", path).Service, must.Sprint(path))
	}
}

// TestHostsWithPorts guards against a route for one port that takes the requests of another.
func TestHostsWithPorts(t *testing.T) {
	set, err := Parse("rules", "service a # asked by: a\nservice b # asked by: a\nroute \"gateway.example:8080/\" service=a # asked by: a\nroute gateway.example/ service=b # asked by: a\n")
	must.NoError(t, err)
	for host, service := range map[string]string{"Gateway.example:8080": "a", "gateway.example": "b", "gateway.example:80": "b"} {
		must.Eq(t, service, set.Route("GET", host, "/x").Service, must.Sprint(host))
	}
}

// TestCompareReadsQuotedText guards against differences that are cut at a space or a number sign within quotes.
func TestCompareReadsQuotedText(t *testing.T) {
	changes := Compare(`service "a # b" slots=1 # x`, `service "a # b" slots=2 # x`)
	must.Len(t, 1, changes)
	must.Eq(t, `line 1: changed service "a # b": slots=2 instead of 1`, strings.TrimSpace(changes[0].String()))
}
