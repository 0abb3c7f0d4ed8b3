package pool

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// Outcome says what became of a granted attempt.
type Outcome uint8

// Outcomes.
const (
	// Answered: a whole answer came.
	Answered Outcome = iota
	// ServerError: the server answered with a status of 500, 502 or 504.
	ServerError
	// Shed: the server refused the request for load, unrun.
	Shed
	// ConnectFailed: no connection could be opened, nothing was sent.
	ConnectFailed
	// Reset: the connection was lost before the answer.
	Reset
	// TimedOut: no first byte came by the deadline.
	TimedOut
	// Stalled: the answer's body stopped for too long.
	Stalled
	// Truncated: the answer's body ended early.
	Truncated
	// Canceled: the caller gave up, or another attempt was faster.
	Canceled
	// Unused: the grant was not used.
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

// weight returns how strongly an outcome speaks against the server, a lost answer being 1.
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

// losesRequest reports whether a request that cannot be tried again is lost with the attempt.
func (outcome Outcome) losesRequest() bool {
	switch outcome {
	case ServerError, Reset, TimedOut, Stalled, Truncated:
		return true
	}
	return false
}

// reached reports whether the request had reached the server for sure.
func (outcome Outcome) reached() bool {
	switch outcome {
	case Answered, ServerError, Shed, Reset, Stalled, Truncated:
		return true
	}
	return false
}

// Report tells what came of a grant.
type Report struct {
	Attempt     uint64
	Server      string
	Entry       string
	Domain      string // failure domain of the entry instance
	Outcome     Outcome
	FirstByte   time.Duration // from sending to the first byte, 0 if none came
	Reused      bool          // the connection had carried a request before
	Overdue     bool          // interim report: no first byte by SuspectAt, the attempt goes on
	Leaving     bool          // the server said that it is leaving
	Ongoing     bool          // interim report: what the server said counts, the attempt goes on
	PausedUntil time.Time     // the server wants no request from the entry instance until then; zero if it did not say so
	Fingerprint uint64
}

// LateFactor is how many times the time of suspicion an answer may take to count as late and not as lost.
const LateFactor = 3

// First byte statistics.
const (
	coldSuspectIn  = 500 * time.Millisecond
	leastSuspectIn = 60 * time.Millisecond
	mostSuspectIn  = 10 * time.Second
	suspectFactor  = 2.0  // times the slice's median of the servers' 95th percentiles
	slowedFactor   = 1.25 // a rise of the time of suspicion by which earlier evidence is void
	statsInterval  = time.Second
	statsWindows   = 4
	windowLength   = 15 * time.Second
	leastSamples   = 10
	histogramMost  = int64(10 * time.Minute / time.Microsecond)
	freshLength    = 10 * time.Second // after a failure on a reused connection
	busyShare      = 0.75             // of a server's slots; with more in use a refusal is for load
)

// Report takes in the outcome of an attempt and frees its slot.
func (pool *Pool) Report(now time.Time, report Report) {
	pool.init(now)
	s := pool.server(report.Server)
	g, held := pool.grants[report.Attempt]
	if held && s != nil && g.server != s {
		// The report is of an earlier run of the server.
		s = nil
	}
	added := 0.0
	if s != nil {
		added = pool.judge(now, s, report, g)
		if pool.policy.Placement == rules.Proven {
			pool.noteChance(now, s, report)
		}
	}
	if s != nil && held && (report.Outcome == ConnectFailed || report.Outcome == Unused) && !report.Overdue && !report.Ongoing {
		s.touches.missed(g.grantedAt)
	}
	if s != nil && report.Reused && !report.Overdue && !report.Ongoing {
		s.connections.reused(now)
	}
	switch {
	case !held || report.Ongoing:
	case report.Overdue:
		g.overdue, g.added = added > 0, added
		pool.grants[report.Attempt] = g
	default:
		switch {
		case report.Outcome == Answered:
			pool.noteHeld(now.Sub(g.grantedAt))
			pool.trouble.served(now)
		case g.last && !g.forFloor && report.Outcome.losesRequest():
			pool.trouble.lost(now)
		}
		pool.release(now, report.Attempt, g)
	}
}

// judge adds a report to a server's evidence, and returns what a failure added.
func (pool *Pool) judge(now time.Time, s *server, report Report, g grant) float64 {
	if report.Leaving && !s.member.Leaving {
		s.member.Leaving = true
		pool.note(now, ChangeLeaving, s, report)
	}
	if report.Ongoing {
		return 0
	}
	if report.Outcome.reached() && !report.Overdue {
		s.touches.reached(now, report.Entry)
	}
	pool.noteFingerprint(now, s, report)
	switch {
	case report.Overdue && s.cold(now) && !g.patient:
		s.doubt(now)
	case report.Overdue && g.patient:
		return pool.failedCold(now, s, report, g)
	case report.Overdue:
		return pool.failed(now, s, report, 1, g)
	case report.Outcome == Answered:
		pool.answered(now, s, report, g)
	case report.Outcome == Shed && now.Before(report.PausedUntil):
		s.turnedAway(now, report.Entry, report.PausedUntil)
	case report.Outcome == Shed && pool.policy.Placement == rules.Proven && s.inFlight <= int(busyShare*float64(s.slots)):
		// A server with free slots that refuses work fails, whatever it says.
		s.fault.fail(now, 1, baselineWithout(now, &pool.baseline, &s.events))
	case report.Outcome == Shed:
		s.shed(now)
	case report.Outcome.weight() > 0 && !g.overdue:
		return pool.failed(now, s, report, report.Outcome.weight(), g)
	}
	return 0
}

func (pool *Pool) noteFingerprint(now time.Time, s *server, report Report) {
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
			pool.note(now, ChangeQuarantined, s, report)
		}
	case Answered:
		pool.quarantine.RecordAnswer(now, report.Fingerprint)
	}
}

