package lateness

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Processor time of a request in the simulation, and what callers expect.
const (
	acceptCost   = 100 * time.Microsecond // to read a request
	refuseCost   = 50 * time.Microsecond  // to refuse it
	forwardCost  = 400 * time.Microsecond // to send it to a server
	answerCost   = 200 * time.Microsecond // to pass the answer on
	serverTime   = 300 * time.Millisecond
	patience     = 4 * time.Second
	perSecond    = 2800
	loadedShare  = 0.5 // of a processor, while another process uses the rest
	overloadTime = 12 * time.Second
	simulated    = 20 * time.Second
)

// policy decides whether a request is admitted.
type policy interface {
	observe(now time.Time, delay time.Duration)
	admit(inProgress int) bool
}

type admitAll struct{}

func (admitAll) observe(time.Time, time.Duration) {}
func (admitAll) admit(int) bool                   { return true }

// refuseShare is the policy of the package.
type refuseShare struct{ Meter }

func (r *refuseShare) observe(now time.Time, delay time.Duration) { r.Observe(now, delay) }
func (r *refuseShare) admit(int) bool                             { return r.Admit() }

// limitInProgress is the other policy that was weighed: a limit on the requests in progress, which falls to a share of them with each late
// interval and rises by a few with each other one.
type limitInProgress struct {
	Meter
	limit, inProgress int
}

func (l *limitInProgress) observe(now time.Time, delay time.Duration) {
	l.Observe(now, delay)
	if min(l.latest, l.previous) > l.Tolerance {
		l.limit = max(1, min(l.limit, l.inProgress)*7/10)
		return
	}
	l.limit += 20
}

func (l *limitInProgress) admit(inProgress int) bool {
	l.inProgress = inProgress
	return inProgress < l.limit
}

// simulation is an instance whose processor works on a queue in order of arrival.
type simulation struct {
	policy     policy
	queue      []task
	spare      time.Duration // processor time that the queue has not used yet
	inProgress int
	answers    []answered // requests sent to a server, by the time of its answer
	inTime     map[int]int
	late       int // answered after the caller has left
	maxDelay   time.Duration
	observedAt time.Time
	refuse     func(now time.Time, refused task) // nil if callers don't come back
}

type task struct {
	tries     int       // refusals so far
	arrivedAt time.Time // of the request at the instance
	readyAt   time.Time
	isAnswer  bool
}

type answered struct {
	task
	at time.Time
}

// run simulates the instance in steps of a millisecond.
func (s *simulation) run() {
	for now, arrivals := start, 0.0; now.Before(start.Add(simulated)); now = now.Add(time.Millisecond) {
		for arrivals += perSecond / 1000.0; arrivals >= 1; arrivals-- {
			s.queue = append(s.queue, task{arrivedAt: now, readyAt: now})
		}
		share := 2.5
		if now.Sub(start) < overloadTime {
			share = loadedShare
		}
		s.step(now, share)
	}
}

// step simulates a millisecond, in which the instance has a share of a processor.
func (s *simulation) step(now time.Time, share float64) {
	if s.inTime == nil {
		s.inTime, s.observedAt = map[int]int{}, now
	}
	for len(s.answers) > 0 && !s.answers[0].at.After(now) {
		s.queue = append(s.queue, task{arrivedAt: s.answers[0].arrivedAt, readyAt: now, isAnswer: true})
		s.answers = s.answers[1:]
	}
	s.spare += time.Duration(share * float64(time.Millisecond))
	s.work(now)
	var delay time.Duration
	if len(s.queue) > 0 {
		delay = now.Sub(s.queue[0].readyAt)
	}
	s.maxDelay = max(s.maxDelay, delay)
	if now.Sub(s.observedAt) >= interval {
		s.observedAt = now
		s.policy.observe(now, delay)
	}
}

// work does the tasks for which there is processor time.
func (s *simulation) work(now time.Time) {
	for len(s.queue) > 0 && s.spare > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		switch {
		case next.isAnswer:
			s.spare -= answerCost
			s.inProgress--
			if now.Sub(next.arrivedAt) > patience {
				s.late++
				continue
			}
			s.inTime[int(now.Sub(start)/time.Second)]++
		case s.policy.admit(s.inProgress):
			s.spare -= acceptCost + forwardCost
			s.inProgress++
			s.answers = append(s.answers, answered{next, now.Add(serverTime)})
		default:
			s.spare -= acceptCost + refuseCost
			if s.refuse != nil {
				s.refuse(now, next)
			}
		}
	}
	if len(s.queue) == 0 {
		s.spare = min(s.spare, 0)
	}
}

// answeredBetween returns the answers in time in the seconds from first to last.
func (s *simulation) answeredBetween(first, last int) int {
	total := 0
	for second := first; second <= last; second++ {
		total += s.inTime[second]
	}
	return total
}

// TestMeasureOverload compares ways to bound the work of an instance that gets 2,800 requests a second and has processor time for 700, then
// for all of them.
func TestMeasureOverload(t *testing.T) {
	all := &simulation{policy: admitAll{}}
	share := &simulation{policy: &refuseShare{Meter{Tolerance: 100 * time.Millisecond}}}
	limit := &simulation{policy: &limitInProgress{Meter: Meter{Tolerance: 100 * time.Millisecond}, limit: 10_000}}
	for _, s := range []*simulation{all, share, limit} {
		s.run()
		t.Logf("%T: answered in time in the last six seconds of overload: %d, in the third second after it: %d, late: %d, longest delay: %s",
			s.policy, s.answeredBetween(6, 11), s.answeredBetween(14, 14), s.late, s.maxDelay)
	}
	must.Zero(t, all.answeredBetween(6, 11)) // all callers have left when their answers arrive
	must.Zero(t, share.late)
	must.Greater(t, 6*100, share.answeredBetween(6, 11))
	must.Greater(t, 2700, share.answeredBetween(14, 14))
	must.Less(t, time.Second, share.maxDelay)
}
