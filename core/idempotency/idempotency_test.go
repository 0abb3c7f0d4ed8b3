package idempotency

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
)

var start = time.Unix(1_800_000_000, 0)

func TestBornReadsUUIDv7Only(t *testing.T) {
	id := uuid.Must(uuid.NewV7())
	must.Between(t, time.Now().Add(-time.Minute).Unix(), Born(id.String()).Unix(), time.Now().Add(time.Minute).Unix())
	must.True(t, Born(uuid.NewString()).IsZero())
	must.True(t, Born("release-17").IsZero())
}

// TestEarlierOwnerStopsBeforeTheNextServes steps through the takeover from an owner that is alive, cut off from
// the store and dropped from the list, with the clocks as far apart as allowed.
func TestEarlierOwnerStopsBeforeTheNextServes(t *testing.T) {
	for _, skew := range []time.Duration{-Skew, 0, Skew} {
		earlier, next := &Keeper{Owner: Owner{Self: "a/1"}}, &Keeper{Owner: Owner{Self: "b/1"}}
		first := (&Table{}).Change(nil, []Incarnation{"a/1"})
		second := first.Change([]Incarnation{"a/1"}, []Incarnation{"b/1"})
		earlier.TableRead(start.Add(skew), first, 1)
		next.TableRead(start, second, 2)
		lastEarlier, firstNext := time.Time{}, time.Time{}
		for at := start; at.Before(start.Add(time.Minute)); at = at.Add(100 * time.Millisecond) {
			// The list shows the earlier owner for a last time at the start.
			if at.Equal(start) {
				earlier.ListRead(Listing{At: at, AsOf: at, Names: []string{"a", "b"}, Self: true})
			}
			next.TableRead(at, second, 2)
			next.ListRead(Listing{At: at.Add(time.Millisecond), AsOf: at.Add(time.Millisecond), Names: []string{"b"}, Self: true})
			next.Tick(at)
			claim := Claim{Epoch: 1, Key: Key{1}, Born: at, Attempt: 1, RunBy: at.Add(time.Minute)}
			if earlier.Claim(at.Add(skew), claim).Answer == Run {
				lastEarlier = at
			}
			claim.Key, claim.Born = Key{2}, at.Add(time.Hour)
			if _, refusal := next.serving(at, claim); refusal.Answer != NotReady && firstNext.IsZero() {
				firstNext = at
			}
		}
		must.False(t, lastEarlier.IsZero())
		must.False(t, firstNext.IsZero())
		must.Greater(t, lastEarlier.Add(WriteLength).UnixMilli(), firstNext.UnixMilli(), must.Sprintf("skew %s", skew))
	}
}

// servingOwner returns an owner of all partitions.
func servingOwner() *Keeper {
	keeper := &Keeper{Owner: Owner{Self: "a/1"}}
	keeper.TableRead(start, (&Table{}).Change(nil, []Incarnation{"a/1"}), 1)
	return keeper
}

func TestClaimAnswers(t *testing.T) {
	now := start.Add(time.Second)
	claim := Claim{Key: Key{7}, Born: now, Attempt: 1, Digest: 5, RunBy: now.Add(time.Minute)}
	again := claim
	again.Attempt = 2
	other := again
	other.Digest = 6

	owner := servingOwner()
	must.Eq(t, Run, owner.Claim(now, claim).Answer)
	must.Eq(t, Run, owner.Claim(now, claim).Answer, must.Sprint("the same attempt asks again"))
	must.Eq(t, InProgress, owner.Claim(now, again).Answer)
	must.Eq(t, MayHaveRun, owner.Claim(now.Add(2*time.Minute).Add(-2*time.Minute), Claim{Key: Key{8}, Born: now.Add(-25 * time.Hour), Attempt: 3}).Answer)
	must.Eq(t, OtherRequest, owner.Claim(now, other).Answer)
	must.True(t, owner.Settle(now, Settlement{Key: Key{7}, Attempt: 2, NotRun: true}), must.Sprint("another attempt's word leaves the record"))
	must.Eq(t, InProgress, owner.Claim(now, again).Answer)
	owner.Settle(now, Settlement{Key: Key{7}, Attempt: 1, NotRun: true})
	must.Eq(t, NotReady, owner.Claim(now, again).Answer, must.Sprint("an attempt that was given up does not run"))
	again.Attempt = 3
	must.Eq(t, Run, owner.Claim(now, again).Answer)
	owner.Settle(now, Settlement{Key: Key{7}, Attempt: 3, Ran: true, Status: 201})
	verdict := owner.Claim(now, claim)
	must.Eq(t, AlreadyRan, verdict.Answer)
	must.Eq(t, 201, verdict.Status)
	must.Eq(t, ClockAhead, owner.Claim(now, Claim{Key: Key{9}, Born: now.Add(Skew + time.Millisecond), Attempt: 4}).Answer)
	must.Eq(t, NotReady, owner.Claim(start.Add(SightLength), Claim{Key: Key{9}, Born: now, Attempt: 5}).Answer)
	must.Eq(t, NotReady, owner.Claim(now, Claim{Epoch: 9, Key: Key{9}, Born: now, Attempt: 6}).Answer)
}

