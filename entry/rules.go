package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
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
	entry.members.rebuild(entry.Clock(), set)
	entry.Log.Info("rules: a version is in force", zap.Uint64("version", version), zap.Int("rules", set.Len()))
}

// followRules learns versions from the store and from peers until the context ends.
func (entry *Entry) followRules(ctx context.Context) {
	go entry.pullRules(ctx)
	for ctx.Err() == nil {
		version, text, err := entry.Rulebook.Next(ctx)
		if err == nil {
			entry.ApplyRules(version, text)
			continue
		}
		if ctx.Err() == nil {
			entry.count("rules.errors")
			entry.Log.Warn("rules: the store does not give the rules, the version in force stays", zap.Error(err))
		}
		sleep(ctx, entry.Intervals.Retry)
	}
}

// pullRules fetches newer versions from the peers that named them. While no version is known it asks any peer.
func (entry *Entry) pullRules(ctx context.Context) {
	ticker := time.NewTicker(entry.Intervals.Retry)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-entry.rules.wanted:
			entry.pullFrom(ctx, peer)
		case <-ticker.C:
			if entry.rules.load().version == 0 {
				entry.pullFromSome(ctx)
			}
		}
	}
}

// firstPeers is how many peers an instance without rules asks in one round.
const firstPeers = 3

func (entry *Entry) pullFromSome(ctx context.Context) {
	asked := 0
	for _, other := range entry.members.plan().candidates {
		if other.Entry.Name == entry.Name || asked == firstPeers {
			continue
		}
		asked++
		entry.pullFrom(ctx, Peer{other.Entry.Name, other.Entry.Peer})
	}
}

func (entry *Entry) pullFrom(ctx context.Context, peer Peer) {
	ctx, cancel := context.WithTimeout(ctx, entry.Intervals.Retry)
	defer cancel()
	version, text, err := entry.Peers.PullRules(ctx, peer, entry.rules.load().version)
	if err != nil || version == 0 {
		return
	}
	entry.count("rules.from-peers")
	entry.ApplyRules(version, text)
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
