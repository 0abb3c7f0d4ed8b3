package pool

import (
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/locality"
)

// maxReportedFailing limits the likely failing servers in a Load.
const maxReportedFailing = 32

// Load is the load of a slice as its home sees it, for the instances that ask it.
type Load struct {
	locality.Load
	Failing []string // servers that likely fail now, at most maxReportedFailing
}

// Load returns the current load. Slots of servers that likely fail do not count, as requests wait or go elsewhere rather than take them.
func (pool *Pool) Load(now time.Time) Load {
	load := Load{Failing: pool.failingServers(now)}
	load.Queued, load.HoldTime = pool.queue.len(), pool.meanHoldTime
	for _, s := range pool.servers {
		if limit := s.limit(now); s.acceptsWork(now) && !s.likelyFailing(now) {
			load.Slots += limit
			load.InUse += min(s.inFlight, limit)
		}
	}
	return load
}

// failingServers returns the servers in service that likely fail now.
func (pool *Pool) failingServers(now time.Time) []string {
	var names []string
	for _, s := range pool.servers {
		if s.likelyFailing(now) && !s.member.Leaving && len(names) < maxReportedFailing {
			names = append(names, s.member.Name)
		}
	}
	return names
}

// likelyFailing reports whether the server has been recorded as failing and a request would likely fail now, also if it has had none
// since its latest failure.
func (server *server) likelyFailing(now time.Time) bool {
	return server.failing && server.phase == inService && server.health.failureProbability(now) >= failingThreshold
}

// RestoreFailing adopts the likely failing servers that a home has reported at the given time. They count as failing from then
// on, as after failures seen by this pool. It returns how many servers the pool had no newer observation of.
func (pool *Pool) RestoreFailing(now time.Time, names []string, reportedAt time.Time) int {
	pool.init(now)
	if !reportedAt.After(pool.failingRestoredAt) {
		return 0
	}
	pool.failingRestoredAt = reportedAt
	restored := 0
	for _, name := range names {
		if s := pool.server(name); s != nil && s.health.updatedAt.Before(reportedAt) {
			s.health.restore(reportedAt)
			restored++
		}
	}
	return restored
}
