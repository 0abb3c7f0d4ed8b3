package pool

import (
	"slices"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// Outcome is the result of a granted attempt.
type Outcome uint8

// Outcomes.
const (
	// Answered means that the answer was complete.
	Answered Outcome = iota
	// ServerError means that the server answered with status 500, 502 or 504.
	ServerError
	// Shed means that the server rejected the request because of overload, without running it.
	Shed
	// ConnectFailed means that no connection could be opened and nothing was sent.
	ConnectFailed
	// Reset means that the connection was lost before the answer.
	Reset
	// TimedOut means that no first byte arrived before the deadline.
	TimedOut
	// Stalled means that the answer's body stopped for too long.
	Stalled
	// Truncated means that the answer's body ended early.
	Truncated
	// Canceled means that the caller canceled the request, or another attempt answered first.
	Canceled
	// Unused means that the grant was not used.
	Unused
)

// outcomeNames are the names in logs and metrics.
var outcomeNames = [...]string{
	"answered", "server-error", "shed", "connect-failed", "reset",
	"timed-out", "stalled", "truncated", "canceled", "unused",
}

// String returns the outcome's name in logs and metrics.
func (outcome Outcome) String() string {
	if int(outcome) < len(outcomeNames) {
		return outcomeNames[outcome]
	}
	return "unknown"
}

// weight returns the weight of the outcome as failure evidence, where a lost answer has weight 1.
func (outcome Outcome) weight() float64 {
	switch outcome {
	case ConnectFailed:
		return 1.5
	case Reset, TimedOut, Stalled, Truncated:
		return 1
	case ServerError:
		return 0.5
	}
	return 0
}

// losesRequest reports whether the outcome loses a request that cannot be retried.
func (outcome Outcome) losesRequest() bool {
	switch outcome {
	case ServerError, Reset, TimedOut, Stalled, Truncated:
		return true
	}
	return false
}

// reached reports whether the request certainly reached the server.
func (outcome Outcome) reached() bool {
	switch outcome {
	case Answered, ServerError, Shed, Reset, Stalled, Truncated:
		return true
	}
	return false
}

// Report is the outcome of a granted attempt, or an interim report on it.
type Report struct {
	Attempt     uint64
	Server      string
	Entry       string
	Domain      string // failure domain of the entry instance
	Outcome     Outcome
	FirstByte   time.Duration // time from sending to the first byte, 0 if none arrived
	Reused      bool          // the connection had carried a request before
	Overdue     bool          // interim report: no first byte by SuspectAt, the attempt goes on
	Leaving     bool          // the server advertised that it is leaving
	Ongoing     bool          // interim report: only Leaving counts, the attempt goes on
	PausedUntil time.Time     // end of the pause that the server requested of the entry instance, zero for none
	Fingerprint uint64
}

// LateFactor is the multiple of the suspicion timeout up to which an answer counts as late rather than lost.
const LateFactor = 3

// Statistics on the time to the first byte.
const (
	initialSuspectAfter     = 500 * time.Millisecond
	minSuspectAfter         = 60 * time.Millisecond
	maxSuspectAfter         = 10 * time.Second
	suspectFactor           = 2.0  // times the median over the slice's servers of the 95th percentile
	slowedFactor            = 1.25 // increase of suspectAfter that invalidates earlier evidence
	statsInterval           = time.Second
	freshConnectionDuration = 10 * time.Second // after a failure on a reused connection
	busySlotShare           = 0.75             // of a server's slots; a rejection with more of them in use is due to overload
)

// Report records the outcome of an attempt and frees its slot. Interim reports keep the slot.
func (pool *Pool) Report(now time.Time, report Report) {
	pool.init(now)
	s := pool.server(report.Server)
	g, held := pool.grants[report.Attempt]
	if held && s != nil && g.server != s {
		// The report is about an earlier run of the server.
		s = nil
	}
	addedEvidence := 0.0
	if s != nil {
		addedEvidence = pool.recordEvidence(now, s, report, g)
		if pool.policy.Placement == rules.Proven {
			pool.updateFailing(now, s, report)
		}
	}
	if s != nil && held && (report.Outcome == ConnectFailed || report.Outcome == Unused) && !report.Overdue && !report.Ongoing {
		s.uses.remove(g.grantedAt)
	}
	if s != nil && report.Reused && !report.Overdue && !report.Ongoing {
		s.connections.reused(now)
	}
	switch {
	case !held || report.Ongoing:
	case report.Overdue:
		g.overdue, g.addedEvidence = addedEvidence > 0, addedEvidence
		pool.grants[report.Attempt] = g
	default:
		switch {
		case report.Outcome == Answered:
			pool.recordHoldTime(now.Sub(g.grantedAt))
			if pool.byTarget() {
				pool.recordHold(now, &g)
			}
			pool.lossMonitor.recordServed(now)
		case g.last && !g.forFloor && report.Outcome.losesRequest():
			pool.lossMonitor.recordLost(now)
		}
		pool.release(now, report.Attempt, g)
	}
}

// recordEvidence adds a report to a server's evidence, and returns the evidence that a failure added.
func (pool *Pool) recordEvidence(now time.Time, s *server, report Report, g grant) float64 {
	if report.Leaving && !s.member.Leaving {
		s.member.Leaving = true
		pool.recordChange(now, ChangeLeaving, s, report)
	}
	if report.Ongoing {
		return 0
	}
	if report.Outcome.reached() && !report.Overdue {
		s.uses.reached(now, report.Entry)
	}
	pool.recordFingerprint(now, s, report)
	if pool.byTarget() && !report.Overdue && (report.Outcome == Answered || report.Outcome == Shed && !now.Before(report.PausedUntil)) {
		pool.recordRejected(now, s, report.Outcome == Shed)
	}
	switch {
	case report.Overdue && s.cold(now) && !g.coldVerification:
		s.recordSlow(now)
	case report.Overdue && g.coldVerification:
		return pool.recordColdFailure(now, s, report, g)
	case report.Overdue:
		return pool.recordFailure(now, s, report, 1, g)
	case report.Outcome == Answered:
		pool.recordAnswer(now, s, report, g)
	case report.Outcome == Shed && now.Before(report.PausedUntil):
		s.recordPause(now, report.Entry, report.PausedUntil)
	case report.Outcome == Shed && pool.byTarget() && s.inFlight <= int(busySlotShare*float64(s.slots)) && pool.rejectedByMany(now):
		// A rejection is no evidence against this server.
	case report.Outcome == Shed && pool.policy.Placement == rules.Proven && s.inFlight <= int(busySlotShare*float64(s.slots)):
		// A server that rejects work although it has free slots is failing.
		s.health.fail(now, 1, baselineWithout(now, &pool.baseline, &s.events))
	case report.Outcome == Shed:
		s.shed(now)
	case report.Outcome.weight() > 0 && !g.overdue:
		return pool.recordFailure(now, s, report, report.Outcome.weight(), g)
	}
	return 0
}

func (pool *Pool) recordFingerprint(now time.Time, s *server, report Report) {
	if report.Overdue {
		return
	}
	switch report.Outcome {
	case Reset, Truncated:
		if report.Reused {
			return
		}
		_, before := pool.quarantine.Until(now, report.Fingerprint)
		pool.quarantine.RecordLoss(now, report.Fingerprint, s.member.Name)
		if _, after := pool.quarantine.Until(now, report.Fingerprint); after && !before {
			pool.recordChange(now, ChangeQuarantined, s, report)
		}
	case Answered:
		pool.quarantine.RecordAnswer(now, report.Fingerprint)
	}
}

func (pool *Pool) recordAnswer(now time.Time, s *server, report Report, g grant) {
	s.firstBytes.record(report.FirstByte)
	pool.firstBytes.record(report.FirstByte)
	s.consecutiveSheds = 0
	// A late answer counts too, because a failing server gives none.
	s.health.succeed(now, g.grantedAt)
	if g.overdue {
		pool.recordLateAnswer(now, s, report, g)
		return
	}
	baseline := baselineWithout(now, &pool.baseline, &s.events)
	s.events.add(now, 0)
	pool.baseline.add(now, 0)
	s.answeredAt, s.down = now, false
	s.recentAnswers.add(g.grantedAt)
	s.evidence.succeed(now, report.Domain, baseline)
	if s.cold(now) {
		pool.recordColdAnswer(now, s, report)
	}
	pool.passTrial(now, s)
	pool.reconsiderEjections(now)
}

// recordFailure adds a failure to a server's evidence and returns the evidence that it added.
func (pool *Pool) recordFailure(now time.Time, s *server, report Report, weight float64, g grant) float64 {
	if report.Reused {
		weight *= reusedWeight
		s.freshUntil = now.Add(freshConnectionDuration)
	}
	baseline := baselineWithout(now, &pool.baseline, &s.events)
	pathFailed := report.Outcome == ConnectFailed && s.uses.recordUnreachable(now, report.Entry)
	switch {
	case report.Overdue:
		s.health.fail(now, pool.silenceWeight(), baseline)
	case pathFailed:
		s.health.fail(now, pathFailureWeight, baseline)
	case report.Outcome == ServerError:
		// The server itself sent the error, so the full weight applies on reused connections too.
		s.health.fail(now, errorWeight, baseline)
	default:
		s.health.fail(now, weight, baseline)
	}
	s.events.add(now, weight)
	pool.baseline.add(now, weight)
	s.down = s.down || report.Outcome == ConnectFailed
	s.failedAt, s.failedGrantedAt = now, now
	if !g.grantedAt.IsZero() {
		s.failedGrantedAt = g.grantedAt
	}
	added := s.evidence.fail(now, report.Domain, report.Entry, weight, baseline)
	s.evidence.offset(now, s.recentAnswers.takeAfter(s.failedGrantedAt), baseline)
	if s.phase == trial {
		pool.eject(now, s)
		return 0
	}
	pool.considerEjection(now, s)
	return added
}

// recordLateAnswer withdraws the evidence of a silence that has ended with an answer.
func (pool *Pool) recordLateAnswer(now time.Time, s *server, report Report, g grant) {
	switch {
	case s.cold(now):
		s.evidence.clear()
	case report.FirstByte < LateFactor*pool.suspectAfter:
		s.evidence.retract(now, report.Domain, g.addedEvidence)
	}
}

// recordColdAnswer clears the evidence against a server in a cold start, because a server that answers is not stalled.
func (pool *Pool) recordColdAnswer(now time.Time, s *server, report Report) {
	s.evidence.clear()
	if report.FirstByte <= pool.suspectAfter {
		s.recordPromptAnswer(now)
	}
}

// recordColdFailure adds a silence beyond the extended timeout of a cold start. A second such silence ends the cold start.
func (pool *Pool) recordColdFailure(now time.Time, s *server, report Report, g grant) float64 {
	added := pool.recordFailure(now, s, report, coldSilenceWeight, g)
	if s.evidence.overall.value(now) >= quickThreshold {
		s.coldUntil = now
	}
	return added
}

// silenceWeight returns the weight of a silence beyond suspectAfter. It is 0 until the slice's answer times are known.
func (pool *Pool) silenceWeight() float64 {
	if !pool.suspectAfterKnown {
		return 0
	}
	return silenceWeight
}

// updateSuspectAfter derives suspectAfter from the slice's times to the first byte: from the servers of which enough answers are
// known, and from all answers together while there is no such server. At long work and few requests a server, the latter
// is known within a second and the former after a quarter of a minute.
func (pool *Pool) updateSuspectAfter(now time.Time) {
	percentiles := make([]time.Duration, 0, len(pool.servers))
	for _, s := range pool.servers {
		if percentile, found := s.firstBytes.p95(now); found {
			percentiles = append(percentiles, percentile)
		}
	}
	slices.Sort(percentiles)
	typical, found := pool.firstBytes.p95(now)
	if len(percentiles) > 0 {
		typical = percentiles[len(percentiles)/2]
	} else if !found {
		return
	}
	next := min(maxSuspectAfter, max(minSuspectAfter, time.Duration(suspectFactor*float64(typical))))
	if float64(next) > slowedFactor*float64(pool.suspectAfter) {
		pool.clearEvidence()
	}
	pool.suspectAfter, pool.suspectAfterKnown = next, true
}

// clearEvidence clears the evidence against servers in service, after the slice as a whole has become slower.
func (pool *Pool) clearEvidence() {
	for _, s := range pool.servers {
		if s.phase == inService {
			s.evidence.clear()
		}
	}
}
