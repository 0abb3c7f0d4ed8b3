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
	departureCheckAnswers = 8                      // answers that are awaited: a third of the instances may have been cut off as well
	departureCheckTimeout = 300 * time.Millisecond // for one ask
)

// departureCheck is about servers that stay in use although their records are missing; the zero value has none.
type departureCheck struct {
	since instance.Revision // of the lists before the records were found missing
	remaining  int               // answers still awaited
}

// start notes that records were found missing by changes of a revision.
func (doubt *departureCheck) start(since instance.Revision) {
	if doubt.remaining == 0 {
		doubt.since = since
	}
	doubt.remaining = departureCheckAnswers
}

// pendingDepartureCheck returns the revision after which another instance is to be asked for changes, and reports whether one is to be asked.
func (lists *lists) pendingDepartureCheck() (since instance.Revision, ask bool) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	if lists.servers.RetainedCount() == 0 {
		lists.departures.remaining = 0
	}
	if lists.departures.remaining == 0 {
		return instance.Revision{}, false
	}
	return lists.departures.since, true
}

// applyDepartureCheck takes in another instance's changes, and reports whether they changed anything.
func (lists *lists) applyDepartureCheck(changes Lists) bool {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	lists.departures.remaining = max(0, lists.departures.remaining-1)
	return lists.applyLocked(changes)
}

// checkDepartures asks other instances about servers that stay in use although their records are missing. Those that another instance
// saw leave are dropped at once. Instances of the same failure domain are asked: after an outage of the platform their answers hold all
// that was announced anew, and bytes between domains are dear.
func (entry *Entry) checkDepartures(ctx context.Context) {
	every(ctx, roleCheckInterval, func(ctx context.Context) {
		since, ask := entry.lists.pendingDepartureCheck()
		if !ask {
			return
		}
		other, found := entry.nextLocalPeer()
		if !found {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, departureCheckTimeout)
		defer cancel()
		pulled, err := entry.Peers.PullLists(ctx, Peer{other.Name, other.Peer}, since, 0)
		if err != nil || pulled.Entries.Revision.IsZero() || pulled.Age > staleAfter {
			entry.Log.Debug("instances: a peer does not know which servers have left", zap.String("peer", other.Name), zap.Error(err))
			return
		}
		entry.applyPulled(pulled, entry.lists.applyDepartureCheck)
	})
}
