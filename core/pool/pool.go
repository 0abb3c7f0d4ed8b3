// Package pool decides which backend server of a slice runs which request, on evidence pooled from all entry instances.
package pool

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/limit"
	"github.com/sequoiaspan/sequoiaspan/core/quarantine"
)

// Timing and sizing of grants.
const (
	leaseLength     = 20 * time.Second // a grant not renewed for this long is free again
	budgetRetry     = time.Second
	suspiciousRetry = time.Second     // for a request that crashed one server, while it runs at another
	reconcileAfter  = 2 * time.Second // a grant may be on its way to its entry for so long
)

// Member is a backend server as the instance list shows it.
type Member struct {
	Name    string
	Domain  string
	Address netip.AddrPort
	Slots   int // 0 to follow the policy
	Leaving bool
	Started time.Time // tells runs under one name apart, zero if not known
	WarmAt  time.Time // end of the cold start, zero if not known
}

// Ask is an entry instance's request for a grant.
type Ask struct {
	Attempt     uint64 // unique over all entries
	Entry       string // asking entry instance
	Domain      string // its failure domain
	Team        string
	Idempotent  bool
	Hedge       bool     // a second copy of an attempt that is still out
	Number      int      // attempt number of the request, from 1
	Exclude     []string // servers that this request has tried
	Paused      []string // servers that want no request from the asking instance now
	Verify      string   // suspect server to verify with a copy of an answered request, empty for a caller's request
	NoWait      bool     // refused at once when no slot is free of a server that likely answers; other slices are asked too
	Priority    int      // 0 is served first
	Large       bool     // the answer is expected to be large
	Last        bool     // no attempt is left after this one
	Deadline    time.Time
	Fingerprint uint64 // 0 when the request has none

	since time.Time // when it was queued
}

// Verdict says what became of an Ask.
type Verdict uint8

// Verdicts.
const (
	// Granted asks may be sent to the server of the decision.
	Granted Verdict = iota
	// Queued asks get their decision from Next later.
	Queued
	// Full means that every slot is taken and the queue is full or the wait is over.
	Full
	// NoServer means that no backend server is in service.
	NoServer
	// OverBudget means that the service's retry budget is spent.
	OverBudget
	// Quarantined means that this request crashed backend servers before.
	Quarantined
	// Limited means that the service's request limit is reached.
	Limited
	// NotReady means that the asked instance does not know the service's backend servers yet; another is to be asked.
	NotReady
	// NotNeeded means that the server to verify is not suspect, or enough verifications of it are out.
	NotNeeded
	// Paused means that every server in service wants no request from the asking instance now.
	Paused
)

// verdictNames are the names in logs.
var verdictNames = [...]string{
	"granted", "queued", "full", "no-server", "over-budget", "quarantined", "limited", "not-ready", "not-needed", "paused",
}

// String returns the verdict's name in logs.
func (verdict Verdict) String() string {
	if int(verdict) < len(verdictNames) {
		return verdictNames[verdict]
	}
	return "unknown"
}

// Decision answers an Ask.
type Decision struct {
	Attempt   uint64
	Verdict   Verdict
	Server    string
	Domain    string    // the server's failure domain
	Started   time.Time // of the server's run, zero if not known
	Address   netip.AddrPort
	SuspectAt time.Time     // no first byte by then makes the server suspect
	Waited    time.Duration // for which the ask was queued
	Fresh     bool          // a new connection is required
	Close     bool          // the connection is not to be kept open afterwards
	RetryAt   time.Time     // when refused
}

// Pool holds one slice of a service's backend servers; the zero value is an empty pool with the default policy.
//
// A Pool is not safe for concurrent use.
type Pool struct {
	policy   Policy
	servers  []*server
	grants   map[uint64]grant
	teams    map[string]int // requests in flight by team
	queue    queue
	meanHeld time.Duration // for which a slot is held
	ready    []Decision
	changes  []Change
	rate     limit.Bucket

	budget       budget // of retries and hedges
	verifyBudget budget // of verifications
	baseline     rate   // events of all servers
	episodes     episodes
	trouble      trouble
	resting      float64 // sound servers that may be unused, by expectation
	vantages     vantages
	quarantine   quarantine.Quarantine
	ended        recent
	suspectIn    time.Duration // silence before the first byte that makes a server suspect
	timed        bool          // the time of suspicion follows the slice's answers
	born         time.Time
	lastTick     time.Time
}

// recent remembers the latest attempts that ended, so that a renewal that was under way does not bring them back.
type recent struct {
	attempts [128]uint64
	next     int
}

func (recent *recent) add(attempt uint64) {
	recent.attempts[recent.next] = attempt
	recent.next = (recent.next + 1) % len(recent.attempts)
}

func (recent *recent) has(attempt uint64) bool {
	return slices.Contains(recent.attempts[:], attempt)
}

