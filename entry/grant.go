package entry

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// Grant is a permission to send one attempt to a backend server. Done must be called once.
type Grant struct {
	pool.Decision
	Slice home.Slice

	entry  *Entry
	ask    pool.Ask
	sendBy time.Time // the server and the slot may be another's after it
	peer   Peer      // the home that granted, when another instance
	local  *homes    // the pools that granted, when here
}

// SliceFor returns the slice that decides a request.
func (entry *Entry) SliceFor(service string, seed uint64) home.Slice {
	slices := entry.members.plan().slices(service)
	return home.Slice{Service: service, Index: int(seed % uint64(slices))}
}

// mostSlicesAsked bounds the slices of a service that one ask goes to: each takes a message there and back.
const mostSlicesAsked = 4

// AcquireAny acquires a grant in a service's slice, or in another one while that has no free slot of a server that likely
// answers: requests that are alike have the same slice first, and they must not wait, nor go to servers that fail, while
// other slices have free ones in order.
func (entry *Entry) AcquireAny(ctx context.Context, slice home.Slice, ask pool.Ask) (*Grant, pool.Decision) {
	slices := entry.members.plan().slices(slice.Service)
	if slices <= 1 {
		return entry.Acquire(ctx, slice, ask)
	}
	eager := ask
	eager.NoWait = true
	asked := min(slices, mostSlicesAsked)
	for i := range asked {
		grant, decision := entry.Acquire(ctx, neighbour(slice, i, slices), eager)
		if grant != nil || !mayFitElsewhere(decision.Verdict) {
			return grant, decision
		}
	}
	grant, decision := entry.Acquire(ctx, slice, ask)
	for i := 1; i < asked && decision.Verdict == pool.Paused; i++ {
		grant, decision = entry.Acquire(ctx, neighbour(slice, i, slices), ask)
	}
	return grant, decision
}

// grantLength is how long a grant may be sent: the home takes back what an instance does not say it holds after as long.
const grantLength = 2 * time.Second

// Expired reports whether the grant must not be sent any more: this instance was paused since it asked.
func (grant *Grant) Expired() bool { return grant.entry.Clock().After(grant.sendBy) }

// neighbour returns the slice so many places on.
func neighbour(slice home.Slice, on, slices int) home.Slice {
	return home.Slice{Service: slice.Service, Index: (slice.Index + on) % slices}
}

// mayFitElsewhere reports whether an ask that was refused in a slice may fit into another one.
func mayFitElsewhere(verdict pool.Verdict) bool {
	return verdict == pool.Full || verdict == pool.Limited || verdict == pool.Paused
}

// Acquire asks the slice's home for a grant, then its standby, then decides alone. The grant is nil when the decision is a refusal.
func (entry *Entry) Acquire(ctx context.Context, slice home.Slice, ask pool.Ask) (*Grant, pool.Decision) {
	for range mostGivenBack {
		askedAt := entry.Clock()
		var free time.Time
		ask.Paused, free = entry.notices.paused(askedAt, slice.Service)
		grant, decision := entry.acquire(ctx, slice, ask)
		if grant == nil {
			return nil, sooner(decision, free)
		}
		// By this instance's own clock: how long the decision was on its way is not known to the home.
		grant.sendBy = askedAt.Add(decision.Waited + grantLength)
		unwanted, leaving := grant.unavailable()
		switch {
		case unwanted:
			entry.count("entry.leaving-servers-granted")
			grant.Done(pool.Report{Outcome: pool.Unused, Leaving: leaving})
			ask.Exclude = append(slices.Clone(ask.Exclude), grant.Server)
		case grant.Expired():
			// This instance was paused, or the decision was late.
			entry.count("entry.expired-grants")
			grant.Done(pool.Report{Outcome: pool.Unused})
		case entry.notices.isPaused(entry.Clock(), slice.Service, grant.Server):
			// The server turned this instance away while the ask was on its way.
			entry.count("entry.paused-servers-granted")
			grant.Done(pool.Report{Outcome: pool.Unused})
		default:
			return grant, decision
		}
		ask.Attempt = entry.attempts.Add(1)
	}
	return nil, pool.Decision{Attempt: ask.Attempt, Verdict: pool.Full, RetryAt: entry.Clock().Add(givenBackRetry)}
}

// sooner brings the time at which a paused ask may come back forward to the end of the first pause.
func sooner(decision pool.Decision, free time.Time) pool.Decision {
	if decision.Verdict == pool.Paused && free.Before(decision.RetryAt) {
		decision.RetryAt = free
	}
	return decision
}

// Bounds of grants that are given back unused.
const (
	mostGivenBack  = 8                      // for one ask
	givenBackRetry = 200 * time.Millisecond // for the caller after them; the home knows better by then
)

