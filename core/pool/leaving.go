package pool

import "time"

// Leaver is a run of a backend server that has said itself that it is leaving.
type Leaver struct {
	Server  string
	Started time.Time // of the run, zero if not known
}

// MarkLeaving ends grants of new work to a server, on the server's own word.
func (pool *Pool) MarkLeaving(name string) {
	if s := pool.server(name); s != nil {
		s.member.Leaving = true
	}
}

// RestoreLeaving takes over what an entry instance knows of servers that are leaving. The word of another run than the listed
// one says nothing.
func (pool *Pool) RestoreLeaving(known []Leaver) {
	for _, leaver := range known {
		if s := pool.server(leaver.Server); s != nil && s.member.Started.Equal(leaver.Started) {
			s.member.Leaving = true
		}
	}
}

// Leavers returns the servers that have said that they are leaving and that the list does not show so yet.
func (pool *Pool) Leavers() []Leaver {
	var out []Leaver
	for _, s := range pool.servers {
		if s.member.Leaving && !s.listedLeaving {
			out = append(out, Leaver{s.member.Name, s.member.Started})
		}
	}
	return out
}

// Standing is what a home tells an asking instance of its slice besides the decision.
type Standing struct {
	Ejected []Ejected
	Leavers []Leaver
}

// Standing returns what asking instances are told.
func (pool *Pool) Standing() Standing { return Standing{pool.Ejections(), pool.Leavers()} }
