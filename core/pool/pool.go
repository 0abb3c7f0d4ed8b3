// Package pool decides which backend server of a slice runs which request, using evidence pooled from all entry instances.
package pool

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/limit"
	"github.com/sequoiaspan/sequoiaspan/core/quarantine"
)

// Timing of grants.
const (
	grantTTL             = 20 * time.Second // a grant not renewed for this long is released
	overBudgetRetryAfter = time.Second
	suspiciousRetryAfter = time.Second     // for a request that crashed a server, while it runs at another one
	reconcileMinAge      = 2 * time.Second // younger grants may still be on their way to the entry instance
)

// Member is a backend server as the instance list shows it.
type Member struct {
	Name    string
	Domain  string
	Address netip.AddrPort
	Slots   int // 0 for the policy's slots
	Leaving bool
	Started time.Time // distinguishes runs of the same name, zero if unknown
	WarmAt  time.Time // end of the cold start, zero if unknown
}

// Ask is an entry instance's request for a grant.
type Ask struct {
	Attempt     uint64 // unique across all entry instances
	Entry       string // asking entry instance
	Domain      string // its failure domain
	Team        string
	Idempotent  bool
	Hedge       bool     // a duplicate of an attempt that is still in flight
	Number      int      // attempt number of the request, from 1
	Earned      bool     // an earlier ask may have earned the request's share of the retry budget
	Burst       float64  // tokens that the asking instance hands over with this ask, see Allowance
	Exclude     []string // servers that this request has tried
	Paused      []string // servers that have paused requests from the asking instance
	Verify      string   // suspect server to verify with a copy of an answered request, empty for a caller's request
	NoWait      bool     // refused at once if no server that likely answers has a free slot, because other slices are asked too
	Priority    int      // 0 is served first
	Large       bool     // the answer is expected to be large
	Last        bool     // no attempts are left after this one
	Deadline    time.Time
	TargetAt    time.Time // a later answer has lost value for the caller; zero if the route has no target latency
	Fingerprint uint64    // 0 if the request has none

	since  time.Time // when it was queued
	yields bool      // queued behind the first attempts of its priority
}

// isRetry reports whether the ask spends a token of the retry budget.
func (ask *Ask) isRetry() bool { return ask.Number > 1 && ask.Verify == "" }

// Verdict is the result of an Ask.
type Verdict uint8

