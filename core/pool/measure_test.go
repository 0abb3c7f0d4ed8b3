package pool_test

import (
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// deployedService is one service of a deployment.
type deployedService struct {
	name     string
	servers  int
	slots    int
	ejection rules.Ejection
}

var deployments = []deployedService{
	{"fondo balances", 8, 4, rules.Cautious}, {"fondo payouts", 12, 4, rules.Cautious},
	{"fondo statements", 6, 4, rules.Cautious}, {"fondo bookings", 12, 4, rules.Cautious},
	{"civitas catalogue", 8, 6, rules.Quick}, {"civitas publishing", 16, 6, rules.Quick},
	{"civitas archives", 6, 6, rules.Quick}, {"civitas records", 11, 6, rules.Quick},
}

// faultResult sums up the runs of one fault.
type faultResult struct {
	detection        []time.Duration // of runs in which the server was ejected
	undetected       int
	failingWork      int
	answered, missed int
	falseEjections   int
}

// add adds a run in which the fault began at the given time.
func (m *faultResult) add(b *bench, began time.Time) {
	m.failingWork += b.failingWork
	m.answered += b.answered
	m.missed += b.late + b.failed
	if b.detectedAt.IsZero() {
		m.undetected++
		return
	}
	m.detection = append(m.detection, b.detectedAt.Sub(began))
}

func (m *faultResult) detectionQuantile(quantile float64) time.Duration {
	if len(m.detection) == 0 {
		return 0
	}
	slices.Sort(m.detection)
	return m.detection[min(len(m.detection)-1, int(quantile*float64(len(m.detection))))].Round(time.Millisecond)
}

func (m *faultResult) lost() float64 {
	return 100 * float64(m.missed) / float64(max(1, m.answered+m.missed))
}

const (
	faultRuns     = 20
	faultWarmup   = 20 * time.Second
	faultDuration = 60 * time.Second
)

// measureFault runs one fault on one server of a pool, with several seeds.
func measureFault(s deployedService, f fault, make func(*bench) policy) faultResult {
	var m faultResult
	for seed := range uint64(faultRuns) {
		b := newBench(seed, s.servers, s.slots, make)
		b.arrivals(float64(s.servers), faultWarmup+faultDuration)
		b.run(faultWarmup + time.Duration(seed)*97*time.Millisecond)
		b.answered, b.late, b.failed, b.ejections = 0, 0, 0, 0
		failingServer := b.servers[int(seed)%s.servers]
		b.failingServer, failingServer.fault = failingServer.name, f
		began := b.now
		b.run(faultDuration - time.Second)
		others := 0
		for name, out := range b.wasEjected {
			if out && name != failingServer.name {
				others++
			}
		}
		m.falseEjections += others
		m.add(b, began)
	}
	return m
}

// TestMeasureFaults measures detection time, work sent to failing servers and lost requests, compares them with two baselines, and
// checks the targets.
func TestMeasureFaults(t *testing.T) {
	for _, f := range []fault{stall, partialStall, refuse, slow, flap, partitionedDomain, slowDomain} {
		for _, s := range deployments {
			t.Run(strings.ReplaceAll(faultNames[f]+"/"+s.name, " ", "-"), func(t *testing.T) {
				t.Parallel()
				checkFault(t, f, s)
			})
		}
	}
}

func checkFault(t *testing.T, f fault, s deployedService) {
	pooledResult := measureFault(s, f, newPooled(s.ejection))
	perInstanceResult := measureFault(s, f, newPerInstance(5))
	noEjection := measureFault(s, f, newPerInstance(0))
	t.Logf("%-17s %-18s detection p50 %7s p99 %7s undetected %2d/%d | work to failing server: pooled %4d per instance %4d none %4d | lost %%: pooled %.2f per instance %.2f none %.2f | false ejections %d",
		faultNames[f], s.name, pooledResult.detectionQuantile(0.5), pooledResult.detectionQuantile(0.99), pooledResult.undetected, faultRuns,
		pooledResult.failingWork/faultRuns, perInstanceResult.failingWork/faultRuns, noEjection.failingWork/faultRuns, pooledResult.lost(), perInstanceResult.lost(), noEjection.lost(), pooledResult.falseEjections)
	test.LessEq(t, 1.0, pooledResult.lost(), test.Sprint("percent of requests lost in a single fault"))
	test.Eq(t, 0, pooledResult.falseEjections, test.Sprint("ejections of healthy servers"))
	if f == stall || f == refuse {
		test.Eq(t, 0, pooledResult.undetected)
	}
	if f == stall {
		test.Less(t, time.Second, pooledResult.detectionQuantile(0.5), test.Sprint("median detection time"))
	}
	if f == partitionedDomain {
		test.Eq(t, faultRuns, pooledResult.undetected, test.Sprint("runs of a path failure without an ejection"))
	}
}

// TestMeasureNoise runs each pool for an hour with noise, load peaks and slow slices, and checks that no healthy server is ejected.
func TestMeasureNoise(t *testing.T) {
	for _, s := range deployments {
		t.Run(strings.ReplaceAll(s.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			b := newBench(uint64(len(s.name)), s.servers, s.slots, newPooled(s.ejection))
			b.arrivals(float64(s.servers), time.Hour)
			for minute := 5; minute < 60; minute += 10 {
				at := time.Duration(minute) * time.Minute
				b.after(at, func() { b.arrivals(float64(s.servers*s.slots)*30, 20*time.Second) })
				b.after(at+3*time.Minute, func() { b.slowness = 15 })
				b.after(at+4*time.Minute, func() { b.slowness = 1 })
			}
			b.run(time.Hour)
			missed := b.late + b.failed
			t.Logf("%-18s an hour: %d answered, %d missed, %d ejections %s, missed: %q", s.name, b.answered, missed, b.ejections, b.ejectedAt, b.lossDetails)
			test.Eq(t, 0, b.ejections)
			test.Eq(t, 0, missed)
		})
	}
}

// TestMeasureOverload sends twice the capacity, nine tenths of it from one team, and checks goodput and fairness.
func TestMeasureOverload(t *testing.T) {
	const length = 30 * time.Second
	for _, s := range deployments {
		t.Run(strings.ReplaceAll(s.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			b := newBench(7, s.servers, s.slots, newPooled(s.ejection))
			capacity := b.capacity()
			b.teamArrivals("large", 1.8*capacity, length)
			b.teamArrivals("small", 0.2*capacity, length)
			b.run(length)
			goodput := float64(b.answered) / length.Seconds()
			small := float64(b.byTeam["small"]) / (0.2 * capacity * length.Seconds())
			t.Logf("%-18s twice the capacity of %.0f/s: goodput %.0f/s, %.0f %% of the small team's requests answered, %d ejections", s.name, capacity, goodput, 100*small, b.ejections)
			test.GreaterEq(t, 0.9*capacity, goodput)
			test.GreaterEq(t, 0.9, small, test.Sprint("share of requests answered for a team below its fair share"))
			test.Eq(t, 0, b.ejections)
		})
	}
}

// TestMeasureBurst sends twice the capacity for a second and a half to services that allow a long wait.
func TestMeasureBurst(t *testing.T) {
	const length = 1500 * time.Millisecond
	for _, s := range deployments {
		t.Run(strings.ReplaceAll(s.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			b := newBench(7, s.servers, s.slots, newPooled(s.ejection))
			b.policy.(*pooled).pool.SetPolicy(pool.Policy{Floor: 0.75, Slots: s.slots, Ejection: s.ejection, Wait: 4 * time.Second})
			b.arrivals(0.3*b.capacity(), 2*length)
			b.run(length)
			b.arrivals(1.7*b.capacity(), length)
			b.run(10 * time.Second)
			t.Logf("%-18s twice the capacity of %.0f/s for %s: %d answered, %d refused, %d late", s.name, b.capacity(), length, b.answered, b.failed, b.late)
			test.Eq(t, 0, b.failed+b.late)
			test.Eq(t, 0, b.ejections)
		})
	}
}

// TestMeasureColdStart has a server join its pool cold, restart in place, or join and stall. A cold server must not be ejected and
// must get its share once it is warm; a stalling one must be ejected within a few seconds.
func TestMeasureColdStart(t *testing.T) {
	for _, s := range deployments {
		t.Run(strings.ReplaceAll(s.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			joined, share := coldStart(s, noFault, 0)
			test.Eq(t, 0, joined.ejections, test.Sprint("ejections of a server that joined cold"))
			restarted, shareAgain := coldStart(s, noFault, 3*time.Second)
			test.LessEq(t, coldRuns, restarted.ejections, test.Sprint("ejections of a server that was down once"))
			stalled, _ := coldStart(s, stall, 0)
			test.Eq(t, 0, stalled.undetected)
			test.Less(t, 5*time.Second, stalled.detectionQuantile(1))
			for _, m := range []*coldResult{&joined, &restarted, &stalled} {
				test.Eq(t, 0, m.missed, test.Sprint("requests lost"))
			}
			test.GreaterEq(t, 0.8, min(share, shareAgain), test.Sprint("share of the work in the last half minute"))
			t.Logf("%-18s joined: %d ejections, %.0f %% of its share; restarted: %d, %.0f %%; stalling: ejected after %s at the median, %s at most",
				s.name, joined.ejections, 100*share, restarted.ejections, 100*shareAgain, stalled.detectionQuantile(0.5), stalled.detectionQuantile(1))
		})
	}
}

const coldRuns = 10

type coldResult struct {
	faultResult
	ejections int
}

// coldStart takes a server down for a while, or replaces it by a new one if down is 0, and starts it cold with a fault.
func coldStart(s deployedService, f fault, down time.Duration) (m coldResult, share float64) {
	for seed := range uint64(coldRuns) {
		var p *pooled
		b := newBench(seed, s.servers, s.slots, func(b *bench) policy {
			p = newPooled(s.ejection)(b).(*pooled)
			return p
		})
		b.arrivals(float64(s.servers), faultWarmup+faultDuration)
		b.run(faultWarmup)
		b.answered, b.late, b.failed, b.ejections = 0, 0, 0, 0
		started := b.servers[0]
		b.failingServer = started.name
		if down > 0 {
			started.fault = refuse
			b.run(down)
		} else {
			members := benchMembers(b)
			members[0].Address = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(len(members)+1))
			p.pool.SetServers(b.now, members)
		}
		started.fault, started.coldLeft = f, coldRequests
		began := b.now
		b.run(faultDuration/2 - down)
		b.failingWork = 0
		b.run(faultDuration / 2)
		share += float64(b.failingWork) / (faultDuration / 2).Seconds() / coldRuns
		m.ejections += b.ejections
		m.add(b, began)
	}
	return m, share
}
