package entry

import (
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// HandleAsk decides another instance's ask. Reply is called once, or twice when the first decision is Queued.
func (entry *Entry) HandleAsk(slice home.Slice, ask pool.Ask, reply func(pool.Decision, pool.Snapshot)) {
	entry.count("home.asks")
	now := entry.Clock()
	if len(entry.members.plan().servers[slice.Service]) == 0 {
		reply(pool.Decision{Attempt: ask.Attempt, Verdict: pool.NotReady, RetryAt: now}, pool.Snapshot{})
		return
	}
	entry.homes.ask(now, &entry.members, slice, ask, func(decision pool.Decision) {
		reply(decision, entry.standing(slice))
	})
}

// standing returns what this instance as their home knows of a slice's servers.
func (entry *Entry) standing(slice home.Slice) pool.Snapshot {
	shard := entry.homes.shard(slice)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	sp := shard.pools[slice]
	if sp == nil {
		return pool.Snapshot{}
	}
	return sp.pool.Snapshot()
}

// HandleReport takes in another instance's report.
func (entry *Entry) HandleReport(slice home.Slice, report pool.Report) {
	now := entry.Clock()
	entry.homes.with(now, &entry.members, slice, func(sp *slicePool) {
		if report.Outcome == pool.Unused {
			sp.pool.Withdraw(report.Attempt)
			delete(sp.waiting, report.Attempt)
		}
		sp.pool.Report(now, report)
	})
}

// HandleRenew takes in an instance's grants and what it knows of the servers, in the slices that are decided here.
func (entry *Entry) HandleRenew(name, domain string, renewal Renewal) {
	now := entry.Clock()
	for _, r := range renewal.Slices {
		entry.recordLeaving(r.Slice.Service, r.Standing.Leaving)
		local := name == entry.Name
		if local && !entry.homes.has(r.Slice) {
			continue
		}
		entry.homes.with(now, &entry.members, r.Slice, func(sp *slicePool) {
			sp.pool.RestoreEjected(now, r.Standing.Ejected)
			sp.pool.RestoreLeaving(r.Standing.Leaving)
			sp.pool.Renew(now, name, domain, r.Held)
			sp.pool.Reconcile(now, name, r.Held)
		})
	}
}

// has reports whether a slice has a pool here.
func (homes *homes) has(slice home.Slice) bool {
	shard := homes.shard(slice)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.pools[slice] != nil
}

// HandleClaim decides another instance's claim.
func (entry *Entry) HandleClaim(claim idempotency.Claim) idempotency.Verdict {
	return entry.keys.claim(entry.Clock(), claim)
}

// HandleSettle takes in a settlement and reports whether the key is kept here.
func (entry *Entry) HandleSettle(settlement idempotency.Settlement) bool {
	return entry.keys.settle(entry.Clock(), settlement)
}

// HandleHandover gives the keys of partitions to their new owner; false means that the table is not known here yet.
func (entry *Entry) HandleHandover(handover idempotency.Handover) (idempotency.HandoverReply, bool) {
	keys, known := entry.keys.give(handover)
	if !known {
		entry.keys.wantTable()
	}
	return keys, known
}

// HandleVersions takes in the versions that came with another instance's message.
func (entry *Entry) HandleVersions(from Peer, rulesVersion, tableEpoch uint64) {
	if rulesVersion > entry.rules.load().version {
		entry.rules.requestFrom(from)
	}
	if tableEpoch > entry.keys.epoch() {
		entry.keys.wantTable()
	}
}

// Versions returns the versions to send along with every message.
func (entry *Entry) Versions() (rulesVersion, tableEpoch uint64) {
	return entry.rules.load().version, entry.keys.epoch()
}

// HandlePullRules returns the rules in force here when they are newer; version 0 stands for none.
func (entry *Entry) HandlePullRules(have uint64) (uint64, string) {
	current := entry.rules.load()
	if current.version <= have {
		return 0, ""
	}
	return current.version, current.text
}

// HandleTakeTokens grants a part of a team's limit.
func (entry *Entry) HandleTakeTokens(team string, want int) (int, time.Time) {
	return entry.limits.grant(entry.Clock(), entry.teamLimit(team), team, want)
}

// PeerNamed returns a listed instance's name and address.
func (entry *Entry) PeerNamed(name string) (Peer, bool) {
	other, listed := entry.members.plan().byName[name]
	return Peer{name, other.Peer}, listed
}
