package pool

import "time"

// ChangeKind is the kind of a Change in the assessment of a backend server or a request.
type ChangeKind uint8

// Kinds of changes.
const (
	// ChangeFailing means that the server likely fails requests and is chosen last.
	ChangeFailing ChangeKind = iota
	// ChangeHealthy means that the server likely answers requests again.
	ChangeHealthy
	// ChangeEjected means that the server is out of service.
	ChangeEjected
	// ChangeReadmitted means that the server is in service again.
	ChangeReadmitted
	// ChangeLeaving means that the server advertises that it accepts no new work.
	ChangeLeaving
	// ChangeQuarantined means that the request crashed enough servers to be refused.
	ChangeQuarantined
)

// Change is a change in a pool's assessment of a backend server or a request, with the evidence for it.
type Change struct {
	Kind               ChangeKind
	Server             string // empty for a request
	Outcome            Outcome
	Entry              string  // entry instance whose report caused the change
	FailureProbability float64 // probability that a request fails at the server
	RecentFailures     float64 // weighted recent failures at the server, out of RecentAttempts
	RecentAttempts     float64
	OthersFailureRate  float64
	Evidence           float64       // log-likelihood ratio that the server is failing
	SinceAnswer        time.Duration // time since the latest timely answer, 0 for none
	Until              time.Time     // end of an ejection or quarantine
	Fingerprint        uint64        // of the request
}

// A server becomes failing at failingThreshold and healthy again below healthyThreshold, both of which are failure probabilities.
const (
	failingThreshold = waitThreshold
	healthyThreshold = waitThresholdNonRetriable
)

// maxPendingChanges limits the changes kept for TakeChanges; the oldest are dropped first.
const maxPendingChanges = 64

// recordChange records a change caused by report, which is empty if no report caused it.
func (pool *Pool) recordChange(now time.Time, kind ChangeKind, s *server, report Report) {
	change := Change{Kind: kind, Outcome: report.Outcome, Entry: report.Entry}
	if s != nil {
		change.Server, change.FailureProbability, change.Evidence = s.member.Name, s.health.failureProbability(now), s.evidence.overall.value(now)
		change.RecentFailures, change.RecentAttempts = s.events.failures, s.events.events
		change.OthersFailureRate = baselineWithout(now, &pool.baseline, &s.events)
		if !s.answeredAt.IsZero() {
			change.SinceAnswer = now.Sub(s.answeredAt)
		}
		if kind == ChangeEjected {
			change.Until = s.phaseDeadline
		}
	}
	if kind == ChangeQuarantined {
		change.Fingerprint = report.Fingerprint
		change.Until, _ = pool.quarantine.Until(now, report.Fingerprint)
	}
	pool.changes = append(pool.changes, change)
	if len(pool.changes) > maxPendingChanges {
		pool.changes = pool.changes[1:]
	}
}

// updateFailing records whether a server has started or stopped failing, by its failure probability.
func (pool *Pool) updateFailing(now time.Time, s *server, report Report) {
	switch failureProbability := s.health.failureProbability(now); {
	case !s.failing && failureProbability >= failingThreshold:
		s.failing = true
		pool.recordChange(now, ChangeFailing, s, report)
	case s.failing && failureProbability < healthyThreshold:
		s.failing = false
		pool.recordChange(now, ChangeHealthy, s, report)
	}
}

// TakeChanges returns the changes since the last call, oldest first.
func (pool *Pool) TakeChanges() []Change {
	changes := pool.changes
	pool.changes = nil
	return changes
}
