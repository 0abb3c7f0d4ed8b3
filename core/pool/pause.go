package pool

import (
	"slices"
	"time"
)

// A server may ask a single entry instance to pause its requests. That is no evidence against it, and other instances go on using it.
const (
	// minOverloadPauses is the number of instances with a pause in effect at which a server counts as overloaded.
	minOverloadPauses = 3
	// pausedRetryAfter is when a caller may try another instance.
	pausedRetryAfter = 200 * time.Millisecond
)

// pausedBy reports whether the server has paused requests from the asking instance.
func (server *server) pausedBy(ask *Ask) bool {
	return len(ask.Paused) > 0 && slices.Contains(ask.Paused, server.member.Name)
}

// allPaused reports whether all servers in service have paused requests from the asking instance.
func (pool *Pool) allPaused(ask *Ask) bool {
	paused := false
	for _, s := range pool.servers {
		if s.phase != inService || s.member.Leaving {
			continue
		}
		if !s.pausedBy(ask) {
			return false
		}
		paused = true
	}
	return paused
}

// recordPause records a pause for an entry instance. Pauses for several instances at a time count as an overload rejection.
func (server *server) recordPause(now time.Time, entry string, until time.Time) {
	if server.pauses == nil {
		server.pauses = map[string]time.Time{}
	}
	server.pauses[entry] = until
	for name, end := range server.pauses {
		if !now.Before(end) {
			delete(server.pauses, name)
		}
	}
	if len(server.pauses) >= minOverloadPauses {
		server.shed(now)
	}
}
