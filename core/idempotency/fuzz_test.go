package idempotency

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sequoiaspan/sequoiaspan/core/property"
)

// TestMain sets the seed and the length of the property tests; command-line flags override them.
func TestMain(m *testing.M) {
	property.Main(m, map[string]string{"rapid.checks": "150", "rapid.steps": "150"})
}

const (
	fuzzInstances   = 5
	recentKeyCount  = 3               // repeated requests use one of this many latest keys
	minFlapInterval = 4 * time.Second // minimum time between changes of an instance's listing
	maxListLag      = 8 * time.Second // maximum age of a list snapshot
)

// simulation runs coordinators on a simulated network with message delay, loss, reordering, one-way link failures, pauses,
// restarts, clock skew, outdated lists, and a store that loses replies and becomes unavailable. The method checkInvariants
// is the test oracle.
type simulation struct {
	t              *rapid.T
	now            time.Time
	instances      map[string]*process
	incarnations   int
	inFlight       []message
	blockedLinks   map[[2]string]bool
	storeDown      bool
	table          *Table
	revision       uint64
	listedSince    map[string]time.Time // listed names, and since when they are listed
	unlistedSince  map[string]time.Time
	publishedLists []publishedList
	attempts       uint64

	createdAt      map[int]time.Time // by key; zero for keys without a creation time
	executions     map[int]int       // number of executions by key
	executed       map[uint64]bool   // attempts that were written
	reportedNotRun map[uint64]bool   // attempts that were reported to the caller as not run
}

type publishedList struct {
	at    time.Time
	names []string
}

// process is one run of an entry instance.
type process struct {
	name           string
	coordinator    Coordinator
	skew           time.Duration
	paused         bool
	dead           bool
	requests       map[uint64]*request
	unacknowledged map[uint64]Settlement // settlements that no owner has accepted
}

// request is a caller's request at an entry instance.
type request struct {
	key           int
	claim         Claim
	tries         int
	sentAt        time.Time
	writeDeadline time.Time
	writing       bool
}

type message struct {
	from, to string
	deliver  func()
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1_800_000_000, 0), instances: map[string]*process{}, blockedLinks: map[[2]string]bool{},
		table: &Table{}, listedSince: map[string]time.Time{}, unlistedSince: map[string]time.Time{},
		createdAt: map[int]time.Time{}, executions: map[int]int{}, executed: map[uint64]bool{}, reportedNotRun: map[uint64]bool{},
	}
	for i := range fuzzInstances {
		sim.start(fmt.Sprintf("e%d", i))
	}
	sim.runSeconds(12)
	return sim
}

func (sim *simulation) start(name string) {
	sim.incarnations++
	skew := time.Duration(rapid.IntRange(-900, 900).Draw(sim.t, "skew")) * time.Millisecond
	p := &process{name: name, skew: skew, requests: map[uint64]*request{}, unacknowledged: map[uint64]Settlement{}}
	p.coordinator.Self = NewIncarnation(name, fmt.Sprint(sim.incarnations))
	sim.instances[name] = p
	if _, listed := sim.listedSince[name]; !listed {
		sim.listedSince[name] = sim.now
	}
}

func (sim *simulation) clock(p *process) time.Time { return sim.now.Add(p.skew) }

// send adds a message to those in flight. A message from a process to itself is a separate step that cannot be lost.
func (sim *simulation) send(from, to string, deliver func()) {
	sim.inFlight = append(sim.inFlight, message{from, to, deliver})
}

// deliver delivers or loses a message in flight; a message to a paused process stays in flight.
func (sim *simulation) deliver(i int) {
	m := sim.inFlight[i]
	if p := sim.instances[m.to]; p != nil && p.paused {
		return
	}
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	if m.from != m.to && sim.blockedLinks[[2]string{m.from, m.to}] || m.to == "store" && sim.storeDown {
		return
	}
	m.deliver()
}

