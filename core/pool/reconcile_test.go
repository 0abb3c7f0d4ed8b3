package pool_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// TestLostReportsFreeTheirSlots takes all slots and loses the reports. The slots must be free as soon as the entry instance reports the
// grants it holds, not only after grantTTL. First seen on test day drain-behind-cuts of fgs-gateway with seed 170240601415, where
// connections fall silent.
func TestLostReportsFreeTheirSlots(t *testing.T) {
	p := pool.Pool{}
	now := benchStart
	p.SetPolicy(pool.Policy{Slots: 4})
	p.SetServers(now, []pool.Member{{Name: "s0", Domain: "d0", Address: netip.MustParseAddrPort("10.0.0.1:80")}})
	ask := func(attempt uint64, entry string) pool.Verdict {
		return p.Ask(now, pool.Ask{Attempt: attempt, Entry: entry, Domain: "d0", Number: 1, NoWait: true, Deadline: now.Add(time.Second)}).Verdict
	}
	for attempt := range uint64(4) {
		must.Eq(t, pool.Granted, ask(attempt, "e0"))
	}
	must.Eq(t, pool.Full, ask(4, "e0"))
	p.Reconcile(now, "e0", nil)
	must.Eq(t, pool.Full, ask(5, "e0"), must.Sprint("the grants may still be in flight to the entry instance"))
	now = now.Add(3 * time.Second)
	p.Reconcile(now, "e1", nil)
	must.Eq(t, pool.Full, ask(6, "e0"), must.Sprint("reconciled by another entry instance"))
	p.Reconcile(now, "e0", []pool.HeldGrant{{Attempt: 2, Server: "s0"}})
	for attempt := uint64(7); attempt < 10; attempt++ {
		must.Eq(t, pool.Granted, ask(attempt, "e0"))
	}
	must.Eq(t, pool.Full, ask(10, "e0"))
}
