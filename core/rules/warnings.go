package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kinds of warnings: rules that are valid but cannot have the effect that their author expects.
const (
	// KindUnreachable is a rule that no request can ever match.
	KindUnreachable Kind = "unreachable"
	// KindContradiction is a limit that another limit makes ineffective.
	KindContradiction Kind = "contradiction"
)

// ReservedPrefix is the path prefix that is never routed to a backend server: instances answer requests below it themselves.
const ReservedPrefix = "/.sequoiaspan/"

// linter collects warnings.
type linter struct {
	file     string
	set      *Set
	warnings []*Error
}

// Warnings returns the rules that can never match and the limits that contradict each other, in the order of their lines.
func (set *Set) Warnings(file string) []*Error {
	linter := &linter{file: file, set: set}
	used := map[string]bool{}
	longest := map[string]time.Duration{} // deadline of a service's routes
	for _, host := range set.hosts {
		for _, routes := range host.routes {
			for _, route := range routes {
				linter.lintRoute(route)
				for _, name := range route.Services() {
					used[name] = true
					longest[name] = max(longest[name], route.Timeout)
				}
			}
		}
	}
	for _, service := range set.services {
		linter.lintService(service, used[service.Name], longest[service.Name])
	}
	linter.lintTeams()
	slices.SortStableFunc(linter.warnings, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Reason, b.Reason))
	})
	return linter.warnings
}

func (linter *linter) warn(kind Kind, line int, reason, fix string) {
	linter.warnings = append(linter.warnings, &Error{Op: "check", Kind: kind, File: linter.file, Line: line, Column: 1, Reason: reason, Fix: fix})
}

func (linter *linter) lintRoute(route *Route) {
	switch {
	case strings.HasPrefix(route.Prefix+"/", ReservedPrefix):
		linter.warn(KindUnreachable, route.Line, "no request matches: instances answer paths below "+ReservedPrefix+" themselves", "choose another path")
	case strings.Contains(route.Host, "*"):
		linter.warn(KindUnreachable, route.Line, fmt.Sprintf("no request matches: host %q is compared literally", route.Host), "write one route for each host, or omit the host")
	case !isCleanPrefix(route.Prefix):
		linter.warn(KindUnreachable, route.Line, fmt.Sprintf("no request matches: path %q is compared with paths without empty and dot segments", shorten(route.Prefix)), "remove these segments")
	case strings.ContainsAny(route.Prefix, "%?"):
		linter.warn(KindUnreachable, route.Line, fmt.Sprintf("no request matches: path %q is compared with decoded paths without the query", route.Prefix), "write the decoded path without a query")
	}
	if route.TargetLatency > route.Timeout {
		linter.warn(KindContradiction, route.Line, fmt.Sprintf("target=%s is never missed, as deadline=%s ends the request before", route.TargetLatency, route.Timeout), "lower the target or raise the deadline")
	}
	if route.Idempotency == NeverIdempotent && route.MaxAttempts > 1 {
		linter.warn(KindContradiction, route.Line, fmt.Sprintf("attempts=%d has no effect, as repeatable=no allows one", route.MaxAttempts), "remove attempts, or write repeatable=yes if the requests may be repeated")
	}
	if route.Public && !linter.set.KeysRequired() {
		linter.warn(KindContradiction, route.Line, "access=public has no effect, as no rule requires keys", "remove access, or add keys=required to the callers rule")
	}
	for _, share := range route.Split {
		if share.Weight == 0 {
			linter.warn(KindUnreachable, route.Line, fmt.Sprintf("service %s gets no request of the route, as its weight is 0", share.Service), "raise the weight or remove the service from the split")
		}
	}
}

func (linter *linter) lintService(service *Service, used bool, longestDeadline time.Duration) {
	if !used {
		linter.warn(KindUnreachable, service.Line, fmt.Sprintf("service %s gets no request, as no route names it", service.Name), "add a route or remove the service")
	}
	if service.MaxConnections < service.Slots {
		linter.warn(KindContradiction, service.Line, fmt.Sprintf("slots=%d cannot all be used, as connections=%d is lower", service.Slots, service.MaxConnections), "raise connections or lower slots")
	}
	if used && service.MaxWait > longestDeadline && service.MaxWait != DefaultMaxWait {
		linter.warn(KindContradiction, service.Line, fmt.Sprintf("wait=%s is never reached, as the longest deadline of the service's routes is %s", service.MaxWait, longestDeadline), "lower the wait or raise a deadline")
	}
	switch {
	case service.Ejection != Quick:
	case service.Placement == Proven:
		linter.warn(KindContradiction, service.Line, "ejection=quick has no effect, as placement=proven ejects no server", "remove one of them")
	case service.Floor >= 1:
		linter.warn(KindContradiction, service.Line, "ejection=quick has no effect, as floor=100% leaves all servers in service", "lower the floor or remove ejection")
	}
}

func (linter *linter) lintTeams() {
	hasKey := map[string]bool{}
	for _, team := range linter.set.keys {
		if team != nil {
			hasKey[team.Name] = true
		}
	}
	total := 0.0 // limit of all services, 0 if one has none
	for _, service := range linter.set.services {
		if service.RateLimit <= 0 {
			total = 0
			break
		}
		total += service.RateLimit
	}
	for _, team := range linter.set.teams {
		if linter.set.KeysRequired() && !hasKey[team.Name] {
			linter.warn(KindUnreachable, team.Line, fmt.Sprintf("no request belongs to team %s, as keys are required and it has none", team.Name), "add a key for the team or remove it")
		}
		if total > 0 && team.RateLimit > total {
			linter.warn(KindContradiction, team.Line, fmt.Sprintf("limit=%g/s is never reached, as all services together admit %g/s", team.RateLimit, total), "lower the team's limit or raise those of the services")
		}
	}
}