// call sends a request to another process and returns its reply; both can be lost or delayed.
func (sim *simulation) call(from *process, to string, handle func(*process) func()) {
	sim.send(from.name, to, func() {
		target := sim.instances[to]
		if target == nil || target.dead {
			return
		}
		reply := handle(target)
		sim.send(to, from.name, func() {
			if !from.dead && sim.instances[from.name] == from {
				reply()
			}
		})
	})
}

func (sim *simulation) readTable(p *process) {
	asked := sim.clock(p)
	sim.send(p.name, "store", func() {
		table, revision := sim.table, sim.revision
		sim.send("store", p.name, func() {
			if !p.dead {
				p.coordinator.ObserveTable(asked, table, revision)
			}
		})
	})
}

// readList passes the list to a process as it was before the lag.
func (sim *simulation) readList(p *process, lag time.Duration) {
	at := sim.now.Add(-lag)
	i, found := slices.BinarySearchFunc(sim.publishedLists, at, func(s publishedList, at time.Time) int { return s.at.Compare(at) })
	if !found {
		i--
	}
	if i < 0 {
		return
	}
	s := sim.publishedLists[i]
	if s.at.Before(p.coordinator.listTime) {
		return
	}
	p.coordinator.ObserveList(ListSnapshot{At: s.at, AsOf: s.at, Names: s.names, IncludesSelf: slices.Contains(s.names, p.name)})
}

// tick performs the due actions of a process and retries its open requests and settlements.
func (sim *simulation) tick(p *process) {
	now := sim.clock(p)
	actions := p.coordinator.Tick(now)
	for earlier, handover := range actions.Handovers {
		sim.call(p, earlier.Name(), func(target *process) func() {
			keys, known := target.coordinator.HandOver(handover)
			return func() {
				if known && keys.Source == earlier {
					p.coordinator.TakeOver(keys)
				}
			}
		})
	}
	if actions.NewTable != nil {
		sim.swap(p, now, actions)
	}
	for _, r := range p.requests {
		sim.retryOrGiveUp(p, r)
	}
	for _, attempt := range slices.Sorted(maps.Keys(p.unacknowledged)) {
		sim.settle(p, p.unacknowledged[attempt])
	}
}

func (sim *simulation) swap(p *process, asked time.Time, actions Actions) {
	sim.send(p.name, "store", func() {
		done := sim.revision == actions.Revision
		if done {
			sim.revision++
			sim.table = actions.NewTable
		}
		revision := sim.revision
		sim.send("store", p.name, func() {
			if p.dead {
				return
			}
			p.coordinator.RecordSwap(sim.clock(p), done)
			if done {
				p.coordinator.ObserveTable(asked, actions.NewTable, revision)
			}
		})
	})
}

// fuzzKey distributes keys over the partitions.
func fuzzKey(key int) Key { return Key{13: byte(key >> 8), 14: byte(key >> 3), 15: byte(key * 37)} }

// startRequest starts a caller's request with a new or an existing key.
func (sim *simulation) startRequest(p *process, key int) {
	if _, exists := sim.createdAt[key]; !exists {
		callerSkew := time.Duration(rapid.IntRange(-900, 900).Draw(sim.t, "caller-skew")) * time.Millisecond
		if rapid.IntRange(0, 9).Draw(sim.t, "clock") == 0 {
			callerSkew = time.Duration(rapid.IntRange(0, 40).Draw(sim.t, "ahead")) * time.Second
		}
		sim.createdAt[key] = sim.now.Add(callerSkew)
		if key%5 == 0 {
			sim.createdAt[key] = time.Time{}
		}
	}
	sim.attempts++
	claim := Claim{
		Key: fuzzKey(key), CreatedAt: sim.createdAt[key], Attempt: sim.attempts, Digest: uint64(key), Deadline: sim.clock(p).Add(20 * time.Second),
	}
	r := &request{key: key, claim: claim}
	p.requests[claim.Attempt] = r
	sim.sendClaim(p, r)
}

