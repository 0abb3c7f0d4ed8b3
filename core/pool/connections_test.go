package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// maxIdle is the number of idle connections that an entry instance keeps to a server.
const maxIdle = 2

// TestMeasureConnections counts the connections that entry instances hold open to each server, against a limit of 400.
func TestMeasureConnections(t *testing.T) {
	for _, entries := range []int{48, 880} {
		for _, rate := range []float64{1, 30, 250} {
			t.Run(fmt.Sprintf("entries=%d/rate=%v", entries, rate), func(t *testing.T) {
				t.Parallel()
				maxOpen := maxConnections(entries, rate)
				t.Logf("%d entry instances, %v requests/s for each server: at most %d connections to one", entries, rate, maxOpen)
				test.LessEq(t, 400, maxOpen)
			})
		}
	}
}

// maxConnections returns the maximum number of connections to one server in twenty seconds of requests.
func maxConnections(entries int, rate float64) int {
	const servers = 6
	b := newBench(1, servers, 6, func(*bench) policy { return newPerInstance(0)(nil) })
	p := &pool.Pool{}
	p.SetPolicy(pool.Policy{Floor: 0.75, Slots: 6, Connections: 400})
	p.SetServers(b.now, benchMembers(b))
	idle := map[string]map[int][]time.Time{} // by server and entry instance, when connections became idle
	open, maxOpen := map[string]int{}, 0
	random := rand.New(rand.NewPCG(1, 2))
	var arrive func()
	arrive = func() {
		b.after(time.Duration(random.ExpFloat64()/(rate*servers)*float64(time.Second)), arrive)
		entry := random.IntN(entries)
		b.attempts++
		report := pool.Report{Attempt: b.attempts, Entry: fmt.Sprint(entry), Domain: fmt.Sprint(entry % benchDomains), FirstByte: benchWork}
		d := p.Ask(b.now, pool.Ask{Attempt: report.Attempt, Entry: report.Entry, Domain: report.Domain, Idempotent: true, Number: 1})
		if d.Verdict != pool.Granted {
			return
		}
		report.Server = d.Server
		if idle[d.Server] == nil {
			idle[d.Server] = map[int][]time.Time{}
		}
		if kept := idle[d.Server][entry]; len(kept) > 0 && !d.Fresh && !d.Close {
			idle[d.Server][entry] = kept[1:]
			report.Reused = true
		} else {
			open[d.Server]++
			maxOpen = max(maxOpen, open[d.Server])
		}
		b.after(benchWork, func() {
			p.Report(b.now, report)
			if d.Fresh || d.Close || len(idle[d.Server][entry]) >= maxIdle {
				open[d.Server]--
				return
			}
			since := b.now
			idle[d.Server][entry] = append(idle[d.Server][entry], since)
			b.after(pool.IdleTimeout, func() {
				if kept := idle[d.Server][entry]; len(kept) > 0 && kept[0].Equal(since) {
					idle[d.Server][entry] = kept[1:]
					open[d.Server]--
				}
			})
		})
	}
	arrive()
	b.run(20 * time.Second)
	return maxOpen
}
