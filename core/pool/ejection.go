package pool

import (
	"math"
	"net/netip"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// Ejection and readmission.
const (
	firstEjection    = 2 * time.Second // doubled with each ejection in a row
	longestEject     = 2 * time.Minute
	probeTimeout     = 2 * time.Second
	trialRequests    = 3
	trialDeadline    = 30 * time.Second // a trial that gets no request ends in service
	forgiveFactor    = 10               // times the latest ejection in service until the count starts anew
	soleEntryFactor  = 1.5              // on the threshold while one entry instance brings all evidence
	heldVerification = time.Second      // between verifications of a server that may not be ejected
	restoreAllowed   = 10 * time.Second // age up to which a pool adopts ejections it is told of
)

// Probe is a health check to send to an ejected server.
type Probe struct {
	Server  string
	Address netip.AddrPort
}

// threshold returns the evidence that convicts a server, and how much of it must come from beside the domain with the most.
func (pool *Pool) threshold(now time.Time, s *server) (overall, beside float64) {
	more := math.Log(max(1, pool.baseline.perSecond(now)/thresholdRate))
	if pool.policy.Ejection != rules.Quick {
		return cautiousThreshold + more, leastBeside
	}
	if s.evidence.answers > 0 {
		return quickThreshold + more, leastBeside
	}
	return quickThreshold + more, quickBeside
}

// considerEjection ejects a server when the evidence convicts it, the slice as a whole is well and the floor holds.
func (pool *Pool) considerEjection(now time.Time, s *server) {
	if s.phase != inService || pool.policy.Placement == rules.Proven || !pool.convicted(now, s) {
		return
	}
	if pool.sliceSuspect(now, s) {
		return
	}
	if !pool.floorAllows(now, s) {
		s.verifyAt = now.Add(heldVerification)
		return
	}
	pool.eject(now, s)
}

// convicted reports whether the evidence speaks against the server and not against one path to it.
//
// While all asks come from one failure domain there is nothing beside it. With all asks from one entry instance
// a fault of its path cannot be told from one of the server: more evidence is needed then.
func (pool *Pool) convicted(now time.Time, s *server) bool {
	if s.evidence.overall.sum < quickThreshold {
		return false
	}
	leastOverall, leastBeside := pool.threshold(now, s)
	if pool.vantages.soleEntry(now) {
		leastOverall *= soleEntryFactor
	}
	if s.evidence.overall.value(now) < leastOverall {
		return false
	}
	return pool.vantages.sole(now) || s.evidence.beside(now) >= leastBeside
}

// reconsider decides on all servers again after an answer, which may show that the others are well.
func (pool *Pool) reconsider(now time.Time) {
	for _, s := range pool.servers {
		pool.considerEjection(now, s)
	}
}

// sliceSuspect reports whether other servers do badly too, so that the cause may be shared.
func (pool *Pool) sliceSuspect(now time.Time, except *server) bool {
	return !pool.othersAnswer(except) || pool.othersSuspect(now, except)
}

// othersAnswer reports whether enough of the other servers have answered in time since the attempt of the server's
// latest failure was granted, so that the cause is not a shared one. The latest outcome at each of them counts.
func (pool *Pool) othersAnswer(except *server) bool {
	answered, failed := 0, 0
	for _, s := range pool.servers {
		switch {
		case s == except:
		case s.answeredAt.After(except.failedSentAt) && s.answeredAt.After(s.failedAt):
			answered++
		case s.failedAt.After(except.failedSentAt):
			failed++
		}
	}
	return answered > 0 && answered >= controlFactor*failed
}

// othersSuspect reports whether so many other servers are suspect that the cause may be shared.
func (pool *Pool) othersSuspect(now time.Time, except *server) bool {
	suspects := 0
	for _, s := range pool.servers {
		if s != except && s.phase == inService && s.suspect(now) {
			suspects++
		}
	}
	return suspects > max(1, (len(pool.servers)+2)/3)
}

// floorAllows reports whether the capacity in service without the server stays at the floor or above.
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
	return left >= pool.policy.Floor*total-floorRounding
}

// floorRounding absorbs the rounding of sums of slots.
const floorRounding = 1e-9

// eject takes a server out of service; each ejection in a row lasts longer.
func (pool *Pool) eject(now time.Time, s *server) {
	if s.phase == inService && !s.since.IsZero() && now.Sub(s.since) > forgiveFactor*ejectionLength(s.ejections) {
		s.ejections = 0
	}
	s.ejections++
	s.phase = ejected
	s.until = now.Add(ejectionLength(s.ejections))
	s.coldUntil = now
	pool.note(now, ChangeEjected, s, Report{})
	s.evidence.clear()
}

func ejectionLength(count int) time.Duration {
	length := float64(firstEjection) * math.Exp2(float64(max(0, min(count, 16)-1)))
	return min(longestEject, time.Duration(length))
}

// readmit moves ejected servers to a probe and ends probes and trials that ran out.
func (pool *Pool) readmit(now time.Time) []Probe {
	var probes []Probe
	for _, s := range pool.servers {
		if s.phase == inService || now.Before(s.until) {
			continue
		}
		switch s.phase {
		case ejected:
			s.phase, s.until = probing, now.Add(probeTimeout)
			probes = append(probes, Probe{s.member.Name, s.member.Address})
		case probing:
			pool.eject(now, s)
		case trial:
			pool.returnToService(now, s)
		}
	}
	return probes
}

// Probed takes in the result of a probe.
func (pool *Pool) Probed(now time.Time, name string, healthy bool) {
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
	s.phase, s.until, s.trials = trial, now.Add(trialDeadline), trialRequests
	pool.serveWaiters(now)
}

// passTrial counts a trial request that was answered in time.
func (pool *Pool) passTrial(now time.Time, s *server) {
	if s.phase != trial {
		return
	}
	s.trials--
	if s.trials <= 0 {
		pool.returnToService(now, s)
	}
}

func (pool *Pool) returnToService(now time.Time, s *server) {
	s.phase, s.since = inService, now
	pool.note(now, ChangeReadmitted, s, Report{})
	s.evidence.clear()
	s.startRamp(now)
	pool.serveWaiters(now)
}

// Ejected is a server out of service, as told to entry instances.
type Ejected struct {
	Server string
	Until  time.Time
	Count  int // ejections in a row
}

// Ejections returns the servers out of service.
func (pool *Pool) Ejections() []Ejected {
	var out []Ejected
	for _, s := range pool.servers {
		if s.phase != inService {
			out = append(out, Ejected{s.member.Name, s.until, s.ejections})
		}
	}
	return out
}

// Restore adopts ejections that an entry instance knows from the previous home, while the pool is young.
func (pool *Pool) Restore(now time.Time, known []Ejected) {
	pool.init(now)
	if now.Sub(pool.born) > restoreAllowed {
		return
	}
	for _, e := range known {
		s := pool.server(e.Server)
		if s == nil || s.phase != inService || !s.since.IsZero() || !pool.floorAllows(now, s) {
			continue
		}
		s.phase = ejected
		s.ejections = max(1, e.Count)
		s.until = minTime(e.Until, now.Add(ejectionLength(s.ejections)))
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Status is a server's standing, for operators.
type Status struct {
	Server   string
	State    string // in-service, suspect, ejected, probing, trial or leaving
	Until    time.Time
	InFlight int
	Limit    int
	Evidence float64
}

// Status returns the standing of all servers.
func (pool *Pool) Status(now time.Time) []Status {
	out := make([]Status, 0, len(pool.servers))
	for _, s := range pool.servers {
		out = append(out, Status{
			Server: s.member.Name, State: s.state(now), Until: s.until,
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
