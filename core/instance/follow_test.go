package instance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	maxRewriteDelay   = 5 * time.Second // time in which owners write lost records again after a restore
	retentionDuration = 2 * time.Second // how long items that a restored list lacks stay in use
	serverCount       = 2               // small, so that each server sees many events
)

// follower is the catalog and the view of one simulated instance.
type follower struct {
	catalog               Catalog[Server]
	view                  View
	changes, restorations uint64
	partitioned           bool
	asOf                  time.Time            // when the platform last confirmed the list
	running               map[string]Server    // running servers by name, shared by all followers
	departed              map[string]time.Time // start times of ended runs that the follower saw depart, by server name
	suppressedUntil       time.Time            // until when departed runs must stay unused after a restore
}

// applyChanges applies changes as an instance does, and checks that the revision does not decrease.
func (f *follower) applyChanges(t *rapid.T, now time.Time, changes Changes[Server]) {
	before := f.catalog.Revision()
	f.catalog.Apply(changes)
	reached := f.catalog.Revision()
	if before.After(reached) {
		t.Fatalf("revision decreased from %s to %s", before, reached)
	}
	f.changes++
	if !before.IsZero() && reached.Generation > before.Generation {
		f.restorations++
		f.suppressedUntil = now.Add(suppressionDuration)
	}
	f.updateView(now)
}

// updateView applies the catalog to the view and records the runs that departed.
func (f *follower) updateView(now time.Time) {
	before := f.view.Servers(now)
	f.applyToView(now)
	for _, s := range before {
		_, listed := FindServer(f.view.Servers(now), s.Name)
		if current, runs := f.running[s.Name]; !listed && !(runs && current.Started.Equal(s.Started)) {
			f.departed[s.Name] = s.Started
		}
	}
}

func (f *follower) applyToView(now time.Time) {
	f.view.Apply(now, List{Changes: f.changes, Restorations: f.restorations, Entries: []Entry{{Name: "self"}}, Servers: f.catalog.Values()})
}

// check fails the test if a run that the follower saw depart before a restore is live again.
func (f *follower) check(t *rapid.T, now time.Time) {
	if !now.Before(f.suppressedUntil) {
		return
	}
	for _, s := range f.view.Servers(now) {
		if started, departed := f.departed[s.Name]; departed && started.Equal(s.Started) && s.State == Live {
			t.Fatalf("%s is live again, but its run started at %s has departed", s.Name, started)
		}
	}
}

// TestFollowersThroughPartitionsAndRestores runs random sequences of writes, departures, network partitions, restores from older copies,
// and reads from the platform and from other followers. Revisions must never decrease, departed runs must stay unused after a restore,
// and once every follower has read the platform again, all must hold its list.
func TestFollowersThroughPartitionsAndRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Actions come from a uniform generator, because rapid prefers small values and so the first actions of the list.
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "chance"), 0))
		now := time.Unix(1_900_000_000, 0)
		var platform Catalog[Server]
		revision := at(1)
		running, copied := map[string]Server{}, map[string]Server{}
		copyAt, runs := revision, 0
		platform.Apply(Changes[Server]{Snapshot: true, Revision: revision})
		write := func(s Server) {
			revision.Number++
			platform.Apply(Changes[Server]{Revision: revision, Items: []Item[Server]{{Name: s.Name, Value: s, Revision: revision}}})
		}
		remove := func(name string) {
			revision.Number++
			platform.Apply(Changes[Server]{Revision: revision, Removals: []Removal{{Name: name, Revision: revision}}})
		}
		var restored time.Time // time of the last restore, zero once all records are written again
		rewrite := func() {
			restored = time.Time{}
			for i := range serverCount {
				name := fmt.Sprint("server-", i)
				if s, lives := running[name]; lives {
					write(s)
				} else {
					remove(name)
				}
			}
		}
		all := make([]*follower, 3)
		for i := range all {
			all[i] = &follower{running: running, departed: map[string]time.Time{}}
			all[i].applyChanges(t, now, platform.Since(Revision{}))
		}
		read := func(f *follower) {
			f.asOf = now
			f.applyChanges(t, now, platform.Since(f.catalog.Revision()).WithRestoreGrace(f.catalog.Revision(), now.Add(retentionDuration)))
		}
		for range 20 + chance.IntN(40) {
			now = now.Add(time.Duration(chance.IntN(900)) * time.Millisecond)
			if !restored.IsZero() && now.Sub(restored) > maxRewriteDelay {
				rewrite()
			}
			name := fmt.Sprint("server-", chance.IntN(serverCount))
			f := all[chance.IntN(len(all))]
			actions := []string{"write", "remove", "copy", "restore", "rewrite", "cut", "heal", "read", "read", "reread", "pull", "pull"}
			switch actions[chance.IntN(len(actions))] {
			case "write":
				s, lives := running[name]
				if !lives {
					runs++
					s = Server{Name: name, Service: "payouts", Started: time.Unix(int64(runs), 0)}
				}
				running[name] = s
				write(s)
			case "remove":
				delete(running, name)
				remove(name)
			case "copy":
				copied, copyAt = map[string]Server{}, revision
				for _, s := range platform.Values() {
					copied[s.Name] = s
				}
			case "restore":
				restored = now
				revision = Revision{revision.Generation + 1, copyAt.Number}
				copyAt = revision
				changes := Changes[Server]{Snapshot: true, Revision: revision}
				for _, s := range copied {
					changes.Items = append(changes.Items, Item[Server]{Name: s.Name, Value: s, Revision: Revision{revision.Generation, 1}})
				}
				platform = Catalog[Server]{}
				platform.Apply(changes)
			case "rewrite":
				rewrite()
			case "cut":
				f.partitioned = true
			case "heal":
				f.partitioned = false
			case "read":
				if !f.partitioned {
					read(f)
				}
			case "reread": // reads a snapshot, as after a compaction of the platform's history
				if !f.partitioned {
					f.asOf = now
					changes := platform.Since(Revision{})
					f.applyChanges(t, now, changes.WithRestoreGrace(f.catalog.Revision(), now.Add(retentionDuration)))
				}
			case "pull":
				peer := all[chance.IntN(len(all))]
				if !f.catalog.Revision().After(peer.catalog.Revision()) && peer.asOf.After(f.asOf) {
					f.asOf = peer.asOf
				}
				f.applyChanges(t, now, peer.catalog.Since(f.catalog.Revision()).WithRestoreGrace(f.catalog.Revision(), now.Add(retentionDuration)))
			}
			for _, f := range all {
				if f.catalog.Expire(now) {
					f.changes++
					f.applyToView(now) // not updateView: an expired record is no departure, as its owner may write it again
				}
				f.view.ExpireSuppressed(f.asOf)
				f.check(t, now)
			}
		}
		for _, f := range all {
			read(f)
			f.catalog.Expire(now.Add(retentionDuration))
			must.Eq(t, platform.Values(), f.catalog.Values())
		}
	})
}
