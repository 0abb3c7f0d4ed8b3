package entry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// Status is the state of an instance as shown to operators.
type Status struct {
	Instance         string                  `json:"instance"`
	Incarnation      string                  `json:"incarnation"`
	Domain           string                  `json:"failure-domain"`
	Leaving          bool                    `json:"leaving"`
	RulesVersion     uint64                  `json:"rules-version"`
	RulesSince       time.Time               `json:"rules-since"`
	RulesRejected    int                     `json:"rules-rejected"` // values of the configuration that the rules in force do not carry as written
	ListAsOf         time.Time               `json:"list-as-of"`
	Entries          int                     `json:"entry-instances"`
	Servers          int                     `json:"backend-servers"`
	GrantsHeld       int                     `json:"grants-held"`
	Keys             idempotency.OwnerStatus `json:"keys"`
	Slices           []SliceStatus           `json:"slices"`
	Restrictions     []string                `json:"restrictions"`
	UnreachablePeers []string                `json:"unreachable-peers"`
}

// SliceStatus is the state of a slice's backend servers as seen by its home.
type SliceStatus struct {
	Slice   string         `json:"slice"`
	Servers []ServerStatus `json:"servers"`
}

// ServerStatus is the state of a backend server. Evidence is the log-likelihood ratio for a failure.
type ServerStatus struct {
	Server   string    `json:"server"`
	State    string    `json:"state"`
	Until    time.Time `json:"until,omitzero"`
	InFlight int       `json:"in-flight"`
	Limit    int       `json:"limit"`
	Evidence float64   `json:"evidence"`
}

// Status returns the current state of the instance.
func (entry *Entry) Status() Status {
	now := entry.Clock()
	current := entry.rules.load()
	plan := entry.members.plan()
	entry.members.mu.Lock()
	asOf := entry.members.view.AsOf()
	entry.members.mu.Unlock()
	entry.keys.mu.Lock()
	ownerStatus := entry.keys.coordinator.OwnerStatus(now)
	entry.keys.mu.Unlock()
	status := Status{
		Instance: entry.Name, Incarnation: string(entry.Incarnation), Domain: entry.Domain, Leaving: entry.IsLeaving(),
		RulesVersion: current.version, RulesSince: current.since, RulesRejected: len(current.set.Rejections()), ListAsOf: asOf, Entries: len(plan.entries), Servers: len(plan.listed),
		GrantsHeld: entry.held.count(), Keys: ownerStatus, Slices: entry.sliceStatus(now),
	}
	for _, other := range plan.entries {
		if other.Name != entry.Name && !entry.Peers.Reachable(other.Name) {
			status.UnreachablePeers = append(status.UnreachablePeers, other.Name)
		}
	}
	status.Restrictions = append(restrictions(status), rulesRestrictions(entry.rules.rejection(), current.set.Rejections())...)
	return status
}

// maxRestrictionBytes limits the length of a restriction that quotes a configuration.
const maxRestrictionBytes = 400

// rulesRestrictions describes what of the latest configuration is not in force: all of it if err is not nil, else single values.
func rulesRestrictions(err error, rejections []rules.Rejection) []string {
	var out []string
	if err != nil {
		out = append(out, "the latest rules are not in force: "+err.Error())
	}
	for _, rejection := range rejections[:min(len(rejections), maxShownRejections)] {
		out = append(out, "not in force as written: "+rejection.String())
	}
	if more := len(rejections) - maxShownRejections; more > 0 {
		out = append(out, fmt.Sprintf("not in force as written: %d more values", more))
	}
	for i := range out {
		out[i] = strings.ReplaceAll(strings.ToValidUTF8(out[i][:min(len(out[i]), maxRestrictionBytes)], ""), "\n", "; ")
	}
	return out
}

// restrictions describes each limitation of the service as a sentence.
func restrictions(status Status) []string {
	out := []string{}
	if status.RulesVersion == 0 {
		out = append(out, "no rules are in force; all requests are refused")
	}
	if !status.Keys.Serving && status.Keys.Owned > 0 {
		out = append(out, "neither the key table nor the instance list contains this instance; claims are refused")
	}
	if status.Keys.Waiting > 0 {
		out = append(out, "a takeover of idempotency keys is in progress; requests with these keys are refused")
	}
	return out
}

func (entry *Entry) sliceStatus(now time.Time) []SliceStatus {
	out := []SliceStatus{}
	for _, slice := range entry.homePools.slices() {
		status := SliceStatus{Slice: slice.String()}
		entry.homePools.withPool(now, &entry.members, slice, func(sp *slicePool) {
			for _, s := range sp.pool.Status(now) {
				status.Servers = append(status.Servers, ServerStatus(s))
			}
		})
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b SliceStatus) int { return strings.Compare(a.Slice, b.Slice) })
	return out
}
