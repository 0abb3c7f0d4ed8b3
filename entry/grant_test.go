package entry

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// grantingPeers fakes homes that answer every ask with a decision, possibly late.
type grantingPeers struct {
	Peers
	asks    []pool.Ask
	reports []pool.Report
	decide  func(ask pool.Ask) (pool.Decision, pool.Snapshot)
}

func (*grantingPeers) Reachable(string) bool { return true }

func (peers *grantingPeers) Ask(_ context.Context, _ Peer, _ home.Slice, ask pool.Ask) (pool.Decision, pool.Snapshot, error) {
	peers.asks = append(peers.asks, ask)
	decision, snapshot := peers.decide(ask)
	return decision, snapshot, nil
}

func (peers *grantingPeers) Report(_ context.Context, _ Peer, _ home.Slice, report pool.Report) error {
	peers.reports = append(peers.reports, report)
	return nil
}

func (*grantingPeers) Renew(context.Context, Peer, Renewal) error { return nil }

// remoteSlice returns an entry with a fake clock, and a slice whose home is another instance.
func remoteSlice(t *testing.T, peers *grantingPeers, now *time.Time) (*Entry, home.Slice) {
	t.Helper()
	e := newTestEntry(listOf(9, 4, 2))
	e.Peers, e.Clock = peers, func() time.Time { return *now }
	for _, service := range []string{"service-0", "service-1"} {
		slice := e.SliceFor(service, 1)
		if at := e.members.plan().place(slice); at.home.Name != e.Name {
			return e, slice
		}
	}
	t.Fatal("the instance is the home of all slices")
	return nil, home.Slice{}
}

func grantOf(server string) pool.Decision {
	return pool.Decision{Server: server, Address: netip.MustParseAddrPort("127.0.0.1:9")}
}

// TestGrantsExpireWhileTheInstanceIsPaused pauses an instance for several seconds between its ask and the answer, and again between
// the answer and the sending. By then the slot, or even the address of the server, may have been reassigned.
func TestGrantsExpireWhileTheInstanceIsPaused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	pause := 5 * time.Second
	peers := &grantingPeers{decide: func(pool.Ask) (pool.Decision, pool.Snapshot) {
		now, pause = now.Add(pause), 0
		return grantOf("server-0"), pool.Snapshot{}
	}}
	e, slice := remoteSlice(t, peers, &now)
	grant, _ := e.Acquire(t.Context(), slice, pool.Ask{Attempt: 7, Number: 1})
	must.NotNil(t, grant)
	must.Len(t, 2, peers.asks, must.Sprint("the late grant is returned, and another one requested"))
	must.Eq(t, []pool.Report{{Attempt: 7, Server: "server-0", Entry: e.Name, Domain: e.Domain, Outcome: pool.Unused}}, peers.reports)
	must.False(t, grant.Expired())
	now = now.Add(pauseBeforeSending)
	must.True(t, grant.Expired())
}

const pauseBeforeSending = 3 * time.Second

// TestQueuedGrantsDoNotExpire keeps an ask in the queue for longer than the TTL of a grant, which must not count the waiting time.
func TestQueuedGrantsDoNotExpire(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	peers := &grantingPeers{decide: func(pool.Ask) (pool.Decision, pool.Snapshot) {
		now = now.Add(4 * time.Second)
		decision := grantOf("server-0")
		decision.Waited = 4 * time.Second
		return decision, pool.Snapshot{}
	}}
	e, slice := remoteSlice(t, peers, &now)
	grant, _ := e.Acquire(t.Context(), slice, pool.Ask{Attempt: 7, Number: 1})
	must.NotNil(t, grant)
	must.Len(t, 1, peers.asks)
	must.False(t, grant.Expired())
}

// grantedLeavingServer returns an entry whose home has granted server-0, and grants it again, after the server has announced to the entry that it is leaving.
func grantedLeavingServer(t *testing.T) (*Entry, home.Slice, *grantingPeers) {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	peers := &grantingPeers{decide: func(ask pool.Ask) (pool.Decision, pool.Snapshot) {
		if len(ask.Exclude) > 0 {
			return grantOf("server-2"), pool.Snapshot{}
		}
		return grantOf("server-0"), pool.Snapshot{}
	}}
	e, slice := remoteSlice(t, peers, &now)
	first, _ := e.Acquire(t.Context(), slice, pool.Ask{Attempt: 7, Number: 1})
	first.RecordNotice(Notice{Leaving: true})
	return e, slice, peers
}

// TestRestartedHomeGrantsLeavingServer checks grants of a restarted home for a server that has announced to this instance that it is leaving.
// The instance returns the grant with that information, and asks for another server under an unused attempt number.
func TestRestartedHomeGrantsLeavingServer(t *testing.T) {
	e, slice, peers := grantedLeavingServer(t)
	must.Eq(t, pool.Report{Attempt: 7, Server: "server-0", Entry: e.Name, Domain: e.Domain, Leaving: true, Ongoing: true}, peers.reports[0])
	second, _ := e.Acquire(t.Context(), slice, pool.Ask{Attempt: 8, Number: 1})
	must.Eq(t, "server-2", second.Server)
	must.Eq(t, pool.Report{Attempt: 8, Server: "server-0", Entry: e.Name, Domain: e.Domain, Outcome: pool.Unused, Leaving: true}, peers.reports[1])
	must.Eq(t, []string{"server-0"}, peers.asks[2].Exclude)
	must.Greater(t, 1<<32, peers.asks[2].Attempt, must.Sprint("the next number after the ask's belongs to another request"))
}

// TestQuarantineOutlivesItsHome guards against a request that crashes servers reaching further ones when its home is stopped: each new home
// would have to lose servers to it again.
func TestQuarantineOutlivesItsHome(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	until := now.Add(time.Minute)
	verdict := pool.Quarantined
	peers := &grantingPeers{decide: func(ask pool.Ask) (pool.Decision, pool.Snapshot) {
		if verdict == pool.Quarantined {
			return pool.Decision{Attempt: ask.Attempt, Verdict: verdict, RetryAt: until}, pool.Snapshot{}
		}
		return grantOf("server-0"), pool.Snapshot{}
	}}
	e, slice := remoteSlice(t, peers, &now)
	crashing := pool.Ask{Attempt: 7, Number: 1, Fingerprint: 77}
	_, decision := e.Acquire(t.Context(), slice, crashing)
	must.Eq(t, pool.Quarantined, decision.Verdict)

	verdict = pool.Granted // by a home that knows nothing
	e.MarkLeaving(e.members.plan().place(slice).home.Name)
	grant, decision := e.Acquire(t.Context(), slice, crashing)
	must.Nil(t, grant)
	must.Eq(t, pool.Quarantined, decision.Verdict)
	must.Eq(t, until, decision.RetryAt)
	must.Len(t, 1, peers.asks)

	grant, _ = e.Acquire(t.Context(), slice, pool.Ask{Attempt: 8, Number: 1, Fingerprint: 88})
	must.NotNil(t, grant)
	now = until
	grant, _ = e.Acquire(t.Context(), slice, crashing)
	must.NotNil(t, grant)
}