// Verdicts.
const (
	// Granted means that the request may be sent to the server of the decision.
	Granted Verdict = iota
	// Queued means that Next returns the decision later.
	Queued
	// Full means that all slots are taken and the queue is full or the wait has timed out.
	Full
	// NoServer means that no backend server is in service.
	NoServer
	// OverBudget means that the service's retry budget is spent.
	OverBudget
	// Quarantined means that this request has crashed backend servers.
	Quarantined
	// Limited means that the service's request limit is reached.
	Limited
	// NotReady means that the asked instance does not know the service's backend servers yet. Ask another one.
	NotReady
	// NotNeeded means that the server to verify is not suspect, or has enough verifications in flight.
	NotNeeded
	// Paused means that all servers in service have paused requests from the asking instance.
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

// Decision is the answer to an Ask.
type Decision struct {
	Attempt   uint64
	Verdict   Verdict
	Server    string
	Domain    string    // the server's failure domain
	Started   time.Time // start of the server's run, zero if unknown
	Address   netip.AddrPort
	SuspectAt time.Time     // the server becomes suspect without a first byte by then
	Waited    time.Duration // time in the queue
	Fresh     bool          // the request must use a new connection
	Close     bool          // the connection must be closed after the request
	RetryAt   time.Time     // earliest retry after a refusal
}

// Pool holds one slice of a service's backend servers. The zero value is an empty pool with the default policy.
//
// A Pool is not safe for concurrent use.
type Pool struct {
	policy       Policy
	servers      []*server
	grants       map[uint64]grant
	teams        map[string]int // requests in flight by team
	queue        queue
	localWaits   localWaits
	meanHoldTime time.Duration  // mean time for which a slot is held
	rejections   uint64         // with a Retry-After of its own
	rejected     rate           // attempts and those that servers rejected, with queue=target
	loads        []priorityLoad // by priority, with queue=target
	ready        []Decision
	changes      []Change
	rate         limit.Bucket

	retryBudget       retryBudget
	retryUse          RetryUse
	verifyBudget      budget // for verifications
	baseline          rate   // attempts at all servers
	episodes          episodes
	lossMonitor       lossMonitor
	maxUnused         float64 // expected number of healthy servers that may stay unused while the service is degraded
	observers         observers
	quarantine        quarantine.Quarantine
	ended             recentAttempts
	firstBytes        firstBytes    // of all servers
	suspectAfter      time.Duration // silence before the first byte that makes a server suspect
	suspectAfterKnown bool          // suspectAfter is derived from the slice's answers
	createdAt         time.Time
	failingRestoredAt time.Time // time of the latest report applied by RestoreFailing
	lastTick          time.Time
}

// recentAttempts keeps the latest finished attempts, so that a renewal in flight does not bring their grants back.
type recentAttempts struct {
	attempts [128]uint64
	next     int
}

func (recentAttempts *recentAttempts) add(attempt uint64) {
	recentAttempts.attempts[recentAttempts.next] = attempt
	recentAttempts.next = (recentAttempts.next + 1) % len(recentAttempts.attempts)
}

func (recentAttempts *recentAttempts) has(attempt uint64) bool {
	return slices.Contains(recentAttempts.attempts[:], attempt)
}

// grant is one outstanding grant. Its size stays below the limit from which maps store values indirectly.
type grant struct {
	server           *server
	entry            string // entry instance that holds it
	team             string
	grantedAt        time.Time
	expires          time.Time
	addedEvidence    float64 // evidence added when the attempt became overdue
	fingerprint      uint64
	priority         int
	last             bool // a failure ends the request
	forFloor         bool // at a likely failing server, only to keep the floor
	overdue          bool
	verifies         bool // verifies a suspect or trial server
	adopted          bool // from another home, which knows its start and priority
	coldVerification bool // uses the extended silence timeout of a cold start
}

// SetPolicy replaces the policy.
func (pool *Pool) SetPolicy(policy Policy) {
	if policy.Queue != pool.policy.Queue {
		pool.loads = nil
	}
	pool.policy = policy.withDefaults()
	for _, s := range pool.servers {
		s.slots = pool.slotsFor(s.member)
	}
}

// SetServers replaces the servers. A server added to a pool that has servers already goes through a slow start.
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
			s = &server{health: health{episodes: &pool.episodes}}
			s.start(now, member, first)
		}
		s.listedLeaving = member.Leaving
		member.Leaving = member.Leaving || s.member.Leaving
		s.member = member
		s.slots = pool.slotsFor(member)
		servers = append(servers, s)
	}
	pool.servers = servers
	service := max(1, pool.policy.Servers, len(servers))
	pool.maxUnused = maxUnusedHealthy(pool.policy.Floor, service) * float64(len(servers)) / float64(service)
	pool.grantQueued(now)
}

func (pool *Pool) init(now time.Time) {
	if !pool.createdAt.IsZero() {
		return
	}
	pool.policy = pool.policy.withDefaults()
	pool.createdAt = now
	pool.retryUse.Since, pool.localWaits.use.Since = now, now
	pool.grants = map[uint64]grant{}
	pool.teams = map[string]int{}
	pool.suspectAfter = initialSuspectAfter
	// Earlier losses are unknown, so the service counts as degraded.
	pool.lossMonitor.degradedUntil = now.Add(degradedDuration)
}

func (pool *Pool) slotsFor(member Member) int {
	if member.Slots > 0 {
		return member.Slots
	}
	return pool.policy.Slots
}

