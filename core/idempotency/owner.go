package idempotency

import (
	"maps"
	"slices"
	"time"
)

// Intervals and retry delays of an owner.
const (
	handoverInterval     = 500 * time.Millisecond // between handover requests for the same partition
	notReadyRetryDelay   = time.Second
	inProgressRetryDelay = time.Second
	expiryInterval       = time.Minute
	maxListGap           = 3 * time.Second // a longer gap between list snapshots restarts absence times
)

// Owner stores the idempotency keys of the partitions owned by one entry instance; Self must be set.
//
// An Owner is not safe for concurrent use.
type Owner struct {
	Self Incarnation

	table        *Table
	leaseExpiry  time.Time
	absentSince  map[Incarnation]time.Time // earlier owners missing from the list, and since when
	absentAsOf   time.Time                 // time of the latest list snapshot
	partitions   map[int]*partition
	nextExpiryAt time.Time
}

// partition is one partition that this instance owns or has owned.
type partition struct {
	owned    bool
	since    uint64                    // epoch at which this instance became the owner
	awaiting map[Incarnation]time.Time // earlier owners still to hand over, and when to ask them next
	floor    time.Time                 // requests with keys created before it may have run
	keys     map[Key]*Record

	// withdrawn holds attempts that were settled as not run before their claim arrived, and when to forget them.
	// A claim can stay queued at a frozen owner while its settlement overtakes it on a newer session.
	withdrawn map[uint64]time.Time
}

// Table returns the newest adopted table, or nil.
func (owner *Owner) Table() *Table { return owner.table }

// Adopt applies a table, unless a table of the same or a later epoch has been adopted.
func (owner *Owner) Adopt(table *Table) {
	if owner.table != nil && table.Epoch <= owner.table.Epoch {
		return
	}
	owner.table = table
	if owner.partitions == nil {
		owner.partitions = map[int]*partition{}
	}
	for p := range table.Partitions {
		owner.adoptRow(p, &table.Partitions[p])
	}
}

func (owner *Owner) adoptRow(p int, row *Partition) {
	part := owner.partitions[p]
	if row.Owner != owner.Self {
		owner.releasePartition(p, part, row)
		return
	}
	if part == nil {
		part = &partition{keys: map[Key]*Record{}}
		owner.partitions[p] = part
	}
	if part.owned && part.since == row.Since {
		return
	}
	part.owned, part.since = true, row.Since
	part.awaiting = map[Incarnation]time.Time{}
	for _, earlier := range row.Pending {
		if earlier != owner.Self {
			part.awaiting[earlier] = time.Time{}
		}
	}
}

// releasePartition stops serving a partition. Its keys are kept until the table no longer lists this instance as pending.
func (owner *Owner) releasePartition(p int, part *partition, row *Partition) {
	if part == nil {
		return
	}
	part.owned = false
	if !slices.Contains(row.Pending, owner.Self) {
		delete(owner.partitions, p)
	}
}

// RenewLease extends the lease from a time at which this incarnation was in the table or the list.
func (owner *Owner) RenewLease(at time.Time) {
	if until := at.Add(LeaseDuration); until.After(owner.leaseExpiry) {
		owner.leaseExpiry = until
	}
}

// LeaseValid reports whether this instance may serve its partitions.
func (owner *Owner) LeaseValid(now time.Time) bool { return now.Before(owner.leaseExpiry) }

// UpdateAbsent records which awaited earlier owners are missing from the instance list at a time. The absence of an owner
// ends when it is listed again. After a gap of more than maxListGap between calls all absences start again, because an
// instance may have been listed in between.
func (owner *Owner) UpdateAbsent(at time.Time, listed func(Incarnation) bool) {
	if owner.absentSince == nil || at.Sub(owner.absentAsOf) > maxListGap {
		owner.absentSince = map[Incarnation]time.Time{}
	}
	owner.absentAsOf = at
	pending := map[Incarnation]bool{}
	for _, part := range owner.partitions {
		for earlier := range part.awaiting {
			pending[earlier] = true
		}
	}
	maps.DeleteFunc(owner.absentSince, func(earlier Incarnation, _ time.Time) bool { return !pending[earlier] })
	for earlier := range pending {
		_, absent := owner.absentSince[earlier]
		switch {
		case listed(earlier):
			delete(owner.absentSince, earlier)
		case !absent:
			owner.absentSince[earlier] = at
		}
	}
}

