package yamux

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// revisionAt returns a revision of generation 4.
func revisionAt(number uint64) instance.Revision {
	return instance.Revision{Generation: 4, Number: number}
}

// testLists returns lists that have all fields set.
func testLists(now time.Time) entry.Lists {
	return entry.Lists{
		Age: 300 * time.Millisecond, Rules: entry.RulesVersion{Number: 4}, RulesRevision: revisionAt(6),
		Entries: instance.Changes[instance.Entry]{Snapshot: true, Revision: revisionAt(7), Items: []instance.Item[instance.Entry]{{Name: "entry-a", Revision: revisionAt(5), Value: instance.Entry{
			Name: "entry-a", Domain: "domain-a", Region: "region", Caller: netip.MustParseAddrPort("10.0.0.1:80"),
			Peer: netip.MustParseAddrPort("10.0.0.1:81"), Operator: netip.MustParseAddrPort("10.0.0.1:82"), Processor: 0.16, State: instance.Leaving,
		}}}},
		Servers: instance.Changes[instance.Server]{
			Revision: revisionAt(9),
			Items: []instance.Item[instance.Server]{{Name: "payouts-1", Revision: revisionAt(8), Value: instance.Server{
				Name: "payouts-1", Service: "payouts", Domain: "domain-b", Address: netip.MustParseAddrPort("10.0.1.1:80"), Slots: 4,
				Started: time.Unix(100, 0), WarmAt: now.Add(2 * time.Second),
			}}},
			Removals: []instance.Removal{{Name: "payouts-2", Revision: revisionAt(9), KeepUntil: now.Add(time.Second)}},
		},
	}
}

func TestPullListsBringsEveryField(t *testing.T) {
	p := newPair(t)
	lists, err := p.client.PullLists(t.Context(), p.peer, revisionAt(3), time.Second)
	must.NoError(t, err)
	must.Eq(t, revisionAt(3), <-p.handler.pulled)
	want := testLists(p.handler.listsAt)
	must.Eq(t, want.Age, lists.Age)
	must.Eq(t, want.Entries, lists.Entries)
	warm := lists.Servers.Items[0].Value.WarmAt
	must.Between(t, 2*time.Second, warm.Sub(p.handler.listsAt), 4*time.Second)
	keep := lists.Servers.Removals[0].KeepUntil
	must.Between(t, time.Second, keep.Sub(p.handler.listsAt), 3*time.Second)
	lists.Servers.Items[0].Value.WarmAt, lists.Servers.Removals[0].KeepUntil = want.Servers.Items[0].Value.WarmAt, want.Servers.Removals[0].KeepUntil
	must.Eq(t, want.Servers, lists.Servers)
}

// TestSilentSessionIsNotUsedAgain checks that a call opens a new connection after a call on the old one timed out.
func TestSilentSessionIsNotUsedAgain(t *testing.T) {
	p := newPair(t)
	p.client.ResponseTimeout = 50 * time.Millisecond
	dials, dial := 0, p.client.Dial
	p.client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return dial(ctx, network, address)
	}
	ask := func() error {
		_, _, err := p.client.Ask(t.Context(), p.peer, home.Slice{Service: "balances"}, pool.Ask{Attempt: 1, Deadline: time.Now().Add(time.Second)})
		return err
	}
	must.NoError(t, ask())
	p.handler.silent.Store(true)
	must.Error(t, ask())
	p.handler.silent.Store(false)
	must.NoError(t, ask())
	must.Eq(t, 2, dials)
}
