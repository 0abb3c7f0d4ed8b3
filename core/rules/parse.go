package rules

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// Limits of the values in a rules file.
const (
	maxLineBytes     = 8 << 20 // a rule translated from a document of a megabyte, each byte of it escaped
	maxBareNameBytes = 64
	maxSlots         = 10_000
	maxQuotedBytes   = 80 // of a file's text in an error
)

// Limits of values that other programs may have to translate into rules.
const (
	MaxConnections = math.MaxInt32
	MaxAttempts    = math.MaxInt32
	MaxPriority    = math.MaxInt32 // least urgent
	MaxWeight      = 1_000_000
	MaxHeaderBytes = 1 << 30
	MaxBodyBytes   = 1 << 62
	MaxRate        = 1e7 // requests per second, and of a burst
	MinDuration    = time.Millisecond
	MaxDuration    = 24 * time.Hour
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindSyntax    Kind = "syntax"
	KindValue     Kind = "value"
	KindDuplicate Kind = "duplicate"
	KindReference Kind = "reference"
)

// Error is an error in a rules file, with its position and a proposed fix.
type Error struct {
	Op     string // operation, "parse" or "check"
	Kind   Kind
	File   string
	Line   int // from 1
	Column int // from 1, in characters
	Reason string
	Fix    string
}

// Error returns the message as file:line:column: reason; fix.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", e.File, e.Line, e.Column, e.Reason, e.Fix)
}

// Parse parses a whole rules file and returns the validated set, or all errors joined, each an *Error.
func Parse(file, text string) (*Set, error) {
	parser := parser{file: file, set: &Set{
		services: map[string]*Service{},
		hosts:    map[string]*hostRoutes{},
		teams:    map[string]*Team{},
		keys:     map[Digest]*Team{},
	}, keys: map[Digest]key{}}
	for i, line := range strings.Split(text, "\n") {
		parser.parseLine(i+1, strings.TrimSuffix(line, "\r"))
	}
	parser.checkReferences()
	if len(parser.errs) > 0 {
		return nil, errors.Join(parser.errs...)
	}
	return parser.set, nil
}

type parser struct {
	file string
	line int
	errs []error
	set  *Set
	keys map[Digest]key
}

func (parser *parser) fail(kind Kind, column int, reason, fix string) {
	parser.errs = append(parser.errs, &Error{Op: "parse", Kind: kind, File: parser.file, Line: parser.line, Column: column, Reason: reason, Fix: fix})
}

func (parser *parser) parseLine(number int, line string) {
	parser.line = number
	if !parser.checkText(line) {
		return
	}
	words, comment, found, valid, column := splitLine(line)
	if !valid {
		parser.fail(KindSyntax, column, "the quoted text has no end or an invalid escape", `write a quote within it as \" and a backslash as \\`)
		return
	}
	if len(words) == 0 {
		return
	}
	requestedBy := strings.TrimSpace(comment)
	if !found || requestedBy == "" {
		parser.fail(KindSyntax, utf8.RuneCountInString(line)+1, "the rule does not say who asked for it", "end the line with a comment, such as # asked by: treasury, FG-112")
		return
	}
	switch words[0].text {
	case "service":
		parser.parseService(words, requestedBy)
	case "route":
		parser.parseRoute(words, requestedBy)
	case "team":
		parser.parseTeam(words, requestedBy)
	case "key":
		parser.parseKey(words)
	case "rejected":
		parser.parseRejection(words)
	case "callers":
		parser.parseCallers(words, requestedBy)
	default:
		parser.fail(KindSyntax, words[0].column, fmt.Sprintf("unknown rule %q", shorten(words[0].text)), "begin the line with service, route, team, key or callers")
	}
}

