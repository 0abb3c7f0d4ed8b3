// Package rules parses and looks up the operators' rules: a text file with one rule per line, validated as a whole.
package rules

import (
	"path"
	"strings"
	"time"
)

// Ejection selects how much failure evidence is required to eject a backend server.
type Ejection uint8

// Ejection policies.
const (
	// Cautious prefers few false ejections over fast detection.
	Cautious Ejection = iota
	// Quick prefers fast detection over few false ejections.
	Quick
)

// String returns the policy's name as written in a rules file.
func (ejection Ejection) String() string {
	if ejection == Quick {
		return "quick"
	}
	return "cautious"
}

// Placement selects how requests are placed on backend servers.
type Placement uint8

// Placement policies.
const (
	// Spread distributes requests evenly and ejects servers whose failure is confirmed.
	Spread Placement = iota
	// Proven prefers servers with recent successful responses and ejects none. It suits services in which many servers
	// occasionally fail for a few seconds.
	Proven
)

// QueueOrder selects which requests go first while a service lacks slots.
type QueueOrder uint8

// Queue orders.
const (
	// ByArrival serves the requests of a team and priority in the order of their arrival.
	ByArrival QueueOrder = iota
	// ByTarget prefers, within a priority, requests that can still be answered within their target latency, and rejects those
	// that cannot be answered in time. It suits services whose demand exceeds their healthy slots for seconds.
	ByTarget
)

// Idempotency selects which requests of a route are idempotent.
type Idempotency uint8

// Values of the repeatable option.
const (
	// IdempotentByMethod follows the method's semantics (RFC 9110, section 9.2.2).
	IdempotentByMethod Idempotency = iota
	// AlwaysIdempotent marks every request of the route idempotent.
	AlwaysIdempotent
	// NeverIdempotent marks every request of the route non-idempotent.
	NeverIdempotent
)

// Defaults of service and route rules.
const (
	DefaultFloor          = 0.75
	DefaultSlots          = 4
	DefaultMaxConnections = 400
	DefaultMaxAttempts    = 3
	DefaultTimeout        = 30 * time.Second
	DefaultStallTimeout   = 30 * time.Second
	DefaultMaxWait        = time.Second
	DefaultHealthPath     = "/health"
)

// Service is a service rule with its defaults filled in.
type Service struct {
	Name           string
	Floor          float64 // share of healthy capacity that ejection leaves in service, 0 to 1
	Slots          int     // concurrent requests a backend server runs
	MaxConnections int     // open connections a backend server accepts
	MaxAttempts    int     // attempts per idempotent request, including the first
	Ejection       Ejection
	Placement      Placement
	Queue          QueueOrder
	RateLimit      float64       // requests per second, 0 for none
	StallTimeout   time.Duration // longest pause within a response body
	MaxWait        time.Duration // longest wait for a slot
	HealthPath     string        // path of the backend servers' health check
	RequestedBy    string
	Line           int
}

// WeightedService is one service of a split route and its share of the route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is a route rule with its defaults filled in.
type Route struct {
	Host          string            // lower case; without a port for all ports, empty for all hosts
	Prefix        string            // path prefix on segment boundaries, without a trailing slash
	SubpathsOnly  bool              // only paths below the prefix, not the prefix itself
	Methods       []string          // empty for all
	Service       string            // empty for a split route
	Split         []WeightedService // services that share the route's requests by weight
	Idempotency   Idempotency
	Large         bool          // responses have tens of kilobytes or more
	Public        bool          // requests need no key
	Closed        bool          // all requests are refused; such a route has no service
	MaxAttempts   int           // attempts per request, 0 for the service's limit
	Priority      int           // 0 is the most urgent when slots are scarce
	TargetLatency time.Duration // latency above which a response loses value for callers, 0 if the rule sets none
	Timeout       time.Duration // longest time to the first byte of the response
	RequestedBy   string
	Line          int
}

// Team is a team rule.
type Team struct {
	Name        string
	RateLimit   float64 // requests per second, 0 for none
	Burst       float64 // requests beyond the rate at once, 0 for those of one second
	Priority    *int    // takes precedence over the route's priority; nil to keep that
	RequestedBy string
	Line        int
}

// CallerLimits is the callers rule, with limits on requests and connections of callers. Zero values keep the limits of the
// settings.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // longest time to send a request's header
	IdleTimeout    time.Duration // longest time that a connection stays open without a request
	KeysRequired   bool          // requests need a team's key even if no rule lists one
	RequestedBy    string
	Line           int
}

// Set is a validated, immutable set of rules. The zero value is empty.
type Set struct {
	services     map[string]*Service
	hosts        map[string]*hostRoutes // by host name; the empty name applies to all hosts
	teams        map[string]*Team
	keys         map[Digest]*Team // nil for a closed key
	callerLimits *CallerLimits
	rejections   []Rejection
}

// hostRoutes are the routes of one host by prefix.
type hostRoutes struct {
	routes map[string][]*Route
	depth  int // segments of the longest prefix
}

