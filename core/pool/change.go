package pool

import "time"

// ChangeKind says what a pool has come to believe of a backend server or a request.
type ChangeKind uint8

// Kinds of changes.
const (
	// ChangeFailing: the server likely fails requests and is used last.
	ChangeFailing ChangeKind = iota
	// ChangeHealthy: the server likely answers requests again.
	ChangeHealthy
	// ChangeEjected: the server is out of service.
	ChangeEjected
	// ChangeReadmitted: the server is in service again.
	ChangeReadmitted
	// ChangeLeaving: the server has said that it takes no new work.
	ChangeLeaving
	// ChangeQuarantined: the request took so many servers down that it is refused.
	ChangeQuarantined
)

// Change is a change of what a pool believes, with what decided it.
type Change struct {
	Kind        ChangeKind
	Server      string // empty for a request
	Outcome     Outcome
	Entry       string        // entry instance whose report decided
	Chance      float64       // that a request fails at the server
	Failed      float64       // weighed failures of late at the server, of Ended attempts
	Ended       float64       // attempts
	OtherRate   float64       // failure rate of the other servers
	Evidence    float64       // against the server, as a log-likelihood ratio
	SinceAnswer time.Duration // since its latest answer, 0 for none
	Until       time.Time     // end of an ejection or quarantine
	Fingerprint uint64        // of the request
}

// A server counts as failing from the first chance of failure on, and as answering again below the second one.
const (
	failsFrom    = likelyFails
	answersBelow = likelyFailsOnce
)

// mostChanges are kept until they are taken; older ones go first.
const mostChanges = 64

// note notes a change; report is the one that decided, empty for none.
func (pool *Pool) note(now time.Time, kind ChangeKind, s *server, report Report) {
	change := Change{Kind: kind, Outcome: report.Outcome, Entry: report.Entry}
	if s != nil {
		change.Server, change.Chance, change.Evidence = s.member.Name, s.fault.chance(now), s.evidence.overall.value(now)
		change.Failed, change.Ended = s.events.failures, s.events.events
		change.OtherRate = baselineWithout(now, &pool.baseline, &s.events)
		if !s.answeredAt.IsZero() {
			change.SinceAnswer = now.Sub(s.answeredAt)
		}
		if kind == ChangeEjected {
			change.Until = s.until
		}
	}
	if kind == ChangeQuarantined {
		change.Fingerprint = report.Fingerprint
		change.Until, _ = pool.quarantine.Until(now, report.Fingerprint)
	}
	pool.changes = append(pool.changes, change)
	if len(pool.changes) > mostChanges {
		pool.changes = pool.changes[1:]
	}
}

// noteChance notes that a server has begun or ceased to fail, by the chance that it fails a request.
func (pool *Pool) noteChance(now time.Time, s *server, report Report) {
	switch chance := s.fault.chance(now); {
	case !s.fails && chance >= failsFrom:
		s.fails = true
		pool.note(now, ChangeFailing, s, report)
	case s.fails && chance < answersBelow:
		s.fails = false
		pool.note(now, ChangeHealthy, s, report)
	}
}

// TakeChanges returns the changes since the last call, oldest first.
func (pool *Pool) TakeChanges() []Change {
	changes := pool.changes
	pool.changes = nil
	return changes
}
