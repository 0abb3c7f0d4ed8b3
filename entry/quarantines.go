package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/quarantine"
)

// quarantines holds the quarantines that homes have told this instance of. The zero value is empty.
type quarantines struct {
	any atomic.Bool // there is one; without, an ask needs no lock

	mu      sync.Mutex
	notices quarantine.Notices
}

// until returns the end of a request's quarantine if a home does not know of it.
func (quarantines *quarantines) until(now time.Time, fingerprint uint64, home string) (time.Time, bool) {
	if !quarantines.any.Load() {
		return time.Time{}, false
	}
	quarantines.mu.Lock()
	defer quarantines.mu.Unlock()
	return quarantines.notices.Until(now, fingerprint, home)
}

// record keeps what a home's decision tells of a request.
func (quarantines *quarantines) record(now time.Time, fingerprint uint64, home string, decision pool.Decision) {
	isQuarantined := decision.Verdict == pool.Quarantined
	if !isQuarantined && (decision.Verdict != pool.Granted || !quarantines.any.Load()) {
		return
	}
	quarantines.mu.Lock()
	defer quarantines.mu.Unlock()
	if isQuarantined {
		quarantines.notices.Record(now, fingerprint, home, decision.RetryAt)
	} else {
		quarantines.notices.Clear(fingerprint)
	}
	quarantines.any.Store(quarantines.notices.Count() > 0)
}
