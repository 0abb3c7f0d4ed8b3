// Package limit decides which requests of a team pass when many instances serve the team together.
//
// One instance counts a team's requests; the others fetch tokens from it, as many as they need for a moment, and give back
// what they did not use. It answers the load of thousands of teams with less than a request per second at each instance, of
// which a few press several times their limit, while instances fail, restart and lose contact with each other.
package limit

import (
	"math"
	"time"
)

// Tolerance is how far a limit may be exceeded over all instances. The zero value allows nothing beyond the limit.
type Tolerance struct {
	Window    time.Duration // over which requests are counted
	Overshoot float64       // fraction of the limit
	Slack     float64       // requests in each window
}

// Shares of the tolerance. What is left covers requests that are admitted while the count is not known.
const (
	servingOvershoot = 0.5  // of the overshoot, added to the limit that a counter admits
	servingSlack     = 0.25 // of the slack, added to the burst that a counter admits
	takeoverShare    = 0.25 // of the reserve, that a counter without a history may admit at once
	actingShare      = 0.3  // of the reserve, that an instance in place of a silent counter may admit at once
	actingRefill     = 0.15 // of the reserve, that it may admit in each window after that
	aloneShare       = 0.1  // of the reserve, divided among all instances, that those which reach no counter may admit at once
	aloneRefill      = 0.1  // of the reserve, divided among all instances, that they may admit in each window after that
)

// Serving returns the limit that a counter admits: a caller within the limit is not refused because instances see its requests
// in another order, or because some tokens expire unused.
func (tolerance Tolerance) Serving(limit Limit) Limit {
	factor := 1 + servingOvershoot*tolerance.Overshoot
	return Limit{Rate: factor * limit.Rate, Burst: factor*limit.capacity() + servingSlack*tolerance.Slack}
}

// reserve returns how many requests in a window may be admitted beyond those that the counter admits.
func (tolerance Tolerance) reserve(limit Limit) float64 {
	inWindow := limit.Rate*tolerance.Window.Seconds() + limit.capacity()
	return (1-servingOvershoot)*tolerance.Overshoot*inWindow + (1-servingSlack)*tolerance.Slack
}

// alone returns the limit of one of a number of instances while it reaches no counter.
func (tolerance Tolerance) alone(limit Limit, instances int) Limit {
	share := tolerance.reserve(limit) / float64(max(1, instances))
	return Limit{Rate: aloneRefill * share / tolerance.Window.Seconds(), Burst: aloneShare * share}
}

// acting returns the limit of an instance in place of a counter that is silent.
func (tolerance Tolerance) acting(limit Limit) Limit {
	reserve := tolerance.reserve(limit)
	return Limit{Rate: actingRefill * reserve / tolerance.Window.Seconds(), Burst: actingShare * reserve}
}

// Grant is a counter's answer to a request for tokens.
type Grant struct {
	Tokens  int
	NextAt  time.Time // of the next token, if there are none now
	RetryAt time.Time // when a refused caller should come back; later for each further one
}

// Counter counts the requests of one team over all instances. The zero value has no history of the team. A Counter is not safe
// for concurrent use.
type Counter struct {
	bucket   Bucket
	acting   Bucket // while acting for a counter that is silent
	relayed  int    // tokens of another counter, for those who do not reach it
	relayTTL time.Time
	missing  int // tokens that could not be granted since the latest call of Missing
	started  bool
	retryAt  time.Time // given to the latest refused caller
}

// start empties the bucket of a counter without a history: the previous counter may have admitted a burst a moment ago.
func (counter *Counter) start(now time.Time, limit Limit, tolerance Tolerance) {
	if counter.started {
		return
	}
	counter.started = true
	serving := tolerance.Serving(limit)
	counter.bucket.spend(now, serving, max(1, takeoverShare*tolerance.reserve(limit)))
}

// Forget makes the counter one without a history: another instance may have counted the team meanwhile.
func (counter *Counter) Forget() { counter.started = false }

