package entry

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// Grant permits one attempt at a backend server. It must be ended with Done.
type Grant struct {
	pool.Decision
	Slice home.Slice

	entry        *Entry
	ask          pool.Ask
	sendDeadline time.Time     // the server and its slot may be assigned to another attempt afterwards
	suspectAfter time.Duration // also as of earlier homes, while this instance is stopping
	peer         Peer          // the home or standby that granted, if remote
	pools        *pools        // the pools that granted, if in this instance
	ended        atomic.Bool
}

// SliceFor returns the slice of a service for a request with the given seed.
func (entry *Entry) SliceFor(service string, seed uint64) home.Slice {
	slices := entry.members.plan().slices(service)
	return home.Slice{Service: service, Index: int(seed % uint64(slices))}
}

// maxSlicesAsked limits how many slices of a service one ask tries, as each may cost a network round trip.
const maxSlicesAsked = 4

// AcquireAny acquires a grant from the given slice, or from another one if that slice has no free slot on a likely healthy server.
// Similar requests map to the same slice; without the fallback they would queue, or go to failing servers, while other slices
// have free slots on healthy ones.
func (entry *Entry) AcquireAny(ctx context.Context, slice home.Slice, ask pool.Ask) (*Grant, pool.Decision) {
	slices := entry.members.plan().slices(slice.Service)
	if slices <= 1 {
		return entry.Acquire(ctx, slice, ask)
	}
	if entry.Locality.Enabled && !entry.DecideLocally {
		// The service may have lost slices since the request was assigned to one.
		return entry.acquireByLoad(ctx, neighborSlice(slice, 0, slices), slices, ask)
	}
	immediate := ask
	immediate.NoWait = true
	tries := min(slices, maxSlicesAsked)
	for i := range tries {
		grant, decision := entry.Acquire(ctx, neighborSlice(slice, i, slices), immediate)
		if grant != nil || !canTryOtherSlice(decision.Verdict) {
			return grant, decision
		}
	}
	grant, decision := entry.Acquire(ctx, slice, ask)
	for i := 1; i < tries && decision.Verdict == pool.Paused; i++ {
		grant, decision = entry.Acquire(ctx, neighborSlice(slice, i, slices), ask)
	}
	return grant, decision
}

// grantTTL is how long a grant may be used after its ask, not counting the time in the queue. The home reclaims the slot of a grant
// that the instance does not report as held after the same time.
const grantTTL = 2 * time.Second

// AnswerLikelyAfter returns how long after its sending an attempt is nearly certainly answered: longer silences make a server suspect.
func (grant *Grant) AnswerLikelyAfter() time.Duration { return grant.suspectAfter }

// Expired reports whether it is too late to send the attempt, for example because this process was paused after its ask.
func (grant *Grant) Expired() bool { return grant.entry.Clock().After(grant.sendDeadline) }

// neighborSlice returns the slice at an offset from the given one, modulo the number of slices.
func neighborSlice(slice home.Slice, offset, slices int) home.Slice {
	return home.Slice{Service: slice.Service, Index: (slice.Index + offset) % slices}
}

// canTryOtherSlice reports whether an ask refused with this verdict may succeed in another slice.
func canTryOtherSlice(verdict pool.Verdict) bool {
	return verdict == pool.Full || verdict == pool.Limited || verdict == pool.Paused
}

// Acquire asks the slice's home for a grant, then its standby, and decides locally if neither is reachable. The grant is nil if the
// decision is a refusal.
func (entry *Entry) Acquire(ctx context.Context, slice home.Slice, ask pool.Ask) (*Grant, pool.Decision) {
	for range maxUnusedGrants {
		askedAt := entry.Clock()
		var pauseEnd time.Time
		ask.Paused, pauseEnd = entry.notices.paused(askedAt, slice.Service)
		grant, decision := entry.acquire(ctx, slice, ask)
		if grant == nil {
			return nil, capRetryAt(decision, pauseEnd)
		}
		// Uses only this instance's clock, because the home does not know the network latency of its decision.
		grant.sendDeadline = askedAt.Add(decision.Waited + grantTTL)
		unwanted, leaving := grant.unavailable()
		switch {
		case unwanted:
			entry.count("entry.leaving-servers-granted")
			grant.Done(pool.Report{Outcome: pool.Unused, Leaving: leaving})
			ask.Exclude = append(slices.Clone(ask.Exclude), grant.Server)
		case grant.Expired():
			// This process was paused, or the decision arrived late.
			entry.count("entry.expired-grants")
			grant.Done(pool.Report{Outcome: pool.Unused})
		case entry.notices.isPaused(entry.Clock(), slice.Service, grant.Server):
			// The server asked this instance to back off while the ask was in flight.
			entry.count("entry.paused-servers-granted")
			grant.Done(pool.Report{Outcome: pool.Unused})
		default:
			return grant, decision
		}
		ask.Attempt, ask.Earned = entry.lastAttempt.Add(1), true
	}
	return nil, pool.Decision{Attempt: ask.Attempt, Verdict: pool.Full, RetryAt: entry.Clock().Add(unusedGrantRetryDelay)}
}

