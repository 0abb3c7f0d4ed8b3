package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// Asks about servers whose records were found missing after an outage of the platform. This instance may have been the only one to
// miss the platform, and others may have seen the servers leave.
const (
	doubtAnswers = 8                      // answers that are awaited: a third of the instances may have been cut off as well
	doubtTimeout = 300 * time.Millisecond // for one ask
)

// doubt is about servers that stay in use although their records are missing; the zero value has none.
type doubt struct {
	since instance.Revision // of the lists before the records were found missing
	left  int               // answers still awaited
}

// begin notes that records were found missing by changes of a revision.
func (doubt *doubt) begin(since instance.Revision) {
	if doubt.left == 0 {
		doubt.since = since
	}
	doubt.left = doubtAnswers
}

// nextDoubt returns the revision after which another instance is to be asked for changes, and reports whether one is to be asked.
func (lists *lists) nextDoubt() (since instance.Revision, ask bool) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	if lists.servers.RetainedCount() == 0 {
		lists.doubt.left = 0
	}
	if lists.doubt.left == 0 {
		return instance.Revision{}, false
	}
	return lists.doubt.since, true
}

// confirm takes in another instance's changes, and reports whether they changed anything.
func (lists *lists) confirm(changes Lists) bool {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	lists.doubt.left = max(0, lists.doubt.left-1)
	return lists.take(changes)
}

// resolveDoubts asks other instances about servers that stay in use although their records are missing. Those that another instance
// saw leave are dropped at once. Instances of the same failure domain are asked: after an outage of the platform their answers hold all
// that was announced anew, and bytes between domains are dear.
func (entry *Entry) resolveDoubts(ctx context.Context) {
	runPeriodically(ctx, rolePause, func(ctx context.Context) {
		since, ask := entry.lists.nextDoubt()
		if !ask {
			return
		}
		other, found := entry.nearbyInTurn()
		if !found {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, doubtTimeout)
		defer cancel()
		pulled, err := entry.Peers.PullLists(ctx, Peer{other.Name, other.Peer}, since, 0)
		if err != nil || pulled.Entries.Revision.IsZero() || pulled.Age > staleAfter {
			entry.Log.Debug("instances: a peer does not know which servers have left", zap.String("peer", other.Name), zap.Error(err))
			return
		}
		entry.takePulled(pulled, entry.lists.confirm)
	})
}
