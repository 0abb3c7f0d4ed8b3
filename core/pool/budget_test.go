package pool_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// TestFreshPoolAllowsAHedge checks that a new pool grants a hedge: the first request to a stalling server may need one.
func TestFreshPoolAllowsAHedge(t *testing.T) {
	p := pool.Pool{}
	p.SetPolicy(pool.Policy{Slots: 4, RetryShare: 0.2, RetryBurst: 20})
	p.SetServers(benchStart, []pool.Member{
		{Name: "s0", Domain: "d0", Address: netip.MustParseAddrPort("10.0.0.1:80")}, {Name: "s1", Domain: "d1", Address: netip.MustParseAddrPort("10.0.0.2:80")},
	})
	ask := pool.Ask{Attempt: 1, Entry: "e0", Domain: "d0", Idempotent: true, Number: 1, Deadline: benchStart.Add(time.Minute)}
	first := p.Ask(benchStart, ask)
	must.Eq(t, pool.Granted, first.Verdict)
	ask.Attempt, ask.Hedge, ask.Number, ask.Exclude = 2, true, 2, []string{first.Server}
	must.Eq(t, pool.Granted, p.Ask(benchStart, ask).Verdict)
}
