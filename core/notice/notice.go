// Package notice keeps what backend servers have told an entry instance about themselves with their answers: that they are
// leaving, and that they want no request from this instance for a while.
//
// It answers the load of planned replacements while the instance list lags, and of servers that turn single instances away.
package notice

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MostPause bounds a pause: a server that names a longer one is tried again after it.
	MostPause = 10 * time.Minute
	// keepUnlisted is how long a notice of a server that is not on the list is kept. Addresses and names are used again later.
	keepUnlisted = 10 * time.Minute
)

// Server is one run of a backend server.
type Server struct {
	Name    string
	Service string
	Started time.Time // zero if not known
}

// Board keeps the notices of backend servers; the zero value is empty. A Board is not safe for concurrent use.
type Board struct {
	leaving map[string]record
	pauses  map[string]map[string]pause // by service and name
}

// record is a notice with the time at which it came.
type record struct {
	server  Server
	heardAt time.Time
}

// pause is a server's wish not to be sent requests.
type pause struct {
	record
	until time.Time
}

// Leave takes in that a server is leaving, and reports whether that is news. The word of an earlier run than the one that is
// known to leave is none.
func (board *Board) Leave(now time.Time, server Server) bool {
	if known, found := board.leaving[server.Name]; found && !server.Started.After(known.server.Started) {
		return false
	}
	if board.leaving == nil {
		board.leaving = map[string]record{}
	}
	board.leaving[server.Name] = record{server, now}
	return true
}

// IsLeaving reports whether a run of a server has said that it is leaving. A start that is not known stands for any run.
func (board *Board) IsLeaving(name string, started time.Time) bool {
	known, found := board.leaving[name]
	return found && (known.server.Started.Equal(started) || known.server.Started.IsZero() || started.IsZero())
}

// Leaving returns the servers that have said that they are leaving, sorted by name.
func (board *Board) Leaving() []Server {
	out := make([]Server, 0, len(board.leaving))
	for _, known := range board.leaving {
		out = append(out, known.server)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Pause takes in that a server wants no request from this instance until a time, and returns when the pause really ends. The
// latest word counts: a server may also shorten its pause.
func (board *Board) Pause(now time.Time, server Server, until time.Time) time.Time {
	if latest := now.Add(MostPause); until.After(latest) {
		until = latest
	}
	if board.pauses == nil {
		board.pauses = map[string]map[string]pause{}
	}
	if board.pauses[server.Service] == nil {
		board.pauses[server.Service] = map[string]pause{}
	}
	board.pauses[server.Service][server.Name] = pause{record{server, now}, until}
	return until
}

// IsPaused reports whether a server wants no request from this instance now.
func (board *Board) IsPaused(now time.Time, service, name string) bool {
	paused, found := board.pauses[service][name]
	return found && now.Before(paused.until)
}

// Paused returns the names of the servers of a service that want no request now, sorted, and when the first of them does again.
func (board *Board) Paused(now time.Time, service string) (names []string, first time.Time) {
	pauses := board.pauses[service]
	for name, paused := range pauses {
		if !now.Before(paused.until) {
			delete(pauses, name)
			continue
		}
		names = append(names, name)
		if first.IsZero() || paused.until.Before(first) {
			first = paused.until
		}
	}
	if len(pauses) == 0 {
		delete(board.pauses, service)
	}
	slices.Sort(names)
	return names, first
}

// Follow drops the notices of servers that the list shows in a later run, and in time those of servers that it does not show.
// Find returns when the listed run of a server started.
func (board *Board) Follow(now time.Time, find func(name string) (started time.Time, listed bool)) {
	for name, known := range board.leaving {
		if known.isOver(now, find) {
			delete(board.leaving, name)
		}
	}
	for _, pauses := range board.pauses {
		for name, paused := range pauses {
			if paused.isOver(now, find) {
				delete(pauses, name)
			}
		}
	}
}

// isOver reports whether a notice says nothing any more.
func (record *record) isOver(now time.Time, find func(string) (time.Time, bool)) bool {
	started, listed := find(record.server.Name)
	switch {
	case !listed:
		return now.Sub(record.heardAt) > keepUnlisted
	case record.server.Started.IsZero():
		// The list did not show the server when it said so.
		return started.After(record.heardAt)
	}
	return started.After(record.server.Started)
}