// Ask grants, queues or refuses a request. A refusal takes no slot. A repeated attempt gets the same grant again.
func (pool *Pool) Ask(now time.Time, ask Ask) Decision {
	pool.init(now)
	decision := pool.decide(now, ask)
	if !ask.Hedge && !ask.NoWait && ask.Verify == "" && decision.Verdict.isUnserved() {
		pool.lossMonitor.recordLost(now)
	}
	return decision
}

// isUnserved reports whether a request with this verdict is not served for lack of servers, slots or retry budget.
func (verdict Verdict) isUnserved() bool {
	return verdict == Full || verdict == NoServer || verdict == OverBudget || verdict == Paused
}

func (pool *Pool) decide(now time.Time, ask Ask) Decision {
	pool.observers.observe(now, ask.Domain, ask.Entry)
	if g, found := pool.grants[ask.Attempt]; found {
		return pool.decisionFor(now, ask.Attempt, g)
	}
	if pool.queue.has(ask.Attempt) || pool.localWaits.has(ask.Attempt) {
		return Decision{Attempt: ask.Attempt, Verdict: Queued}
	}
	pool.retryUse.Received += pool.retryBudget.receive(now, ask.Burst)
	if until, found := pool.quarantine.Until(now, ask.Fingerprint); found {
		return Decision{Attempt: ask.Attempt, Verdict: Quarantined, RetryAt: until}
	}
	if pool.quarantine.IsSuspect(now, ask.Fingerprint) && pool.running(ask.Fingerprint) {
		return Decision{Attempt: ask.Attempt, Verdict: Quarantined, RetryAt: now.Add(suspiciousRetryAfter)}
	}
	if ask.Verify != "" {
		return pool.verify(now, &ask)
	}
	if ask.Hedge && pool.lacksSlots() {
		return Decision{Attempt: ask.Attempt, Verdict: Full, RetryAt: pool.hedgeRetryAt(now)}
	}
	if len(ask.Paused) > 0 && pool.allPaused(&ask) {
		return Decision{Attempt: ask.Attempt, Verdict: Paused, RetryAt: now.Add(pausedRetryAfter)}
	}
	pool.grantLocal(now, ask.Domain)
	var s *server
	var r rank
	if ask.NoWait {
		if pool.queue.len() == 0 {
			s, r = pool.choose(now, &ask)
		}
		if s == nil {
			return Decision{Attempt: ask.Attempt, Verdict: Full, RetryAt: now.Add(fullRetryAfter)}
		}
		if refusal, refused := pool.waitLocally(now, &ask, s, r); refused {
			return refusal
		}
	}
	if ask.Number <= 1 {
		if granted, retryAt := pool.rate.Take(now, limit.Limit{Rate: pool.policy.Limit}, 1); granted == 0 {
			return Decision{Attempt: ask.Attempt, Verdict: Limited, RetryAt: retryAt}
		}
		pool.lossMonitor.recordArrival(now)
		if pool.byTarget() {
			pool.recordArrival(now, &ask)
		}
		if !ask.Earned {
			pool.retryBudget.earn(now, &pool.policy)
			pool.retryUse.Earned++
		}
		pool.verifyBudget.earn(verifyShare)
	} else if !pool.retryBudget.allows(now, ask.Hedge, pool.queue.retries+pool.reservedTokens(now, &ask)) {
		pool.retryUse.Refused++
		return Decision{Attempt: ask.Attempt, Verdict: OverBudget, RetryAt: pool.overBudgetRetryAt(now, &ask)}
	}
	if pool.queue.len() > 0 && !ask.Hedge {
		return pool.enqueue(now, ask)
	}
	if s == nil {
		s, r = pool.choose(now, &ask)
	}
	if s == nil {
		pool.queueLocal()
		return pool.enqueue(now, ask)
	}
	if !ask.NoWait {
		if queued, waits := pool.waitLocally(now, &ask, s, r); waits {
			return queued
		}
	}
	return pool.grant(now, &ask, s, r)
}