// Take takes up to want tokens. A provisional counter acts for another one that may be counting out of its sight, and admits
// only what the tolerance leaves.
func (counter *Counter) Take(now time.Time, limit Limit, tolerance Tolerance, provisional bool, want int) Grant {
	if limit.Rate <= 0 {
		return Grant{Tokens: want}
	}
	counter.start(now, limit, tolerance)
	grant := Grant{}
	if provisional {
		grant.Tokens, grant.NextAt = counter.takeProvisional(now, tolerance.acting(limit), want)
	} else {
		grant.Tokens, grant.NextAt = counter.bucket.Take(now, tolerance.Serving(limit), want)
	}
	if grant.Tokens == 0 {
		grant.RetryAt = counter.stagger(now, grant.NextAt, limit, tolerance)
	}
	return grant
}

// takeProvisional takes tokens of the counter that this one acts for, and some of the reserve while it has none.
func (counter *Counter) takeProvisional(now time.Time, acting Limit, want int) (int, time.Time) {
	counter.missing += want
	if now.Before(counter.relayTTL) && counter.relayed > 0 {
		taken := min(want, counter.relayed)
		counter.relayed -= taken
		return taken, time.Time{}
	}
	return counter.acting.takeReserved(now, acting, want)
}

// Missing returns how many tokens to fetch from the counter that this one acts for: as many as were asked for since the latest call.
func (counter *Counter) Missing() int {
	missing := min(maxBatch, counter.missing)
	counter.missing = 0
	return missing
}

// Relay adds tokens of the counter that this one acts for.
func (counter *Counter) Relay(now time.Time, tokens int) {
	if !now.Before(counter.relayTTL) {
		counter.relayed = 0
	}
	counter.relayed += tokens
	counter.relayTTL = now.Add(tokenTTL)
}

// stagger returns when a refused caller should come back: at the rate of the limit, one caller after the other, so that they
// do not all return for the same token. It starts over when the last one would wait for longer than a window.
func (counter *Counter) stagger(now, nextAt time.Time, limit Limit, tolerance Tolerance) time.Time {
	counter.retryAt = counter.retryAt.Add(time.Duration(float64(time.Second) / limit.Rate))
	if counter.retryAt.Before(nextAt) || counter.retryAt.Sub(now) > tolerance.Window {
		counter.retryAt = nextAt
	}
	return counter.retryAt
}

// Return gives back tokens of requests that were not run.
func (counter *Counter) Return(tokens int) { counter.bucket.Return(tokens) }

// Used returns how many tokens are taken and not yet refilled, and whether they are most of a burst: then a successor without
// them would admit too much.
func (counter *Counter) Used(now time.Time, limit Limit, tolerance Tolerance) (used float64, pressing bool) {
	serving := tolerance.Serving(limit)
	counter.bucket.refill(now, serving)
	return counter.bucket.used, counter.bucket.used > serving.capacity()/2
}

// Inherit applies the count of another counter of the team.
func (counter *Counter) Inherit(now time.Time, limit Limit, tolerance Tolerance, used float64) {
	serving := tolerance.Serving(limit)
	counter.bucket.spend(now, serving, serving.capacity()-used)
	counter.started = true
}

// Authority decides whether an instance that is asked to count a team may do so in full. The zero value has been asked nothing.
//
// An instance in place of another one that it cannot reach does not know whether that one has failed or counts as well, on the
// other side of a network partition. The platform is on one side only, so contact with it decides.
type Authority struct {
	since, latest time.Time // of requests for tokens while another instance is ranked first
	silences      int       // consecutive times that some of the other instances in rank did not answer
}

// Timing of a takeover.
const (
	takeoverDelay  = time.Second             // silence of a counter after which the next in rank may count in full
	askedTTL       = time.Second             // without requests for tokens after which an instance no longer stands in
	platformSilent = 1400 * time.Millisecond // without contact after which an instance may be cut off from the platform
	minSilences    = 2                       // of other instances in rank that are no mere delay
)

// InPlaceOf records a request for tokens while another instance is ranked first, and reports whether this one may count in full:
// the other one has been silent for a while, and the platform was heard of meanwhile.
func (authority *Authority) InPlaceOf(now, platformHeardAt time.Time) bool {
	if now.Sub(authority.latest) > askedTTL {
		authority.since = now
	}
	authority.latest = now
	return now.Sub(authority.since) >= takeoverDelay && platformHeardAt.Sub(authority.since) >= takeoverDelay/2
}