// TestKeysOfLostOwnersAreUnknown checks the floor: a key that a lost owner may have run is not run again, one born later is.
func TestKeysOfLostOwnersAreUnknown(t *testing.T) {
	next := &Keeper{Owner: Owner{Self: "b/1"}}
	table := (&Table{}).Change(nil, []Incarnation{"a/1"}).Change([]Incarnation{"a/1"}, []Incarnation{"b/1"})
	at := start
	for ; at.Before(start.Add(FenceLength + time.Second)); at = at.Add(time.Second) {
		next.TableRead(at, table, 2)
		next.ListRead(Listing{At: at, AsOf: at, Names: []string{"b"}, Self: true})
		next.Tick(at)
	}
	must.Eq(t, MayHaveRun, next.Claim(at, Claim{Key: Key{1}, Born: at.Add(-time.Second), Attempt: 1}).Answer)
	must.Eq(t, MayHaveRun, next.Claim(at, Claim{Key: Key{2}, Attempt: 2}).Answer, must.Sprint("a key that tells no birth"))
	at = at.Add(5 * time.Second)
	next.TableRead(at, table, 2)
	must.Eq(t, Run, next.Claim(at, Claim{Key: Key{1}, Born: at, Attempt: 3, RunBy: at.Add(time.Minute)}).Answer)
}

func TestChangeMovesOnlyWhatItMust(t *testing.T) {
	table := (&Table{}).Change(nil, []Incarnation{"a/1", "b/1", "c/1", "d/1"})
	must.Nil(t, table.Change(nil, []Incarnation{"a/1"}))
	next := table.Change([]Incarnation{"d/1"}, nil)
	moved := 0
	for p := range table.Partitions {
		if table.Partitions[p].Owner != next.Partitions[p].Owner {
			must.Eq(t, "d/1", table.Partitions[p].Owner)
			must.Eq(t, []Incarnation{"d/1"}, next.Partitions[p].Pending)
			moved++
		}
	}
	must.Between(t, Partitions/8, moved, Partitions/2)
	must.NoError(t, next.Check())
	restarted := next.Change(nil, []Incarnation{"a/2"})
	must.False(t, restarted.Has("a/1"))
	must.True(t, restarted.Has("a/2"))
}

// TestWithdrawnClaim has settlements overtake their claims, as when an owner was frozen and reads two sessions at once.
func TestWithdrawnClaim(t *testing.T) {
	now := start.Add(time.Second)
	claim := Claim{Key: Key{7}, Born: now, Attempt: 1, Digest: 5, RunBy: now.Add(time.Minute)}
	again := claim
	again.Attempt = 2

	owner := servingOwner()
	must.True(t, owner.Settle(now, Settlement{Key: claim.Key, Attempt: claim.Attempt, NotRun: true}))
	must.Eq(t, NotReady, owner.Claim(now, claim).Answer)
	must.Eq(t, Run, owner.Claim(now, again).Answer, must.Sprint("a caller who was told not-run tries again"))
	must.True(t, owner.Settle(now, Settlement{Key: again.Key, Attempt: again.Attempt, NotRun: true}))
	must.Eq(t, NotReady, owner.Claim(now, claim).Answer, must.Sprint("and the first claim comes once more"))
}

// TestWithdrawnClaimOfAnEarlierOwner hands over the record of a claim whose settlement the new owner already has.
func TestWithdrawnClaimOfAnEarlierOwner(t *testing.T) {
	now := start.Add(time.Second)
	claim := Claim{Key: Key{7}, Born: now, Attempt: 1, Digest: 5, RunBy: now.Add(time.Minute)}
	earlier, next := servingOwner(), &Keeper{Owner: Owner{Self: "b/1"}}
	must.Eq(t, Run, earlier.Claim(now, claim).Answer)
	second := earlier.Table().Change([]Incarnation{"a/1"}, []Incarnation{"b/1"})
	next.TableRead(now, second, 2)
	must.True(t, next.Settle(now, Settlement{Key: claim.Key, Attempt: claim.Attempt, NotRun: true}))
	earlier.TableRead(now, second, 2)
	asks, _ := next.tick(now)
	keys, known := earlier.Give(asks["a/1"])
	must.True(t, known)
	next.Receive(keys)
	claim.Attempt, claim.Epoch = 2, second.Epoch
	must.Eq(t, Run, next.Claim(now, claim).Answer)
}

// TestRelistedOwnerReadsTheTableFirst has an owner that was off the list for longer than a fence read the list before the table.
func TestRelistedOwnerReadsTheTableFirst(t *testing.T) {
	owner := servingOwner()
	listed := func(at time.Time, self bool) Listing {
		return Listing{At: at, AsOf: at, Names: []string{"a"}, Self: self}
	}
	claim := Claim{Epoch: 1, Key: Key{7}, Attempt: 1}
	owner.ListRead(listed(start.Add(9*time.Second), true))
	claim.Born = start.Add(15 * time.Second)
	must.Eq(t, Run, owner.Claim(claim.Born, claim).Answer, must.Sprint("the list prolongs a sight"))
	back := start.Add(time.Minute)
	owner.ListRead(listed(back.Add(-time.Second), false))
	owner.ListRead(listed(back, true))
	claim.Key, claim.Born = Key{8}, back
	must.Eq(t, NotReady, owner.Claim(back, claim).Answer, must.Sprint("the list does not begin one"))
	owner.TableRead(back, owner.Table(), 1)
	must.Eq(t, Run, owner.Claim(back, claim).Answer)
}
