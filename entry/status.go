package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
)

// Status is what an instance tells operators.
type Status struct {
	Instance      string                  `json:"instance"`
	Incarnation   string                  `json:"incarnation"`
	Domain        string                  `json:"failure-domain"`
	Leaving       bool                    `json:"leaving"`
	RulesVersion  uint64                  `json:"rules-version"`
	RulesSince    time.Time               `json:"rules-since"`
	ListAsOf      time.Time               `json:"list-as-of"`
	Entries       int                     `json:"entry-instances"`
	Servers       int                     `json:"backend-servers"`
	GrantsHeld    int                     `json:"grants-held"`
	Keys          idempotency.OwnerStatus `json:"keys"`
	Slices        []SliceStatus           `json:"slices"`
	Restrictions  []string                `json:"restrictions"`
	UnreachedPeer []string                `json:"unreachable-peers"`
}

// SliceStatus is the standing of one slice's backend servers, as its home judges them.
type SliceStatus struct {
	Slice   string         `json:"slice"`
	Servers []ServerStatus `json:"servers"`
}

// ServerStatus is one backend server's standing.
type ServerStatus struct {
	Server   string    `json:"server"`
	State    string    `json:"state"`
	Until    time.Time `json:"until,omitzero"`
	InFlight int       `json:"in-flight"`
	Limit    int       `json:"limit"`
	Evidence float64   `json:"evidence"`
}

// Status returns the instance's standing.
func (entry *Entry) Status() Status {
	now := entry.Clock()
	current := entry.rules.load()
	plan := entry.members.plan()
	entry.members.mu.Lock()
	asOf := entry.members.view.AsOf()
	entry.members.mu.Unlock()
	entry.keys.mu.Lock()
	standing := entry.keys.coordinator.OwnerStatus(now)
	entry.keys.mu.Unlock()
	status := Status{
		Instance: entry.Name, Incarnation: string(entry.Incarnation), Domain: entry.Domain, Leaving: entry.IsLeaving(),
		RulesVersion: current.version, RulesSince: current.since, ListAsOf: asOf, Entries: len(plan.entries), Servers: len(plan.listed),
		GrantsHeld: entry.held.count(), Keys: standing, Slices: entry.sliceStatus(now),
	}
	for _, other := range plan.entries {
		if other.Name != entry.Name && !entry.Peers.Reachable(other.Name) {
			status.UnreachedPeer = append(status.UnreachedPeer, other.Name)
		}
	}
	status.Restrictions = restrictions(status)
	return status
}

// restrictions says in words what does not work as usual.
func restrictions(status Status) []string {
	out := []string{}
	if status.RulesVersion == 0 {
		out = append(out, "no rules are in force, every request is refused")
	}
	if !status.Keys.Serving && status.Keys.Owned > 0 {
		out = append(out, "neither the key table nor the instance list shows this instance, claims are refused")
	}
	if status.Keys.Waiting > 0 {
		out = append(out, "some idempotency keys are being taken over, their requests are refused for now")
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