// capRetryAt limits the retry time of a paused ask to the end of the earliest pause.
func capRetryAt(decision pool.Decision, pauseEnd time.Time) pool.Decision {
	if decision.Verdict == pool.Paused && pauseEnd.Before(decision.RetryAt) {
		decision.RetryAt = pauseEnd
	}
	return decision
}

// Limits for grants that are returned unused.
const (
	maxUnusedGrants       = 8                      // per ask
	unusedGrantRetryDelay = 200 * time.Millisecond // for the caller afterwards; the home has newer information by then
)

func (entry *Entry) acquire(ctx context.Context, slice home.Slice, ask pool.Ask) (*Grant, pool.Decision) {
	ask.Entry, ask.Domain = entry.Name, entry.Domain
	ask.Burst = entry.takeAllowance(slice, &ask)
	grant := &Grant{Slice: slice, entry: entry, ask: ask}
	for _, at := range entry.deciders(slice) {
		if until, found := entry.quarantines.until(entry.Clock(), ask.Fingerprint, at.Name); found {
			return nil, pool.Decision{Attempt: ask.Attempt, Verdict: pool.Quarantined, RetryAt: until}
		}
		if at.Name == entry.Name {
			granted, decision := grant.acquireFrom(ctx, &entry.homePools)
			entry.quarantines.record(entry.Clock(), ask.Fingerprint, at.Name, decision)
			return granted, decision
		}
		grant.peer = Peer{at.Name, at.Peer}
		decision, err := entry.askPeer(ctx, grant.peer, slice, ask)
		if err == nil && decision.Verdict != pool.NotReady {
			entry.quarantines.record(entry.Clock(), ask.Fingerprint, at.Name, decision)
			return grant.accept(decision)
		}
		if ctx.Err() != nil {
			return nil, pool.Decision{Verdict: pool.Full, RetryAt: entry.Clock()}
		}
		if err != nil {
			// The ask may have arrived.
			ask.Earned, ask.Burst = true, entry.takeAllowance(slice, &ask)
			grant.ask.Earned, grant.ask.Burst = ask.Earned, ask.Burst
		}
		entry.count("entry.silent-homes")
	}
	if until, found := entry.quarantines.until(entry.Clock(), ask.Fingerprint, localDecider); found {
		return nil, pool.Decision{Attempt: ask.Attempt, Verdict: pool.Quarantined, RetryAt: until}
	}
	entry.count("entry.decided-alone")
	return grant.acquireFrom(ctx, &entry.localPools)
}

// takeAllowance takes the tokens of the service's retry burst that go with an ask.
func (entry *Entry) takeAllowance(slice home.Slice, ask *pool.Ask) float64 {
	return entry.services.takeAllowance(entry.Clock(), entry.members.plan(), slice.Service, ask.Number > 1)
}

// deciders returns a slice's home and standby, except those that recently did not respond: waiting for their timeout again would
// delay every request.
func (entry *Entry) deciders(slice home.Slice) []instance.Entry {
	if entry.DecideLocally {
		return nil
	}
	at := entry.members.plan().place(slice)
	out := make([]instance.Entry, 0, 2)
	for _, candidate := range []instance.Entry{at.home, at.standby} {
		if candidate.Name != "" && (candidate.Name == entry.Name || entry.Peers.Reachable(candidate.Name)) {
			out = append(out, candidate)
		}
	}
	return out
}

// askPeer asks another instance. If it is a new home for the slice, askPeer first sends it the grants held.
func (entry *Entry) askPeer(ctx context.Context, to Peer, slice home.Slice, ask pool.Ask) (pool.Decision, error) {
	if entry.held.recordHome(slice, to.Name) {
		// If this renewal is lost, the next periodic one replaces it.
		_ = entry.Peers.Renew(ctx, to, Renewal{Slices: []SliceRenewal{entry.renewal(slice)}})
	}
	decision, snapshot, err := entry.Peers.Ask(ctx, to, slice, ask)
	if err != nil {
		return pool.Decision{}, err
	}
	entry.held.setEjected(slice, snapshot.Ejected)
	entry.recordLeaving(slice.Service, snapshot.Leaving)
	if entry.Locality.Enabled {
		entry.loads.record(entry.Clock(), slice, snapshot.Load)
	}
	return decision, nil
}

