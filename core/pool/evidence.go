package pool

import (
	"math"
	"time"
)

// Parameters of the sequential test. It tests a failure rate of failingRate against the failure rate of the slice's other
// servers by cumulative sums (CUSUM) of log-likelihood ratios (Page, 1954). One sum over all evidence against a server confirms
// its failure; one sum for each observing failure domain distinguishes path failures.
const (
	failingRate         = 0.7
	minBaseline         = 0.01 // lower bound of the baseline failure rate
	maxBaseline         = 0.5
	baselinePriorEvents = 20.0 // events at minBaseline that the baseline starts with
	eventHalfLife       = 10 * time.Second
	scoreHalfLife       = 30 * time.Second
	maxDomains          = 8

	quickThreshold        = 10.0 // three failures at the minimum baseline
	cautiousThreshold     = 11.0 // three failures at the minimum baseline without a timely answer between them
	minOtherEvidence      = 4.5  // two failures, from other domains than the one with the most evidence
	quickMinOtherEvidence = 3.0  // one failure, while the server has answered nobody in time since it became suspect
	maxPathScore          = 5.0  // evidence from one domain beyond which more from there adds nothing
	thresholdRate         = 20.0 // requests per second above which the threshold grows, because more requests mean more false positives
	suspectScore          = 1.0
	controlFactor         = 2    // required number of answering servers for each failing one, among the others
	retractShare          = 0.8  // share of the evidence that is withdrawn when the answer was only a little late
	sameEntryWeight       = 0.25 // for a repeated failure from one entry instance
	reusedWeight          = 0.25 // for a failure on a reused connection
	coldSilenceWeight     = 1.5  // for a silence beyond the extended timeout of a cold start
)

// rate counts events and failures with exponential decay.
type rate struct {
	events, failures float64
	at               time.Time
}

func (rate *rate) decay(now time.Time) { rate.decayBy(now, eventHalfLife) }

func (rate *rate) decayBy(now time.Time, halfLife time.Duration) {
	age := now.Sub(rate.at)
	if age <= 0 {
		return
	}
	factor := math.Exp2(-float64(age) / float64(halfLife))
	rate.events *= factor
	rate.failures *= factor
	rate.at = now
}

func (rate *rate) add(now time.Time, failure float64) { rate.addDecayed(now, failure, eventHalfLife) }

func (rate *rate) addDecayed(now time.Time, failure float64, halfLife time.Duration) {
	rate.decayBy(now, halfLife)
	rate.events++
	rate.failures += failure
}

// perSecond returns the events per second.
func (rate *rate) perSecond(now time.Time) float64 {
	rate.decay(now)
	return rate.events * math.Ln2 / eventHalfLife.Seconds()
}

// baselineWithout returns the failure rate of a slice without one of its servers.
func baselineWithout(now time.Time, all, one *rate) float64 {
	all.decay(now)
	one.decay(now)
	failures := max(0, all.failures-one.failures) + minBaseline*baselinePriorEvents
	events := max(0, all.events-one.events) + baselinePriorEvents
	return min(maxBaseline, max(minBaseline, failures/events))
}

// domainEvidence is the evidence against a server observed from one failure domain.
type domainEvidence struct {
	domain    string
	score     score
	lastEntry string // entry instance of the latest failure since a success
}

// score is a cumulative sum that never falls below zero and decays over time.
type score struct {
	sum float64
	at  time.Time
}

func (score *score) add(now time.Time, ratio float64) {
	score.sum = max(0, score.value(now)+ratio)
	score.at = now
}

func (score *score) value(now time.Time) float64 {
	age := now.Sub(score.at)
	if age <= 0 || score.sum == 0 {
		return score.sum
	}
	return score.sum * math.Exp2(-float64(age)/float64(scoreHalfLife))
}

// evidence is all evidence against a server.
type evidence struct {
	overall score
	answers int // timely answers since the overall score began to rise
	domains [maxDomains]domainEvidence
	used    int
}

// forDomain returns the evidence from a domain. Domains beyond maxDomains share the last array element.
func (evidence *evidence) forDomain(domain string) *domainEvidence {
	for i := 0; i < evidence.used; i++ {
		if evidence.domains[i].domain == domain {
			return &evidence.domains[i]
		}
	}
	if evidence.used < maxDomains {
		evidence.used++
	}
	d := &evidence.domains[evidence.used-1]
	d.domain = domain
	return d
}

// succeed adds a timely answer.
func (evidence *evidence) succeed(now time.Time, domain string, baseline float64) {
	ratio := math.Log((1 - failingRate) / (1 - baseline))
	d := evidence.forDomain(domain)
	d.score.add(now, ratio)
	d.lastEntry = ""
	evidence.overall.add(now, ratio)
	evidence.answers++
}

