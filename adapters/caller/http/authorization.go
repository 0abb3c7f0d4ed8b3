package http

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/retry"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/quota"
)

// Quotas enforces the rate limits of teams.
type Quotas interface {
	Admit(ctx context.Context, team string, priority int) quota.Decision
	// Return gives back what an admitted request used that was not run.
	Return(team string)
}

// authorize sets the team of a request's key and reports whether the rules let the request pass. Requests on public routes
// pass without a team if their key is missing, malformed or unknown.
func authorize(set *rules.Set, route *rules.Route, info *dialect.RequestInfo) bool {
	if !set.KeysRequired() {
		return true
	}
	info.Team = ""
	if info.Credential.Valid {
		if team := set.TeamOfKey(info.Credential.Digest); team != nil {
			info.Team = team.Name
			return true
		}
	}
	return route.Public
}

// isClosed reports whether the rules refuse all requests of the route or with the request's key.
func isClosed(set *rules.Set, route *rules.Route, info *dialect.RequestInfo) bool {
	return route.Closed || info.Credential.Valid && set.IsClosedKey(info.Credential.Digest)
}

// denial returns why the rules in force no longer let the request pass, or an empty reason if they do: it may have waited while its key was
// withdrawn or closed. A request whose key has moved to another team goes on as one of that team.
func (exchange *exchange) denial() retry.Reason {
	set, version := exchange.handler.Entry.Rules()
	switch {
	case version == exchange.rulesVersion:
		return ""
	case isClosed(set, exchange.route, &exchange.info):
		return retry.ReasonClosed
	case !authorize(set, exchange.route, &exchange.info):
		return retry.ReasonKeyUnknown
	}
	exchange.rulesVersion, exchange.keysRequired = version, set.KeysRequired()
	return ""
}

// admit takes one request of a team's limit. It refuses the request and returns false if there is none.
func (handler *Handler) admit(w http.ResponseWriter, r *http.Request, info *dialect.RequestInfo, priority int) bool {
	if handler.Quotas == nil {
		return true
	}
	decision := handler.Quotas.Admit(r.Context(), info.Team, priority)
	if decision.Admitted {
		return true
	}
	reason := retry.ReasonRateLimit
	if decision.Unknown {
		reason = retry.ReasonLimitUnknown
	}
	handler.refuse(w, r, info, reason, decision.RetryAt,
		zap.Float64("limit", decision.Limit.Rate), zap.Float64("burst", decision.Limit.Burst), zap.String("decided-by", decision.DecidedBy), zap.Int("priority", priority))
	return false
}

// returnQuota gives back what a request that was not run used of its team's limit.
func (handler *Handler) returnQuota(team string) {
	if handler.Quotas != nil {
		handler.Quotas.Return(team)
	}
}

// priority returns the priority of a team's requests on a route.
func priority(set *rules.Set, route *rules.Route, team string) int {
	if rule := set.Team(team); rule != nil && rule.Priority != nil {
		return *rule.Priority
	}
	return route.Priority
}
