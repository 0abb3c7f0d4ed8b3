package pool

import "time"

// LeavingServer is a run of a backend server that advertises that it is leaving.
type LeavingServer struct {
	Server  string
	Started time.Time // of the run, zero if unknown
}

// MarkLeaving stops grants of new work to a server that advertises that it is leaving.
func (pool *Pool) MarkLeaving(name string) {
	if s := pool.server(name); s != nil {
		s.member.Leaving = true
	}
}

// RestoreLeaving adopts the leaving servers known to an entry instance. It ignores those whose run is not the listed one.
func (pool *Pool) RestoreLeaving(known []LeavingServer) {
	for _, leaving := range known {
		if s := pool.server(leaving.Server); s != nil && s.member.Started.Equal(leaving.Started) {
			s.member.Leaving = true
		}
	}
}

// LeavingServers returns the servers that advertise that they are leaving and that the instance list does not yet show as such.
func (pool *Pool) LeavingServers() []LeavingServer {
	var out []LeavingServer
	for _, s := range pool.servers {
		if s.member.Leaving && !s.listedLeaving {
			out = append(out, LeavingServer{s.member.Name, s.member.Started})
		}
	}
	return out
}

// Snapshot is the status of a home's servers that it sends to an asking instance along with a decision.
type Snapshot struct {
	Ejected []Ejected
	Leaving []LeavingServer
	Load    *Load // nil if unknown, or if the asking instance has it already
}

// Snapshot returns the status of the servers to send to asking instances, without the load.
func (pool *Pool) Snapshot() Snapshot {
	return Snapshot{Ejected: pool.EjectedServers(), Leaving: pool.LeavingServers()}
}
