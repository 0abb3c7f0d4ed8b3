package entry

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/logs"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// RulesSource watches the rules in the platform's store.
type RulesSource interface {
	// Next waits for a version newer than the one returned before.
	Next(ctx context.Context) (version uint64, text string, err error)
}

// activeRules is the version of the rules in force.
type activeRules struct {
	version uint64
	text    string
	set     *rules.Set
	since   time.Time
}

// rulesHolder holds the rules in force. It never reverts to a lower version.
type rulesHolder struct {
	current  atomic.Pointer[activeRules]
	rejected atomic.Pointer[rejectedRules]
	wanted   chan Peer
}

// rejectedRules is the latest version of the rules that could not be put in force.
type rejectedRules struct {
	inForce uint64 // version in force at that time
	err     error
}

var noRules = &activeRules{set: &rules.Set{}}

func (holder *rulesHolder) load() *activeRules {
	if current := holder.current.Load(); current != nil {
		return current
	}
	return noRules
}

// update activates a version if it is newer and reports whether it did. The error is an Error of KindInvalid if the text does not parse.
func (holder *rulesHolder) update(now time.Time, version uint64, text string) (bool, error) {
	if version <= holder.load().version {
		return false, nil
	}
	set, err := rules.Parse("rules", text)
	if err != nil {
		return false, &Error{Op: "apply rules", Kind: KindInvalid, Err: err}
	}
	next := &activeRules{version: version, text: text, set: set, since: now}
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

// rejection returns why the latest version is not in force, or nil if a version has been put in force since.
func (holder *rulesHolder) rejection() error {
	rejected := holder.rejected.Load()
	if rejected == nil || holder.load().version > rejected.inForce {
		return nil
	}
	return rejected.err
}

// requestFrom schedules a pull from a peer that has a newer version. A pending request is kept.
func (holder *rulesHolder) requestFrom(peer Peer) {
	select {
	case holder.wanted <- peer:
	default:
	}
}

// ApplyRules activates a version of the rules if it is newer than the current one. An invalid version is logged and shown in the status, and
// the current one is kept.
func (entry *Entry) ApplyRules(version uint64, text string) {
	applied, err := entry.rules.update(entry.Clock(), version, text)
	if err != nil {
		entry.rejectRules(fmt.Errorf("version %d: %w", version, err))
		return
	}
	if !applied {
		return
	}
	set, _ := entry.Rules()
	entry.rebuild(entry.Clock())
	entry.lists.wake()
	entry.Log.Info("rules: new version in force", zap.Uint64("version", version), zap.Int("rules", set.Len()), zap.Int("rejected", len(set.Rejections())))
	entry.logRejections(version, set.Rejections())
}

// maxShownRejections limits the rejections of a version that are logged, and those that the status lists.
const maxShownRejections = 20

// logRejections logs what the rules do not carry of the configuration that they were translated from.
func (entry *Entry) logRejections(version uint64, rejections []rules.Rejection) {
	metrics.GetOrRegisterGauge("rules.rejected", entry.Metrics).Update(int64(len(rejections)))
	for _, rejection := range rejections[:min(len(rejections), maxShownRejections)] {
		entry.Log.Error("rules: a value of the configuration is not in force as written", zap.Uint64("version", version), zap.String("file", rejection.File),
			zap.String("row", rejection.Row), zap.String("field", rejection.Field), zap.String("reason", rejection.Reason))
	}
}

// rejectRules records that the latest version of the rules cannot be put in force. The current one is kept.
func (entry *Entry) rejectRules(err error) {
	entry.rules.rejected.Store(&rejectedRules{inForce: entry.rules.load().version, err: err})
	entry.count("rules.invalid")
	entry.Log.Error("rules: ignored an invalid version; keeping the current one", zap.Uint64("version-in-force", entry.rules.load().version), logs.ShortError(err))
}

// recordPulledRules records up to which revision of the platform the rules in force are the latest, given lists of another instance. A
// version that this instance has yet to pull would be lost with that instance if the lists' revision counted for the rules as well.
func (entry *Entry) recordPulledRules(pulled Lists) {
	if pulled.Rules.Number <= entry.rules.load().version {
		entry.lists.recordRulesRevision(pulled.RulesRevision)
	}
}

// pullRulesWith pulls the rules from an instance that has sent its lists.
func (entry *Entry) pullRulesWith(ctx context.Context, pulled Lists, from Peer) {
	entry.pullRulesFrom(ctx, from, entry.rules.load().version)
	entry.recordPulledRules(pulled)
}

// followRules applies new versions from the store until the context ends.
func (entry *Entry) followRules(ctx context.Context) {
	for ctx.Err() == nil {
		version, text, err := entry.RulesSource.Next(ctx)
		if err == nil {
			entry.ApplyRules(version, text)
			continue
		}
		if ctx.Err() == nil {
			entry.count("rules.errors")
			entry.Log.Warn("rules: could not read the rules from the store; keeping the current version", zap.Error(err))
		}
		wait.For(ctx, entry.Intervals.Retry)
	}
}

// pullRules pulls newer versions from peers, for instances that cannot reach the store.
//
// At every interval it compares versions with a peer. It waits one interval for the store to deliver a newer version before it pulls
// from a peer that has one, but pulls immediately while no version is known.
func (entry *Entry) pullRules(ctx context.Context) {
	ticker := time.NewTicker(entry.Intervals.Retry)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case peer := <-entry.rules.wanted:
			if entry.rules.load().version > 0 && entry.Feed == nil {
				wait.For(ctx, entry.Intervals.Retry)
			}
			entry.pullRulesFrom(ctx, peer, entry.rules.load().version)
		case <-ticker.C:
			// Instances that pull lists receive versions with them.
			if entry.Feed == nil || entry.watchesFeed() {
				entry.compareVersions(ctx, round)
			}
		}
	}
}

// comparedPeers is the number of peers with which an instance compares versions in round robin.
const comparedPeers = 3

// compareVersions sends a request to the next peer. The versions in the response's frame show whether the peer has a newer one.
func (entry *Entry) compareVersions(ctx context.Context, round int) {
	candidates := entry.members.plan().candidates
	own := slices.IndexFunc(candidates, func(c home.Candidate) bool { return c.Entry.Name == entry.Name })
	if len(candidates) == 0 || own >= 0 && len(candidates) == 1 {
		return
	}
	next := candidates[(own+1+round%min(comparedPeers, len(candidates)))%len(candidates)].Entry
	if next.Name == entry.Name {
		return
	}
	have := uint64(math.MaxUint64)
	if entry.rules.load().version == 0 {
		have = 0
	}
	entry.pullRulesFrom(ctx, Peer{next.Name, next.Peer}, have)
}

// pullRulesFrom requests rules newer than a version from a peer and applies them.
func (entry *Entry) pullRulesFrom(ctx context.Context, peer Peer, have uint64) {
	ctx, cancel := context.WithTimeout(ctx, entry.Intervals.Retry)
	defer cancel()
	version, text, err := entry.Peers.PullRules(ctx, peer, have)
	if err != nil {
		entry.Log.Debug("rules: could not pull from a peer", zap.String("peer", peer.Name), zap.Error(err))
	}
	if err != nil || version == 0 {
		return
	}
	entry.count("rules.from-peers")
	entry.ApplyRules(version, text)
}
