package pool

import (
	"slices"
	"time"
)

// A server may want no request from one instance for a while. It is not judged for that, and other instances go on using it.
const (
	// pausesForLoad is how many instances a server must turn away at a time for it to count as overloaded.
	pausesForLoad = 3
	// pausedRetryAfter is when a caller may try another instance.
	pausedRetryAfter = 200 * time.Millisecond
)

// pausedBy reports whether the server wants no request from the instance that asks.
func (server *server) pausedBy(ask *Ask) bool {
	return len(ask.Paused) > 0 && slices.Contains(ask.Paused, server.member.Name)
}

// allPaused reports whether no server in service wants a request from the instance that asks.
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

// turnedAway notes that the server wants no request from an instance until a time, and sheds load once it does so to several.
func (server *server) turnedAway(now time.Time, entry string, until time.Time) {
	if server.pauses == nil {
		server.pauses = map[string]time.Time{}
	}
	server.pauses[entry] = until
	for name, end := range server.pauses {
		if !now.Before(end) {
			delete(server.pauses, name)
		}
	}
	if len(server.pauses) >= pausesForLoad {
		server.shed(now)
	}
}
