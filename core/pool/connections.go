package pool

import "time"

// IdleLength is how long an entry instance keeps an idle connection to a backend server.
const IdleLength = 5 * time.Second

// connectionShare is the share of a server's connections that grants may use.
const connectionShare = 0.8

// connections counts the connections to a server that grants left open in this span and in the one before: at least as many
// as are open, as each is closed after a span without use. The zero value has none.
type connections struct {
	now, before int
	turnAt      time.Time // end of this span
}

func (connections *connections) turn(now time.Time) {
	if now.Before(connections.turnAt) {
		return
	}
	connections.before = connections.now
	if now.Sub(connections.turnAt) >= IdleLength {
		connections.before = 0
	}
	connections.now, connections.turnAt = 0, now.Add(IdleLength)
}

// keep counts a grant's connection and reports whether it may stay open afterwards.
func (connections *connections) keep(now time.Time, budget, inFlight int) bool {
	connections.turn(now)
	if float64(connections.now+connections.before+inFlight) >= connectionShare*float64(budget) {
		return false
	}
	connections.now++
	return true
}

// reused notes that a grant used a connection that an earlier one left open.
func (connections *connections) reused(now time.Time) {
	connections.turn(now)
	switch {
	case connections.before > 0:
		connections.before--
	case connections.now > 0:
		connections.now--
	}
}
