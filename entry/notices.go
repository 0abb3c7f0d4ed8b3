package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/notice"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// Notice is the state that a backend server reports about itself along with a response.
type Notice struct {
	Leaving     bool      // the server accepts no new work
	PausedUntil time.Time // the server accepts no requests from this instance until then; zero if not paused
}

// notices holds the notices of backend servers that this instance received directly or from other instances.
type notices struct {
	mu      sync.Mutex
	tracker notice.Tracker
}

func (notices *notices) isLeaving(name string, started time.Time) bool {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	return notices.tracker.IsLeaving(name, started)
}

// leaving returns the servers that reported that they are leaving.
func (notices *notices) leaving() []notice.Server {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	return notices.tracker.Leaving()
}

func (notices *notices) isPaused(now time.Time, service, name string) bool {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	return notices.tracker.IsPaused(now, service, name)
}

func (notices *notices) paused(now time.Time, service string) ([]string, time.Time) {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	return notices.tracker.Paused(now, service)
}

func (notices *notices) markLeaving(now time.Time, server notice.Server) (isNew bool) {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	return notices.tracker.MarkLeaving(now, server)
}

// pause records a pause. It returns the effective end of the pause and whether the server was not paused before.
func (notices *notices) pause(now time.Time, server notice.Server, until time.Time) (end time.Time, isNew bool) {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	isNew = !notices.tracker.IsPaused(now, server.Service, server.Name)
	return notices.tracker.Pause(now, server, until), isNew
}

// prune drops the notices that a new list makes obsolete.
func (notices *notices) prune(now time.Time, plan *plan) {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	notices.tracker.Prune(now, func(name string) (time.Time, bool) {
		s, listed := plan.server(name)
		return s.Started, listed
	})
}

// RecordNotice records a notice of the grant's server; the attempt may continue. The home is notified immediately if the server is
// leaving, and of a pause when the attempt ends.
func (grant *Grant) RecordNotice(received Notice) {
	server := notice.Server{Name: grant.Server, Service: grant.Slice.Service, Started: grant.Started}
	if grant.entry.recordNotice(server, received) {
		grant.report(pool.Report{Leaving: true, Ongoing: true})
	}
}

// recordNotice records a notice of a server and reports whether it is the first one to say that the server is leaving.
func (entry *Entry) recordNotice(server notice.Server, received Notice) (leaving bool) {
	now := entry.Clock()
	if received.Leaving && entry.notices.markLeaving(now, server) {
		entry.count("backend.leaving")
		listed, _ := entry.members.plan().server(server.Name)
		entry.Log.Info("backend server: reported that it is leaving; it gets no new work from this instance",
			zap.String("backend-server", server.Name), zap.String("service", server.Service), zap.Stringer("listed-as", listed.State), entry.LoggedListAge(now))
		leaving = true
	}
	if now.Before(received.PausedUntil) {
		end, isNew := entry.notices.pause(now, server, received.PausedUntil)
		entry.count("backend.pauses")
		if isNew {
			entry.Log.Info("backend server: paused requests from this instance",
				zap.String("backend-server", server.Name), zap.String("service", server.Service),
				zap.Duration("asked-for", received.PausedUntil.Sub(now)), zap.Duration("kept-for", end.Sub(now)))
		}
	}
	return leaving
}

// recordLeaving records leaving servers of a service that another instance reported.
func (entry *Entry) recordLeaving(service string, servers []pool.LeavingServer) {
	for _, server := range servers {
		if entry.notices.markLeaving(entry.Clock(), notice.Server{Name: server.Server, Service: service, Started: server.Started}) {
			entry.Log.Info("backend server: another instance reported that it is leaving", zap.String("backend-server", server.Server), zap.String("service", service))
		}
	}
}

// recordLeavingServers records leaving servers of any service that another instance reported.
func (entry *Entry) recordLeavingServers(servers []notice.Server) {
	for _, server := range servers {
		entry.recordLeaving(server.Service, []pool.LeavingServer{{Server: server.Name, Started: server.Started}})
	}
}

// unlistedLeavingServers returns the servers that reported that they are leaving and are listed without that state.
func (entry *Entry) unlistedLeavingServers() []notice.Server {
	plan := entry.members.plan()
	return slices.DeleteFunc(entry.notices.leaving(), func(server notice.Server) bool {
		listed, found := plan.server(server.Name)
		return !found || listed.State == instance.Leaving
	})
}

// leavingServers returns the servers of a slice that reported that they are leaving and are listed without that state.
func (entry *Entry) leavingServers(slice home.Slice) []pool.LeavingServer {
	plan := entry.members.plan()
	var out []pool.LeavingServer
	for _, server := range entry.unlistedLeavingServers() {
		if plan.sliceOf(server) == slice {
			out = append(out, pool.LeavingServer{Server: server.Name, Started: server.Started})
		}
	}
	return out
}

// sliceOf returns the slice that a server belongs to.
func (plan *plan) sliceOf(server notice.Server) home.Slice {
	return home.Slice{Service: server.Service, Index: home.SliceIndex(server.Name, plan.slices(server.Service))}
}

// Greeting returns the renewal to send first when a session with a peer begins. The peer may have restarted and lost its record of
// leaving servers, which it must not use as the home of their slices.
func (entry *Entry) Greeting(peer string) Renewal {
	plan := entry.members.plan()
	var greeting Renewal
	included := map[home.Slice]bool{}
	for _, server := range entry.notices.leaving() {
		slice := plan.sliceOf(server)
		if included[slice] || plan.place(slice).home.Name != peer {
			continue
		}
		included[slice] = true
		if renewal := entry.renewal(slice); len(renewal.Snapshot.Leaving) > 0 {
			greeting.Slices = append(greeting.Slices, renewal)
		}
	}
	return greeting
}

// greet sends the greeting to an instance that has started a session, unless it is empty.
func (entry *Entry) greet(name string) {
	peer, listed := entry.PeerNamed(name)
	greeting := entry.Greeting(name)
	if !listed || len(greeting.Slices) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(entry.leaveCtx, entry.Intervals.Renew)
		defer cancel()
		if err := entry.Peers.Renew(ctx, peer, greeting); err != nil {
			entry.Log.Debug("entry: could not notify a peer of leaving servers", zap.String("peer", name), zap.Error(err))
		}
	}()
}

// unavailable reports whether a granted server must get no work because it is leaving or has departed, and whether it is leaving, which
// the caller reports to the home. The lists of the home and of this instance may be outdated.
func (grant *Grant) unavailable() (unavailable, leaving bool) {
	entry := grant.entry
	if entry.notices.isLeaving(grant.Server, grant.Started) {
		return true, true
	}
	if entry.Feed == nil {
		return false, false
	}
	plan := entry.members.plan()
	listed, found := plan.server(grant.Server)
	switch {
	case !found:
		// A restored list that is not in use yet may contain servers that have departed.
		return entry.lists.recentlyRemoved(grant.Server) || entry.lists.restorationCount() > plan.restorations, false
	case listed.Started.After(grant.Started):
		return true, false // the server has restarted since the grant
	case grant.Started.After(listed.Started):
		return false, false // the home knows a newer run than the list
	}
	leaving = listed.State == instance.Leaving
	return leaving, leaving
}