// sendClaim sends a claim to the key's owner according to the process's table.
func (sim *simulation) sendClaim(p *process, r *request) {
	r.tries++
	r.sentAt = sim.clock(p)
	table := p.coordinator.Table()
	if table == nil || len(table.Partitions) == 0 {
		sim.reportNotRun(p, r)
		return
	}
	row := table.Partitions[r.claim.Key.Partition()]
	r.claim.Epoch = row.Since
	owner := row.Owner
	sentAt, claim := r.sentAt, r.claim
	if owner == p.coordinator.Self {
		sim.handleVerdict(p, r, sentAt, p.coordinator.Claim(sim.clock(p), claim))
		return
	}
	sim.call(p, owner.Name(), func(target *process) func() {
		verdict := target.coordinator.Claim(sim.clock(target), claim)
		return func() { sim.handleVerdict(p, r, sentAt, verdict) }
	})
}

// handleVerdict processes an owner's verdict, which may be late.
func (sim *simulation) handleVerdict(p *process, r *request, sentAt time.Time, verdict Verdict) {
	if p.requests[r.claim.Attempt] != r || r.writing {
		return
	}
	switch verdict.Answer {
	case Allowed:
		r.writeDeadline = sentAt.Add(WriteStartTimeout)
		if !sim.clock(p).Before(r.writeDeadline) {
			return
		}
		// The write is a separate step, because the process may be paused right before it.
		r.writing = true
		sim.send(p.name, p.name, func() { sim.write(p, r) })
	case NotReady, NotOwner, RequestMismatch, ClockAhead:
		sim.reportNotRun(p, r)
	case AlreadyRan:
		if sim.executions[r.key] != 1 {
			sim.t.Fatalf("key %d was reported as run, but ran %d times", r.key, sim.executions[r.key])
		}
		delete(p.requests, r.claim.Attempt)
	default:
		delete(p.requests, r.claim.Attempt)
		if r.tries > 1 { // another try may have been allowed
			sim.settle(p, Settlement{Key: r.claim.Key, Attempt: r.claim.Attempt, NotRun: true})
		}
	}
}

func (sim *simulation) write(p *process, r *request) {
	if p.dead || p.requests[r.claim.Attempt] != r {
		return
	}
	delete(p.requests, r.claim.Attempt)
	sim.executions[r.key]++
	sim.executed[r.claim.Attempt] = true
	settlement := Settlement{Key: r.claim.Key, Attempt: r.claim.Attempt, Ran: rapid.Bool().Draw(sim.t, "answered")}
	sim.settle(p, settlement)
}

// settle sends the outcome of a claim to the key's owner; each tick sends it again until an owner accepts it.
func (sim *simulation) settle(p *process, settlement Settlement) {
	p.unacknowledged[settlement.Attempt] = settlement
	table := p.coordinator.Table()
	if table == nil || len(table.Partitions) == 0 {
		return
	}
	owner := table.Partitions[settlement.Key.Partition()].Owner
	sim.call(p, owner.Name(), func(target *process) func() {
		kept := target.coordinator.Settle(sim.clock(target), settlement)
		return func() {
			if kept {
				delete(p.unacknowledged, settlement.Attempt)
			}
		}
	})
}

// reportNotRun reports to the caller that the request was not run, and settles the claim.
func (sim *simulation) reportNotRun(p *process, r *request) {
	delete(p.requests, r.claim.Attempt)
	sim.reportedNotRun[r.claim.Attempt] = true
	sim.settle(p, Settlement{Key: r.claim.Key, Attempt: r.claim.Attempt, NotRun: true})
}

// retryOrGiveUp sends a claim again after a second without a verdict, and gives up after three tries.
func (sim *simulation) retryOrGiveUp(p *process, r *request) {
	if r.writing || sim.clock(p).Before(r.sentAt.Add(time.Second)) {
		return
	}
	if r.tries >= 3 {
		sim.reportNotRun(p, r)
		return
	}
	sim.sendClaim(p, r)
}

