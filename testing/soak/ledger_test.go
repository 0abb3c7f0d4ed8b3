package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the promises, as the pages of the users' platform state them.
const (
	stableWindow = 3 * time.Second        // without trouble, after which an instance counts as undisturbed
	drainMost    = 2 * time.Second        // until a server that leaves gets nothing more
	configMost   = 2 * time.Second        // until a configuration is in force
	overdueMost  = 500 * time.Millisecond // after the deadline, for an answer
	goneMost     = 500 * time.Millisecond // after the caller has left, for the end of the work
	recoverMost  = 15 * time.Second
	graceTime    = 6 * time.Second
	pauseSlack   = 500 * time.Millisecond // in which requests may still be on their way to a server that turns an instance away
	pausedMost   = 2                      // requests that may reach it after that
	// someOverdue and someGone are counts from which a share is judged.
	someOverdue = 8
	someGone    = 8
	// clockSlack is for the time that the soak's own goroutines wait for a processor.
	clockSlack = 200 * time.Millisecond
)

// sent is a request of a caller.
type sent struct {
	id, method, path string
	route            route
	key              *teamKey
	instance         string
	at, deadline     time.Time
	patience         time.Time // how long the caller has said to wait
	ended            time.Time // zero while it waits
	status           int       // 0 without an answer
	whole            bool      // the answer came whole
	left             time.Time // when the caller gave up, zero if it did not
	runs             []run
}

// run is a request's stay at a backend server.
type run struct {
	server, service string
	at              time.Time
	ended           time.Time // zero while it runs
}

// pair is an instance and a backend server.
type pair struct{ instance, server string }

// pauseSpan is a time in which a server wants no request from an instance.
type pauseSpan struct {
	from, until time.Time
	arrived     int // requests later than the slack
}

// span is a time in which something is disturbed.
type span struct {
	what     string
	from, to time.Time // to is zero while it lasts
}

// ledger is what callers and backend servers saw, and which promises it breaks.
type ledger struct {
	mu          sync.Mutex
	requests    map[string]*sent
	spans       []span
	draining    map[string]time.Time // servers that leave, since when
	restored    map[string]time.Time // servers that were leaving for long enough when the store was restored, and when that was
	departed    map[pair]time.Time   // when an instance passed on that a server leaves
	pauses      map[pair]*pauseSpan
	allowed     map[string]map[string]bool
	broken      []string
	answered    int
	served      int
	pressed     int                  // requests of pressingTeam that ran
	arrivals    map[string]*arrivals // by service
	mostRetries float64              // of what is allowed in a window
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*sent{}, draining: map[string]time.Time{}, restored: map[string]time.Time{}, allowed: map[string]map[string]bool{},
		departed: map[pair]time.Time{}, pauses: map[pair]*pauseSpan{}, arrivals: map[string]*arrivals{}}
}

// fail notes a broken promise; the lock is held.
func (l *ledger) fail(promise, format string, args ...any) {
	l.broken = append(l.broken, promise+": "+fmt.Sprintf(format, args...))
}

// disturb notes that something is disturbed until the returned function is called.
func (l *ledger) disturb(what string) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans = append(l.spans, span{what: what, from: time.Now()})
	i := len(l.spans) - 1
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.spans[i].to = time.Now()
	}
}

// disturbed reports whether one of some things was disturbed in a time; the lock is held.
func (l *ledger) disturbed(from, to time.Time, what ...string) bool {
	for _, s := range l.spans {
		if s.from.After(to) || !s.to.IsZero() && s.to.Before(from) {
			continue
		}
		for _, w := range what {
			if s.what == w {
				return true
			}
		}
	}
	return false
}

// inTouch reports whether an instance and the store were undisturbed for the stable window and up to a time; the lock is held.
func (l *ledger) inTouch(instance string, from, to time.Time) bool {
	return !l.disturbed(from.Add(-stableWindow), to, "store", "all", instance, "process "+instance, "stop "+instance, "starved "+instance)
}

// allow notes that a configuration lets a route go to a service.
func (l *ledger) allow(prefix, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowed[prefix] == nil {
		l.allowed[prefix] = map[string]bool{}
	}
	l.allowed[prefix][service] = true
}

// drains notes that the store has acknowledged that a server leaves.
func (l *ledger) drains(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining[server] = time.Now()
}