func (entry *Entry) acquire(ctx context.Context, slice home.Slice, ask pool.Ask) (*Grant, pool.Decision) {
	ask.Entry, ask.Domain = entry.Name, entry.Domain
	grant := &Grant{Slice: slice, entry: entry, ask: ask}
	for _, at := range entry.deciders(slice) {
		if at.Name == entry.Name {
			return grant.acquireHere(ctx, &entry.homes)
		}
		grant.peer = Peer{at.Name, at.Peer}
		decision, err := entry.askPeer(ctx, grant.peer, slice, ask)
		if err == nil && decision.Verdict != pool.NotReady {
			return grant.taken(decision)
		}
		if ctx.Err() != nil {
			return nil, pool.Decision{Verdict: pool.Full, RetryAt: entry.Clock()}
		}
		entry.count("entry.silent-homes")
	}
	entry.count("entry.decided-alone")
	return grant.acquireHere(ctx, &entry.alone)
}

// deciders returns a slice's home and standby, without those that were silent lately: asking them again each time would
// cost every request its patience with them.
func (entry *Entry) deciders(slice home.Slice) []instance.Entry {
	if entry.DecideAlone {
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

// askPeer asks another instance, after telling it of outstanding grants when it is new as this slice's home.
func (entry *Entry) askPeer(ctx context.Context, to Peer, slice home.Slice, ask pool.Ask) (pool.Decision, error) {
	if entry.held.isNewHome(slice, to.Name) {
		// A lost renewal is made good by the next periodic one.
		_ = entry.Peers.Renew(ctx, to, Renewal{Slices: []SliceRenewal{entry.renewal(slice)}})
	}
	decision, standing, err := entry.Peers.Ask(ctx, to, slice, ask)
	if err != nil {
		return pool.Decision{}, err
	}
	entry.held.setEjected(slice, standing.Ejected)
	entry.recordLeaving(slice.Service, standing.Leaving)
	return decision, nil
}

func (grant *Grant) acquireHere(ctx context.Context, local *homes) (*Grant, pool.Decision) {
	entry := grant.entry
	grant.local = local
	now := entry.Clock()
	if local.alone {
		entry.restoreAlone(now, grant.Slice)
	}
	decisions := make(chan pool.Decision, 2)
	local.ask(now, &entry.members, grant.Slice, grant.ask, func(d pool.Decision) { decisions <- d })
	for {
		select {
		case decision := <-decisions:
			if decision.Verdict != pool.Queued {
				return grant.taken(decision)
			}
		case <-ctx.Done():
			local.withdraw(entry.Clock(), &entry.members, grant.Slice, grant.ask.Attempt)
			grant.discard(local)
			return nil, pool.Decision{Verdict: pool.Full, RetryAt: entry.Clock()}
		}
	}
}

// discard frees a grant that was made while its ask was withdrawn.
func (grant *Grant) discard(local *homes) {
	now := grant.entry.Clock()
	local.with(now, &grant.entry.members, grant.Slice, func(sp *slicePool) {
		sp.pool.Discard(now, grant.ask.Attempt)
	})
}

// restoreAlone tells the pool of this instance's own decisions what homes said of ejections.
func (entry *Entry) restoreAlone(now time.Time, slice home.Slice) {
	ejected := entry.held.ejectedIn(slice)
	if len(ejected) == 0 {
		return
	}
	entry.alone.with(now, &entry.members, slice, func(sp *slicePool) { sp.pool.RestoreEjected(now, ejected) })
}

func (grant *Grant) taken(decision pool.Decision) (*Grant, pool.Decision) {
	if decision.Verdict != pool.Granted {
		return nil, decision
	}
	grant.Decision = decision
	grant.entry.held.add(grant)
	return grant, decision
}

// aloneDecider stands for the decider of a grant that was made without any home.
const aloneDecider = "none, all homes are silent"

// DecidedBy returns the name of the instance that granted.
func (grant *Grant) DecidedBy() string {
	switch {
	case grant.local == nil:
		return grant.peer.Name
	case grant.local.alone:
		return aloneDecider
	}
	return grant.entry.Name
}

// Overdue reports that no first byte came by the time of suspicion; the grant goes on.
func (grant *Grant) Overdue(reused bool) {
	grant.report(pool.Report{Overdue: true, Reused: reused})
}

// Done ends the grant with the outcome of the attempt.
func (grant *Grant) Done(report pool.Report) {
	grant.entry.held.remove(grant.ask.Attempt)
	grant.entry.count("backend.attempts{outcome=" + report.Outcome.String() + "}")
	grant.report(report)
}

func (grant *Grant) report(report pool.Report) {
	entry := grant.entry
	report.Attempt, report.Server = grant.ask.Attempt, grant.Server
	report.Entry, report.Domain = entry.Name, entry.Domain
	report.Fingerprint = grant.ask.Fingerprint
	if grant.local == nil {
		// A lost report is made good by the grant's lease.
		_ = entry.Peers.Report(context.Background(), grant.peer, grant.Slice, report)
		return
	}
	now := entry.Clock()
	grant.local.with(now, &entry.members, grant.Slice, func(sp *slicePool) { sp.pool.Report(now, report) })
}
