package pool

import "time"

// Rates of episodes in which a server fails most requests for some seconds while its health checks are good. They are learnt for
// each slice from the tries at its servers, beginning with the prior ones.
const (
	priorOnset    = 0.05 // per second, at which a server that is well begins to fail
	priorRecovery = 0.2  // per second, at which one that fails gets well
	priorEvents   = 2    // what the prior rates weigh
	leastOnset    = 0.01
	mostOnset     = 0.2
	leastRecovery = 0.06
	mostRecovery  = 0.5
	// learntMost bounds what is remembered: beyond it, older events weigh less.
	learntMost = 200
	// surelySick is how many failed tries in a row show an episode: one may be a plain failure.
	surelySick = 2
	// longestGap bounds the time between two observations that counts as spent in one state.
	longestGap = 5 * time.Second
)

// episodes are what is learnt of the servers of a slice; the zero value knows the prior rates.
type episodes struct {
	onsets, well     float64 // onsets, in seconds of servers that were well
	recoveries, sick float64 // recoveries, in seconds of servers that failed
}

// onset returns the rate per second at which a server begins to fail.
func (episodes *episodes) onset() float64 {
	return min(mostOnset, max(leastOnset, (priorEvents+episodes.onsets)/(priorEvents/priorOnset+episodes.well)))
}

// recovery returns the rate per second at which a server that fails gets well.
func (episodes *episodes) recovery() float64 {
	return min(mostRecovery, max(leastRecovery, (priorEvents+episodes.recoveries)/(priorEvents/priorRecovery+episodes.sick)))
}

// stayedWell takes in that a server answered twice in a row.
func (episodes *episodes) stayedWell(gap time.Duration) {
	episodes.well += min(longestGap, gap).Seconds()
	episodes.forget()
}

// began takes in that a server has begun to fail.
func (episodes *episodes) began() { episodes.onsets++ }

// stayedSick takes in that a server failed again.
func (episodes *episodes) stayedSick(gap time.Duration) {
	episodes.sick += min(longestGap, gap).Seconds()
	episodes.forget()
}

// recovered takes in that a server which failed has answered, with the probability that it is well now.
func (episodes *episodes) recovered(gap time.Duration, probability float64) {
	episodes.recoveries += probability
	episodes.sick += min(longestGap, gap).Seconds() * (1 - probability/2)
	episodes.forget()
}

// forget lets older events weigh less.
func (episodes *episodes) forget() {
	if episodes.onsets > learntMost {
		episodes.onsets, episodes.well = episodes.onsets/2, episodes.well/2
	}
	if episodes.recoveries > learntMost {
		episodes.recoveries, episodes.sick = episodes.recoveries/2, episodes.sick/2
	}
}