// restores notes that the store is about to come back from a copy. A backend server that every instance in touch must have seen to leave
// by then stays unused.
func (l *ledger) restores() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for server, since := range l.draining {
		if now.Sub(since) >= drainMost && !l.disturbed(since.Add(-stableWindow), now.Add(-clockSlack/2), "store", "all") {
			l.restored[server] = now
		}
	}
}

// send notes a request before it is sent.
func (l *ledger) send(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[s.id] = s
}

// excused reports whether an instance may have forgotten what it knew at a time; the lock is held.
func (l *ledger) excused(instance string, since time.Time) bool {
	return l.disturbed(since.Add(-clockSlack), time.Now(), "all", "process "+instance, "stop "+instance, "starved "+instance)
}

// turnedAway reports whether an instance is one of those, every other one, that a server turns away.
func turnedAway(instance string) bool { return instance[len(instance)-1]%2 == 0 }

// arrive notes that a request has reached a server, before it is known whether it runs, and reports whether it is turned away.
func (l *ledger) arrive(id, server, service string, turnsAway bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.requests[id], time.Now()
	if s == nil {
		return false
	}
	l.receive(id, service, now)
	at := pair{s.instance, server}
	p := l.pauses[at]
	if p != nil && now.After(p.from.Add(pauseSlack+clockSlack)) && now.Before(p.until) && !l.excused(s.instance, p.from) {
		if p.arrived++; p.arrived > pausedMost {
			l.fail("pause", "%d requests by %s, the last one %s, reach %s within its pause", p.arrived, s.instance, id, server)
		}
	}
	turnsAway = turnsAway && turnedAway(s.instance)
	if turnsAway {
		l.pauses[at] = &pauseSpan{from: now, until: now.Add(pauseTime)}
	}
	return turnsAway
}

// departs notes that a caller has got an answer by which the server that it is from leaves.
func (l *ledger) departs(s *sent, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := pair{s.instance, server}
	if l.departed[at].IsZero() {
		l.departed[at] = time.Now()
	}
}

// begin notes that a server begins to run a request, and returns how to note its end.
func (l *ledger) begin(id string, r *http.Request, server, service string) func() {
	method, path := r.Method, r.URL.Path
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	s := l.requests[id]
	if s == nil {
		l.fail("unasked", "%s runs %s %s with the id %q, which no caller sent", server, method, path, id)
		return func() {}
	}
	if s.method != method || s.path != path {
		l.fail("unasked", "request %s was sent as %s %s and runs as %s %s", id, s.method, s.path, method, path)
	}
	l.judgeIdentity(s, server, r)
	s.runs = append(s.runs, run{server: server, service: service, at: now})
	if s.route.unsafe && len(s.runs) > 1 {
		l.fail("twice", "request %s runs at %s and %s", id, s.runs[0].server, server)
	}
	if s.refused() {
		l.fail("refused", "request %s was refused with %d and runs at %s %s later", id, s.status, server, now.Sub(s.ended))
	}
	if !l.allowed[s.route.prefix][service] {
		l.fail("route", "request %s of %s runs at %s of %s", id, s.route.prefix, server, service)
	}
	if since, leaving := l.draining[server]; leaving && now.Sub(since) > drainMost+clockSlack && s.at.After(since.Add(drainMost)) && l.inTouch(s.instance, s.at, now) && !l.disturbed(since.Add(-stableWindow), since, "store", "all") {
		l.fail("drain", "request %s by %s runs at %s, which has been leaving for %s", id, s.instance, server, now.Sub(since))
	}
	if at, known := l.restored[server]; known && s.at.After(at) {
		since := l.draining[server].Add(-stableWindow)
		if !l.disturbed(since, now, "all", s.instance, "process "+s.instance, "stop "+s.instance, "starved "+s.instance) {
			l.fail("restored", "request %s by %s runs at %s, which it had seen leaving before the store was restored", id, s.instance, server)
		}
	}
	if since, departs := l.departed[pair{s.instance, server}]; departs && s.at.After(since.Add(drainMost+clockSlack)) && !l.excused(s.instance, since) {
		l.fail("depart", "request %s by %s runs at %s, which has told it to be leaving %s before", id, s.instance, server, now.Sub(since))
	}
	i := len(s.runs) - 1
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.runs[i].ended = time.Now()
	}
}