// acquireFrom asks a pool of this instance and waits for its final decision.
func (grant *Grant) acquireFrom(ctx context.Context, pools *pools) (*Grant, pool.Decision) {
	entry := grant.entry
	grant.pools = pools
	now := entry.Clock()
	if pools.local {
		entry.restoreEjected(now, grant.Slice)
		entry.restoreFailing(now, grant.Slice)
	}
	decisions := make(chan pool.Decision, 2)
	pools.ask(now, &entry.members, grant.Slice, grant.ask, func(d pool.Decision) { decisions <- d })
	for {
		select {
		case decision := <-decisions:
			if decision.Verdict != pool.Queued {
				return grant.accept(decision)
			}
		case <-ctx.Done():
			pools.withdraw(entry.Clock(), &entry.members, grant.Slice, grant.ask.Attempt)
			grant.discard(pools)
			return nil, pool.Decision{Verdict: pool.Full, RetryAt: entry.Clock()}
		}
	}
}

// discard frees a grant that was issued while its ask was being withdrawn.
func (grant *Grant) discard(pools *pools) {
	now := grant.entry.Clock()
	pools.withPool(now, &grant.entry.members, grant.Slice, func(sp *slicePool) {
		sp.pool.Discard(now, grant.ask.Attempt)
	})
}

// restoreEjected copies the ejections that a slice's homes reported into the pool for local decisions.
func (entry *Entry) restoreEjected(now time.Time, slice home.Slice) {
	ejected := entry.held.ejectedIn(slice)
	if len(ejected) == 0 {
		return
	}
	entry.localPools.withPool(now, &entry.members, slice, func(sp *slicePool) { sp.pool.RestoreEjected(now, ejected) })
}

// accept records the grant if the decision is pool.Granted. Otherwise it returns a nil grant.
func (grant *Grant) accept(decision pool.Decision) (*Grant, pool.Decision) {
	if decision.Verdict != pool.Granted {
		return nil, decision
	}
	grant.Decision = decision
	if decision.Domain != grant.entry.Domain {
		grant.entry.count("entry.grants-outside-domain{large=" + strconv.FormatBool(grant.ask.Large) + "}")
	}
	grant.suspectAfter = grant.entry.services.suspectAfter(grant.Slice.Service, decision.SuspectAt.Sub(grant.entry.Clock()), !grant.entry.End().IsZero())
	grant.entry.held.add(grant)
	return grant, decision
}

// localDecider is the name in DecidedBy for a local decision.
const localDecider = "none, all homes are silent"

// DecidedBy returns the name of the instance that issued the grant, or a fixed text for a local decision.
func (grant *Grant) DecidedBy() string {
	switch {
	case grant.pools == nil:
		return grant.peer.Name
	case grant.pools.local:
		return localDecider
	}
	return grant.entry.Name
}

// ReportOverdue reports that no first byte arrived within the suspicion time. The grant remains in use.
func (grant *Grant) ReportOverdue(reused bool) {
	grant.report(pool.Report{Overdue: true, Reused: reused})
}

// Done ends the grant and reports the outcome of the attempt. Only its first call has an effect.
func (grant *Grant) Done(report pool.Report) {
	if grant.ended.Swap(true) {
		return
	}
	grant.entry.held.remove(grant.ask.Attempt)
	grant.entry.count("backend.attempts{outcome=" + report.Outcome.String() + "}")
	grant.report(report)
}

func (grant *Grant) report(report pool.Report) {
	entry := grant.entry
	report.Attempt, report.Server = grant.ask.Attempt, grant.Server
	report.Entry, report.Domain = entry.Name, entry.Domain
	report.Fingerprint = grant.ask.Fingerprint
	if grant.pools == nil {
		// If the report is lost, the lease of the grant expires at the home.
		_ = entry.Peers.Report(context.Background(), grant.peer, grant.Slice, report)
		return
	}
	now := entry.Clock()
	grant.pools.withPool(now, &entry.members, grant.Slice, func(sp *slicePool) { sp.pool.Report(now, report) })
}
