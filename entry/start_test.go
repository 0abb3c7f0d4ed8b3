package entry

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// groupFeed delivers full lists with the delay of a saturated platform link, and the group without delay.
type groupFeed struct {
	testFeed
	group     []instance.Entry
	snapshots atomic.Int64 // number of full reads of the lists
	slow      time.Duration
}

func (feed *groupFeed) Group(context.Context) ([]instance.Entry, error) {
	return feed.group, nil
}

func (feed *groupFeed) Next(ctx context.Context, after instance.Revision) (Lists, error) {
	if after.IsZero() {
		feed.snapshots.Add(1)
		wait.For(ctx, feed.slow)
	}
	return feed.testFeed.Next(ctx, after)
}

// startPeers routes pulls to the instances of a test by address; instances that are down refuse the connection.
type startPeers struct {
	Peers
	all       map[netip.AddrPort]*Entry
	mu        sync.Mutex
	down      map[netip.AddrPort]bool
	rulesLost atomic.Bool // whether replies to PullRules are lost
}

var errDown = errors.New("connection refused")

func (peers *startPeers) setDown(address netip.AddrPort) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.down[address] = true
}

func (peers *startPeers) isDown(address netip.AddrPort) bool {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	return peers.down[address]
}

func (peers *startPeers) PullLists(ctx context.Context, to Peer, revision instance.Revision, length time.Duration) (Lists, error) {
	if peers.isDown(to.Address) {
		return Lists{}, errDown
	}
	return peers.all[to.Address].HandlePullLists(revision, length), ctx.Err()
}

func (peers *startPeers) PullRules(_ context.Context, to Peer, have uint64) (uint64, string, error) {
	if peers.isDown(to.Address) || peers.rulesLost.Load() {
		return 0, "", errDown
	}
	version, text := peers.all[to.Address].HandlePullRules(have)
	return version, text, nil
}

func (peers *startPeers) Reachable(string) bool { return true }

// TestRulesAfterTheLossOfASeed starts an instance while the platform does not answer it. It pulls the lists from a seed instance that is
// lost before the rules are pulled. Once the platform answers, the instance must read the rules although its lists are current.
func TestRulesAfterTheLossOfASeed(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
		platform := &platformLists{}
		peers := &startPeers{all: map[netip.AddrPort]*Entry{}, down: map[netip.AddrPort]bool{}}
		seed, starting := listedEntry(0, "domain"), listedEntry(1, "domain")
		platform.set(at(5), []instance.Entry{seed, starting}, server("payouts-1"))
		platform.writeRules(at(6), 3)
		feeds := map[string]*testFeed{seed.Name: {lists: platform}, starting.Name: {lists: platform, cut: true}}
		for _, listed := range []instance.Entry{seed, starting} {
			peers.all[listed.Peer] = &Entry{
				Name: listed.Name, Domain: listed.Domain, Peer: listed.Peer, Feed: feeds[listed.Name], Peers: peers, Seeds: []netip.AddrPort{seed.Peer},
			}
			peers.all[listed.Peer].Init()
		}
		runAll(ctx, running, map[string]*Entry{seed.Name: peers.all[seed.Peer]}, feeds)
		time.Sleep(5 * time.Second)
		peers.rulesLost.Store(true)
		e := peers.all[starting.Peer]
		runAll(ctx, running, map[string]*Entry{starting.Name: e}, feeds)
		for e.lists.revision().IsZero() {
			time.Sleep(10 * time.Millisecond)
		}
		must.Eq(t, 0, e.rules.load().version)
		peers.setDown(seed.Peer)
		feeds[starting.Name].setCut(false)
		time.Sleep(3 * time.Second) // a call to the disconnected platform takes two seconds to fail
		must.Eq(t, 3, e.rules.load().version)
	})
}

// startTogether starts the instances of a large group in one failure domain at the same time, except some that are listed but down. It
// returns the number of full reads of the lists and the time until the last instance had them.
func startTogether(t *testing.T, down int) (snapshots int, last time.Duration) {
	runSynctest(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
		platform := &platformLists{}
		var group []instance.Entry
		for i := range 2 * minGroupSize {
			group = append(group, listedEntry(i, "domain"))
		}
		platform.set(at(5), group, server("payouts-1"))
		peers := &startPeers{all: map[netip.AddrPort]*Entry{}, down: map[netip.AddrPort]bool{}}
		for _, departed := range home.Watchers(home.Candidates(group), "domain", down) {
			peers.down[departed.Peer] = true
		}
		var feeds []*groupFeed
		var started []*Entry
		for _, e := range group {
			if peers.down[e.Peer] {
				continue
			}
			feed := &groupFeed{testFeed: testFeed{lists: platform}, group: group, slow: 300 * time.Millisecond}
			feeds = append(feeds, feed)
			peers.all[e.Peer] = &Entry{Name: e.Name, Domain: "domain", Peer: e.Peer, Feed: feed, Peers: peers}
			peers.all[e.Peer].Init()
			started = append(started, peers.all[e.Peer])
		}
		began := time.Now()
		for _, e := range started {
			running.Go(func() { _ = e.Run(ctx) })
		}
		for _, e := range started {
			for e.lists.revision().IsZero() && time.Since(began) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			must.Eq(t, at(5), e.lists.revision(), must.Sprint(e.Name))
			last = max(last, time.Since(began))
		}
		for _, feed := range feeds {
			snapshots += int(feed.snapshots.Load())
		}
	})
	return snapshots, last
}

// maxStartTime is the target time until the largest current deployment serves again after a power loss.
const maxStartTime = 3 * time.Second

// TestStartTogether starts instances at the same time, as after a power loss. One instance of a group reads the full lists and the others
// pull them from it, also when the first ones stay down.
func TestStartTogether(t *testing.T) {
	snapshots, last := startTogether(t, 0)
	must.Eq(t, 1, snapshots)
	must.Less(t, 500*time.Millisecond, last)
	snapshots, last = startTogether(t, 1)
	must.Eq(t, 1, snapshots, must.Sprint("the second instance reads instead of the first"))
	must.Less(t, maxStartTime, last)
	_, last = startTogether(t, startSources)
	must.Less(t, maxStartTime, last, must.Sprint("with all sources down each instance reads from the platform"))
}
