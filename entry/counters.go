package entry

import (
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/limit"
)

// TeamLimit returns the rate limit of a team.
func (entry *Entry) TeamLimit(team string) limit.Limit {
	set, _ := entry.Rules()
	rule := set.Team(team)
	if rule == nil {
		return limit.Limit{}
	}
	return limit.Limit{Rate: rule.RateLimit, Burst: rule.Burst}
}

// RulesKnown reports whether this instance has rules.
func (entry *Entry) RulesKnown() bool {
	_, version := entry.Rules()
	return version > 0
}

// Counters returns up to count live instances in the order in which they count a team's requests, and the number of live instances.
func (entry *Entry) Counters(team string, count int) (ranked []Peer, live int) {
	plan := entry.members.plan()
	plan.countersMu.Lock()
	defer plan.countersMu.Unlock()
	found := plan.counters[team]
	if len(found) < min(count, len(plan.candidates)) {
		found = nil
		for _, i := range home.Ranked(home.Slice{Service: "team:" + team}, plan.candidates, count) {
			at := plan.candidates[i].Entry
			found = append(found, Peer{at.Name, at.Peer})
		}
		plan.counters[team] = found
	}
	return found[:min(count, len(found))], len(plan.candidates)
}

// CountersChanged returns how often the live instances have changed, and when they last did.
func (entry *Entry) CountersChanged() (changes uint64, at time.Time) {
	plan := entry.members.plan()
	return plan.candidateChanges, plan.candidatesAt
}

// PlatformHeardAt returns when the platform last answered this instance itself. What other instances heard of it does not tell on which side of a
// network partition this one is.
func (entry *Entry) PlatformHeardAt() time.Time {
	now := entry.Clock()
	if entry.Feed == nil {
		return now
	}
	return now.Add(-entry.Feed.Age(now))
}

// PlatformReportedAt returns when the platform was last heard of, directly or through other instances.
func (entry *Entry) PlatformReportedAt() time.Time {
	now := entry.Clock()
	return now.Add(-entry.ListAge(now))
}

// ConfirmPlatform has this instance call the platform soon, unless it did a moment ago.
func (entry *Entry) ConfirmPlatform() {
	if entry.Registrar != nil {
		entry.Registrar.Confirm()
	}
}
