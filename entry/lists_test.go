package entry

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

var errCut = errors.New("cut off")

// platformLists is the platform's list in a test with a fake clock.
type platformLists struct {
	mu      sync.Mutex
	catalog instance.Catalog[instance.Server]
	entries instance.Catalog[instance.Entry]
}

func (lists *platformLists) since(after uint64) Lists {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return Lists{Entries: lists.entries.Since(after), Servers: lists.catalog.Since(after)}
}

func (lists *platformLists) drain(revision uint64, name string) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	lists.catalog.Apply(instance.Changes[instance.Server]{Revision: revision, Items: []instance.Item[instance.Server]{{
		Name: name, Revision: revision, Value: instance.Server{Name: name, Service: "payouts", State: instance.Leaving},
	}}})
	lists.entries.Apply(instance.Changes[instance.Entry]{Revision: revision})
}

// testFeed is one instance's way to the platform.
type testFeed struct {
	lists *platformLists
	mu    sync.Mutex
	cut   bool
	heard time.Time
}

func (feed *testFeed) setCut(cut bool) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.cut = cut
}

func (feed *testFeed) isCut() bool {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return feed.cut
}

// Next answers like a watch of a second; one that is cut off gets no answer for two.
func (feed *testFeed) Next(ctx context.Context, after uint64) (Lists, error) {
	until := time.Now().Add(time.Second)
	for {
		changes := feed.lists.since(after)
		switch {
		case feed.isCut():
			wait.For(ctx, 2*time.Second)
			return Lists{}, errCut
		case !changes.Servers.Empty() || !time.Now().Before(until) || ctx.Err() != nil:
			feed.hear()
			return changes, ctx.Err()
		}
		wait.For(ctx, 10*time.Millisecond)
	}
}

func (feed *testFeed) hear() {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.heard = time.Now()
}

func (feed *testFeed) Age(now time.Time) time.Duration {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return now.Sub(feed.heard)
}

// listPeers carries pulls between instances of one test.
type listPeers struct {
	Peers
	all map[string]*Entry
}

func (peers *listPeers) PullLists(_ context.Context, to Peer, revision uint64, wait time.Duration) (Lists, error) {
	return peers.all[strings.TrimPrefix(to.Name, startName)].HandlePullLists(revision, wait), nil
}

func (peers *listPeers) Reachable(string) bool { return true }

func (peers *listPeers) PullRules(context.Context, Peer, uint64) (uint64, string, error) {
	return 0, "", nil
}

// TestListsPastReadersThatAreCutOff cuts both readers of a failure domain off from the platform, right before a backend server
// begins to leave. The others must know within the two seconds in which it still takes work. Seen first on the day scale-2 of
// civitas-portal with seed 965862766927: 2.4 s.
func TestListsPastReadersThatAreCutOff(t *testing.T) {
	for _, before := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			platform := &platformLists{}
			peers := &listPeers{all: map[string]*Entry{}}
			feeds := map[string]*testFeed{}
			address := netip.MustParseAddrPort("127.0.0.1:9")
			listed := instance.Changes[instance.Entry]{Whole: true, Revision: 5}
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				listed.Items = append(listed.Items, instance.Item[instance.Entry]{
					Name: name, Revision: 5, Value: instance.Entry{Name: name, Domain: "domain", Caller: address, Peer: address},
				})
				feeds[name] = &testFeed{lists: platform}
				peers.all[name] = &Entry{Name: name, Domain: "domain", Feed: feeds[name], Peers: peers}
			}
			platform.entries.Apply(listed)
			platform.catalog.Apply(instance.Changes[instance.Server]{Whole: true, Revision: 5, Items: []instance.Item[instance.Server]{
				{Name: "payouts-1", Revision: 5, Value: instance.Server{Name: "payouts-1", Service: "payouts"}},
			}})
			for _, e := range peers.all {
				e.Init()
			}
			for _, e := range peers.all {
				go func() { _ = e.Run(ctx) }()
				// Renewals of the lease tell of the platform, too.
				go every(ctx, time.Second, func(context.Context) {
					if feed := feeds[e.Name]; !feed.isCut() {
						feed.hear()
					}
				})
			}
			time.Sleep(5 * time.Second)
			readers := peers.all["a"].readers()
			must.Len(t, listReaders, readers)
			for _, reader := range readers {
				feeds[reader.Name].setCut(true)
			}
			time.Sleep(before)
			platform.drain(6, "payouts-1")
			time.Sleep(2 * time.Second)
			for name, e := range peers.all {
				if !feeds[name].isCut() {
					unwanted, _ := (&Grant{entry: e, Decision: pool.Decision{Server: "payouts-1"}}).unwanted()
					must.True(t, unwanted, must.Sprint(name, before))
				}
			}
		})
	}
}

// TestUnknownListAgeIsNotLogged checks that the log holds no age before the platform has vouched for the lists.
func TestUnknownListAgeIsNotLogged(t *testing.T) {
	e := newTestEntry(listOf(1, 1, 1))
	e.Feed = &testFeed{}
	now := time.Unix(1_800_000_000, 0)
	must.Eq(t, zap.Skip(), e.LoggedListAge(now))
	e.lists.heardAt = now.Add(-time.Second)
	must.Eq(t, zap.Duration("list-age", time.Second), e.LoggedListAge(now))
}