func (pool *Pool) answered(now time.Time, s *server, report Report, g grant) {
	s.recordFirstByte(report.FirstByte)
	s.sheds = 0
	// A late answer is one all the same: a server that fails gives none.
	s.fault.succeed(now, g.grantedAt)
	if g.overdue {
		pool.answeredLate(now, s, report, g)
		return
	}
	baseline := baselineWithout(now, &pool.baseline, &s.events)
	s.events.add(now, 0)
	pool.baseline.add(now, 0)
	s.answeredAt, s.down = now, false
	s.recentAnswers.add(g.grantedAt)
	s.evidence.succeed(now, report.Domain, baseline)
	if s.cold(now) {
		pool.answeredCold(now, s, report)
	}
	pool.passTrial(now, s)
	pool.reconsider(now)
}

// failed adds a failure to a server's evidence and returns what it added.
func (pool *Pool) failed(now time.Time, s *server, report Report, weight float64, g grant) float64 {
	if report.Reused {
		weight *= reusedWeight
		s.freshUntil = now.Add(freshLength)
	}
	baseline := baselineWithout(now, &pool.baseline, &s.events)
	pathFailed := report.Outcome == ConnectFailed && s.touches.unreached(now, report.Entry)
	switch {
	case report.Overdue:
		s.fault.fail(now, pool.silenceWeight(), baseline)
	case pathFailed:
		s.fault.fail(now, cutWeight, baseline)
	case report.Outcome == ServerError:
		// It is the server's own word, also over a connection that was used before.
		s.fault.fail(now, errorWeight, baseline)
	default:
		s.fault.fail(now, weight, baseline)
	}
	s.events.add(now, weight)
	pool.baseline.add(now, weight)
	s.down = s.down || report.Outcome == ConnectFailed
	s.failedAt, s.failedSentAt = now, now
	if !g.grantedAt.IsZero() {
		s.failedSentAt = g.grantedAt
	}
	added := s.evidence.fail(now, report.Domain, report.Entry, weight, baseline)
	s.evidence.offset(now, s.recentAnswers.takeAfter(s.failedSentAt), baseline)
	if s.phase == trial {
		pool.eject(now, s)
		return 0
	}
	pool.considerEjection(now, s)
	return added
}

// answeredLate takes back the evidence of a silence that an answer has ended.
func (pool *Pool) answeredLate(now time.Time, s *server, report Report, g grant) {
	switch {
	case s.cold(now):
		s.evidence.clear()
	case report.FirstByte < LateFactor*pool.suspectIn:
		s.evidence.retract(now, report.Domain, g.added)
	}
}

// answeredCold clears a server in a cold start, as one that answers does not stall.
func (pool *Pool) answeredCold(now time.Time, s *server, report Report) {
	s.evidence.clear()
	if report.FirstByte <= pool.suspectIn {
		s.warm(now)
	}
}

// failedCold adds a silence beyond the patience with a cold start; a second one ends that patience.
func (pool *Pool) failedCold(now time.Time, s *server, report Report, g grant) float64 {
	added := pool.failed(now, s, report, patientWeight, g)
	if s.evidence.overall.value(now) >= quickThreshold {
		s.coldUntil = now
	}
	return added
}

// silenceWeight returns how much a silence beyond the time of suspicion says about a server. While it is not known how long
// answers take, it says nothing.
func (pool *Pool) silenceWeight() float64 {
	if !pool.timed {
		return 0
	}
	return silenceWeight
}

func (server *server) recordFirstByte(firstByte time.Duration) {
	if firstByte <= 0 {
		return
	}
	if server.firstBytes == nil {
		server.firstBytes = hdrhistogram.NewWindowed(statsWindows, 1, histogramMost, 1)
	}
	// An error means a value beyond the range, which the statistics can do without.
	_ = server.firstBytes.Current.RecordValue(min(histogramMost, max(1, firstByte.Microseconds())))
}

// updateSuspectIn follows the slice's time to the first byte.
func (pool *Pool) updateSuspectIn(now time.Time) {
	highs := make([]time.Duration, 0, len(pool.servers))
	for _, s := range pool.servers {
		if high, found := s.highFirstByte(now); found {
			highs = append(highs, high)
		}
	}
	if len(highs) == 0 {
		return
	}
	slices.Sort(highs)
	median := highs[len(highs)/2]
	next := min(mostSuspectIn, max(leastSuspectIn, time.Duration(suspectFactor*float64(median))))
	if float64(next) > slowedFactor*float64(pool.suspectIn) {
		pool.clearEvidence()
	}
	pool.suspectIn, pool.timed = next, true
}

// clearEvidence forgets the evidence against servers in service, after the slice as a whole has become slower.
func (pool *Pool) clearEvidence() {
	for _, s := range pool.servers {
		if s.phase == inService {
			s.evidence.clear()
		}
	}
}

// highFirstByte returns the 95th percentile of the time to the first byte over the latest windows.
func (server *server) highFirstByte(now time.Time) (time.Duration, bool) {
	if server.firstBytes == nil {
		return 0, false
	}
	if !now.Before(server.rotateAt) {
		server.rotateAt = now.Add(windowLength)
		server.firstBytes.Rotate()
	}
	merged := server.firstBytes.Merge()
	if merged.TotalCount() < leastSamples {
		return 0, false
	}
	return time.Duration(merged.ValueAtQuantile(95)) * time.Microsecond, true
}
