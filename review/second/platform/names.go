package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["unread-version"] = playUnreadVersion }

// Figures of the case.
const (
	configApply  = 2 * time.Second // config_apply_ms of the site
	versionWork  = 20 * time.Millisecond
	versionCalls = 20 // requests per instance, key and version
	versionPause = 25 * time.Millisecond
	versionLimit = 2500 * time.Millisecond
	recoverTime  = 15 * time.Second // recover_s of the site
	recoverShare = 0.25
	restartDelay = 300 * time.Millisecond

	beforeFaultFor = 2 * time.Second
	afterFaultFor  = 5 * time.Second

	withdrawnKey = "vm4ftqk2d8r07zjc1n5x"
	keptKey      = "ftimaj3nr26tta828m82"
)

// version is a configuration with one route. The names differ between the versions of the case.
type version struct {
	number   int
	what     string
	service  string // of the route
	priority int
	tenants  []tenant
	decides  bool // whether the case's verdict counts it; others are only recorded
}

// playUnreadVersion has the operator write versions that move a route to another service. Some name a tenant or a service in capitals or with an
// underscore, one of them withdraws a key too. It checks CONFIG: from config_apply_ms after the acknowledgement on, no request may be handled as only
// an older version allows. Then it plays a final fault.
func playUnreadVersion(ctx context.Context, world *world) error {
	services := []string{"saldos", "saldos-2", "Saldos_3"}
	all := []tenant{{Name: "agencias", Keys: []string{keptKey, withdrawnKey}}}
	less := []tenant{{Name: "agencias", Keys: []string{keptKey}}}
	versions := []version{{12, "the first version", "saldos", 2, all, true}, {17, "a route moves to another service", "saldos-2", 2, all, true}}
	if world.trouble {
		versions = append(versions,
			version{21, "the route moves back, a key is withdrawn, and the tenant Guias_Peten is added", "saldos", 2, append(less, tenant{Name: "Guias_Peten", Keys: []string{"c0nkq8s5w1y7b3m9d2ge"}}), true},
			version{26, "the route moves to the service Saldos_3", "Saldos_3", 2, less, true},
			version{28, "the route moves to the first service, its priority is 200", "saldos", 200, less, false},
			version{33, "the route moves to the first service, all names as at the beginning", "saldos", 2, less, true})
	}
	for _, service := range services {
		for i := range 3 {
			if _, err := world.addUpstream(fmt.Sprintf("i-%s-%d", service, i), service, 4, versionWork); err != nil {
				return err
			}
		}
	}
	var broken error
	for i, version := range versions {
		named := services[:2]
		if version.service == services[2] {
			named = services
		}
		routes := []route{{Prefix: "/leny950/", Kind: "safe", Service: version.service, Timeout: 2500, Target: 1200, Priority: version.priority, Attempts: 2}}
		if err := world.publish(version.number, named, routes, version.tenants); err != nil {
			return err
		}
		if i == 0 {
			if err := world.startNodes(ctx, 3, nil); err != nil {
				return err
			}
			time.Sleep(stableWindow)
		}
		time.Sleep(configApply)
		if err := world.askAll(version); err != nil {
			if version.decides {
				broken = errors.Join(broken, err)
			}
			world.record.printf("r%d (%s): not in force", version.number, version.what)
			continue
		}
		world.record.printf("r%d (%s): in force", version.number, version.what)
	}
	if !world.trouble {
		return broken
	}
	// The same fault after a version with other names, for comparison.
	if err := world.playFinalFault(ctx, 38, services, less); err != nil {
		return errors.Join(broken, err)
	}
	less = append(less, tenant{Name: "Guias_Peten", Keys: []string{"c0nkq8s5w1y7b3m9d2ge"}})
	return errors.Join(broken, world.playFinalFault(ctx, 41, services, less))
}

// playFinalFault kills all processes right after a version was acknowledged, as PROTOCOL.md says of some days' ends, starts them again, and checks
// RECOVER.
func (world *world) playFinalFault(ctx context.Context, number int, services []string, tenants []tenant) error {
	before := world.servedShare(ctx, beforeFaultFor)
	routes := []route{{Prefix: "/leny950/", Kind: "safe", Service: "saldos", Timeout: 2500, Target: 1200, Priority: 2, Attempts: 2}}
	if err := world.publish(number, services[:2], routes, tenants); err != nil {
		return err
	}
	for _, node := range world.nodes {
		node.stop()
	}
	world.record.printf("all processes were killed right after r%d was acknowledged", number)
	time.Sleep(restartDelay)
	for _, node := range world.nodes {
		if err := node.startAgain(world.folder); err != nil {
			return err
		}
	}
	world.record.printf("all processes have been started again")
	time.Sleep(recoverTime)
	after := world.servedShare(ctx, afterFaultFor)
	world.record.printf("served before the final fault: %.0f in 100, later than recover_s after it: %.0f in 100", 100*before, 100*after)
	if before >= recoverShare && after < recoverShare {
		return fmt.Errorf("%w: RECOVER: after r%d and the final fault, later than recover_s after the machines are back, %.0f in 100 requests are served, before %.0f in 100", errBroken, number, 100*after, 100*before)
	}
	return nil
}

// servedShare sends requests to all instances for a while and returns the share that is served.
func (world *world) servedShare(ctx context.Context, duration time.Duration) float64 {
	all, served := 0, 0
	for until := time.Now().Add(duration); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(versionPause) {
		for _, node := range world.nodes {
			out := world.sents.send(clientRequest{node: node, method: http.MethodGet, host: host, target: "/leny950/final", kind: "key=" + keptKey, key: keptKey, deadline: versionLimit})
			all++
			if out.served() {
				served++
			}
		}
	}
	return float64(served) / float64(max(1, all))
}

// askAll sends requests with both keys to each instance. It returns errBroken if one is run by another service than the version's, or with a key that
// the version does not hold.
func (world *world) askAll(version version) error {
	from := time.Now()
	held := map[string]bool{}
	for _, key := range version.tenants[0].Keys {
		held[key] = true
	}
	keys := map[string]string{}
	for i := range versionCalls {
		for _, node := range world.nodes {
			for _, key := range []string{keptKey, withdrawnKey} {
				out := world.sents.send(clientRequest{node: node, method: http.MethodGet, host: host, target: fmt.Sprintf("/leny950/r%d-%d", version.number, i), kind: "key=" + key, key: key, deadline: versionLimit})
				keys[out.ID] = key
			}
		}
		time.Sleep(versionPause)
	}
	runsAt := map[string]int{}
	old, dropped := 0, 0
	for _, run := range world.runs.list() {
		if run.At.Before(from) {
			continue
		}
		runsAt[run.Service]++
		if run.Service != version.service {
			old++
		}
		if !held[keys[run.ID]] {
			dropped++
		}
	}
	world.record.printf("r%d: %d requests sent later than config_apply_ms after its acknowledgement, runs by service: %v, runs with a key that it does not hold: %d", version.number, len(keys), runsAt, dropped)
	if old > 0 || dropped > 0 {
		return fmt.Errorf("%w: CONFIG: under r%d, %d requests were run by the old service and %d with a dropped key, sent later than config_apply_ms after its acknowledgement", errBroken, version.number, old, dropped)
	}
	if runsAt[version.service] == 0 {
		return fmt.Errorf("no request was run under r%d", version.number)
	}
	return nil
}
