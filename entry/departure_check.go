package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// Limits of departure checks. After an outage of the platform this instance asks others about servers whose records are missing: the
// outage may have affected only this instance, and others may have seen the servers leave.
const (
	departureCheckAnswers = 8                      // responses to collect; a third of the instances may have lost the platform as well
	departureCheckTimeout = 300 * time.Millisecond // per request
)

// departureCheck tracks the check of servers that stay in use although their records are missing. The zero value is inactive.
type departureCheck struct {
	since     instance.Revision // last revision before the records were found missing
	remaining int               // responses still to collect
}

// start begins a check of records that are missing after the given revision, or extends the running one.
func (departureCheck *departureCheck) start(since instance.Revision) {
	if departureCheck.remaining == 0 {
		departureCheck.since = since
	}
	departureCheck.remaining = departureCheckAnswers
}

// pendingDepartureCheck returns the revision since which to request changes from another instance, and whether a check is pending.
func (lists *lists) pendingDepartureCheck() (since instance.Revision, pending bool) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	if lists.servers.RetainedCount() == 0 {
		lists.departureCheck.remaining = 0
	}
	if lists.departureCheck.remaining == 0 {
		return instance.Revision{}, false
	}
	return lists.departureCheck.since, true
}

// applyDepartureCheck applies another instance's response to a departure check and reports whether it changed the lists.
func (lists *lists) applyDepartureCheck(changes Lists) bool {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	lists.departureCheck.remaining = max(0, lists.departureCheck.remaining-1)
	return lists.applyLocked(changes)
}

// checkDepartures asks other instances about servers that stay in use although their records are missing, and drops those that another
// instance saw leave. It asks instances of its own failure domain, because responses after an outage contain every record that was
// announced again and traffic between domains is expensive.
func (entry *Entry) checkDepartures(ctx context.Context) {
	runPeriodically(ctx, roleCheckInterval, func(ctx context.Context) {
		since, pending := entry.lists.pendingDepartureCheck()
		if !pending {
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
			entry.Log.Debug("instances: a departure check got no current list from a peer", zap.String("peer", other.Name), zap.Error(err))
			return
		}
		entry.applyPulled(pulled, entry.lists.applyDepartureCheck)
	})
}
