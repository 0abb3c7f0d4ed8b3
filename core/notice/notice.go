// Package notice tracks the notices that backend servers attach to their responses to an entry instance: that they are leaving, or
// that this instance must send them no requests for some time (a pause).
//
// Leaving notices keep requests off servers that are being replaced while the instance list lags behind. Pauses keep requests off
// servers that refuse this instance but serve others.
package notice

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxPause limits the length of a pause. A server that asks for a longer one is tried again after MaxPause.
	MaxPause = 10 * time.Minute
	// unlistedTTL is how long the notice of an unlisted server is kept. Names and addresses may be reused by other servers later.
	unlistedTTL = 10 * time.Minute
)

// Server identifies one run of a backend server.
type Server struct {
	Name    string
	Service string
	Started time.Time // start of the run, zero if unknown
}

// Tracker holds the current notices of backend servers. The zero value is empty. A Tracker is not safe for concurrent use.
type Tracker struct {
	leaving map[string]record
	pauses  map[string]map[string]pause // by service and server name
}

// record is the origin of a notice: the server and the time of receipt.
type record struct {
	server     Server
	receivedAt time.Time
}

// pause is a server's request to receive no requests until a time.
type pause struct {
	record
	until time.Time
}

// MarkLeaving records that a server is leaving and reports whether this was new. It ignores a notice from the same or an earlier run
// than the recorded one.
func (tracker *Tracker) MarkLeaving(now time.Time, server Server) bool {
	if known, found := tracker.leaving[server.Name]; found && !server.Started.After(known.server.Started) {
		return false
	}
	if tracker.leaving == nil {
		tracker.leaving = map[string]record{}
	}
	tracker.leaving[server.Name] = record{server, now}
	return true
}

// IsLeaving reports whether a run of a server has announced that it is leaving. An unknown start time matches any run.
func (tracker *Tracker) IsLeaving(name string, started time.Time) bool {
	known, found := tracker.leaving[name]
	return found && (known.server.Started.Equal(started) || known.server.Started.IsZero() || started.IsZero())
}

// Leaving returns the servers that have announced that they are leaving, sorted by name.
func (tracker *Tracker) Leaving() []Server {
	out := make([]Server, 0, len(tracker.leaving))
	for _, known := range tracker.leaving {
		out = append(out, known.server)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Pause records that a server wants no requests from this instance until the given time. It returns the end of the pause, which
// MaxPause may bring forward. The most recent notice replaces earlier ones, so a server can also shorten its pause.
func (tracker *Tracker) Pause(now time.Time, server Server, until time.Time) time.Time {
	if latest := now.Add(MaxPause); until.After(latest) {
		until = latest
	}
	if tracker.pauses == nil {
		tracker.pauses = map[string]map[string]pause{}
	}
	if tracker.pauses[server.Service] == nil {
		tracker.pauses[server.Service] = map[string]pause{}
	}
	tracker.pauses[server.Service][server.Name] = pause{record{server, now}, until}
	return until
}

// IsPaused reports whether a server is paused for this instance at the given time.
func (tracker *Tracker) IsPaused(now time.Time, service, name string) bool {
	paused, found := tracker.pauses[service][name]
	return found && now.Before(paused.until)
}

// Paused returns the names of a service's paused servers, sorted, and the time at which the first of their pauses ends. The time is
// zero if none is paused.
func (tracker *Tracker) Paused(now time.Time, service string) (names []string, nextEnd time.Time) {
	pauses := tracker.pauses[service]
	for name, paused := range pauses {
		if !now.Before(paused.until) {
			delete(pauses, name)
			continue
		}
		names = append(names, name)
		if nextEnd.IsZero() || paused.until.Before(nextEnd) {
			nextEnd = paused.until
		}
	}
	if len(pauses) == 0 {
		delete(tracker.pauses, service)
	}
	slices.Sort(names)
	return names, nextEnd
}

// Prune drops the notices of servers that are listed with a later run, and those of unlisted servers after unlistedTTL. The lookup
// function returns the start time of a server's listed run.
func (tracker *Tracker) Prune(now time.Time, lookup func(name string) (started time.Time, listed bool)) {
	for name, known := range tracker.leaving {
		if known.isObsolete(now, lookup) {
			delete(tracker.leaving, name)
		}
	}
	for _, pauses := range tracker.pauses {
		for name, paused := range pauses {
			if paused.isObsolete(now, lookup) {
				delete(pauses, name)
			}
		}
	}
}

// isObsolete reports whether a notice no longer applies.
func (record *record) isObsolete(now time.Time, lookup func(string) (time.Time, bool)) bool {
	started, listed := lookup(record.server.Name)
	switch {
	case !listed:
		return now.Sub(record.receivedAt) > unlistedTTL
	case record.server.Started.IsZero():
		// The run is unknown: the server was not listed when it sent the notice.
		return started.After(record.receivedAt)
	}
	return started.After(record.server.Started)
}