// Claim decides whether a request may run.
func (owner *Owner) Claim(now time.Time, claim Claim) Verdict {
	part, refusal := owner.servingPartition(now, claim)
	if part == nil {
		return refusal
	}
	if claim.CreatedAt.After(now.Add(MaxClockSkew)) {
		return Verdict{Answer: ClockAhead, RetryAt: claim.CreatedAt}
	}
	if record := part.keys[claim.Key]; record != nil {
		return repeatedClaim(now, record, claim)
	}
	if part.mayHaveForgotten(now, claim.CreatedAt) {
		return Verdict{Answer: MayHaveRun}
	}
	if _, withdrawn := part.withdrawn[claim.Attempt]; withdrawn {
		return Verdict{Answer: NotReady, RetryAt: now.Add(notReadyRetryDelay)}
	}
	part.keys[claim.Key] = &Record{
		Key: claim.Key, Attempt: claim.Attempt, Digest: claim.Digest,
		State: Running, Deadline: claim.Deadline, Expires: now.Add(Retention + MaxClockSkew),
	}
	return Verdict{Answer: Allowed, WriteDeadline: now.Add(WriteStartTimeout)}
}

// servingPartition returns the partition of a claim if this owner serves it, or nil and the verdict to return.
func (owner *Owner) servingPartition(now time.Time, claim Claim) (*partition, Verdict) {
	part := owner.partitions[claim.Key.Partition()]
	if owner.table == nil || claim.Epoch > owner.table.Epoch || !owner.LeaseValid(now) {
		return nil, Verdict{Answer: NotReady, RetryAt: now.Add(notReadyRetryDelay)}
	}
	if part == nil || !part.owned {
		return nil, Verdict{Answer: NotOwner, RetryAt: now}
	}
	if len(part.awaiting) > 0 {
		return nil, Verdict{Answer: NotReady, RetryAt: now.Add(notReadyRetryDelay)}
	}
	return part, Verdict{}
}

// repeatedClaim returns the verdict on a claim whose key has a record.
func repeatedClaim(now time.Time, record *Record, claim Claim) Verdict {
	switch {
	case record.Digest != claim.Digest:
		return Verdict{Answer: RequestMismatch}
	case record.State == Running && record.Attempt == claim.Attempt:
		return Verdict{Answer: Allowed, WriteDeadline: now.Add(WriteStartTimeout)}
	case record.State == Running && now.Before(record.Deadline):
		return Verdict{Answer: InProgress, RetryAt: now.Add(inProgressRetryDelay)}
	case record.State == Ran:
		return Verdict{Answer: AlreadyRan, Status: record.Status}
	}
	return Verdict{Answer: MayHaveRun}
}

// mayHaveForgotten reports whether a request without a record may have run: its record may be lost or expired.
func (part *partition) mayHaveForgotten(now, createdAt time.Time) bool {
	if createdAt.IsZero() {
		return !part.floor.IsZero() && now.Before(part.floor.Add(Retention))
	}
	return createdAt.Before(part.floor) || createdAt.Before(now.Add(-Retention))
}

// Settle records the outcome of a claim. It returns false if this instance does not own the key's partition.
func (owner *Owner) Settle(now time.Time, settlement Settlement) bool {
	part := owner.partitions[settlement.Key.Partition()]
	if part == nil || !part.owned {
		return false
	}
	record := part.keys[settlement.Key]
	if record == nil || record.Attempt != settlement.Attempt {
		if settlement.NotRun {
			part.withdraw(now, settlement.Attempt)
		}
		return true
	}
	switch {
	case settlement.NotRun && record.State == Running:
		delete(part.keys, settlement.Key)
	case settlement.Ran:
		record.State, record.Status = Ran, settlement.Status
	case record.State == Running:
		record.State = Unknown
	}
	return true
}

// withdraw ensures that a late claim of an attempt that was settled as not run leaves no record.
func (part *partition) withdraw(now time.Time, attempt uint64) {
	if part.withdrawn == nil {
		part.withdrawn = map[uint64]time.Time{}
	}
	part.withdrawn[attempt] = now.Add(Retention)
}
