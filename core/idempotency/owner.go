package idempotency

import (
	"maps"
	"slices"
	"time"
)

// Timing of an owner's own work.
const (
	handoverEvery = 500 * time.Millisecond // between requests for the same keys
	notReadyRetry = time.Second
	progressRetry = time.Second
	expireEvery   = time.Minute
	listGap       = 3 * time.Second // longest time between readings of the list that count as one view
)

// Owner is one entry instance's part in keeping idempotency keys; Self must be set.
//
// An Owner is not safe for concurrent use.
type Owner struct {
	Self Incarnation

	table      *Table
	sightUntil time.Time
	absent     map[Incarnation]time.Time // earlier owners to the time since which the list does not show them
	presentAt  time.Time                 // time of the latest list
	partitions map[int]*partition
	expireAt   time.Time
}

// partition is one partition that this instance owns or has owned.
type partition struct {
	owned   bool
	since   uint64                    // epoch of ownership
	waiting map[Incarnation]time.Time // earlier owners not yet settled, to the next time to ask them
	floor   time.Time                 // keys born before it are unknown
	keys    map[Key]*Record

	// withdrawn holds attempts that were given up before their claim came, to the time of forgetting them. A claim
	// may wait at a frozen owner while the settlement overtakes it on a newer session.
	withdrawn map[uint64]time.Time
}

// Table returns the newest table adopted, or nil.
func (owner *Owner) Table() *Table { return owner.table }

// Adopt takes in a table; older ones are ignored.
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
		owner.resign(p, part, row)
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
	part.waiting = map[Incarnation]time.Time{}
	for _, earlier := range row.Pending {
		if earlier != owner.Self {
			part.waiting[earlier] = time.Time{}
		}
	}
}

// resign ends the serving of a partition; its keys are kept until the new owner has confirmed.
func (owner *Owner) resign(p int, part *partition, row *Partition) {
	if part == nil {
		return
	}
	part.owned = false
	if !slices.Contains(row.Pending, owner.Self) {
		delete(owner.partitions, p)
	}
}

// Sight records that this incarnation was in the table or the list at a time.
func (owner *Owner) Sight(at time.Time) {
	if until := at.Add(SightLength); until.After(owner.sightUntil) {
		owner.sightUntil = until
	}
}

// Serving reports whether the latest sight is young enough to serve.
func (owner *Owner) Serving(now time.Time) bool { return now.Before(owner.sightUntil) }

// Present takes in a reading of the instance list as of a time. A pending earlier owner that it does not show
// counts as gone from then on; one that shows up again does not. After a gap between readings the time starts anew,
// as an instance may have been listed meanwhile.
func (owner *Owner) Present(at time.Time, present func(Incarnation) bool) {
	if owner.absent == nil || at.Sub(owner.presentAt) > listGap {
		owner.absent = map[Incarnation]time.Time{}
	}
	owner.presentAt = at
	pending := map[Incarnation]bool{}
	for _, part := range owner.partitions {
		for earlier := range part.waiting {
			pending[earlier] = true
		}
	}
	maps.DeleteFunc(owner.absent, func(earlier Incarnation, _ time.Time) bool { return !pending[earlier] })
	for earlier := range pending {
		_, since := owner.absent[earlier]
		switch {
		case present(earlier):
			delete(owner.absent, earlier)
		case !since:
			owner.absent[earlier] = at
		}
	}
}

// Claim decides whether a request may run.
func (owner *Owner) Claim(now time.Time, claim Claim) Verdict {
	part, refusal := owner.serving(now, claim)
	if part == nil {
		return refusal
	}
	if claim.Born.After(now.Add(Skew)) {
		return Verdict{Answer: ClockAhead, RetryAt: claim.Born}
	}
	if record := part.keys[claim.Key]; record != nil {
		return repeat(now, record, claim)
	}
	if part.forgotten(now, claim.Born) {
		return Verdict{Answer: MayHaveRun}
	}
	if _, withdrawn := part.withdrawn[claim.Attempt]; withdrawn {
		return Verdict{Answer: NotReady, RetryAt: now.Add(notReadyRetry)}
	}
	part.keys[claim.Key] = &Record{
		Key: claim.Key, Attempt: claim.Attempt, Digest: claim.Digest,
		State: Running, RunBy: claim.RunBy, Expires: now.Add(Retention + Skew),
	}
	return Verdict{Answer: Run, WriteBy: now.Add(WriteLength)}
}

// serving returns the partition of a claim when this owner may answer for it.
func (owner *Owner) serving(now time.Time, claim Claim) (*partition, Verdict) {
	part := owner.partitions[claim.Key.Partition()]
	if owner.table == nil || claim.Epoch > owner.table.Epoch || !owner.Serving(now) {
		return nil, Verdict{Answer: NotReady, RetryAt: now.Add(notReadyRetry)}
	}
	if part == nil || !part.owned {
		return nil, Verdict{Answer: NotOwner, RetryAt: now}
	}
	if len(part.waiting) > 0 {
		return nil, Verdict{Answer: NotReady, RetryAt: now.Add(notReadyRetry)}
	}
	return part, Verdict{}
}

// repeat answers a claim whose key is known.
func repeat(now time.Time, record *Record, claim Claim) Verdict {
	switch {
	case record.Digest != claim.Digest:
		return Verdict{Answer: OtherRequest}
	case record.State == Running && record.Attempt == claim.Attempt:
		return Verdict{Answer: Run, WriteBy: now.Add(WriteLength)}
	case record.State == Running && now.Before(record.RunBy):
		return Verdict{Answer: InProgress, RetryAt: now.Add(progressRetry)}
	case record.State == Ran:
		return Verdict{Answer: AlreadyRan, Status: record.Status}
	}
	return Verdict{Answer: MayHaveRun}
}

// forgotten reports whether the request may have run without being remembered.
func (part *partition) forgotten(now, born time.Time) bool {
	if born.IsZero() {
		return !part.floor.IsZero() && now.Before(part.floor.Add(Retention))
	}
	return born.Before(part.floor) || born.Before(now.Add(-Retention))
}

// Settle records what came of a claim and reports whether this owner keeps the key.
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

// withdraw has the claim of an attempt that was given up leave no record, should it come late.
func (part *partition) withdraw(now time.Time, attempt uint64) {
	if part.withdrawn == nil {
		part.withdrawn = map[uint64]time.Time{}
	}
	part.withdrawn[attempt] = now.Add(Retention)
}
