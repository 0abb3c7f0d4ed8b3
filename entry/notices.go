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

// Notice is what a backend server says of itself beside an answer.
type Notice struct {
	Leaving     bool      // it takes no new work
	PausedUntil time.Time // it wants no request from this instance until then, zero if it does not say so
}

// notices are the backend servers' words that this instance has heard or been told of.
type notices struct {
	mu    sync.Mutex
	board notice.Tracker
}

func (notices *notices) isLeaving(name string, started time.Time) bool {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	return notices.board.IsLeaving(name, started)
}

// leaving returns the servers that have said that they are leaving.
func (notices *notices) leaving() []notice.Server {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	return notices.board.Leaving()
}

func (notices *notices) isPaused(now time.Time, service, name string) bool {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	return notices.board.IsPaused(now, service, name)
}

func (notices *notices) paused(now time.Time, service string) ([]string, time.Time) {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	return notices.board.Paused(now, service)
}

func (notices *notices) leave(now time.Time, server notice.Server) (news bool) {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	return notices.board.MarkLeaving(now, server)
}

// pause takes in a pause; it returns when it really ends, and whether the server was in use before.
func (notices *notices) pause(now time.Time, server notice.Server, until time.Time) (end time.Time, news bool) {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	news = !notices.board.IsPaused(now, server.Service, server.Name)
	return notices.board.Pause(now, server, until), news
}

// follow drops the notices that a new list makes void.
func (notices *notices) follow(now time.Time, plan *plan) {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	notices.board.Prune(now, func(name string) (time.Time, bool) {
		s, listed := plan.server(name)
		return s.Started, listed
	})
}

// Hear takes in what the grant's server says of itself; the attempt may go on. The home is told at once of a server that is
// leaving, and of a pause with the attempt's end.
func (grant *Grant) Hear(said Notice) {
	server := notice.Server{Name: grant.Server, Service: grant.Slice.Service, Started: grant.Started}
	if grant.entry.hear(server, said) {
		grant.report(pool.Report{Leaving: true, Ongoing: true})
	}
}

// hear takes in what a server says of itself, and reports whether it is news that it is leaving.
func (entry *Entry) hear(server notice.Server, said Notice) (leaves bool) {
	now := entry.Clock()
	if said.Leaving && entry.notices.leave(now, server) {
		entry.count("backend.leaving")
		listed, _ := entry.members.plan().server(server.Name)
		entry.Log.Info("backend server: it says that it is leaving, and gets no new work from this instance",
			zap.String("backend-server", server.Name), zap.String("service", server.Service), zap.Stringer("listed-as", listed.State), entry.LoggedListAge(now))
		leaves = true
	}
	if now.Before(said.PausedUntil) {
		end, news := entry.notices.pause(now, server, said.PausedUntil)
		entry.count("backend.pauses")
		if news {
			entry.Log.Info("backend server: it wants no request from this instance for a while",
				zap.String("backend-server", server.Name), zap.String("service", server.Service),
				zap.Duration("asked-for", said.PausedUntil.Sub(now)), zap.Duration("kept-for", end.Sub(now)))
		}
	}
	return leaves
}

// told takes in another instance's word of servers that are leaving.
func (entry *Entry) told(service string, leavers []pool.LeavingServer) {
	for _, leaver := range leavers {
		if entry.notices.leave(entry.Clock(), notice.Server{Name: leaver.Server, Service: service, Started: leaver.Started}) {
			entry.Log.Info("backend server: another instance says that it is leaving, by its own word", zap.String("backend-server", leaver.Server), zap.String("service", service))
		}
	}
}

// toldOf takes in another instance's word of servers of any service that are leaving.
func (entry *Entry) toldOf(servers []notice.Server) {
	for _, server := range servers {
		entry.told(server.Service, []pool.LeavingServer{{Server: server.Name, Started: server.Started}})
	}
}

// unlistedLeavers returns the servers that are leaving by their own word, and not by the list.
func (entry *Entry) unlistedLeavers() []notice.Server {
	plan := entry.members.plan()
	return slices.DeleteFunc(entry.notices.leaving(), func(server notice.Server) bool {
		listed, found := plan.server(server.Name)
		return !found || listed.State == instance.Leaving
	})
}

// leavers returns the servers of a slice that are leaving by their own word, and not by the list.
func (entry *Entry) leavers(slice home.Slice) []pool.LeavingServer {
	plan := entry.members.plan()
	var out []pool.LeavingServer
	for _, server := range entry.unlistedLeavers() {
		if plan.sliceOf(server) == slice {
			out = append(out, pool.LeavingServer{Server: server.Name, Started: server.Started})
		}
	}
	return out
}

// sliceOf returns the slice of a server.
func (plan *plan) sliceOf(server notice.Server) home.Slice {
	return home.Slice{Service: server.Service, Index: home.SliceIndex(server.Name, plan.slices(server.Service))}
}

// Greeting returns what an instance is to be told before anything else when a session with it begins: it may have started anew,
// and must not use servers that are leaving by their own word.
func (entry *Entry) Greeting(peer string) Renewal {
	plan := entry.members.plan()
	var greeting Renewal
	told := map[home.Slice]bool{}
	for _, server := range entry.notices.leaving() {
		slice := plan.sliceOf(server)
		if told[slice] || plan.place(slice).home.Name != peer {
			continue
		}
		told[slice] = true
		if renewal := entry.renewal(slice); len(renewal.Snapshot.Leaving) > 0 {
			greeting.Slices = append(greeting.Slices, renewal)
		}
	}
	return greeting
}

// greet tells an instance that has begun a session what it must know, if there is anything.
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
			entry.Log.Debug("entry: a peer was not told of servers that are leaving", zap.String("peer", name), zap.Error(err))
		}
	}()
}

// unwanted reports whether a granted server must get no work: it is leaving or gone. The home is told of the former; it may be
// behind with the list, and so may this instance.
func (grant *Grant) unwanted() (unwanted, leaving bool) {
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
		// A restored list that is not in use yet may show what had left.
		return entry.lists.removed(grant.Server) || entry.lists.restoredTo() > plan.restorations, false
	case listed.Started.After(grant.Started):
		return true, false // the run of the grant is over
	case grant.Started.After(listed.Started):
		return false, false // the home knows a later run
	}
	leaving = listed.State == instance.Leaving
	return leaving, leaving
}
