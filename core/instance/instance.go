// Package instance describes entry instances and backend servers, and maintains a merged view of both.
package instance

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// State is the lifecycle state of an instance.
type State uint8

// States in ascending precedence: when two sources disagree, the higher one wins.
const (
	// Live instances accept new work.
	Live State = iota
	// Leaving instances drain: they finish their work and accept no more.
	Leaving
)

// String returns the state's name on the instance list.
func (state State) String() string {
	if state == Leaving {
		return "leaving"
	}
	return "live"
}

// Entry is an entry instance.
type Entry struct {
	Name   string // unique among running instances; kept across restarts of the process
	Domain string // failure domain
	Region string
	Caller netip.AddrPort // address for callers
	Peer   netip.AddrPort // address for other entry instances
	// Operator is the address of the operator endpoint.
	Operator netip.AddrPort
	// Processor is the CPU time available to the instance, in cores; zero if unknown.
	Processor float64
	State     State
}

// Server is a backend server of a service.
type Server struct {
	Name    string
	Service string
	Domain  string
	Address netip.AddrPort
	Slots   int // maximum concurrent requests; 0 applies the service's rule
	State   State
	// Started is the start time of this run, which tells apart the runs of a server under one name; zero if unknown.
	Started time.Time
	// WarmAt is when the server's cold start ends; zero if unknown.
	WarmAt time.Time
}

// MaxSlots limits the slots of a backend server.
const MaxSlots = 10_000

// Valid reports whether the server has a name, a service, an address that it can listen on and a possible number of slots.
func (server *Server) Valid() bool {
	address := server.Address.Addr()
	return server.Name != "" && server.Service != "" && server.Slots >= 0 && server.Slots <= MaxSlots &&
		address.IsValid() && !address.IsUnspecified() && !address.IsMulticast() && server.Address.Port() != 0
}

// FindServer returns the backend server with the given name and reports whether it exists. Servers must be sorted by name.
func FindServer(servers []Server, name string) (Server, bool) {
	i, found := slices.BinarySearchFunc(servers, name, func(s Server, name string) int { return cmp.Compare(s.Name, name) })
	if !found {
		return Server{}, false
	}
	return servers[i], true
}

// List is one reading of the platform's instance list, or of a list maintained from its changes.
type List struct {
	Version string    // equal versions have equal content; empty if the platform has no versions
	AsOf    time.Time // time at which the platform confirmed the list, zero if unknown
	Entries []Entry
	Servers []Server
	// Changes counts the changes applied up to this reading of a list that is maintained incrementally; it is 0 for other lists.
	// Restorations counts those after which the platform's list came from an older copy of its store.
	Changes, Restorations uint64
}