// grant is one outstanding permission. It stays below the size beyond which maps keep values apart.
type grant struct {
	server      *server
	entry       string // that holds it
	team        string
	grantedAt   time.Time
	expires     time.Time
	added       float64 // evidence that being overdue added
	fingerprint uint64
	last        bool // a failure ends the request
	forFloor    bool // at a server that rather fails, so that the floor holds
	overdue     bool
	verifies    bool // sent to a suspect to confirm or clear it
	patient     bool // the time of suspicion is that of a cold start
}

// SetPolicy replaces the policy.
func (pool *Pool) SetPolicy(policy Policy) {
	pool.policy = policy.withDefaults()
	for _, s := range pool.servers {
		s.slots = pool.slotsOf(s.member)
	}
}

// SetServers replaces the members; a server new to a pool with history starts slowly.
func (pool *Pool) SetServers(now time.Time, members []Member) {
	pool.init(now)
	known := make(map[string]*server, len(pool.servers))
	for _, s := range pool.servers {
		known[s.member.Name] = s
	}
	first := len(pool.servers) == 0
	servers := make([]*server, 0, len(members))
	for _, member := range members {
		s := known[member.Name]
		if s == nil || s.member.Address != member.Address || !s.member.Started.Equal(member.Started) {
			s = &server{fault: fault{episodes: &pool.episodes}}
			s.start(now, member, first)
		}
		s.listedLeaving = member.Leaving
		member.Leaving = member.Leaving || s.member.Leaving
		s.member = member
		s.slots = pool.slotsOf(member)
		servers = append(servers, s)
	}
	pool.servers = servers
	service := max(1, pool.policy.Servers, len(servers))
	pool.resting = mostResting(pool.policy.Floor, service) * float64(len(servers)) / float64(service)
	pool.serveWaiters(now)
}

func (pool *Pool) init(now time.Time) {
	if !pool.born.IsZero() {
		return
	}
	pool.policy = pool.policy.withDefaults()
	pool.born = now
	pool.grants = map[uint64]grant{}
	pool.teams = map[string]int{}
	pool.suspectIn = coldSuspectIn
	// What happened before is not known here.
	pool.trouble.until = now.Add(troubledFor)
	// Another home may have spent as much of late.
	pool.budget.spent = freshSpent * pool.policy.RetryBurst
}

func (pool *Pool) slotsOf(member Member) int {
	if member.Slots > 0 {
		return member.Slots
	}
	return pool.policy.Slots
}

// Ask grants, queues or refuses; a refusal costs no slot. A repeated attempt gets its grant again.
func (pool *Pool) Ask(now time.Time, ask Ask) Decision {
	pool.init(now)
	decision := pool.decide(now, ask)
	if !ask.Hedge && !ask.NoWait && ask.Verify == "" && decision.Verdict.isUnserved() {
		pool.trouble.lost(now)
	}
	return decision
}

// isUnserved reports whether a request that gets the verdict is not served for want of servers or budget.
func (verdict Verdict) isUnserved() bool {
	return verdict == Full || verdict == NoServer || verdict == OverBudget || verdict == Paused
}

func (pool *Pool) decide(now time.Time, ask Ask) Decision {
	pool.vantages.see(now, ask.Domain, ask.Entry)
	if g, found := pool.grants[ask.Attempt]; found {
		return pool.describe(now, ask.Attempt, g)
	}
	if pool.queue.has(ask.Attempt) {
		return Decision{Attempt: ask.Attempt, Verdict: Queued}
	}
	if until, found := pool.quarantine.Until(now, ask.Fingerprint); found {
		return Decision{Attempt: ask.Attempt, Verdict: Quarantined, RetryAt: until}
	}
	if pool.quarantine.IsSuspect(now, ask.Fingerprint) && pool.running(ask.Fingerprint) {
		return Decision{Attempt: ask.Attempt, Verdict: Quarantined, RetryAt: now.Add(suspiciousRetry)}
	}
	if ask.Verify != "" {
		return pool.verify(now, &ask)
	}
	if len(ask.Paused) > 0 && pool.allPaused(&ask) {
		return Decision{Attempt: ask.Attempt, Verdict: Paused, RetryAt: now.Add(pausedRetryAfter)}
	}
	var s *server
	var r rank
	if ask.NoWait {
		if pool.queue.len() == 0 {
			s, r = pool.choose(now, &ask)
		}
		if s == nil {
			return Decision{Attempt: ask.Attempt, Verdict: Full, RetryAt: now.Add(fullRetryAfter)}
		}
	}
	if ask.Number <= 1 {
		if granted, retryAt := pool.rate.Take(now, pool.policy.Limit, 1); granted == 0 {
			return Decision{Attempt: ask.Attempt, Verdict: Limited, RetryAt: retryAt}
		}
		pool.trouble.arrive(now)
		pool.budget.earn(pool.policy.RetryShare)
		pool.verifyBudget.earn(verifyEarned)
	} else if !pool.budget.spend(pool.policy.mostRetries(ask.Hedge)) {
		return Decision{Attempt: ask.Attempt, Verdict: OverBudget, RetryAt: now.Add(budgetRetry)}
	}
	if pool.queue.len() > 0 && !ask.Hedge {
		return pool.enqueue(now, ask)
	}
	if s == nil {
		s, r = pool.choose(now, &ask)
	}
	if s == nil {
		return pool.enqueue(now, ask)
	}
	return pool.grant(now, &ask, s, r)
}

