package idempotency

import (
	"maps"
	"slices"
	"time"
)

// Handover requests the keys of partitions from an earlier owner.
type Handover struct {
	Target     Incarnation
	Epoch      uint64 // table epoch as of which the target owns them
	Partitions []int
}

// HandoverReply answers a Handover. The source does not serve the listed partitions at epochs below Epoch.
type HandoverReply struct {
	Source     Incarnation
	Epoch      uint64
	Partitions []int
	Records    []Record
	Floors     map[int]time.Time
}

// HandOver returns the keys for a handover request, or false if this owner has not adopted the target's table yet.
//
// The owner stopped serving the partitions when it adopted the table, so the returned keys are final.
func (owner *Owner) HandOver(handover Handover) (HandoverReply, bool) {
	if owner.table == nil || owner.table.Epoch < handover.Epoch {
		return HandoverReply{}, false
	}
	reply := HandoverReply{Source: owner.Self, Epoch: handover.Epoch, Floors: map[int]time.Time{}}
	for _, p := range handover.Partitions {
		if p < 0 || p >= PartitionCount {
			continue
		}
		part := owner.partitions[p]
		if part != nil && part.owned {
			continue
		}
		reply.Partitions = append(reply.Partitions, p)
		if part == nil {
			continue
		}
		reply.Floors[p] = part.floor
		for _, record := range part.keys {
			reply.Records = append(reply.Records, *record)
		}
	}
	return reply, true
}

// TakeOver stores the keys that an earlier owner handed over.
func (owner *Owner) TakeOver(reply HandoverReply) {
	for _, p := range reply.Partitions {
		part := owner.partitions[p]
		if part == nil || !part.owned || reply.Epoch < part.since {
			continue
		}
		if _, awaiting := part.awaiting[reply.Source]; !awaiting {
			continue
		}
		part.raiseFloor(reply.Floors[p])
		for _, record := range reply.Records {
			if record.Key.Partition() == p {
				part.merge(record)
			}
		}
		delete(part.awaiting, reply.Source)
	}
}

func (part *partition) raiseFloor(floor time.Time) {
	if floor.After(part.floor) {
		part.floor = floor
	}
}

// merge stores a record unless the known one has a final state, and skips the running record of a withdrawn attempt.
// If two attempts were allowed for one key, neither is treated as not run.
func (part *partition) merge(record Record) {
	if _, withdrawn := part.withdrawn[record.Attempt]; withdrawn && record.State == Running {
		return
	}
	known := part.keys[record.Key]
	if known == nil || known.State == Running {
		part.keys[record.Key] = &record
	}
}

// Actions are the requests and writes that are due.
type Actions struct {
	Handovers map[Incarnation]Handover // handovers to request, by earlier owner
	NewTable  *Table                   // table to write, nil for none
	Revision  uint64                   // store revision of the table that NewTable replaces
	Reason    string                   // of the change to the table, for logs
}

// advanceTakeovers returns the handovers to request, and the partitions taken over, with the epoch of ownership, that the
// table still lists as pending.
func (owner *Owner) advanceTakeovers(now time.Time) (handovers map[Incarnation]Handover, takenOver map[int]uint64) {
	handovers, takenOver = map[Incarnation]Handover{}, map[int]uint64{}
	owner.expireKeys(now)
	for p, part := range owner.partitions {
		if !part.owned {
			continue
		}
		owner.dropFenced(now, part)
		owner.requestHandovers(now, p, part, handovers)
		if len(part.awaiting) == 0 && len(owner.table.Partitions[p].Pending) > 0 {
			takenOver[p] = part.since
		}
	}
	return handovers, takenOver
}

// dropFenced stops waiting for earlier owners that have been absent for FenceDuration, measured in the list's time.
//
// Their keys are lost, so requests with keys created before now may have run.
func (owner *Owner) dropFenced(now time.Time, part *partition) {
	for earlier := range part.awaiting {
		since, absent := owner.absentSince[earlier]
		if !absent || owner.absentAsOf.Before(since.Add(FenceDuration)) {
			continue
		}
		part.raiseFloor(now.Add(2 * MaxClockSkew))
		delete(part.awaiting, earlier)
	}
}

func (owner *Owner) requestHandovers(now time.Time, p int, part *partition, handovers map[Incarnation]Handover) {
	for earlier, nextAt := range part.awaiting {
		if now.Before(nextAt) {
			continue
		}
		part.awaiting[earlier] = now.Add(handoverInterval)
		handover := handovers[earlier]
		handover.Target, handover.Epoch = owner.Self, owner.table.Epoch
		handover.Partitions = append(handover.Partitions, p)
		handovers[earlier] = handover
	}
}

// expireKeys deletes keys and withdrawn attempts past their retention.
func (owner *Owner) expireKeys(now time.Time) {
	if now.Before(owner.nextExpiryAt) {
		return
	}
	owner.nextExpiryAt = now.Add(expiryInterval)
	for _, part := range owner.partitions {
		maps.DeleteFunc(part.keys, func(_ Key, record *Record) bool { return !now.Before(record.Expires) })
		maps.DeleteFunc(part.withdrawn, func(_ uint64, expires time.Time) bool { return !now.Before(expires) })
	}
}

// OwnerStatus is the state of an owner that is shown to operators. Its field names are part of the status document.
type OwnerStatus struct {
	Epoch    uint64
	Owned    int
	Waiting  int // owned, but waiting for earlier owners
	Keys     int
	Serving  bool
	Awaiting []Incarnation // earlier owners still to hand over
}

// OwnerStatus returns the state of the owner.
func (owner *Owner) OwnerStatus(now time.Time) OwnerStatus {
	status := OwnerStatus{Serving: owner.LeaseValid(now)}
	if owner.table != nil {
		status.Epoch = owner.table.Epoch
	}
	for _, part := range owner.partitions {
		status.Keys += len(part.keys)
		if !part.owned {
			continue
		}
		status.Owned++
		if len(part.awaiting) > 0 {
			status.Waiting++
		}
		for earlier := range part.awaiting {
			if !slices.Contains(status.Awaiting, earlier) {
				status.Awaiting = append(status.Awaiting, earlier)
			}
		}
	}
	return status
}
