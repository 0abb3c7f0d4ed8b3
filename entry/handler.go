package entry

import (
	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// HandleAsk decides another instance's ask. It calls reply once, or twice if the first decision is pool.Queued.
func (entry *Entry) HandleAsk(slice home.Slice, ask pool.Ask, reply func(pool.Decision, pool.Snapshot)) {
	entry.count("home.asks")
	now := entry.Clock()
	if len(entry.members.plan().servers[slice.Service]) == 0 {
		reply(pool.Decision{Attempt: ask.Attempt, Verdict: pool.NotReady, RetryAt: now}, pool.Snapshot{})
		return
	}
	entry.homePools.ask(now, &entry.members, slice, ask, func(decision pool.Decision) {
		reply(decision, entry.snapshot(slice, ask.Entry))
	})
}

// snapshot returns the status of a slice's servers as known to this instance as home. It includes the load if the asking instance
// needs it.
func (entry *Entry) snapshot(slice home.Slice, asker string) pool.Snapshot {
	now := entry.Clock()
	shard := entry.homePools.shard(slice)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	sp := shard.pools[slice]
	if sp == nil {
		return pool.Snapshot{}
	}
	snapshot := sp.pool.Snapshot()
	if entry.Locality.Enabled {
		snapshot.Load = sp.reports.next(now, asker, sp.pool.Load(now))
	}
	return snapshot
}

// HandleReport applies a report from another instance.
func (entry *Entry) HandleReport(slice home.Slice, report pool.Report) {
	now := entry.Clock()
	entry.homePools.withPool(now, &entry.members, slice, func(sp *slicePool) {
		if report.Outcome == pool.Unused {
			sp.pool.Withdraw(report.Attempt)
			delete(sp.waiting, report.Attempt)
		}
		sp.pool.Report(now, report)
	})
}

// HandleRenew renews the grants of an instance and applies the server state that it knows, for slices decided here.
func (entry *Entry) HandleRenew(name, domain string, renewal Renewal) {
	now := entry.Clock()
	for _, r := range renewal.Slices {
		entry.recordLeaving(r.Slice.Service, r.Snapshot.Leaving)
		local := name == entry.Name
		if local && !entry.homePools.has(r.Slice) {
			continue
		}
		entry.homePools.withPool(now, &entry.members, r.Slice, func(sp *slicePool) {
			sp.pool.RestoreEjected(now, r.Snapshot.Ejected)
			sp.pool.RestoreLeaving(r.Snapshot.Leaving)
			sp.pool.Renew(now, name, domain, r.Grants)
			sp.pool.Reconcile(now, name, r.Grants)
		})
	}
}

// has reports whether there is a pool for the slice.
func (pools *pools) has(slice home.Slice) bool {
	shard := pools.shard(slice)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.pools[slice] != nil
}

// HandleClaim decides a claim from another instance.
func (entry *Entry) HandleClaim(claim idempotency.Claim) idempotency.Verdict {
	return entry.keys.claim(entry.Clock(), claim)
}

// HandleSettle applies a settlement and reports whether this instance owns the key.
func (entry *Entry) HandleSettle(settlement idempotency.Settlement) bool {
	return entry.keys.settle(entry.Clock(), settlement)
}

// HandleHandover returns the keys of partitions to their new owner. It returns false if this instance has not read that version of
// the key table yet.
func (entry *Entry) HandleHandover(handover idempotency.Handover) (idempotency.HandoverReply, bool) {
	keys, known := entry.keys.handOver(handover)
	if !known {
		entry.keys.requestTable()
	}
	return keys, known
}

// HandleVersions requests newer rules or a newer key table if the versions in a message from another instance are ahead.
func (entry *Entry) HandleVersions(from Peer, rulesVersion, tableEpoch uint64) {
	if rulesVersion > entry.rules.load().version {
		entry.rules.requestFrom(from)
	}
	if tableEpoch > entry.keys.epoch() {
		entry.keys.requestTable()
	}
}

// Versions returns the versions to include in every message.
func (entry *Entry) Versions() (rulesVersion, tableEpoch uint64) {
	return entry.rules.load().version, entry.keys.epoch()
}

// HandlePullRules returns the active rules if they are newer than the given version. Otherwise it returns version 0.
func (entry *Entry) HandlePullRules(have uint64) (uint64, string) {
	current := entry.rules.load()
	if current.version <= have {
		return 0, ""
	}
	return current.version, current.text
}

// PeerNamed returns a listed instance's name and address.
func (entry *Entry) PeerNamed(name string) (Peer, bool) {
	other, listed := entry.members.plan().byName[name]
	return Peer{name, other.Peer}, listed
}
