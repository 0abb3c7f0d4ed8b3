package pool

import (
	"math"
	"time"
)

// Parameters of the sequential test. A failure rate of sickRate is tested against the rate of the
// slice's other servers by a cumulative sum of log-likelihood ratios (Page, 1954), one sum for each
// failure domain that evidence comes from.
const (
	sickRate      = 0.7
	leastBaseline = 0.02 // failure rate below which the baseline never falls
	mostBaseline  = 0.5
	baselinePrior = 20.0 // events that the least baseline weighs
	eventHalfLife = 10 * time.Second
	scoreHalfLife = 30 * time.Second
	maxDomains    = 8

	quickThreshold    = 6.5 // two failures seen from two domains
	cautiousThreshold = 10  // three failures seen from three domains
	domainCapShare    = 0.6 // share of the threshold that one domain can bring
	corroboration     = 4.5 // evidence needed beside a domain at its cap
	suspectScore      = 2.0
	sameEntryWeight   = 0.25 // a repeated failure from one entry instance
	reusedWeight      = 0.25 // a failure on a reused connection
)

// rate counts events and failures with exponential decay.
type rate struct {
	events, failures float64
	at               time.Time
}

func (rate *rate) decay(now time.Time) {
	age := now.Sub(rate.at)
	if age <= 0 {
		return
	}
	factor := math.Exp2(-float64(age) / float64(eventHalfLife))
	rate.events *= factor
	rate.failures *= factor
	rate.at = now
}

func (rate *rate) add(now time.Time, failure float64) {
	rate.decay(now)
	rate.events++
	rate.failures += failure
}

// baselineWithout returns the failure rate of a slice without one of its servers.
func baselineWithout(now time.Time, all, one *rate) float64 {
	all.decay(now)
	one.decay(now)
	failures := max(0, all.failures-one.failures) + leastBaseline*baselinePrior
	events := max(0, all.events-one.events) + baselinePrior
	return min(mostBaseline, failures/events)
}

// domainEvidence is the evidence against a server as seen from one failure domain.
type domainEvidence struct {
	domain    string
	score     float64
	at        time.Time // time of the score
	lastOK    time.Time
	lastEntry string // entry instance of the latest failure since a success
}

// evidence is all evidence against a server.
type evidence struct {
	domains [maxDomains]domainEvidence
	used    int
}

// from returns the evidence of a domain; domains beyond the array share its last place.
func (evidence *evidence) from(domain string) *domainEvidence {
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

func (d *domainEvidence) decay(now time.Time) {
	age := now.Sub(d.at)
	if age <= 0 {
		return
	}
	d.score *= math.Exp2(-float64(age) / float64(scoreHalfLife))
	d.at = now
}

func (d *domainEvidence) succeed(now time.Time, baseline float64) {
	d.decay(now)
	d.score = max(0, d.score+math.Log((1-sickRate)/(1-baseline)))
	d.lastOK = now
	d.lastEntry = ""
}

func (d *domainEvidence) fail(now time.Time, entry string, weight, baseline float64) {
	d.decay(now)
	if d.lastEntry == entry {
		weight *= sameEntryWeight
	}
	d.score += weight * math.Log(sickRate/baseline)
	d.lastEntry = entry
}

// score returns the evidence of a domain, or 0.
func (evidence *evidence) score(now time.Time, domain string) float64 {
	for i := 0; i < evidence.used; i++ {
		if evidence.domains[i].domain == domain {
			evidence.domains[i].decay(now)
			return evidence.domains[i].score
		}
	}
	return 0
}

// total returns the evidence of all domains, uncapped.
func (evidence *evidence) total(now time.Time) float64 {
	sum := 0.0
	for i := 0; i < evidence.used; i++ {
		evidence.domains[i].decay(now)
		sum += evidence.domains[i].score
	}
	return sum
}

// convicts reports whether the evidence speaks against the server and not against one path to it.
//
// Each domain counts up to its cap. Beside a domain at its cap the others must bring more than
// one failure: a fault of the path and one stray failure do not eject.
func (evidence *evidence) convicts(now time.Time, threshold float64, soleDomain bool) bool {
	if soleDomain {
		return evidence.total(now) >= threshold
	}
	limit := threshold * domainCapShare
	sum, capped, beside := 0.0, 0, 0.0
	for i := 0; i < evidence.used; i++ {
		d := &evidence.domains[i]
		d.decay(now)
		sum += min(limit, d.score)
		if d.score >= limit {
			capped++
		} else {
			beside += d.score
		}
	}
	if sum < threshold {
		return false
	}
	return capped != 1 || beside >= corroboration
}

func (evidence *evidence) clear() { evidence.used = 0; evidence.domains = [maxDomains]domainEvidence{} }

// vantageMemory bounds how long a domain counts as one that evidence can come from.
const vantageMemory = time.Minute

// vantages remembers which failure domains and entry instances ask.
type vantages struct {
	domains [maxDomains]string
	entries [maxDomains]string
	mixed   [maxDomains]time.Time // when the domain's latest entry last differed from the one before
	seen    [maxDomains]time.Time
	used    int
}

func (vantages *vantages) see(now time.Time, domain, entry string) {
	for i := 0; i < vantages.used; i++ {
		if vantages.domains[i] != domain {
			continue
		}
		if vantages.entries[i] != entry {
			vantages.entries[i] = entry
			vantages.mixed[i] = now
		}
		vantages.seen[i] = now
		return
	}
	if vantages.used == maxDomains {
		return
	}
	i := vantages.used
	vantages.domains[i], vantages.entries[i], vantages.seen[i] = domain, entry, now
	vantages.used++
}

// sole reports whether all asks of late came from one failure domain.
func (vantages *vantages) sole(now time.Time) bool {
	active := 0
	for i := 0; i < vantages.used; i++ {
		if now.Sub(vantages.seen[i]) < vantageMemory {
			active++
		}
	}
	return active <= 1
}

// soleEntry reports whether all asks of late came from one entry instance.
func (vantages *vantages) soleEntry(now time.Time) bool {
	if !vantages.sole(now) {
		return false
	}
	for i := 0; i < vantages.used; i++ {
		if now.Sub(vantages.seen[i]) < vantageMemory && !vantages.mixed[i].IsZero() && now.Sub(vantages.mixed[i]) < vantageMemory {
			return false
		}
	}
	return true
}
