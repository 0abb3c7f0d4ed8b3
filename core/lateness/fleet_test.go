package lateness

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Load of the simulated fleets, for each instance.
const (
	fleetPerSecond = 1000
	slowShare      = 0.5 // of a processor, as beside a busy loop
	fleetSeconds   = 20
	warmUpSeconds  = 10          // not judged
	retryPause     = time.Second // Retry-After of a refusal
	maxTries       = 2           // of a caller, which comes back at another instance
)

// fleet is a number of instances whose callers come back at another one when they are refused.
type fleet struct {
	instances []*simulation
	next      int // instance for the next request
	returning []task
}

func newFleet(instances int, newPolicy func() policy) *fleet {
	f := &fleet{}
	for range instances {
		f.instances = append(f.instances, &simulation{policy: newPolicy(), refuse: f.refuse})
	}
	return f
}

// refuse has a refused caller come back, unless it gives up.
func (f *fleet) refuse(now time.Time, refused task) {
	refused.tries++
	refused.readyAt = now.Add(retryPause)
	if refused.tries < maxTries {
		f.returning = append(f.returning, refused)
	}
}

func (f *fleet) send(now time.Time, tries int) {
	to := f.instances[f.next%len(f.instances)]
	f.next++
	to.queue = append(to.queue, task{tries: tries, arrivedAt: now, readyAt: now})
}

// run simulates a fleet of which the first instances are slow, and returns the share of the requests that is answered in time after the warm-up.
func (f *fleet) run(slow int) float64 {
	perMillisecond := fleetPerSecond / 1000.0 * float64(len(f.instances))
	for now, arrivals := start, 0.0; now.Before(start.Add(fleetSeconds * time.Second)); now = now.Add(time.Millisecond) {
		for arrivals += perMillisecond; arrivals >= 1; arrivals-- {
			f.send(now, 0)
		}
		for len(f.returning) > 0 && !f.returning[0].readyAt.After(now) {
			f.send(now, f.returning[0].tries)
			f.returning = f.returning[1:]
		}
		for i, in := range f.instances {
			share := 1.0
			if i < slow {
				share = slowShare
			}
			in.step(now, share)
		}
	}
	inTime := 0
	for _, in := range f.instances {
		inTime += in.answeredBetween(warmUpSeconds, fleetSeconds-1)
	}
	return float64(inTime) / (perMillisecond * 1000 * (fleetSeconds - warmUpSeconds))
}

// TestSlowInstancesOfAFleet has one, a third and all of the instances lack processor time. What they refuse others answer, and if all are slow
// they answer 40 of 100 requests or more.
func TestSlowInstancesOfAFleet(t *testing.T) {
	newPolicy := func() policy { return &refuseShare{Meter{Tolerance: 100 * time.Millisecond}} }
	for _, instances := range []int{12, 24, 48, 96} {
		for name, slow := range map[string]struct {
			instances int
			least     float64 // share of the requests that is answered in time
		}{"one": {1, 0.95}, "third": {instances / 3, 0.9}, "all": {instances, 0.4}} {
			t.Run(fmt.Sprintf("%s of %d", name, instances), func(t *testing.T) {
				t.Parallel()
				f := newFleet(instances, newPolicy)
				answered := f.run(slow.instances)
				late, maxDelay := 0, time.Duration(0)
				for _, in := range f.instances {
					late, maxDelay = late+in.late, max(maxDelay, in.maxDelay)
				}
				t.Logf("%.3f of the requests are answered in time; late: %d, longest delay: %s", answered, late, maxDelay)
				must.Greater(t, slow.least, answered)
				must.Zero(t, late)
			})
		}
	}
}

// TestMeasureSlowFleet compares the policy of the package with admitting all.
func TestMeasureSlowFleet(t *testing.T) {
	const instances = 12
	for _, slow := range []int{1, instances / 3, instances} {
		refusing := newFleet(instances, func() policy { return &refuseShare{Meter{Tolerance: 100 * time.Millisecond}} }).run(slow)
		admitting := newFleet(instances, func() policy { return admitAll{} }).run(slow)
		t.Logf("%d of %d instances are slow: %.3f of the requests are answered in time, %.3f where all are admitted", slow, instances, refusing, admitting)
		must.Greater(t, admitting, refusing)
	}
}