// advance moves the time forward and publishes the current list.
func (sim *simulation) advance(by time.Duration) {
	sim.now = sim.now.Add(by)
	sim.publishedLists = append(sim.publishedLists, publishedList{sim.now, slices.Sorted(maps.Keys(sim.listedSince))})
}

// runSeconds runs every process that is not paused once a second and delivers its messages.
func (sim *simulation) runSeconds(seconds int) {
	for range seconds {
		sim.advance(time.Second)
		for _, name := range slices.Sorted(maps.Keys(sim.instances)) {
			if p := sim.instances[name]; !p.paused {
				sim.readList(p, 0)
				sim.readTable(p)
				sim.tick(p)
			}
		}
		sim.deliverOldest(2 * len(sim.inFlight))
	}
}

// deliverOldest delivers up to count messages, oldest first.
func (sim *simulation) deliverOldest(count int) {
	for range count {
		if len(sim.inFlight) > 0 {
			sim.deliver(0)
		}
	}
}

// healFaults ends the failures of the network and of the store.
func (sim *simulation) healFaults() {
	clear(sim.blockedLinks)
	sim.storeDown = false
}

func (sim *simulation) pick(label string) *process {
	return sim.instances[rapid.SampledFrom(slices.Sorted(maps.Keys(sim.instances))).Draw(sim.t, label)]
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	act := func(f func()) func(*rapid.T) {
		return func(t *rapid.T) {
			sim.t = t
			f()
		}
	}
	return map[string]func(*rapid.T){
		"advance": act(func() { sim.advance(time.Duration(rapid.IntRange(1, 1500).Draw(sim.t, "ms")) * time.Millisecond) }),
		"calm":    act(func() { sim.runSeconds(rapid.IntRange(1, 22).Draw(sim.t, "seconds")) }),
		"work": act(func() {
			p := sim.pick("instance")
			if !p.paused {
				sim.readList(p, time.Duration(rapid.Int64Range(0, int64(maxListLag)).Draw(sim.t, "lag")))
				sim.readTable(p)
				sim.tick(p)
			}
		}),
		"deliver": act(func() {
			for range rapid.IntRange(1, 6).Draw(sim.t, "messages") {
				if len(sim.inFlight) > 0 {
					sim.deliver(rapid.IntRange(0, len(sim.inFlight)-1).Draw(sim.t, "message"))
				}
			}
		}),
		"lose": act(func() {
			if len(sim.inFlight) > 0 {
				i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(sim.t, "message")
				if m := sim.inFlight[i]; m.from != m.to {
					sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
				}
			}
		}),
		"request": act(func() {
			if p := sim.pick("instance"); !p.paused {
				sim.startRequest(p, rapid.IntRange(max(0, len(sim.createdAt)-recentKeyCount), len(sim.createdAt)).Draw(sim.t, "key"))
			}
		}),
		"pause": act(func() { p := sim.pick("instance"); p.paused = !p.paused }),
		"cut": act(func() {
			pair := [2]string{sim.pick("from").name, sim.pick("to").name}
			sim.blockedLinks[pair] = !sim.blockedLinks[pair]
		}),
		"strand": act(func() {
			name := sim.pick("instance").name
			sim.blockedLinks[[2]string{name, "store"}], sim.blockedLinks[[2]string{"store", name}] = true, true
		}),
		"split": act(func() { sim.isolate(sim.pick("instance").name, sim.pick("instance").name) }),
		"twice": act(func() {
			key := len(sim.createdAt)
			for _, label := range []string{"first", "second"} {
				if p := sim.pick(label); !p.paused {
					sim.startRequest(p, key)
				}
			}
		}),
		"heal":   act(sim.healFaults),
		"store":  act(func() { sim.storeDown = !sim.storeDown }),
		"unlist": act(func() { sim.unlist(sim.pick("instance").name) }),
		"relist": act(func() { sim.relist(sim.pick("instance").name) }),
		"restart": act(func() {
			p := sim.pick("instance")
			p.dead = true
			sim.start(p.name)
		}),
		"leave": act(func() { p := sim.pick("instance"); p.coordinator.Leaving = !p.paused }),
		"":      act(sim.checkInvariants),
	}
}

