package pool

import "time"

// IdleTimeout is how long an entry instance keeps an idle connection to a backend server open.
const IdleTimeout = 5 * time.Second

// connectionShare is the share of a server's connection limit that grants may use.
const connectionShare = 0.8

// connections counts the connections to a server that grants have left open in the current and the previous window of
// IdleTimeout. As a connection closes after IdleTimeout without use, the count is an upper bound. The zero value has none.
type connections struct {
	current, previous int
	windowEnd         time.Time // end of the current window
}

func (connections *connections) rotate(now time.Time) {
	if now.Before(connections.windowEnd) {
		return
	}
	connections.previous = connections.current
	if now.Sub(connections.windowEnd) >= IdleTimeout {
		connections.previous = 0
	}
	connections.current, connections.windowEnd = 0, now.Add(IdleTimeout)
}

// keep counts a grant's connection and reports whether it may stay open after the request.
func (connections *connections) keep(now time.Time, budget, inFlight int) bool {
	connections.rotate(now)
	if float64(connections.current+connections.previous+inFlight) >= connectionShare*float64(budget) {
		return false
	}
	connections.current++
	return true
}

// reused records that a grant used a connection that an earlier grant left open.
func (connections *connections) reused(now time.Time) {
	connections.rotate(now)
	switch {
	case connections.previous > 0:
		connections.previous--
	case connections.current > 0:
		connections.current--
	}
}
