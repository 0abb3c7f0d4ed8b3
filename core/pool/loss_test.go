package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// endRequests ends requests at a rate per second for the given time; share of them are lost.
func endRequests(lossMonitor *lossMonitor, now time.Time, random *rand.Rand, perSecond, share float64, length time.Duration) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / perSecond)) {
		lossMonitor.recordArrival(now)
		if random.Float64() < share {
			lossMonitor.recordLost(now)
		} else {
			lossMonitor.recordServed(now)
		}
	}
	return now
}

// TestLossMonitorDetectsRiseBeforeLimit raises the share of lost requests so that a tenth of two seconds' requests is lost about
// half a second later. The monitor must detect the rise by then, and mostly catchUpTime earlier, so that all servers can get a
// request in time. The service then counts as degraded until two seconds after the rise.
func TestLossMonitorDetectsRiseBeforeLimit(t *testing.T) {
	const (
		perSecond = 93.0
		calmShare = 0.03
		loss      = 0.33 // share: 0.33 over 0.47 s and 0.03 over the rest make a tenth of two seconds
		rise      = 470 * time.Millisecond
		servers   = 23
	)
	const seeds = 200
	late, never := 0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, seed))
		lossMonitor := &lossMonitor{}
		now := endRequests(lossMonitor, time.Unix(1000, 0), random, perSecond, calmShare, 20*time.Second)
		now = endRequests(lossMonitor, now, random, perSecond, loss, rise-catchUpTime)
		if lossMonitor.isStable(now, servers) {
			late++
		}
		now = endRequests(lossMonitor, now, random, perSecond, loss, catchUpTime)
		if lossMonitor.isStable(now, servers) {
			never++
		}
		now = endRequests(lossMonitor, now, random, perSecond, loss, time.Second)
		must.False(t, lossMonitor.isStable(now, 0))
		now = endRequests(lossMonitor, now, random, perSecond, 0, degradedDuration-100*time.Millisecond)
		must.False(t, lossMonitor.isStable(now, 0))
	}
	must.Less(t, seeds/5, late)
	must.Eq(t, 0, never)
}

// TestLossMonitorStaysDegradedUnderSteadyLoss loses an eighth of a low rate of requests: the monitor may report a stable service in
// less than one check of a hundred.
func TestLossMonitorStaysDegradedUnderSteadyLoss(t *testing.T) {
	stable, checks := 0, 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, seed))
		lossMonitor := &lossMonitor{}
		now := endRequests(lossMonitor, time.Unix(1000, 0), random, 40, 0.125, 5*time.Second)
		for range 100 {
			now = endRequests(lossMonitor, now, random, 40, 0.125, 200*time.Millisecond)
			checks++
			if lossMonitor.isStable(now, 0) {
				stable++
			}
		}
	}
	must.Less(t, checks/100, stable)
}

// TestLossMonitorNeedsEnoughArrivals checks that a service whose requests are too few to reach the unused servers in time is not
// stable.
func TestLossMonitorNeedsEnoughArrivals(t *testing.T) {
	lossMonitor := &lossMonitor{}
	now := endRequests(lossMonitor, time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1)), 10, 0, 20*time.Second)
	must.True(t, lossMonitor.isStable(now, 2))
	must.False(t, lossMonitor.isStable(now, 3))
}
