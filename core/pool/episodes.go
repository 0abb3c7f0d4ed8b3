package pool

import "time"

// Rates of failure episodes, in which a server fails most requests for a few seconds while its health checks pass. Each slice
// learns them from the attempts at its servers, starting from the prior rates.
const (
	priorOnset    = 0.05 // per second, at which a healthy server starts to fail
	priorRecovery = 0.2  // per second, at which a failing server recovers
	priorWeight   = 2    // events that the prior rates count as
	minOnset      = 0.01
	maxOnset      = 0.2
	minRecovery   = 0.06
	maxRecovery   = 0.5
	// maxLearnedEvents limits the learned events; beyond it, older events lose weight.
	maxLearnedEvents = 200
	// minEpisodeTries is the number of consecutive failed tries that show an episode: a single one may be an isolated failure.
	minEpisodeTries = 2
	// maxGap limits the time between two observations that counts as spent in one state.
	maxGap = 5 * time.Second
)

// episodes are the learned episode rates of a slice's servers. The zero value has the prior rates.
type episodes struct {
	onsets, healthySeconds     float64 // onsets, in seconds of healthy servers
	recoveries, failingSeconds float64 // recoveries, in seconds of failing servers
}

// onset returns the rate per second at which a healthy server starts to fail.
func (episodes *episodes) onset() float64 {
	return min(maxOnset, max(minOnset, (priorWeight+episodes.onsets)/(priorWeight/priorOnset+episodes.healthySeconds)))
}

// recovery returns the rate per second at which a failing server recovers.
func (episodes *episodes) recovery() float64 {
	return min(maxRecovery, max(minRecovery, (priorWeight+episodes.recoveries)/(priorWeight/priorRecovery+episodes.failingSeconds)))
}

// stayedHealthy records that a server answered twice in a row.
func (episodes *episodes) stayedHealthy(gap time.Duration) {
	episodes.healthySeconds += min(maxGap, gap).Seconds()
	episodes.halveWeights()
}

// began records the start of an episode.
func (episodes *episodes) began() { episodes.onsets++ }

// stayedFailing records that a server failed again.
func (episodes *episodes) stayedFailing(gap time.Duration) {
	episodes.failingSeconds += min(maxGap, gap).Seconds()
	episodes.halveWeights()
}

// recovered records an answer from a failing server, which has recovered with the given probability.
func (episodes *episodes) recovered(gap time.Duration, probability float64) {
	episodes.recoveries += probability
	episodes.failingSeconds += min(maxGap, gap).Seconds() * (1 - probability/2)
	episodes.halveWeights()
}

// halveWeights reduces the weight of older events once enough have been learned.
func (episodes *episodes) halveWeights() {
	if episodes.onsets > maxLearnedEvents {
		episodes.onsets, episodes.healthySeconds = episodes.onsets/2, episodes.healthySeconds/2
	}
	if episodes.recoveries > maxLearnedEvents {
		episodes.recoveries, episodes.failingSeconds = episodes.recoveries/2, episodes.failingSeconds/2
	}
}