// First reports whether an instance that is ranked first may count in full: unless it may be cut off from the platform and from
// an instance that then counts in its place.
func (authority *Authority) First(now, platformHeardAt time.Time) bool {
	return authority.silences < minSilences || now.Sub(platformHeardAt) < platformSilent
}

// ObserveFirst records whether the instance that is ranked first has answered.
func (authority *Authority) ObserveFirst(answered bool) {
	if answered {
		authority.since, authority.latest = time.Time{}, time.Time{}
	}
}

// ObserveOthers records whether all instances next in rank have answered.
func (authority *Authority) ObserveOthers(answered bool) {
	authority.silences++
	if answered {
		authority.silences = 0
	}
}

// Batches of tokens.
const (
	batchInterval = 100 * time.Millisecond // a batch holds the tokens for this time at the instance's recent rate
	maxBatch      = 64
	tokenTTL      = time.Second // lifetime of unused tokens
	rateMemory    = time.Second // after which a request counts for 1/e in the recent rate
)

// Cache holds the tokens that an instance has fetched for one team. The zero value is empty. A Cache is not safe for
// concurrent use.
type Cache struct {
	tokens    int
	expiresAt time.Time
	refusal   Grant // the latest one without tokens
	alone     Bucket
	isAlone   bool
	latest    time.Time // latest request
	recent    float64   // requests, each with a weight that decays over rateMemory
}

// Take takes a token for a request. If decided is false, the cache is empty and must be filled first.
func (cache *Cache) Take(now time.Time) (admitted, decided bool, retryAt time.Time) {
	cache.observe(now)
	if cache.tokens > 0 && now.Before(cache.expiresAt) {
		cache.tokens--
		return true, true, time.Time{}
	}
	cache.tokens = 0
	if now.Before(cache.refusal.NextAt) {
		return false, true, cache.refusal.RetryAt
	}
	return false, false, time.Time{}
}

// observe adds a request to the recent ones.
func (cache *Cache) observe(now time.Time) {
	cache.recent *= math.Exp(-now.Sub(cache.latest).Seconds() / rateMemory.Seconds())
	cache.recent++
	cache.latest = now
}

// Want returns how many tokens to fetch, the one for the present request included. It fetches more only at a rate that likely uses
// them: others may need tokens that expire here.
func (cache *Cache) Want() int {
	perSecond := cache.recent / rateMemory.Seconds()
	return 1 + min(maxBatch, int(perSecond*batchInterval.Seconds()))
}

// Fill adds fetched tokens and takes one of them for a request.
func (cache *Cache) Fill(now time.Time, grant Grant) (admitted bool, retryAt time.Time) {
	cache.isAlone = false
	if grant.Tokens == 0 {
		cache.refusal = grant
		return false, grant.RetryAt
	}
	if cache.tokens == 0 || !now.Before(cache.expiresAt) {
		// Tokens of two requests in flight at once expire with the earlier ones.
		cache.tokens, cache.expiresAt = 0, now.Add(tokenTTL)
	}
	cache.tokens += grant.Tokens - 1
	return true, time.Time{}
}

// TakeAlone decides a request while no counter answers. The point, drawn evenly from [0, 1), spreads the fractions of tokens
// that the instances have at the start.
func (cache *Cache) TakeAlone(now time.Time, limit Limit, tolerance Tolerance, instances int, point float64) bool {
	own := tolerance.alone(limit, instances)
	capacity := own.Burst
	own.Burst = math.Max(1, capacity)
	if !cache.isAlone {
		cache.isAlone = true
		level := min(capacity, 1)
		if point < level {
			level = 1
		} else {
			level = 0
		}
		cache.alone = Bucket{}
		cache.alone.spend(now, own, max(level, math.Floor(capacity)))
	}
	taken, _ := cache.alone.takeReserved(now, own, 1)
	return taken > 0
}

// Idle returns the time since the latest request.
func (cache *Cache) Idle(now time.Time) time.Duration { return now.Sub(cache.latest) }
