package pool

import (
	"math"
	"net/netip"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// Ejection and readmission.
const (
	minEjectionDuration   = 2 * time.Second // doubled with each consecutive ejection
	maxEjectionDuration   = 2 * time.Minute
	probeTimeout          = 2 * time.Second
	trialRequests         = 3
	trialTimeout          = 30 * time.Second // a trial without requests ends in service after this time
	resetFactor           = 10               // times the latest ejection's duration in service until the ejection count restarts
	singleEntryFactor     = 1.5              // on the threshold while all asks come from one entry instance
	blockedVerifyInterval = time.Second      // between verifications of a server that the floor keeps from being ejected
	restoreWindow         = 10 * time.Second // maximum age of a pool that adopts ejections from a previous home
)

// Probe is a health check to send to an ejected server.
type Probe struct {
	Server  string
	Address netip.AddrPort
}

// threshold returns the evidence that confirms a failure, and how much of it must come from other failure domains than the
// one with the most evidence.
func (pool *Pool) threshold(now time.Time, s *server) (overall, others float64) {
	more := math.Log(max(1, pool.baseline.perSecond(now)/thresholdRate))
	if pool.policy.Ejection != rules.Quick {
		return cautiousThreshold + more, minOtherEvidence
	}
	if s.evidence.answers > 0 {
		return quickThreshold + more, minOtherEvidence
	}
	return quickThreshold + more, quickMinOtherEvidence
}

// considerEjection ejects a server if its failure is confirmed, the slice as a whole is healthy and the floor allows it.
func (pool *Pool) considerEjection(now time.Time, s *server) {
	if s.phase != inService || pool.policy.Placement == rules.Proven || !pool.failureConfirmed(now, s) {
		return
	}
	if pool.sliceSuspect(now, s) {
		return
	}
	if !pool.floorAllows(now, s) {
		s.verifyAt = now.Add(blockedVerifyInterval)
		return
	}
	pool.eject(now, s)
}

// failureConfirmed reports whether the evidence confirms a failure of the server itself rather than of one path to it.
//
// Evidence from other failure domains is not required while all asks come from a single one. While all asks come from one
// entry instance, a path failure looks like a server failure, so the threshold is higher.
func (pool *Pool) failureConfirmed(now time.Time, s *server) bool {
	if s.evidence.overall.sum < quickThreshold {
		return false
	}
	minOverall, minOthers := pool.threshold(now, s)
	if pool.observers.singleEntry(now) {
		minOverall *= singleEntryFactor
	}
	if s.evidence.overall.value(now) < minOverall {
		return false
	}
	return pool.observers.singleDomain(now) || s.evidence.fromOtherDomains(now) >= minOthers
}

// reconsiderEjections reevaluates all servers after an answer, which may show that the rest of the slice is healthy.
func (pool *Pool) reconsiderEjections(now time.Time) {
	for _, s := range pool.servers {
		pool.considerEjection(now, s)
	}
}

// sliceSuspect reports whether other servers fail too, which suggests a shared cause.
func (pool *Pool) sliceSuspect(now time.Time, except *server) bool {
	return !pool.othersAnswer(except) || pool.othersSuspect(now, except)
}

// othersAnswer reports whether enough of the other servers have answered in time since the grant of the attempt that failed
// last at the excepted server, which rules out a shared cause. Only the latest outcome of each server counts.
func (pool *Pool) othersAnswer(except *server) bool {
	answered, failed := 0, 0
	for _, s := range pool.servers {
		switch {
		case s == except:
		case s.answeredAt.After(except.failedGrantedAt) && s.answeredAt.After(s.failedAt):
			answered++
		case s.failedAt.After(except.failedGrantedAt):
			failed++
		}
	}
	return answered > 0 && answered >= controlFactor*failed
}

// othersSuspect reports whether so many other servers are suspect that a shared cause is possible.
func (pool *Pool) othersSuspect(now time.Time, except *server) bool {
	suspects := 0
	for _, s := range pool.servers {
		if s != except && s.phase == inService && s.suspect(now) {
			suspects++
		}
	}
	return suspects > max(1, (len(pool.servers)+2)/3)
}

// floorAllows reports whether the capacity in service without the excepted server is at or above the floor.
func (pool *Pool) floorAllows(now time.Time, except *server) bool {
	total, left := 0.0, 0.0
	for _, s := range pool.servers {
		if s.member.Leaving {
			continue
		}
		total += float64(s.slots)
		if s != except && s.phase == inService {
			left += float64(s.slots) * s.rampShare(now)
		}
	}
	return left >= pool.policy.Floor*total-floorTolerance
}

// floorTolerance absorbs rounding errors in sums of slots.
const floorTolerance = 1e-9

// eject takes a server out of service. Each consecutive ejection lasts longer.
func (pool *Pool) eject(now time.Time, s *server) {
	if s.phase == inService && !s.readmittedAt.IsZero() && now.Sub(s.readmittedAt) > resetFactor*ejectionDuration(s.ejections) {
		s.ejections = 0
	}
	s.ejections++
	s.phase = ejected
	s.phaseDeadline = now.Add(ejectionDuration(s.ejections))
	s.coldUntil = now
	pool.recordChange(now, ChangeEjected, s, Report{})
	s.evidence.clear()
}

func ejectionDuration(count int) time.Duration {
	length := float64(minEjectionDuration) * math.Exp2(float64(max(0, min(count, 16)-1)))
	return min(maxEjectionDuration, time.Duration(length))
}

// readmit moves servers whose ejection has ended to probing, and ends probes and trials that timed out.
func (pool *Pool) readmit(now time.Time) []Probe {
	var probes []Probe
	for _, s := range pool.servers {
		if s.phase == inService || now.Before(s.phaseDeadline) {
			continue
		}
		switch s.phase {
		case ejected:
			s.phase, s.phaseDeadline = probing, now.Add(probeTimeout)
			probes = append(probes, Probe{s.member.Name, s.member.Address})
		case probing:
			pool.eject(now, s)
		case trial:
			pool.returnToService(now, s)
		}
	}
	return probes
}

// RecordProbe records the result of a probe.
func (pool *Pool) RecordProbe(now time.Time, name string, healthy bool) {
	s := pool.server(name)
	if s == nil || s.phase != probing {
		return
	}
	if !healthy {
		s.down = true
		pool.eject(now, s)
		return
	}
	if s.down {
		s.startCold(now)
	}
	s.phase, s.phaseDeadline, s.trialsLeft = trial, now.Add(trialTimeout), trialRequests
	pool.grantQueued(now)
}

// passTrial counts a trial request that was answered in time.
func (pool *Pool) passTrial(now time.Time, s *server) {
	if s.phase != trial {
		return
	}
	s.trialsLeft--
	if s.trialsLeft <= 0 {
		pool.returnToService(now, s)
	}
}

func (pool *Pool) returnToService(now time.Time, s *server) {
	s.phase, s.readmittedAt = inService, now
	pool.recordChange(now, ChangeReadmitted, s, Report{})
	s.evidence.clear()
	s.startRamp(now)
	pool.grantQueued(now)
}

// Ejected is a server out of service, as reported to entry instances.
type Ejected struct {
	Server string
	Until  time.Time
	Count  int // consecutive ejections
}

// EjectedServers returns the servers out of service, including those that are probed or on trial.
func (pool *Pool) EjectedServers() []Ejected {
	var out []Ejected
	for _, s := range pool.servers {
		if s.phase != inService {
			out = append(out, Ejected{s.member.Name, s.phaseDeadline, s.ejections})
		}
	}
	return out
}

// RestoreEjected adopts ejections that an entry instance knows from the previous home. It has no effect on a pool
// older than restoreWindow, and skips servers that the floor requires.
func (pool *Pool) RestoreEjected(now time.Time, known []Ejected) {
	pool.init(now)
	if now.Sub(pool.createdAt) > restoreWindow {
		return
	}
	for _, e := range known {
		s := pool.server(e.Server)
		if s == nil || s.phase != inService || !s.readmittedAt.IsZero() || !pool.floorAllows(now, s) {
			continue
		}
		s.phase = ejected
		s.ejections = max(1, e.Count)
		s.phaseDeadline = minTime(e.Until, now.Add(ejectionDuration(s.ejections)))
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Status is the state of a server, for operators.
type Status struct {
	Server   string
	State    string // in-service, suspect, ejected, probing, trial or leaving
	Until    time.Time
	InFlight int
	Limit    int
	Evidence float64
}

// Status returns the state of all servers.
func (pool *Pool) Status(now time.Time) []Status {
	out := make([]Status, 0, len(pool.servers))
	for _, s := range pool.servers {
		out = append(out, Status{
			Server: s.member.Name, State: s.state(now), Until: s.phaseDeadline,
			InFlight: s.inFlight, Limit: s.limit(now), Evidence: s.evidence.overall.value(now),
		})
	}
	return out
}

func (server *server) state(now time.Time) string {
	switch {
	case server.member.Leaving:
		return "leaving"
	case server.phase == ejected:
		return "ejected"
	case server.phase == probing:
		return "probing"
	case server.phase == trial:
		return "trial"
	case server.suspect(now):
		return "suspect"
	}
	return "in-service"
}