// running reports whether a request with the fingerprint is in flight at a server.
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
		server: s, entry: ask.Entry, team: ask.Team, grantedAt: now, expires: now.Add(grantTTL), verifies: r == rankVerify, fingerprint: ask.Fingerprint, priority: ask.Priority,
		last: !ask.retriable(), forFloor: r == rankFloor,
		coldVerification: ask.Verify != "" && s.cold(now),
	}
	pool.grants[ask.Attempt] = g
	s.inFlight++
	pool.addInFlight(ask.Team, 1)
	pool.addInFlightOf(&g, 1)
	if ask.Number <= 1 {
		pool.recordServed(now, ask)
	}
	if g.verifies {
		s.verifying++
		s.lastPathTrial = now
	}
	s.lastGrant = now
	s.uses.add(now)
	decision := pool.decisionFor(now, ask.Attempt, g)
	if !ask.since.IsZero() {
		decision.Waited = now.Sub(ask.since)
	}
	if ask.isRetry() {
		pool.retryBudget.spend()
		pool.retryUse.Granted++
		if decision.Waited > 0 {
			pool.retryUse.Waited++
		}
	}
	decision.Close = !s.connections.keep(now, pool.policy.Connections, s.inFlight)
	return decision
}

func (pool *Pool) decisionFor(now time.Time, attempt uint64, g grant) Decision {
	silence := pool.suspectAfter
	if g.coldVerification {
		silence *= coldSilenceFactor
	}
	return Decision{
		Attempt: attempt, Verdict: Granted,
		Server: g.server.member.Name, Domain: g.server.member.Domain, Address: g.server.member.Address, Started: g.server.member.Started,
		SuspectAt: now.Add(silence), Fresh: now.Before(g.server.freshUntil),
	}
}

// HeldGrant is a grant that an entry instance reports to hold.
type HeldGrant struct {
	Attempt uint64
	Server  string
	Team    string
}

// Renew extends an entry instance's grants, and adopts those unknown to this pool.
func (pool *Pool) Renew(now time.Time, entry, domain string, held []HeldGrant) {
	pool.init(now)
	pool.observers.observe(now, domain, entry)
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
			pool.addInFlight(h.Team, 1)
			g = grant{server: s, entry: entry, team: h.Team, grantedAt: now, adopted: true}
		}
		g.expires = now.Add(grantTTL)
		pool.grants[h.Attempt] = g
	}
}

// Reconcile releases the grants of an entry instance that are missing from held, the complete list of those it holds: their
// reports were lost. Grants younger than reconcileMinAge are exempt.
func (pool *Pool) Reconcile(now time.Time, entry string, held []HeldGrant) {
	var lost []uint64
	for attempt, g := range pool.grants {
		if g.entry != entry || now.Sub(g.grantedAt) < reconcileMinAge {
			continue
		}
		if !slices.ContainsFunc(held, func(h HeldGrant) bool { return h.Attempt == attempt }) {
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

// release removes a grant and frees its slot.
func (pool *Pool) release(now time.Time, attempt uint64, g grant) {
	delete(pool.grants, attempt)
	pool.ended.add(attempt)
	g.server.inFlight--
	pool.addInFlight(g.team, -1)
	pool.addInFlightOf(&g, -1)
	if g.verifies {
		g.server.verifying--
	}
	pool.grantLocal(now, g.server.member.Domain)
	pool.grantQueued(now)
}

// Tick expires grants and queued asks, considers ejections and readmissions, and returns the probes to send.
func (pool *Pool) Tick(now time.Time) []Probe {
	pool.init(now)
	for attempt, g := range pool.grants {
		if !now.Before(g.expires) {
			pool.release(now, attempt, g)
		}
	}
	pool.expireQueued(now)
	if now.Sub(pool.lastTick) >= statsInterval {
		pool.lastTick = now
		pool.updateSuspectAfter(now)
	}
	for _, s := range pool.servers {
		pool.considerEjection(now, s)
	}
	probes := pool.readmit(now)
	pool.grantLocal(now, "")
	pool.grantQueued(now)
	return probes
}