// CallerLimits returns the callers rule, or zero values if there is none.
func (set *Set) CallerLimits() CallerLimits {
	if set.callerLimits == nil {
		return CallerLimits{}
	}
	return *set.callerLimits
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
	n := len(set.services) + len(set.teams) + len(set.keys)
	for _, host := range set.hosts {
		for _, routes := range host.routes {
			n += len(routes)
		}
	}
	if set.callerLimits != nil {
		n++
	}
	return n
}

// Route returns the route with the longest matching prefix that accepts the method, or nil. Routes of the host and its port take
// precedence over routes of the host, and these over routes for all hosts.
//
// The path is cleaned first, so that a request cannot use dot segments to match the rule of another route.
func (set *Set) Route(method, host, urlPath string) *Route {
	cleaned := cleanPath(urlPath)
	return set.match(method, host, cleaned, strings.HasSuffix(urlPath, "/") || cleaned == "")
}

// ExactRoute is Route for an encoded path that is compared as it was sent: it is neither decoded nor cleaned. Prefixes must be as EncodePath
// returns them.
func (set *Set) ExactRoute(method, host, encodedPath string) *Route {
	if !strings.HasPrefix(encodedPath, "/") {
		encodedPath = "/" + encodedPath
	}
	return set.match(method, host, EncodePath(encodedPath), false)
}

// match returns the route for a path. The parameter below reports whether the path is below itself as a prefix.
func (set *Set) match(method, host, urlPath string, below bool) *Route {
	for _, name := range []string{strings.ToLower(host), hostName(host), ""} {
		if routes := set.hosts[name]; routes != nil {
			if route := routes.longestMatch(method, urlPath, below); route != nil {
				return route
			}
		}
	}
	return nil
}

// hostName returns the host name of a Host header in lower case, without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// longestMatch returns the route with the longest prefix of a path that accepts the method. The parameter below reports whether the path is
// below itself as a prefix.
func (hostRoutes *hostRoutes) longestMatch(method, urlPath string, below bool) *Route {
	prefix := hostRoutes.truncate(urlPath)
	for {
		for _, route := range hostRoutes.routes[prefix] {
			if route.acceptsMethod(method) && (!route.SubpathsOnly || below || prefix != urlPath) {
				return route
			}
		}
		if prefix == "" {
			return nil
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
}

// Idempotent reports whether a request with this method on the route may be executed more than once.
func (route *Route) Idempotent(method string) bool {
	switch route.Idempotency {
	case AlwaysIdempotent:
		return true
	case NeverIdempotent:
		return false
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}

// PickService returns the service for a request. Evenly distributed points in [0, 1) distribute the requests of a split route by
// weight.
func (route *Route) PickService(point float64) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	total := 0
	for _, candidate := range route.Split {
		total += candidate.Weight
	}
	remaining := point * float64(total)
	for _, candidate := range route.Split {
		if remaining < float64(candidate.Weight) {
			return candidate.Service
		}
		remaining -= float64(candidate.Weight)
	}
	return route.Split[len(route.Split)-1].Service
}

// Services returns the names of all services that the route may send requests to.
func (route *Route) Services() []string {
	if route.Closed {
		return nil
	}
	if len(route.Split) == 0 {
		return []string{route.Service}
	}
	names := make([]string, 0, len(route.Split))
	for _, share := range route.Split {
		names = append(names, share.Service)
	}
	return names
}

func (route *Route) acceptsMethod(method string) bool {
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

// truncate limits a path to as many segments as the longest prefix has.
func (hostRoutes *hostRoutes) truncate(p string) string {
	depth := 0
	for i := 0; i < len(p); i++ {
		if p[i] != '/' {
			continue
		}
		if depth == hostRoutes.depth {
			return p[:i]
		}
		depth++
	}
	return p
}

// cleanPath resolves dot segments and removes empty segments and the trailing slash. The root is "".
func cleanPath(p string) string {
	if !isClean(p) {
		p = path.Clean("/" + p)
	}
	return strings.TrimSuffix(p, "/")
}

// EncodePath percent-encodes the characters that a URL's path cannot have. Those that are encoded already stay as they are.
func EncodePath(p string) string {
	const upperHex = "0123456789ABCDEF"
	if !strings.ContainsFunc(p, isUnsafeInPath) {
		return p
	}
	out := make([]byte, 0, len(p)+len(p)/2)
	for i := range len(p) {
		if c := p[i]; isUnsafeInPath(rune(c)) {
			out = append(out, '%', upperHex[c>>4], upperHex[c&15])
		} else {
			out = append(out, c)
		}
	}
	return string(out)
}

// isUnsafeInPath reports whether a character cannot stand in a URL's path (RFC 3986, section 3.3). The percent sign is not one.
func isUnsafeInPath(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"#<>?[\\]^`{|}", r)
}

// isCleanPrefix reports whether a path has no empty segment and no dot segment, so that requests can match it.
func isCleanPrefix(prefix string) bool { return cleanPath(prefix) == strings.TrimSuffix(prefix, "/") }

// isClean reports whether an absolute path has no empty segment and no segment that begins with a dot.
func isClean(p string) bool {
	if p == "" || p[0] != '/' {
		return false
	}
	return !strings.Contains(p, "//") && !strings.Contains(p, "/.")
}
