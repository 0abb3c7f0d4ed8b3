package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Sizes of a plan.
const (
	faultTime    = 9 * time.Second // in which faults begin
	leastSteps   = 10
	mostSteps    = 18
	series       = 3   // steps of one kind in a row
	seriesOdds   = 0.3 // chance that a step comes in a series
	mostLength   = 3 * time.Second
	lastingOdds  = 0.1             // chance that a step lasts so much longer
	longer       = 4 * time.Second // than a lease
	moreNotices  = 2               // steps of noticeActions at the most, beside one of each
	mostRefusals = 8 * time.Second
	mostStarved  = 3 // steps
	mostStarving = 5 * time.Second
)

// action is a kind of step.
type action string

const (
	terminate  action = "terminate"   // SIGTERM, and a start after the end
	kill       action = "kill"        // SIGKILL, and a start
	pause      action = "pause"       // SIGSTOP and SIGCONT
	reload     action = "reload"      // other settings and SIGHUP
	herd       action = "herd"        // all processes are killed at once
	storeDown  action = "store-down"  // calls fail in some way
	forget     action = "forget"      // the store drops its history, after a time in which watches hear nothing
	revoke     action = "revoke"      // instances' records are removed
	storePath  action = "store-path"  // trouble between one instance and the store
	peerPath   action = "peer-path"   // trouble between one instance and all others
	serverPath action = "server-path" // trouble between all instances and one backend server
	grey       action = "grey"        // a backend server fails half of its requests
	loseAnswer action = "lose-answer" // a backend server runs requests and breaks off
	sluggish   action = "sluggish"    // a backend server takes long
	crash      action = "crash"       // a backend server ends and comes back
	drain      action = "drain"       // a backend server leaves, another one comes
	reuse      action = "reuse"       // another service gets the address of a backend server that ends
	configure  action = "configure"   // the operators write a configuration
	depart     action = "depart"      // a backend server says with its answers that it leaves, and the list does not
	turnAway   action = "turn-away"   // a backend server refuses some requests and asks their instances to stay away
	restore    action = "restore"     // the store comes back from a copy that is older than a backend server's leaving
	isolate    action = "isolate"     // a third of the instances is cut off while a backend server leaves
	spew       action = "spew"        // a backend server sends bytes that are no answer until the caller closes
	starve     action = "starve"      // an instance shares a processor with a busy loop while a crowd calls it
	refuse     action = "refuse"      // all servers of a service refuse most requests without running them
)

// actions are drawn from with equal chances; frequent ones stand twice.
var actions = []action{
	terminate, terminate, kill, kill, pause, pause, reload, herd, storeDown, storeDown, forget, revoke, storePath, storePath, peerPath, peerPath,
	serverPath, grey, loseAnswer, sluggish, crash, drain, drain, reuse, configure, configure, configure,
}

// noticeActions are drawn beside the others, so that the plans of kept seeds stay what they were but for these.
var noticeActions = []action{depart, turnAway}

// stateActions are drawn likewise: each is played once or twice.
var stateActions = []action{restore, isolate, spew}

// step is one fault or change of a plan.
type step struct {
	at     time.Duration // from the start of the traffic
	action action
	target int // instance or backend server, modulo their number
	way    int // variant of the action
	length time.Duration
}

func (s step) String() string {
	return fmt.Sprintf("%5.2f s %s of %d, variant %d, for %s", s.at.Seconds(), s.action, s.target, s.way, s.length.Round(10*time.Millisecond))
}

// newPlan draws the steps of a seed.
func newPlan(seed uint64) []step {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	var plan []step
	for range leastSteps + random.IntN(mostSteps-leastSteps+1) {
		s := step{
			at: time.Duration(random.Int64N(int64(faultTime))), action: actions[random.IntN(len(actions))],
			target: random.IntN(1000), way: random.IntN(1000), length: 200*time.Millisecond + time.Duration(random.Int64N(int64(mostLength))),
		}
		if random.Float64() < lastingOdds {
			s.length += longer
		}
		plan = append(plan, s)
		if random.Float64() >= seriesOdds {
			continue
		}
		for range series - 1 {
			s.at += time.Duration(random.Int64N(int64(700 * time.Millisecond)))
			s.target = random.IntN(1000)
			plan = append(plan, s)
		}
	}
	notices := rand.New(rand.NewPCG(seed, 0x50a5))
	played := slices.Clone(noticeActions)
	for range notices.IntN(moreNotices + 1) {
		played = append(played, noticeActions[notices.IntN(len(noticeActions))])
	}
	for _, action := range played {
		plan = append(plan, step{
			at: time.Duration(notices.Int64N(int64(faultTime))), action: action,
			target: notices.IntN(1000), way: notices.IntN(1000), length: time.Second + time.Duration(notices.Int64N(int64(mostLength))),
		})
	}
	states := rand.New(rand.NewPCG(seed, 0x50a6))
	for _, action := range append(slices.Clone(stateActions), stateActions[states.IntN(len(stateActions))]) {
		plan = append(plan, step{
			at: time.Duration(states.Int64N(int64(faultTime))), action: action,
			target: states.IntN(1000), way: states.IntN(1000), length: time.Second + time.Duration(states.Int64N(int64(mostLength))),
		})
	}
	loads := rand.New(rand.NewPCG(seed, 0x50a7))
	plan = append(plan, step{
		at: time.Duration(loads.Int64N(int64(faultTime))), action: refuse, target: loads.IntN(1000), length: time.Second + time.Duration(loads.Int64N(int64(mostRefusals))),
	})
	if *starves {
		starved := rand.New(rand.NewPCG(seed, 0x50a8))
		for range 1 + starved.IntN(mostStarved) {
			plan = append(plan, step{
				at: time.Duration(starved.Int64N(int64(faultTime))), action: starve,
				target: starved.IntN(1000), way: starved.IntN(1000), length: time.Second + time.Duration(starved.Int64N(int64(mostStarving))),
			})
		}
	}
	slices.SortFunc(plan, func(a, b step) int { return int(a.at - b.at) })
	return plan
}