func (parser *parser) checkText(line string) bool {
	if len(line) > maxLineBytes {
		parser.fail(KindSyntax, 1, fmt.Sprintf("the line has %d bytes", len(line)), fmt.Sprintf("shorten it to at most %d bytes", maxLineBytes))
		return false
	}
	if !utf8.ValidString(line) {
		parser.fail(KindSyntax, 1, "the line is not valid UTF-8", "save the file as UTF-8")
		return false
	}
	if i := strings.IndexFunc(line, isControl); i >= 0 {
		parser.fail(KindSyntax, utf8.RuneCountInString(line[:i])+1, "the line has a control character", "remove it")
		return false
	}
	return true
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func (parser *parser) parseService(words []word, requestedBy string) {
	service := &Service{
		Floor: DefaultFloor, Slots: DefaultSlots, MaxConnections: DefaultMaxConnections,
		MaxAttempts: DefaultMaxAttempts, StallTimeout: DefaultStallTimeout, MaxWait: DefaultMaxWait, HealthPath: DefaultHealthPath, RequestedBy: requestedBy, Line: parser.line,
	}
	name, ok := parser.parseName(words, "service")
	service.Name = name
	ok = parser.parseOptions(words, optionParsers{
		"floor":       func(o option) bool { return parser.parsePercent(o, &service.Floor) },
		"slots":       func(o option) bool { return parser.parseCount(o, maxSlots, &service.Slots) },
		"connections": func(o option) bool { return parser.parseCount(o, MaxConnections, &service.MaxConnections) },
		"attempts":    func(o option) bool { return parser.parseCount(o, MaxAttempts, &service.MaxAttempts) },
		"ejection":    func(o option) bool { return parser.parseEjection(o, &service.Ejection) },
		"limit":       func(o option) bool { return parser.parseRate(o, &service.RateLimit) },
		"stall":       func(o option) bool { return parser.parseDuration(o, &service.StallTimeout) },
		"wait":        func(o option) bool { return parser.parseDuration(o, &service.MaxWait) },
		"placement":   func(o option) bool { return parser.parsePlacement(o, &service.Placement) },
		"queue":       func(o option) bool { return parser.parseQueueOrder(o, &service.Queue) },
		"health":      func(o option) bool { return parser.parseURLPath(o, &service.HealthPath) },
	}) && ok
	if !ok {
		return
	}
	if previous := parser.set.services[name]; previous != nil {
		parser.failDuplicate(words[1].column, "service "+shorten(name), previous.Line)
		return
	}
	parser.set.services[name] = service
}

func (parser *parser) parseRoute(words []word, requestedBy string) {
	route := &Route{Timeout: DefaultTimeout, RequestedBy: requestedBy, Line: parser.line}
	ok := parser.parseHostAndPrefix(words, route)
	ok = parser.parseOptions(words, optionParsers{
		"service": func(o option) bool { return parser.parseNameOption(o, &route.Service) },
		"split":   func(o option) bool { return parser.parseSplit(o, &route.Split) },
		"match": func(o option) bool {
			return parser.parseFlag(o, "below", "write match=below to match only paths below the prefix, or omit the option", &route.SubpathsOnly)
		},
		"methods":    func(o option) bool { return parser.parseMethods(o, &route.Methods) },
		"repeatable": func(o option) bool { return parser.parseIdempotency(o, &route.Idempotency) },
		"access":     func(o option) bool { return parser.parseAccess(o, route) },
		"answers": func(o option) bool {
			return parser.parseFlag(o, "large", "write answers=large for responses of tens of kilobytes or more, or omit the option", &route.Large)
		},
		"attempts": func(o option) bool { return parser.parseCount(o, MaxAttempts, &route.MaxAttempts) },
		"priority": func(o option) bool { return parser.parsePriority(o, &route.Priority) },
		"target":   func(o option) bool { return parser.parseDuration(o, &route.TargetLatency) },
		"deadline": func(o option) bool { return parser.parseDuration(o, &route.Timeout) },
	}) && ok
	if !ok {
		return
	}
	switch {
	case route.Closed && (route.Service != "" || len(route.Split) > 0):
		parser.fail(KindSyntax, words[0].column, "the route has both access=none and a service", "keep one of them")
		return
	case route.Service == "" && len(route.Split) == 0 && !route.Closed:
		parser.fail(KindSyntax, words[0].column, "the route names no service", "add service=NAME")
		return
	case route.Service != "" && len(route.Split) > 0:
		parser.fail(KindSyntax, words[0].column, "the route has both service and split", "keep one of them")
		return
	}
	for _, previous := range parser.hostRoutesFor(route).routes[route.Prefix] {
		if overlaps(previous.Methods, route.Methods) {
			parser.failDuplicate(words[1].column, "route "+shorten(words[1].text), previous.Line)
			return
		}
	}
	parser.addRoute(route)
}

// hostRoutesFor returns the routes of a route's host, and adds the host if it is new.
func (parser *parser) hostRoutesFor(route *Route) *hostRoutes {
	host := parser.set.hosts[route.Host]
	if host == nil {
		host = &hostRoutes{routes: map[string][]*Route{}}
		parser.set.hosts[route.Host] = host
	}
	return host
}

// addRoute adds a route. Routes with methods are matched before the route for all methods, so they come first.
func (parser *parser) addRoute(route *Route) {
	host := parser.hostRoutesFor(route)
	routes := host.routes[route.Prefix]
	if len(route.Methods) > 0 {
		routes = slices.Insert(routes, 0, route)
	} else {
		routes = append(routes, route)
	}
	host.routes[route.Prefix] = routes
	host.depth = max(host.depth, strings.Count(route.Prefix, "/"))
}

func overlaps(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

func (parser *parser) parseTeam(words []word, requestedBy string) {
	team := &Team{RequestedBy: requestedBy, Line: parser.line}
	name, ok := parser.parseName(words, "team")
	team.Name = name
	ok = parser.parseOptions(words, optionParsers{
		"limit":    func(o option) bool { return parser.parseRate(o, &team.RateLimit) },
		"burst":    func(o option) bool { return parser.parseBurst(o, &team.Burst) },
		"priority": func(o option) bool { team.Priority = new(int); return parser.parsePriority(o, team.Priority) },
	}) && ok
	if !ok {
		return
	}
	if !IsHeaderSafe(name) {
		parser.fail(KindValue, words[1].column, fmt.Sprintf("team %q cannot be named to backend servers in a header", shorten(name)), "remove its control characters and the spaces around it")
		return
	}
	if team.Burst > 0 && team.RateLimit == 0 {
		parser.fail(KindSyntax, words[0].column, "the team has a burst without a limit", "add limit=RATE/s or remove burst")
		return
	}
	if previous := parser.set.teams[name]; previous != nil {
		parser.failDuplicate(words[1].column, "team "+shorten(name), previous.Line)
		return
	}
	parser.set.teams[name] = team
}

func (parser *parser) parseCallers(words []word, requestedBy string) {
	callerLimits := &CallerLimits{RequestedBy: requestedBy, Line: parser.line}
	bodyBytes := 0
	// parseOptions skips the rule's name, but a callers rule has none: insert an empty word in its place.
	words = slices.Insert(slices.Clone(words), 1, word{})
	ok := parser.parseOptions(words, optionParsers{
		"header-bytes": func(o option) bool { return parser.parseCount(o, MaxHeaderBytes, &callerLimits.MaxHeaderBytes) },
		"body-bytes":   func(o option) bool { return parser.parseCount(o, MaxBodyBytes, &bodyBytes) },
		"header-time":  func(o option) bool { return parser.parseDuration(o, &callerLimits.HeaderTimeout) },
		"idle-time":    func(o option) bool { return parser.parseDuration(o, &callerLimits.IdleTimeout) },
		"keys": func(o option) bool {
			return parser.parseFlag(o, "required", "write keys=required, or omit the option", &callerLimits.KeysRequired)
		},
	})
	if !ok {
		return
	}
	if previous := parser.set.callerLimits; previous != nil {
		parser.failDuplicate(words[0].column, "callers", previous.Line)
		return
	}
	callerLimits.MaxBodyBytes = int64(bodyBytes)
	parser.set.callerLimits = callerLimits
}

func (parser *parser) checkReferences() {
	for _, host := range parser.set.hosts {
		for _, routes := range host.routes {
			for _, route := range routes {
				parser.checkServices(route)
			}
		}
	}
	parser.resolveKeys()
	slices.SortStableFunc(parser.errs, func(a, b error) int { return errorLine(a) - errorLine(b) })
}

func (parser *parser) checkServices(route *Route) {
	for _, service := range route.Services() {
		if parser.set.services[service] != nil {
			continue
		}
		parser.line = route.Line
		parser.fail(KindReference, 1, fmt.Sprintf("the route names service %q, which no rule declares", shorten(service)), "declare it with a line service "+shorten(QuoteName(service)))
	}
}

func errorLine(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Line
	}
	return math.MaxInt
}

func (parser *parser) failDuplicate(column int, rule string, line int) {
	parser.fail(KindDuplicate, column, fmt.Sprintf("%s is already declared in line %d", rule, line), "keep one of the two lines")
}

// parseName parses the name after the rule's kind.
func (parser *parser) parseName(words []word, kind string) (string, bool) {
	if len(words) < 2 {
		parser.fail(KindSyntax, words[0].column, "the "+kind+" has no name", "write "+kind+" NAME")
		return "", false
	}
	return parser.parseNameWord(words[1])
}

// parseNameWord returns the name that a word gives, bare or quoted.
func (parser *parser) parseNameWord(w word) (string, bool) {
	name, quoted, valid := unquote(w.text)
	if quoted {
		valid = valid && name != "" && len(name) <= MaxNameBytes
	} else {
		valid = isBareName(name)
	}
	if !valid {
		parser.fail(KindValue, w.column, fmt.Sprintf("%q is not a name", shorten(w.text)), fmt.Sprintf("use up to %d lower-case letters, digits and hyphens, or up to %d bytes of text in double quotes", maxBareNameBytes, MaxNameBytes))
	}
	return name, valid
}

// shorten cuts a text that an error quotes.
func shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "…"
}

