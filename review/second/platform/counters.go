package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["two-counters"] = playTwoCounters }

// Figures of the case. The bounds are those of the site with tenants. The cut is that of core_cut in the list of kinds, of one machine.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	quotaRate      = 30.0
	quotaBurst     = 10.0
	quotaTenants   = 6
	quotaNodes     = 4
	perMachine     = 30 // requests a second that a tenant sends to each machine: four times its rate in all
	quotaWork      = 10 * time.Millisecond
	quotaDeadline  = time.Second
	cutFor         = 7 * time.Second
	quotaWarmup    = 6 * time.Second
	quotaAfter     = 4 * time.Second
)

// playTwoCounters cuts one machine off from the store and from the machines of the other zone, not from those of its own zone, its clients or the
// upstreams, while tenants send more than their limits. It checks QUOTA.
func playTwoCounters(ctx context.Context, world *world) error {
	routes := []route{{Prefix: "/leny950/", Kind: "safe", Service: "saldos", Timeout: 2500, Target: 1200, Priority: 2, Attempts: 2}}
	tenants := make([]tenant, quotaTenants)
	for i := range tenants {
		tenants[i] = tenant{Name: fmt.Sprintf("cuka62%d", i), Keys: []string{quotaKey(i)}, Rate: quotaRate, Burst: quotaBurst}
	}
	if err := world.publish(4, []string{"saldos"}, routes, tenants); err != nil {
		return err
	}
	for i := range 8 {
		if _, err := world.addUpstream(fmt.Sprintf("i-%d", i), "saldos", 4, quotaWork); err != nil {
			return err
		}
	}
	network := newNetwork()
	if err := world.startNodes(ctx, quotaNodes, network); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	from := time.Now()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, node := range world.nodes {
		for i := range tenants {
			group.Go(func() { world.pressLimit(ctx, node, i, stop) })
		}
	}
	time.Sleep(quotaWarmup)
	if world.trouble {
		network.cut(func(from, to string) bool {
			return from == world.nodes[0].name && (to == storeEnd || strings.Contains(to, "zone-b"))
		})
		world.record.printf("core_cut (near) begins: %s is cut off from the store and from the machines of the other zone", world.nodes[0].name)
	}
	time.Sleep(cutFor)
	if world.trouble {
		network.heal()
		world.record.printf("core_cut has ended")
	}
	time.Sleep(quotaAfter)
	close(stop)
	group.Wait()
	var broken error
	for _, tenant := range tenants {
		broken = errors.Join(broken, world.checkQuota(from, tenant.Name))
	}
	return broken
}

// quotaKey returns the key of a tenant by its index.
func quotaKey(i int) string { return fmt.Sprintf("ftimaj3nr26tta828m8%d", i) }

// pressLimit sends the requests of a tenant to one machine.
func (world *world) pressLimit(ctx context.Context, node *node, tenant int, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / perMachine)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		group.Go(func() {
			world.sents.send(clientRequest{node: node, method: http.MethodGet, host: host, target: fmt.Sprintf("/leny950/%s-%d", node.name, i), kind: "safe", key: quotaKey(tenant), deadline: quotaDeadline})
		})
	}
}

// checkQuota checks QUOTA: in no window more requests of the tenant are both sent and run than the bound allows.
func (world *world) checkQuota(from time.Time, tenant string) error {
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	sentAt, runAt := map[string]time.Time{}, map[string]time.Time{}
	for _, sent := range world.sents.list() {
		sentAt[sent.ID] = sent.At
	}
	last := from
	for _, run := range world.runs.list() {
		if run.Tenant == tenant {
			runAt[run.ID] = run.At
			last = run.At
		}
	}
	most, mostAt := 0, from
	for begin := from; begin.Before(last); begin = begin.Add(100 * time.Millisecond) {
		count := 0
		for id, ran := range runAt {
			if !sentAt[id].Before(begin) && ran.Before(begin.Add(quotaWindow)) {
				count++
			}
		}
		if count > most {
			most, mostAt = count, begin
		}
	}
	world.record.printf("tenant %s: the fullest window begins at %.1f s: %d requests sent and run, bound %.0f", tenant, world.record.at(mostAt), most, bound)
	if float64(most) > bound {
		return fmt.Errorf("%w: QUOTA: in the window of %s from %.1f s, %d requests of the tenant %s were sent and run, the bound is %.0f", errBroken, quotaWindow, world.record.at(mostAt), most, tenant, bound)
	}
	return nil
}