// fail adds a failure and returns the log-likelihood ratio that it added.
func (evidence *evidence) fail(now time.Time, domain, entry string, weight, baseline float64) float64 {
	d := evidence.forDomain(domain)
	if d.lastEntry == entry {
		weight *= sameEntryWeight
	}
	d.lastEntry = entry
	if evidence.overall.value(now) < suspectScore {
		evidence.answers = 0
	}
	ratio := weight * math.Log(failingRate/baseline)
	d.score.add(now, ratio)
	evidence.overall.add(now, ratio)
	return ratio
}

// offset adds timely answers that were reported before a failure although their attempts were granted after the failed one.
func (evidence *evidence) offset(now time.Time, answers int, baseline float64) {
	evidence.overall.add(now, float64(answers)*math.Log((1-failingRate)/(1-baseline)))
}

// recentAnswers keeps the grant times of the latest timely answers. Answers arrive before silences are detected, so an answer to
// a later grant than the failed one may be reported before the failure, while the score is still zero.
type recentAnswers struct {
	grantedAt [keptAnswers]time.Time
	next      int
}

// keptAnswers limits the answers that can offset one failure: those that can arrive before a silence is detected.
const keptAnswers = 16

func (recentAnswers *recentAnswers) add(grantedAt time.Time) {
	recentAnswers.grantedAt[recentAnswers.next] = grantedAt
	recentAnswers.next = (recentAnswers.next + 1) % keptAnswers
}

// takeAfter counts and removes the answers to attempts granted after a time.
func (recentAnswers *recentAnswers) takeAfter(at time.Time) int {
	taken := 0
	for i, grantedAt := range recentAnswers.grantedAt {
		if grantedAt.After(at) {
			recentAnswers.grantedAt[i] = time.Time{}
			taken++
		}
	}
	return taken
}

// retract withdraws most of the evidence that a late answer added while it was overdue.
func (evidence *evidence) retract(now time.Time, domain string, added float64) {
	evidence.forDomain(domain).score.add(now, -retractShare*added)
	evidence.overall.add(now, -retractShare*added)
}

// domainScore returns the evidence against the path from a domain to the server.
func (evidence *evidence) domainScore(now time.Time, domain string) float64 {
	for i := 0; i < evidence.used; i++ {
		if evidence.domains[i].domain == domain {
			return evidence.domains[i].score.value(now)
		}
	}
	return 0
}

// fromOtherDomains returns the evidence from all domains except the one with the most.
func (evidence *evidence) fromOtherDomains(now time.Time) float64 {
	sum, largest := 0.0, 0.0
	for i := 0; i < evidence.used; i++ {
		value := evidence.domains[i].score.value(now)
		sum += value
		largest = max(largest, value)
	}
	return sum - largest
}

func (evidence *evidence) clear() {
	evidence.overall, evidence.answers, evidence.domains, evidence.used = score{}, 0, [maxDomains]domainEvidence{}, 0
}

// observerTTL is how long after its latest ask a domain or entry instance counts as an observer.
const observerTTL = time.Minute

// observers tracks the failure domains and entry instances that send asks.
type observers struct {
	domains   [maxDomains]string
	entries   [maxDomains]string
	changedAt [maxDomains]time.Time // when the domain's latest entry instance last differed from the previous one
	seenAt    [maxDomains]time.Time
	used      int
}

func (observers *observers) observe(now time.Time, domain, entry string) {
	for i := 0; i < observers.used; i++ {
		if observers.domains[i] != domain {
			continue
		}
		if observers.entries[i] != entry {
			observers.entries[i] = entry
			observers.changedAt[i] = now
		}
		observers.seenAt[i] = now
		return
	}
	if observers.used == maxDomains {
		return
	}
	i := observers.used
	observers.domains[i], observers.entries[i], observers.seenAt[i] = domain, entry, now
	observers.used++
}

// singleDomain reports whether all recent asks came from one failure domain.
func (observers *observers) singleDomain(now time.Time) bool {
	active := 0
	for i := 0; i < observers.used; i++ {
		if now.Sub(observers.seenAt[i]) < observerTTL {
			active++
		}
	}
	return active <= 1
}

// singleEntry reports whether all recent asks came from one entry instance.
func (observers *observers) singleEntry(now time.Time) bool {
	if !observers.singleDomain(now) {
		return false
	}
	for i := 0; i < observers.used; i++ {
		if now.Sub(observers.seenAt[i]) < observerTTL && !observers.changedAt[i].IsZero() && now.Sub(observers.changedAt[i]) < observerTTL {
			return false
		}
	}
	return true
}
