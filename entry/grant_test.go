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

// grantingPeers stands in for homes that grant a server each time, some of them late.
type grantingPeers struct {
	Peers
	asks    []pool.Ask
	reports []pool.Report
	decide  func(ask pool.Ask) (pool.Decision, pool.Snapshot)
}

func (*grantingPeers) Reachable(string) bool { return true }

func (peers *grantingPeers) Ask(_ context.Context, _ Peer, _ home.Slice, ask pool.Ask) (pool.Decision, pool.Snapshot, error) {
	peers.asks = append(peers.asks, ask)
	decision, standing := peers.decide(ask)
	return decision, standing, nil
}

func (peers *grantingPeers) Report(_ context.Context, _ Peer, _ home.Slice, report pool.Report) error {
	peers.reports = append(peers.reports, report)
	return nil
}

// remoteSlice returns an entry on a clock with a slice that another instance decides.
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
	t.Fatal("the instance decides all slices itself")
	return nil, home.Slice{}
}

func grantOf(server string) pool.Decision {
	return pool.Decision{Server: server, Address: netip.MustParseAddrPort("127.0.0.1:9")}
}

// TestGrantsExpireWhileTheInstanceIsPaused pauses an instance for some seconds between its ask and the answer, and between the
// answer and the sending. The slot and even the server's address may be another's by then.
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
	must.Len(t, 2, peers.asks, must.Sprint("the late grant is given back, and another asked for"))
	must.Eq(t, []pool.Report{{Attempt: 7, Server: "server-0", Entry: e.Name, Domain: e.Domain, Outcome: pool.Unused}}, peers.reports)
	must.False(t, grant.Expired())
	now = now.Add(pauseBeforeSending)
	must.True(t, grant.Expired())
}

const pauseBeforeSending = 3 * time.Second

// TestQueuedGrantsDoNotExpire has an ask wait in the queue for longer than a grant lasts.
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

// TestHomesThatForgotALeaver has a home that has started anew grant a server that has told this instance to be leaving: the grant is
// given back with that word, and another server is asked for under a number that no other request has.
func TestHomesThatForgotALeaver(t *testing.T) {
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
	must.Eq(t, pool.Report{Attempt: 7, Server: "server-0", Entry: e.Name, Domain: e.Domain, Leaving: true, Ongoing: true}, peers.reports[0])
	second, _ := e.Acquire(t.Context(), slice, pool.Ask{Attempt: 8, Number: 1})
	must.Eq(t, "server-2", second.Server)
	must.Eq(t, pool.Report{Attempt: 8, Server: "server-0", Entry: e.Name, Domain: e.Domain, Outcome: pool.Unused, Leaving: true}, peers.reports[1])
	must.Eq(t, []string{"server-0"}, peers.asks[2].Exclude)
	must.Greater(t, 1<<32, peers.asks[2].Attempt, must.Sprint("the number after that of the ask is another request's"))
}
