package idempotency

import (
	"maps"
	"slices"
	"time"
)

// Handover asks an earlier owner for the keys of partitions.
type Handover struct {
	Taker      Incarnation
	Epoch      uint64 // table epoch by which the taker owns them
	Partitions []int
}

// Keys answers a Handover: the giver will not serve the partitions at epochs below.
type Keys struct {
	Giver      Incarnation
	Epoch      uint64
	Partitions []int
	Records    []Record
	Floors     map[int]time.Time
}

// Give answers a handover; false means that this owner does not know the taker's table yet.
//
// Adopting the table ended the serving of the partitions, so the keys given are final.
func (owner *Owner) Give(handover Handover) (Keys, bool) {
	if owner.table == nil || owner.table.Epoch < handover.Epoch {
		return Keys{}, false
	}
	keys := Keys{Giver: owner.Self, Epoch: handover.Epoch, Floors: map[int]time.Time{}}
	for _, p := range handover.Partitions {
		if p < 0 || p >= Partitions {
			continue
		}
		part := owner.partitions[p]
		if part != nil && part.owned {
			continue
		}
		keys.Partitions = append(keys.Partitions, p)
		if part == nil {
			continue
		}
		keys.Floors[p] = part.floor
		for _, record := range part.keys {
			keys.Records = append(keys.Records, *record)
		}
	}
	return keys, true
}

// Receive takes over keys.
func (owner *Owner) Receive(keys Keys) {
	for _, p := range keys.Partitions {
		part := owner.partitions[p]
		if part == nil || !part.owned || keys.Epoch < part.since {
			continue
		}
		if _, waiting := part.waiting[keys.Giver]; !waiting {
			continue
		}
		part.raiseFloor(keys.Floors[p])
		for _, record := range keys.Records {
			if record.Key.Partition() == p {
				part.merge(record)
			}
		}
		delete(part.waiting, keys.Giver)
	}
}

func (part *partition) raiseFloor(floor time.Time) {
	if floor.After(part.floor) {
		part.floor = floor
	}
}

// merge keeps the record that knows more; two attempts allowed for one key are never told apart as not run.
func (part *partition) merge(record Record) {
	if _, withdrawn := part.withdrawn[record.Attempt]; withdrawn && record.State == Running {
		return
	}
	known := part.keys[record.Key]
	if known == nil || known.State == Running {
		part.keys[record.Key] = &record
	}
}

// Actions are what an owner wants done.
type Actions struct {
	Ask      map[Incarnation]Handover // handovers to request
	Swap     *Table                   // table to write, nil for none
	Revision uint64                   // of the table that the one to write replaces
	Reason   string                   // for the table's change
}

// tick settles gone earlier owners whose fence is over; it returns the handovers to request, and the settled
// partitions with their epochs, to be confirmed in the table.
func (owner *Owner) tick(now time.Time) (ask map[Incarnation]Handover, confirm map[int]uint64) {
	ask, confirm = map[Incarnation]Handover{}, map[int]uint64{}
	owner.expire(now)
	for p, part := range owner.partitions {
		if !part.owned {
			continue
		}
		owner.settleGone(now, part)
		owner.askEarlier(now, p, part, ask)
		if len(part.waiting) == 0 && len(owner.table.Partitions[p].Pending) > 0 {
			confirm[p] = part.since
		}
	}
	return ask, confirm
}

// settleGone ends the wait for earlier owners that have been gone for the fence's length, by the list's own time.
//
// Whatever they remembered is lost: keys born before now are unknown from here on.
func (owner *Owner) settleGone(now time.Time, part *partition) {
	for earlier := range part.waiting {
		since, gone := owner.absent[earlier]
		if !gone || owner.presentAt.Before(since.Add(FenceLength)) {
			continue
		}
		part.raiseFloor(now.Add(2 * Skew))
		delete(part.waiting, earlier)
	}
}

func (owner *Owner) askEarlier(now time.Time, p int, part *partition, ask map[Incarnation]Handover) {
	for earlier, nextAt := range part.waiting {
		if now.Before(nextAt) {
			continue
		}
		part.waiting[earlier] = now.Add(handoverEvery)
		handover := ask[earlier]
		handover.Taker, handover.Epoch = owner.Self, owner.table.Epoch
		handover.Partitions = append(handover.Partitions, p)
		ask[earlier] = handover
	}
}

// expire forgets keys past their retention.
func (owner *Owner) expire(now time.Time) {
	if now.Before(owner.expireAt) {
		return
	}
	owner.expireAt = now.Add(expireEvery)
	for _, part := range owner.partitions {
		maps.DeleteFunc(part.keys, func(_ Key, record *Record) bool { return !now.Before(record.Expires) })
		maps.DeleteFunc(part.withdrawn, func(_ uint64, expires time.Time) bool { return !now.Before(expires) })
	}
}

// Standing counts an owner's partitions, for operators.
type Standing struct {
	Epoch    uint64
	Owned    int
	Waiting  int // owned and not yet served
	Keys     int
	Serving  bool
	Awaiting []Incarnation // earlier owners not settled
}

// Standing returns the owner's counts.
func (owner *Owner) Standing(now time.Time) Standing {
	standing := Standing{Serving: owner.Serving(now)}
	if owner.table != nil {
		standing.Epoch = owner.table.Epoch
	}
	for _, part := range owner.partitions {
		standing.Keys += len(part.keys)
		if !part.owned {
			continue
		}
		standing.Owned++
		if len(part.waiting) > 0 {
			standing.Waiting++
		}
		for earlier := range part.waiting {
			if !slices.Contains(standing.Awaiting, earlier) {
				standing.Awaiting = append(standing.Awaiting, earlier)
			}
		}
	}
	return standing
}
