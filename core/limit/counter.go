package limit

import "time"

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
	missing  int // tokens asked for while provisional, since the latest call of Missing
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
