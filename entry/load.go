package entry

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

const (
	// loadMaxAge is the age from which a reported load is unknown again.
	loadMaxAge = 2 * time.Second
	// loadRepeatInterval is the age from which an unchanged load is reported to an instance again.
	loadRepeatInterval = 500 * time.Millisecond
	// maxLoadReports is the number of reports from which those that no longer matter are dropped.
	maxLoadReports = 1024
	// logInterval is the least time between two log lines of a kind.
	logInterval = time.Second
)

// loadReports tracks which load a home has reported to each asking instance. The zero value has none.
type loadReports struct {
	sent map[string]sentLoad // by asking instance
}

// sentLoad is the load last sent to an instance.
type sentLoad struct {
	at   time.Time
	load pool.Load
}

// busyShare is the use of a slice's slots from which its load is reported. Below it, an ask is likely to find a free slot at once.
const busyShare = 0.75

// isNoteworthy reports whether an instance acts on a load otherwise than on an unknown one.
func isNoteworthy(load *pool.Load) bool { return len(load.Failing) > 0 || load.Use() >= busyShare }

// hasChanged reports whether an instance acts on a load otherwise than on an earlier one.
func hasChanged(load, earlier *pool.Load) bool {
	return isNoteworthy(load) != isNoteworthy(earlier) || load.IsFull() != earlier.IsFull() || !slices.Equal(load.Failing, earlier.Failing)
}

// next returns the load if it must be sent to an instance with the next decision, or nil. A slice that is neither busy nor has likely
// failing servers is not reported, unless the instance would otherwise go on with an earlier report.
func (loadReports *loadReports) next(now time.Time, asker string, load pool.Load) *pool.Load {
	last, known := loadReports.sent[asker]
	known = known && now.Sub(last.at) < loadMaxAge
	switch {
	case !known && !isNoteworthy(&load):
		return nil
	case known && !hasChanged(&load, &last.load) && (!isNoteworthy(&load) || now.Sub(last.at) < loadRepeatInterval):
		return nil
	}
	if loadReports.sent == nil {
		loadReports.sent = map[string]sentLoad{}
	}
	if len(loadReports.sent) >= maxLoadReports {
		maps.DeleteFunc(loadReports.sent, func(_ string, s sentLoad) bool { return now.Sub(s.at) >= loadMaxAge })
	}
	loadReports.sent[asker] = sentLoad{now, load}
	return &load
}

// sliceLoads holds the loads that homes have reported to this instance. The zero value has none.
type sliceLoads struct {
	mu                  sync.Mutex
	loads               map[home.Slice]sentLoad
	failingLog, moveLog logLimit
}

// logLimit limits a kind of log line to one in logInterval. The zero value allows one.
type logLimit struct {
	last atomic.Int64 // time of the latest line
}

// allow reports whether a line is due.
func (logLimit *logLimit) allow(now time.Time) bool {
	last := logLimit.last.Load()
	return now.UnixNano()-last >= logInterval.Nanoseconds() && logLimit.last.CompareAndSwap(last, now.UnixNano())
}

// record stores a reported load. A decision without one leaves the earlier report in force.
func (sliceLoads *sliceLoads) record(now time.Time, slice home.Slice, load *pool.Load) {
	if load == nil {
		return
	}
	sliceLoads.mu.Lock()
	defer sliceLoads.mu.Unlock()
	if sliceLoads.loads == nil {
		sliceLoads.loads = map[home.Slice]sentLoad{}
	}
	sliceLoads.loads[slice] = sentLoad{now, *load}
}

// load returns a slice's load and the time of the report, if it is known.
func (sliceLoads *sliceLoads) load(now time.Time, slice home.Slice) (load pool.Load, reportedAt time.Time, known bool) {
	sliceLoads.mu.Lock()
	defer sliceLoads.mu.Unlock()
	sent, found := sliceLoads.loads[slice]
	if found && now.Sub(sent.at) >= loadMaxAge {
		delete(sliceLoads.loads, slice)
		found = false
	}
	return sent.load, sent.at, found
}

// restoreFailing has the pool for local decisions avoid the servers that the slice's home last reported as likely failing.
func (entry *Entry) restoreFailing(now time.Time, slice home.Slice) {
	load, reportedAt, known := entry.loads.load(now, slice)
	if !known || len(load.Failing) == 0 {
		return
	}
	restored := 0
	entry.localPools.withPool(now, &entry.members, slice, func(sp *slicePool) {
		restored = sp.pool.RestoreFailing(now, load.Failing, reportedAt)
	})
	if restored == 0 {
		return
	}
	entry.count("entry.failing-reports-used")
	if entry.loads.failingLog.allow(now) {
		entry.Log.Info("entry: deciding alone, avoiding backend servers that the home reported as likely failing",
			zap.Stringer("slice", slice), zap.Duration("reported-before", now.Sub(reportedAt)), zap.Int("count", restored),
			zap.Strings("backend-servers", load.Failing[:min(maxLoggedNames, len(load.Failing))]))
	}
}
