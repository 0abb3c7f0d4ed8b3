package rules

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// option is a key=value word of a rule.
type option struct {
	key    string
	value  string
	column int // of the value
}

// optionParsers maps the option keys of a rule to the functions that parse and store the values. A function reports whether the
// value is valid.
type optionParsers map[string]func(option) bool

// parseOptions parses the words after a rule's name and reports whether all are valid.
func (parser *parser) parseOptions(words []word, parsers optionParsers) bool {
	ok := true
	seen := map[string]bool{}
	for _, w := range words[min(2, len(words)):] {
		key, value, found := strings.Cut(w.text, "=")
		if strings.HasPrefix(w.text, `"`) {
			key, found = w.text, false
		}
		parse := parsers[key]
		switch {
		case parse == nil:
			parser.fail(KindSyntax, w.column, fmt.Sprintf("unknown option %q", shorten(key)), "use one of "+strings.Join(slices.Sorted(maps.Keys(parsers)), ", "))
			ok = false
		case !found || value == "":
			parser.fail(KindSyntax, w.column, fmt.Sprintf("option %s has no value", key), "write "+key+"=VALUE")
			ok = false
		case seen[key]:
			parser.fail(KindDuplicate, w.column, fmt.Sprintf("option %s is given twice", key), "keep one of them")
			ok = false
		default:
			ok = parse(option{key, value, w.column + len(key) + 1}) && ok
		}
		seen[key] = true
	}
	return ok
}

func (parser *parser) failInvalid(o option, fix string) bool {
	parser.fail(KindValue, o.column, fmt.Sprintf("%s=%s is not valid", o.key, shorten(o.value)), fix)
	return false
}

func (parser *parser) parsePercent(o option, out *float64) bool {
	digits, found := strings.CutSuffix(o.value, "%")
	n, err := strconv.Atoi(digits)
	if !found || err != nil || n < 0 || n > 100 {
		return parser.failInvalid(o, "write a whole percentage from 0% to 100%")
	}
	*out = float64(n) / 100
	return true
}

func (parser *parser) parseCount(o option, maximum int, out *int) bool {
	n, err := strconv.Atoi(o.value)
	if err != nil || n < 1 || n > maximum {
		return parser.failInvalid(o, fmt.Sprintf("write a whole number from 1 to %d", maximum))
	}
	*out = n
	return true
}

func (parser *parser) parseRate(o option, out *float64) bool {
	number, found := strings.CutSuffix(o.value, "/s")
	n, err := strconv.ParseFloat(number, 64)
	if !found || err != nil || !(n > 0 && n <= MaxRate) {
		return parser.failInvalid(o, "write requests per second, such as 200/s")
	}
	*out = n
	return true
}

func (parser *parser) parseBurst(o option, out *float64) bool {
	n, err := strconv.ParseFloat(o.value, 64)
	if err != nil || !(n >= 1 && n <= MaxRate) {
		return parser.failInvalid(o, "write a number of requests, at least 1")
	}
	*out = n
	return true
}

// parseFlag parses an option that has a single value, such as access=public.
func (parser *parser) parseFlag(o option, value, fix string, out *bool) bool {
	if o.value != value {
		return parser.failInvalid(o, fix)
	}
	*out = true
	return true
}

func (parser *parser) parseDuration(o option, out *time.Duration) bool {
	d, err := time.ParseDuration(o.value)
	if err != nil || d < MinDuration || d > MaxDuration {
		return parser.failInvalid(o, "write a duration from 1ms to 24h, such as 30s")
	}
	*out = d
	return true
}

func (parser *parser) parseEjection(o option, out *Ejection) bool {
	switch o.value {
	case "cautious":
		*out = Cautious
	case "quick":
		*out = Quick
	default:
		return parser.failInvalid(o, "write cautious or quick")
	}
	return true
}

func (parser *parser) parsePlacement(o option, out *Placement) bool {
	switch o.value {
	case "spread":
		*out = Spread
	case "proven":
		*out = Proven
	default:
		return parser.failInvalid(o, "write spread or proven")
	}
	return true
}

func (parser *parser) parseQueueOrder(o option, out *QueueOrder) bool {
	switch o.value {
	case "arrival":
		*out = ByArrival
	case "target":
		*out = ByTarget
	default:
		return parser.failInvalid(o, "write arrival or target")
	}
	return true
}

func (parser *parser) parseIdempotency(o option, out *Idempotency) bool {
	switch o.value {
	case "yes":
		*out = AlwaysIdempotent
	case "no":
		*out = NeverIdempotent
	default:
		return parser.failInvalid(o, "write yes or no, or omit the option to follow the method")
	}
	return true
}

func (parser *parser) parseMethods(o option, out *[]string) bool {
	methods := strings.Split(o.value, ",")
	for _, m := range methods {
		if m == "" || strings.ToUpper(m) != m || m == "CONNECT" {
			return parser.failInvalid(o, "write methods in upper case, such as GET,HEAD; CONNECT is not supported")
		}
	}
	*out = methods
	return true
}

// parseSplit parses services with their weights, such as a:90,b:10.
func (parser *parser) parseSplit(o option, out *[]WeightedService) bool {
	const fix = "write SERVICE:WEIGHT,SERVICE:WEIGHT with whole-number weights, at least one of them above 0"
	total := 0
	for _, part := range splitQuoted(o.value, ',') {
		pair := splitQuoted(part, ':')
		if len(pair) != 2 {
			return parser.failInvalid(o, fix)
		}
		n, err := strconv.Atoi(pair[1])
		if err != nil || n < 0 || n > MaxWeight {
			return parser.failInvalid(o, fix)
		}
		service, valid := parser.parseNameWord(word{pair[0], o.column})
		if !valid {
			return false
		}
		total += n
		*out = append(*out, WeightedService{service, n})
	}
	return total > 0 || parser.failInvalid(o, fix)
}

// parseAccess parses who may use a route: callers without a key, or nobody.
func (parser *parser) parseAccess(o option, route *Route) bool {
	switch o.value {
	case "public":
		route.Public = true
	case "none":
		route.Closed = true
	default:
		return parser.failInvalid(o, "write access=public for requests without a key or access=none to refuse all requests, or omit the option")
	}
	return true
}

func (parser *parser) parsePriority(o option, out *int) bool {
	n, err := strconv.Atoi(o.value)
	if err != nil || n < 0 || n > MaxPriority {
		return parser.failInvalid(o, fmt.Sprintf("write a whole number from 0 (most urgent) to %d", MaxPriority))
	}
	*out = n
	return true
}

// parseURLPath parses the path of a URL, which may be quoted. A quoted path is used as it is.
func (parser *parser) parseURLPath(o option, out *string) bool {
	path, quoted, valid := unquote(o.value)
	if !valid || !strings.HasPrefix(path, "/") || !quoted && !isCleanPrefix(path) {
		return parser.failInvalid(o, "write a clean path, such as /health")
	}
	*out = path
	return true
}

func (parser *parser) parseNameOption(o option, out *string) bool {
	name, valid := parser.parseNameWord(word{o.value, o.column})
	*out = name
	return valid
}

// parseText parses a value of any text, bare or quoted.
func (parser *parser) parseText(o option, out *string) bool {
	text, _, valid := unquote(o.value)
	if !valid {
		return parser.failInvalid(o, "write text in double quotes")
	}
	*out = text
	return true
}
