package idempotency

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
)

var start = time.Unix(1_800_000_000, 0)

func TestCreatedAtReadsUUIDv7Only(t *testing.T) {
	id := uuid.Must(uuid.NewV7())
	must.Between(t, time.Now().Add(-time.Minute).Unix(), CreatedAt(id.String()).Unix(), time.Now().Add(time.Minute).Unix())
	must.True(t, CreatedAt(uuid.NewString()).IsZero())
	must.True(t, CreatedAt("release-17").IsZero())
}

// TestEarlierOwnerStopsBeforeTheNextServes checks the takeover from an owner that is still running, but cut off from
// the store and missing from the list, at the limits of clock skew.
func TestEarlierOwnerStopsBeforeTheNextServes(t *testing.T) {
	for _, skew := range []time.Duration{-MaxClockSkew, 0, MaxClockSkew} {
		earlier, next := &Coordinator{Owner: Owner{Self: "a/1"}}, &Coordinator{Owner: Owner{Self: "b/1"}}
		first := (&Table{}).ChangeMembers(nil, []Incarnation{"a/1"})
		second := first.ChangeMembers([]Incarnation{"a/1"}, []Incarnation{"b/1"})
		earlier.ObserveTable(start.Add(skew), first, 1)
		next.ObserveTable(start, second, 2)
		lastEarlier, firstNext := time.Time{}, time.Time{}
		for at := start; at.Before(start.Add(time.Minute)); at = at.Add(100 * time.Millisecond) {
			// The earlier owner is listed only at the start.
			if at.Equal(start) {
				earlier.ObserveList(ListSnapshot{At: at, AsOf: at, Names: []string{"a", "b"}, IncludesSelf: true})
			}
			next.ObserveTable(at, second, 2)
			next.ObserveList(ListSnapshot{At: at.Add(time.Millisecond), AsOf: at.Add(time.Millisecond), Names: []string{"b"}, IncludesSelf: true})
			next.Tick(at)
			claim := Claim{Epoch: 1, Key: Key{1}, CreatedAt: at, Attempt: 1, Deadline: at.Add(time.Minute)}
			if earlier.Claim(at.Add(skew), claim).Answer == Allowed {
				lastEarlier = at
			}
			claim.Key, claim.CreatedAt = Key{2}, at.Add(time.Hour)
			if _, refusal := next.servingPartition(at, claim); refusal.Answer != NotReady && firstNext.IsZero() {
				firstNext = at
			}
		}
		must.False(t, lastEarlier.IsZero())
		must.False(t, firstNext.IsZero())
		must.Greater(t, lastEarlier.Add(WriteStartTimeout).UnixMilli(), firstNext.UnixMilli(), must.Sprintf("skew %s", skew))
	}
}

// servingOwner returns an owner of all partitions.
func servingOwner() *Coordinator {
	coordinator := &Coordinator{Owner: Owner{Self: "a/1"}}
	coordinator.ObserveTable(start, (&Table{}).ChangeMembers(nil, []Incarnation{"a/1"}), 1)
	return coordinator
}

func TestClaimAnswers(t *testing.T) {
	now := start.Add(time.Second)
	claim := Claim{Key: Key{7}, CreatedAt: now, Attempt: 1, Digest: 5, Deadline: now.Add(time.Minute)}
	again := claim
	again.Attempt = 2
	other := again
	other.Digest = 6

	owner := servingOwner()
	must.Eq(t, Allowed, owner.Claim(now, claim).Answer)
	must.Eq(t, Allowed, owner.Claim(now, claim).Answer, must.Sprint("retry of the same attempt"))
	must.Eq(t, InProgress, owner.Claim(now, again).Answer)
	must.Eq(t, MayHaveRun, owner.Claim(now.Add(2*time.Minute).Add(-2*time.Minute), Claim{Key: Key{8}, CreatedAt: now.Add(-25 * time.Hour), Attempt: 3}).Answer)
	must.Eq(t, RequestMismatch, owner.Claim(now, other).Answer)
	must.True(t, owner.Settle(now, Settlement{Key: Key{7}, Attempt: 2, NotRun: true}), must.Sprint("settlement of another attempt must not change the record"))
	must.Eq(t, InProgress, owner.Claim(now, again).Answer)
	owner.Settle(now, Settlement{Key: Key{7}, Attempt: 1, NotRun: true})
	must.Eq(t, NotReady, owner.Claim(now, again).Answer, must.Sprint("a withdrawn attempt must not run"))
	again.Attempt = 3
	must.Eq(t, Allowed, owner.Claim(now, again).Answer)
	owner.Settle(now, Settlement{Key: Key{7}, Attempt: 3, Ran: true, Status: 201})
	verdict := owner.Claim(now, claim)
	must.Eq(t, AlreadyRan, verdict.Answer)
	must.Eq(t, 201, verdict.Status)
	must.Eq(t, ClockAhead, owner.Claim(now, Claim{Key: Key{9}, CreatedAt: now.Add(MaxClockSkew + time.Millisecond), Attempt: 4}).Answer)
	must.Eq(t, NotReady, owner.Claim(start.Add(LeaseDuration), Claim{Key: Key{9}, CreatedAt: now, Attempt: 5}).Answer)
	must.Eq(t, NotReady, owner.Claim(now, Claim{Epoch: 9, Key: Key{9}, CreatedAt: now, Attempt: 6}).Answer)
}