// isolate cuts two instances off from the store and the other instances, and removes the first from the list.
func (sim *simulation) isolate(first, second string) {
	for _, one := range []string{first, second} {
		for _, other := range append(slices.Collect(maps.Keys(sim.instances)), "store") {
			if other != first && other != second {
				sim.blockedLinks[[2]string{one, other}], sim.blockedLinks[[2]string{other, one}] = true, true
			}
		}
	}
	sim.unlist(first)
}

// unlist removes an instance from the list; its process may keep running.
func (sim *simulation) unlist(name string) {
	if since, listed := sim.listedSince[name]; listed && sim.now.Sub(since) >= minFlapInterval {
		delete(sim.listedSince, name)
		sim.unlistedSince[name] = sim.now
	}
}

func (sim *simulation) relist(name string) {
	if since, gone := sim.unlistedSince[name]; gone && sim.now.Sub(since) >= minFlapInterval {
		delete(sim.unlistedSince, name)
		sim.listedSince[name] = sim.now
	}
}

// checkInvariants fails the test if a key ran more than once, or if an attempt ran that was reported as not run.
func (sim *simulation) checkInvariants() {
	for key, times := range sim.executions {
		if times > 1 {
			sim.t.Fatalf("key %d ran %d times", key, times)
		}
	}
	for attempt := range sim.reportedNotRun {
		if sim.executed[attempt] {
			sim.t.Fatalf("attempt %d ran, but was reported to the caller as not run", attempt)
		}
	}
}

// TestRunsAtMostOnce checks at-most-once execution under random sequences of requests and faults.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(sim.actions())
	})
}

// TestGivenUpKeysRunAgain checks that a key whose requests were all refused without running can be claimed once all faults
// have ended, regardless of the order of claims and settlements. No instance is lost here, so no key may be unknown.
func TestGivenUpKeysRunAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		faults := sim.actions()
		for _, loss := range []string{"unlist", "split", "restart", "leave"} {
			delete(faults, loss)
		}
		t.Repeat(faults)
		sim.t = t
		sim.healFaults()
		for _, p := range sim.instances {
			p.paused = false
		}
		sim.runSeconds(30)
		for _, key := range slices.Sorted(maps.Keys(sim.createdAt)) {
			if sim.executions[key] == 1 || sim.createdAt[key].After(sim.now) {
				continue
			}
			sim.startRequest(sim.pick("instance"), key)
			sim.runSeconds(2)
			if sim.executions[key] != 1 {
				t.Fatalf("key %d had not run and was refused after all faults ended (attempt %d)", key, sim.attempts)
			}
		}
	})
}

// TestServesAgainAfterFaults checks that owners accept claims again after all faults have ended: refusing forever would
// also satisfy at-most-once execution.
func TestServesAgainAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		faults := sim.actions()
		delete(faults, "leave")
		t.Repeat(faults)
		sim.t = t
		sim.healFaults()
		for _, p := range sim.instances {
			p.paused, p.coordinator.Leaving = false, false
			sim.now = sim.now.Add(minFlapInterval)
			sim.relist(p.name)
		}
		sim.runSeconds(120)
		key := len(sim.createdAt)
		sim.createdAt[key] = sim.now
		before := sim.attempts
		sim.startRequest(sim.instances["e0"], key)
		sim.runSeconds(2)
		if sim.executions[key] != 1 {
			t.Fatalf("a new key ran %d times after all faults ended (attempt %d, refused %t)", sim.executions[key], before+1, sim.reportedNotRun[before+1])
		}
	})
}
