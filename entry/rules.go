package entry

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// RulesSource follows the rules in the platform's store.
type RulesSource interface {
	// Next returns a version newer than the one returned before, waiting for it.
	Next(ctx context.Context) (version uint64, text string, err error)
}

// inForce is the version in force.
type inForce struct {
	version uint64
	text    string
	set     *rules.Set
	since   time.Time
}

// rulesHolder holds the rules in force and never goes back to a lower version.
type rulesHolder struct {
	current atomic.Pointer[inForce]
	wanted  chan Peer
}

var noRules = &inForce{set: &rules.Set{}}

func (holder *rulesHolder) load() *inForce {
	if current := holder.current.Load(); current != nil {
		return current
	}
	return noRules
}

// offer brings a version into force if it is newer; it reports whether it did.
func (holder *rulesHolder) offer(now time.Time, version uint64, text string) (bool, error) {
	if version <= holder.load().version {
		return false, nil
	}
	set, err := rules.Parse("rules", text)
	if err != nil {
		return false, &Error{Op: "apply rules", Kind: KindInvalid, Err: err}
	}
	next := &inForce{version: version, text: text, set: set, since: now}
	for {
		current := holder.current.Load()
		if current != nil && current.version >= version {
			return false, nil
		}
		if holder.current.CompareAndSwap(current, next) {
			return true, nil
		}
	}
}

// wantFrom notes that a peer has a newer version.
func (holder *rulesHolder) wantFrom(peer Peer) {
	select {
	case holder.wanted <- peer:
	default:
	}
}

// ApplyRules brings a version into force if it is newer than the present one.
func (entry *Entry) ApplyRules(version uint64, text string) {
	applied, err := entry.rules.offer(entry.Clock(), version, text)
	if err != nil {
		entry.count("rules.invalid")
		entry.Log.Error("rules: a version is not valid, the present one stays", zap.Uint64("version", version), zap.Error(err))
		return
	}
	if !applied {
		return
	}
	set, _ := entry.Rules()
	entry.rebuild(entry.Clock())
	entry.lists.wake()
	entry.Log.Info("rules: a version is in force", zap.Uint64("version", version), zap.Int("rules", set.Len()))
}

// followRules learns versions from the store until the context ends.
func (entry *Entry) followRules(ctx context.Context) {
	for ctx.Err() == nil {
		version, text, err := entry.RulesSource.Next(ctx)
		if err == nil {
			entry.ApplyRules(version, text)
			continue
		}
		if ctx.Err() == nil {
			entry.count("rules.errors")
			entry.Log.Warn("rules: the store does not give the rules, the version in force stays", zap.Error(err))
		}
		wait.For(ctx, entry.Intervals.Retry)
	}
}

// pullRules fetches newer versions from peers, for an instance that the store does not reach.
//
// It compares versions with a neighbour at every interval, and pulls from a peer that is ahead once the store has
// had its time. While no version is known it pulls at once.
func (entry *Entry) pullRules(ctx context.Context) {
	ticker := time.NewTicker(entry.Intervals.Retry)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case peer := <-entry.rules.wanted:
			if entry.rules.load().version > 0 && entry.Feed == nil {
				wait.For(ctx, entry.Intervals.Retry)
			}
			entry.pullFrom(ctx, peer, entry.rules.load().version)
		case <-ticker.C:
			// Those that pull lists learn versions with them.
			if entry.Feed == nil || entry.readsFeed() {
				entry.compareVersions(ctx, turn)
			}
		}
	}
}

// neighbours is how many peers an instance compares versions with in turn.
const neighbours = 3

// compareVersions exchanges a message with a neighbour; the versions that come with its reply tell who is ahead.
func (entry *Entry) compareVersions(ctx context.Context, turn int) {
	candidates := entry.members.plan().candidates
	own := slices.IndexFunc(candidates, func(c home.Candidate) bool { return c.Entry.Name == entry.Name })
	if len(candidates) == 0 || own >= 0 && len(candidates) == 1 {
		return
	}
	next := candidates[(own+1+turn%min(neighbours, len(candidates)))%len(candidates)].Entry
	if next.Name == entry.Name {
		return
	}
	have := uint64(math.MaxUint64)
	if entry.rules.load().version == 0 {
		have = 0
	}
	entry.pullFrom(ctx, Peer{next.Name, next.Peer}, have)
}

// pullFrom asks a peer for rules newer than a version.
func (entry *Entry) pullFrom(ctx context.Context, peer Peer, have uint64) {
	ctx, cancel := context.WithTimeout(ctx, entry.Intervals.Retry)
	defer cancel()
	version, text, err := entry.Peers.PullRules(ctx, peer, have)
	if err != nil {
		entry.Log.Debug("rules: a peer did not give them", zap.String("peer", peer.Name), zap.Error(err))
	}
	if err != nil || version == 0 {
		return
	}
	entry.count("rules.from-peers")
	entry.ApplyRules(version, text)
}
