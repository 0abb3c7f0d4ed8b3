package limit

import (
	"slices"
	"time"
)

// Grant is a counter's answer to a request for tokens.
type Grant struct {
	Tokens  int
	NextAt  time.Time // of the next token, if there are none now
	RetryAt time.Time // when a refused caller should come back; later for each further one
	Held    bool      // there are tokens, which more urgent requests will need
}

// Counter counts the requests of one team over all instances. The zero value has no history of the team. A Counter is not safe
// for concurrent use.
type Counter struct {
	bucket  Bucket
	emptyAt time.Time // until which another counter may have granted tokens; zero if unknown
	acting  Bucket    // while acting for a counter that is silent
	actedAt time.Time // latest request while acting
	demand  demand
	relayed Cache  // tokens of another counter, for those who do not reach it
	missing []Want // tokens asked for while provisional, since the latest call of Missing
	started bool
}

// EmptyAt records a time until which another instance may have counted the team. It applies to a counter without a history: what it has is
// refilled since then.
func (counter *Counter) EmptyAt(at time.Time) {
	if at.After(counter.emptyAt) {
		counter.emptyAt = at
	}
}

// start sets the bucket of a counter without a history: the previous counter may have admitted a burst a moment ago.
func (counter *Counter) start(now time.Time, limit Limit, tolerance Tolerance) {
	if counter.started {
		return
	}
	counter.started = true
	serving := tolerance.Serving(limit)
	level := max(1, takeoverShare*tolerance.reserve(limit))
	if !counter.emptyAt.IsZero() {
		level = max(0, now.Sub(counter.emptyAt).Seconds()*serving.Rate)
	}
	counter.bucket.spend(now, serving, level)
}

// Forget makes the counter one without a history: another instance may have counted the team until a time.
func (counter *Counter) Forget(until time.Time) {
	counter.started = false
	counter.EmptyAt(until)
}

// Take takes up to the wanted tokens. A provisional counter acts for another one that may be counting out of its sight, and admits
// only what the tolerance leaves.
func (counter *Counter) Take(now time.Time, limit Limit, tolerance Tolerance, provisional bool, want Want) Grant {
	if limit.Rate <= 0 {
		return Grant{Tokens: want.Tokens}
	}
	if !provisional {
		counter.start(now, limit, tolerance)
	}
	counter.demand.decay(now)
	i := counter.demand.class(want.Priority)
	grant := Grant{}
	if provisional {
		grant = counter.takeProvisional(now, tolerance.acting(limit), want, i)
	} else {
		grant.Tokens, grant.NextAt, grant.Held = counter.demand.take(now, &counter.bucket, tolerance.Serving(limit), want.Tokens, i)
	}
	counter.demand.observe(i, grant.Tokens)
	if grant.Tokens == 0 {
		grant.RetryAt = counter.demand.stagger(now, grant.NextAt, limit, tolerance.Window, i)
	}
	return grant
}

// takeProvisional takes tokens of the counter that this one acts for, and some of the reserve while it has none.
func (counter *Counter) takeProvisional(now time.Time, acting Limit, want Want, i int) (grant Grant) {
	counter.addMissing(want)
	if grant.Tokens = counter.relayed.takeUpTo(now, want); grant.Tokens > 0 {
		return grant
	}
	if acting.Rate <= 0 {
		return Grant{NextAt: now.Add(noReserveDelay)}
	}
	if now.Sub(counter.actedAt) > actingTTL {
		counter.acting.empty(now, acting)
	}
	counter.actedAt = now
	grant.Tokens, grant.NextAt, grant.Held = counter.demand.take(now, &counter.acting, acting, want.Tokens, i)
	return grant
}

// addMissing adds tokens to those that Missing returns.
func (counter *Counter) addMissing(want Want) {
	for i := range counter.missing {
		if missing := &counter.missing[i]; missing.Priority == want.Priority {
			missing.Tokens = min(maxBatch, missing.Tokens+want.Tokens)
			return
		}
	}
	if len(counter.missing) < maxClasses {
		counter.missing = append(counter.missing, Want{Tokens: min(maxBatch, want.Tokens), Priority: want.Priority})
	}
}

// Missing returns which tokens to fetch from the counter that this one acts for, the most urgent first: as many as were asked for since the
// latest call.
func (counter *Counter) Missing() []Want {
	missing := counter.missing
	counter.missing = nil
	slices.SortFunc(missing, func(a, b Want) int { return a.Priority - b.Priority })
	return missing
}

// Relay adds tokens of the counter that this one acts for.
func (counter *Counter) Relay(now time.Time, tokens Want) { counter.relayed.add(now, tokens) }

// Return gives back tokens of requests that were not run.
func (counter *Counter) Return(tokens int) { counter.bucket.Return(tokens) }

// Used returns how many tokens are taken and not yet refilled, and whether they are most of a burst: then a successor without
// them would admit too much.
func (counter *Counter) Used(now time.Time, limit Limit, tolerance Tolerance) (used float64, pressing bool) {
	serving := tolerance.Serving(limit)
	counter.bucket.refill(now, serving)
	return counter.bucket.used, counter.bucket.used > serving.capacity()/2
}

// Inherit applies the count of another counter of the team. It is no history: the other one goes on counting.
func (counter *Counter) Inherit(now time.Time, limit Limit, tolerance Tolerance, used float64) {
	serving := tolerance.Serving(limit)
	counter.bucket.spend(now, serving, serving.capacity()-used)
}

// Resume makes the counter one with a history, which goes on from what it has inherited.
func (counter *Counter) Resume() { counter.started = true }