// refused reports whether a request was answered that it has not run and will not.
func (s *sent) refused() bool { return s.route.unsafe && (s.status == 429 || s.status == 503) }

// end notes the end of a request: its status, 0 without an answer, and whether the answer is whole and the right one.
func (l *ledger) end(s *sent, status int, whole bool, wrong string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.ended, s.status, s.whole = time.Now(), status, whole
	if !s.left.IsZero() {
		return
	}
	l.answered++
	if status == 200 && whole {
		l.served++
	}
	if wrong != "" {
		l.fail("mixed", "request %s: %s", s.id, wrong)
	}
	if s.refused() && len(s.runs) > 0 {
		l.fail("refused", "request %s was refused with %d and has run at %s", s.id, status, s.runs[0].server)
	}
	l.judgeLost(s)
	l.judgeDenied(s)
	if status == 404 && s.at.After(s.route.since.Add(configMost+clockSlack)) && l.inTouch(s.instance, s.route.since, s.ended) {
		l.fail("config", "request %s to %s: 404 from %s, %s after its route was written", s.id, s.route.prefix, s.instance, s.at.Sub(s.route.since))
	}
}

// judgeLost checks that a request which a server runs gets its answer, whatever is planned with the instance meanwhile.
func (l *ledger) judgeLost(s *sent) {
	if s.whole || s.status != 0 && s.status != 200 || len(s.runs) == 0 || s.ended.After(s.deadline) {
		return
	}
	if l.disturbed(s.at.Add(-stableWindow), s.ended, "process "+s.instance, "all") {
		return
	}
	for _, r := range s.runs {
		if l.disturbed(s.at, s.ended, "server "+r.server) {
			return
		}
	}
	l.fail("lost", "request %s ran at %s, and its connection to %s ended without an answer", s.id, s.runs[0].server, s.instance)
}

// judge checks what can be judged at the end only.
func (l *ledger) judge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.judgeQuota()
	l.judgeRetries()
	l.judgeStarved()
	overdue, late, left, worked := 0, 0, 0, 0
	example := ""
	for _, s := range l.requests {
		if l.disturbed(s.at.Add(-stableWindow), s.deadline.Add(overdueMost), "process "+s.instance, "all", "starved "+s.instance) {
			continue
		}
		if !s.left.IsZero() {
			for _, r := range s.runs {
				if r.at.After(s.left) || !s.route.unsafe && (r.ended.IsZero() || r.ended.Sub(s.left) > goneMost+clockSlack) {
					worked++
				}
			}
			left++
			continue
		}
		if s.ended.IsZero() || s.ended.After(s.deadline) {
			overdue++
		}
		if s.ended.IsZero() || s.ended.After(s.deadline.Add(overdueMost+clockSlack)) {
			late++
			example = s.id
		}
	}
	if late >= someOverdue && 4*late > overdue {
		l.fail("overdue", "%d of %d requests that reached their deadline have no answer %s later, such as %s", late, overdue, overdueMost, example)
	}
	if worked >= someGone && 4*worked > left {
		l.fail("gone", "servers still work on %d of %d requests whose callers have left", worked, left)
	}
}

// report returns the broken promises, the first of each.
func (l *ledger) report() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen, counts := map[string]string{}, map[string]int{}
	var order []string
	for _, b := range l.broken {
		promise, _, _ := strings.Cut(b, ":")
		if counts[promise]++; counts[promise] == 1 {
			order = append(order, promise)
			seen[promise] = b
		}
	}
	var lines []string
	for _, promise := range order {
		lines = append(lines, fmt.Sprintf("%s (%d in all)", seen[promise], counts[promise]))
	}
	return strings.Join(lines, "\n")
}

// since returns the share of the requests sent after a time that were served, and their number.
func (l *ledger) since(from time.Time) (float64, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all, served := 0, 0
	for _, s := range l.requests {
		// Requests beyond a limit or with a key that is not in force are refused at any time.
		if s.at.Before(from) || s.ended.IsZero() || !s.left.IsZero() || s.key.text == pressingKey || !s.key.withdrawn.IsZero() {
			continue
		}
		all++
		if s.status == 200 && s.whole {
			served++
		}
	}
	return float64(served) / float64(max(1, all)), all
}