// parseHostAndPrefix parses a route's optional host and its path prefix.
func (parser *parser) parseHostAndPrefix(words []word, route *Route) bool {
	if len(words) < 2 || !strings.Contains(words[1].text, "/") {
		parser.fail(KindSyntax, words[0].column, "the route has no path", "write route /PATH service=NAME")
		return false
	}
	w := words[1]
	text, quoted, valid := unquote(w.text)
	slash := strings.IndexByte(text, '/')
	if !valid || slash < 0 {
		parser.fail(KindValue, w.column, fmt.Sprintf("%q is not a path", shorten(w.text)), "write a path, or a host and a path, in double quotes")
		return false
	}
	host, prefix := text[:slash], text[slash:]
	if host != "" && (host != strings.ToLower(host) || !quoted && !isBareHost(host)) {
		parser.fail(KindValue, w.column, fmt.Sprintf("%q is not a host name", shorten(host)), "write the host name in lower case without a port, or a Host header in lower case and in double quotes")
		return false
	}
	if !quoted && !isCleanPrefix(prefix) {
		parser.fail(KindValue, w.column, fmt.Sprintf("%q is not a clean path", shorten(prefix)), "write "+shorten(host+cleanPath(prefix)))
		return false
	}
	route.Host, route.Prefix = host, strings.TrimSuffix(prefix, "/")
	return true
}