// running reports whether a request is at a server now.
func (pool *Pool) running(fingerprint uint64) bool {
	for _, g := range pool.grants {
		if g.fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// grant takes a slot of the server.
func (pool *Pool) grant(now time.Time, ask *Ask, s *server, r rank) Decision {
	g := grant{
		server: s, entry: ask.Entry, team: ask.Team, grantedAt: now, expires: now.Add(leaseLength), verifies: r == rankVerify, fingerprint: ask.Fingerprint,
		last: !ask.retriable(), forFloor: r == rankFloor,
		patient: ask.Verify != "" && s.cold(now),
	}
	pool.grants[ask.Attempt] = g
	s.inFlight++
	pool.hold(ask.Team, 1)
	if g.verifies {
		s.verifying++
		s.lastPathTrial = now
	}
	s.lastGrant = now
	s.touches.begin(now)
	decision := pool.describe(now, ask.Attempt, g)
	if !ask.since.IsZero() {
		decision.Waited = now.Sub(ask.since)
	}
	decision.Close = !s.connections.keep(now, pool.policy.Connections, s.inFlight)
	return decision
}

func (pool *Pool) describe(now time.Time, attempt uint64, g grant) Decision {
	silence := pool.suspectIn
	if g.patient {
		silence *= coldPatience
	}
	return Decision{
		Attempt: attempt, Verdict: Granted,
		Server: g.server.member.Name, Domain: g.server.member.Domain, Address: g.server.member.Address, Started: g.server.member.Started,
		SuspectAt: now.Add(silence), Fresh: now.Before(g.server.freshUntil),
	}
}

// Held is a grant that an entry instance says it holds.
type Held struct {
	Attempt uint64
	Server  string
	Team    string
}

// Renew extends an entry's grants, and takes over those that this pool does not know.
func (pool *Pool) Renew(now time.Time, entry, domain string, held []Held) {
	pool.init(now)
	pool.vantages.see(now, domain, entry)
	for _, h := range held {
		if pool.ended.has(h.Attempt) {
			continue
		}
		g, found := pool.grants[h.Attempt]
		if !found {
			s := pool.server(h.Server)
			if s == nil {
				continue
			}
			s.inFlight++
			pool.hold(h.Team, 1)
			g = grant{server: s, entry: entry, team: h.Team, grantedAt: now}
		}
		g.expires = now.Add(leaseLength)
		pool.grants[h.Attempt] = g
	}
}

// Reconcile frees the grants of an entry instance that are not among all those it says it holds: their reports were lost.
func (pool *Pool) Reconcile(now time.Time, entry string, held []Held) {
	var lost []uint64
	for attempt, g := range pool.grants {
		if g.entry != entry || now.Sub(g.grantedAt) < reconcileAfter {
			continue
		}
		if !slices.ContainsFunc(held, func(h Held) bool { return h.Attempt == attempt }) {
			lost = append(lost, attempt)
		}
	}
	slices.Sort(lost)
	for _, attempt := range lost {
		pool.release(now, attempt, pool.grants[attempt])
	}
}

func (pool *Pool) server(name string) *server {
	for _, s := range pool.servers {
		if s.member.Name == name {
			return s
		}
	}
	return nil
}

// release frees the slot of a grant.
func (pool *Pool) release(now time.Time, attempt uint64, g grant) {
	delete(pool.grants, attempt)
	pool.ended.add(attempt)
	g.server.inFlight--
	pool.hold(g.team, -1)
	if g.verifies {
		g.server.verifying--
	}
	pool.serveWaiters(now)
}

// Tick ends expired grants and waits, and moves ejected servers on; it returns the probes to send.
func (pool *Pool) Tick(now time.Time) []Probe {
	pool.init(now)
	for attempt, g := range pool.grants {
		if !now.Before(g.expires) {
			pool.release(now, attempt, g)
		}
	}
	pool.expireWaiters(now)
	if now.Sub(pool.lastTick) >= statsInterval {
		pool.lastTick = now
		pool.updateSuspectIn(now)
	}
	for _, s := range pool.servers {
		pool.considerEjection(now, s)
	}
	probes := pool.readmit(now)
	pool.serveWaiters(now)
	return probes
}
