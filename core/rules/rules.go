// Package rules holds the operators' configuration: one rule a line, checked as a whole.
package rules

import (
	"path"
	"strings"
	"time"
)

// Ejection names how much evidence ejects a backend server.
type Ejection uint8

// Ejection policies.
const (
	// Cautious weighs false ejections more heavily than detection time.
	Cautious Ejection = iota
	// Quick weighs detection time more heavily than false ejections.
	Quick
)

// String returns the policy's name in a rules file.
func (ejection Ejection) String() string {
	if ejection == Quick {
		return "quick"
	}
	return "cautious"
}

// Repeat says which requests of a route are idempotent.
type Repeat uint8

// Repeat values.
const (
	// ByMethod follows the method's semantics (RFC 9110, section 9.2.2).
	ByMethod Repeat = iota
	// Repeatable marks every request of the route idempotent.
	Repeatable
	// NotRepeatable marks every request of the route non-idempotent.
	NotRepeatable
)

// Defaults of a service rule.
const (
	DefaultFloor       = 0.75
	DefaultSlots       = 4
	DefaultConnections = 400
	DefaultAttempts    = 3
	DefaultDeadline    = 30 * time.Second
	DefaultStall       = 30 * time.Second
	DefaultWait        = time.Second
)

// Service is a service rule with its defaults filled in.
type Service struct {
	Name        string
	Floor       float64 // share of healthy capacity that ejection leaves in service, 0 to 1
	Slots       int     // concurrent requests a backend server runs
	Connections int     // open connections a backend server accepts
	Attempts    int     // attempts of an idempotent request, the first included
	Ejection    Ejection
	Limit       float64       // requests per second, 0 for none
	Stall       time.Duration // longest silence within an answer's body
	Wait        time.Duration // longest wait for a slot
	AskedBy     string
	Line        int
}

// Route is a route rule with its defaults filled in.
type Route struct {
	Prefix   string   // path prefix on segment boundaries, without a trailing slash
	Methods  []string // empty for all
	Service  string
	Repeat   Repeat
	Deadline time.Duration // longest time to the first byte of the answer
	AskedBy  string
	Line     int
}

// Team is a team rule.
type Team struct {
	Name    string
	Limit   float64 // requests per second, 0 for none
	AskedBy string
	Line    int
}

// Set is a checked, immutable set of rules; the zero value has none.
type Set struct {
	services map[string]*Service
	routes   map[string][]*Route
	teams    map[string]*Team
	depth    int
}

// Service returns the rule of a service, or nil.
func (set *Set) Service(name string) *Service {
	return set.services[name]
}

// Team returns the rule of a team, or nil.
func (set *Set) Team(name string) *Team {
	return set.teams[name]
}

// Len returns the number of rules.
func (set *Set) Len() int {
	n := len(set.services) + len(set.teams)
	for _, routes := range set.routes {
		n += len(routes)
	}
	return n
}

// Route returns the route with the longest prefix that takes the method, or nil.
//
// The path is cleaned first, so that dot segments cannot reach a route under another's rule.
func (set *Set) Route(method, urlPath string) *Route {
	prefix := set.clip(cleanPath(urlPath))
	for {
		for _, route := range set.routes[prefix] {
			if route.takes(method) {
				return route
			}
		}
		if prefix == "" {
			return nil
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
}

// Idempotent reports whether a request of the route with this method may run again.
func (route *Route) Idempotent(method string) bool {
	switch route.Repeat {
	case Repeatable:
		return true
	case NotRepeatable:
		return false
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}

func (route *Route) takes(method string) bool {
	if len(route.Methods) == 0 {
		return true
	}
	for _, m := range route.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// clip cuts a path after as many segments as the longest prefix has.
func (set *Set) clip(p string) string {
	depth := 0
	for i := 0; i < len(p); i++ {
		if p[i] != '/' {
			continue
		}
		if depth == set.depth {
			return p[:i]
		}
		depth++
	}
	return p
}

// cleanPath resolves dot segments and drops the trailing slash; the root is "".
func cleanPath(p string) string {
	if !isClean(p) {
		p = path.Clean("/" + p)
	}
	return strings.TrimSuffix(p, "/")
}

// isClean reports whether a path has neither dot segments nor empty ones.
func isClean(p string) bool {
	if p == "" || p[0] != '/' {
		return false
	}
	return !strings.Contains(p, "//") && !strings.Contains(p, "/.")
}
