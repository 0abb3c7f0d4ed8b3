// Package connection decides which of an instance's connections from callers give way when there are too many.
package connection

import "container/list"

// Table holds the open connections of callers. The zero value has no limit. It is not safe for concurrent use.
type Table struct {
	Limit int // connections that may be open, 0 for no limit

	open int
	idle list.List // of *Conn, the longest idle first
}

// Conn is an open connection in a Table.
type Conn struct {
	Value any // of the Table's user

	idle    *list.Element // nil while a request is under way
	evicted bool          // or closed: its bytes belong to no request
}

// Open adds a connection on which no request has begun.
func (table *Table) Open(value any) *Conn {
	table.open++
	conn := &Conn{Value: value}
	conn.idle = table.idle.PushBack(conn)
	return conn
}

// Begin records that a request begins on a connection. It returns false if the connection has given way to another.
func (table *Table) Begin(conn *Conn) bool {
	if conn.evicted {
		return false
	}
	table.setBusy(conn)
	return true
}

// MakeRoom makes the longest idle connection give way if too many are open, and returns it; the caller closes it. It returns false if none is
// idle.
func (table *Table) MakeRoom() (evicted *Conn, ok bool) {
	if !table.IsOver() {
		return nil, true
	}
	longest := table.idle.Front()
	if longest == nil {
		return nil, false
	}
	evicted = longest.Value.(*Conn)
	evicted.evicted = true
	table.remove(evicted)
	return evicted, true
}

// IsOver reports whether too many connections are open.
func (table *Table) IsOver() bool { return table.Limit > 0 && table.open > table.Limit }

// End records that no request is under way on a connection.
func (table *Table) End(conn *Conn) {
	if conn.idle == nil && !conn.evicted {
		conn.idle = table.idle.PushBack(conn)
	}
}

// Close removes a connection. One that has given way is not in the table anymore.
func (table *Table) Close(conn *Conn) {
	if !conn.evicted {
		conn.evicted = true
		table.remove(conn)
	}
}

// minIdleShare is the share of the limit below which idle connections are few.
const minIdleShare = 0.125

// IsShort reports whether connections had better be closed after their requests: the next one would be one too many, and few are idle.
func (table *Table) IsShort() bool {
	if table.Limit <= 0 || table.open < table.Limit {
		return false
	}
	return float64(table.idle.Len()) < minIdleShare*float64(table.Limit)
}

// Count returns the number of open connections, and how many of them are idle.
func (table *Table) Count() (open, idle int) { return table.open, table.idle.Len() }

func (table *Table) setBusy(conn *Conn) {
	if conn.idle != nil {
		table.idle.Remove(conn.idle)
		conn.idle = nil
	}
}

func (table *Table) remove(conn *Conn) {
	table.setBusy(conn)
	table.open--
}