// TestKeysOfLostOwnersAreUnknown checks that a key that a lost owner may have run is not run again, and that a key created
// after the floor is.
func TestKeysOfLostOwnersAreUnknown(t *testing.T) {
	next := &Coordinator{Owner: Owner{Self: "b/1"}}
	table := (&Table{}).ChangeMembers(nil, []Incarnation{"a/1"}).ChangeMembers([]Incarnation{"a/1"}, []Incarnation{"b/1"})
	at := start
	for ; at.Before(start.Add(FenceDuration + time.Second)); at = at.Add(time.Second) {
		next.ObserveTable(at, table, 2)
		next.ObserveList(ListSnapshot{At: at, AsOf: at, Names: []string{"b"}, IncludesSelf: true})
		next.Tick(at)
	}
	must.Eq(t, MayHaveRun, next.Claim(at, Claim{Key: Key{1}, CreatedAt: at.Add(-time.Second), Attempt: 1}).Answer)
	must.Eq(t, MayHaveRun, next.Claim(at, Claim{Key: Key{2}, Attempt: 2}).Answer, must.Sprint("key without a creation time"))
	at = at.Add(5 * time.Second)
	next.ObserveTable(at, table, 2)
	must.Eq(t, Allowed, next.Claim(at, Claim{Key: Key{1}, CreatedAt: at, Attempt: 3, Deadline: at.Add(time.Minute)}).Answer)
}

func TestChangeMovesOnlyWhatItMust(t *testing.T) {
	table := (&Table{}).ChangeMembers(nil, []Incarnation{"a/1", "b/1", "c/1", "d/1"})
	must.Nil(t, table.ChangeMembers(nil, []Incarnation{"a/1"}))
	next := table.ChangeMembers([]Incarnation{"d/1"}, nil)
	moved := 0
	for p := range table.Partitions {
		if table.Partitions[p].Owner != next.Partitions[p].Owner {
			must.Eq(t, "d/1", table.Partitions[p].Owner)
			must.Eq(t, []Incarnation{"d/1"}, next.Partitions[p].Pending)
			moved++
		}
	}
	must.Between(t, PartitionCount/8, moved, PartitionCount/2)
	must.NoError(t, next.Check())
	restarted := next.ChangeMembers(nil, []Incarnation{"a/2"})
	must.False(t, restarted.HasMember("a/1"))
	must.True(t, restarted.HasMember("a/2"))
}

// TestWithdrawnClaim checks claims that arrive after their settlements. This happens when an owner that was frozen reads
// two sessions at once.
func TestWithdrawnClaim(t *testing.T) {
	now := start.Add(time.Second)
	claim := Claim{Key: Key{7}, CreatedAt: now, Attempt: 1, Digest: 5, Deadline: now.Add(time.Minute)}
	again := claim
	again.Attempt = 2

	owner := servingOwner()
	must.True(t, owner.Settle(now, Settlement{Key: claim.Key, Attempt: claim.Attempt, NotRun: true}))
	must.Eq(t, NotReady, owner.Claim(now, claim).Answer)
	must.Eq(t, Allowed, owner.Claim(now, again).Answer, must.Sprint("retry by a caller whose first attempt was not run"))
	must.True(t, owner.Settle(now, Settlement{Key: again.Key, Attempt: again.Attempt, NotRun: true}))
	must.Eq(t, NotReady, owner.Claim(now, claim).Answer, must.Sprint("second arrival of the first claim"))
}

// TestWithdrawnClaimOfAnEarlierOwner checks that the key can be claimed again if the new owner gets the settlement of a
// claim before the earlier owner hands over the claim's record.
func TestWithdrawnClaimOfAnEarlierOwner(t *testing.T) {
	now := start.Add(time.Second)
	claim := Claim{Key: Key{7}, CreatedAt: now, Attempt: 1, Digest: 5, Deadline: now.Add(time.Minute)}
	earlier, next := servingOwner(), &Coordinator{Owner: Owner{Self: "b/1"}}
	must.Eq(t, Allowed, earlier.Claim(now, claim).Answer)
	second := earlier.Table().ChangeMembers([]Incarnation{"a/1"}, []Incarnation{"b/1"})
	next.ObserveTable(now, second, 2)
	must.True(t, next.Settle(now, Settlement{Key: claim.Key, Attempt: claim.Attempt, NotRun: true}))
	earlier.ObserveTable(now, second, 2)
	handovers, _ := next.advanceTakeovers(now)
	keys, known := earlier.HandOver(handovers["a/1"])
	must.True(t, known)
	next.TakeOver(keys)
	claim.Attempt, claim.Epoch = 2, second.Epoch
	must.Eq(t, Allowed, next.Claim(now, claim).Answer)
}

// TestRelistedOwnerReadsTheTableFirst checks that the list alone does not restore an expired lease. An owner that was
// missing from the list for longer than FenceDuration reads the list before the table, which may assign its partitions
// to another owner.
func TestRelistedOwnerReadsTheTableFirst(t *testing.T) {
	owner := servingOwner()
	snapshot := func(at time.Time, self bool) ListSnapshot {
		return ListSnapshot{At: at, AsOf: at, Names: []string{"a"}, IncludesSelf: self}
	}
	claim := Claim{Epoch: 1, Key: Key{7}, Attempt: 1}
	owner.ObserveList(snapshot(start.Add(9*time.Second), true))
	claim.CreatedAt = start.Add(15 * time.Second)
	must.Eq(t, Allowed, owner.Claim(claim.CreatedAt, claim).Answer, must.Sprint("the list extends a valid lease"))
	back := start.Add(time.Minute)
	owner.ObserveList(snapshot(back.Add(-time.Second), false))
	owner.ObserveList(snapshot(back, true))
	claim.Key, claim.CreatedAt = Key{8}, back
	must.Eq(t, NotReady, owner.Claim(back, claim).Answer, must.Sprint("the list does not restore an expired lease"))
	owner.ObserveTable(back, owner.Table(), 1)
	must.Eq(t, Allowed, owner.Claim(back, claim).Answer)
}
