package connection

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// TestLongestIdleGivesWay guards against callers that cannot connect while others keep connections open that they do not use.
func TestLongestIdleGivesWay(t *testing.T) {
	table := &Table{Limit: 2}
	a, b := table.Open("a"), table.Open("b")
	for _, conn := range []*Conn{a, b, a} {
		must.True(t, table.Begin(conn))
		evicted, ok := table.MakeRoom()
		must.True(t, ok)
		must.Nil(t, evicted)
		table.End(conn)
	}
	must.True(t, table.Begin(table.Open("c")))
	evicted, ok := table.MakeRoom()
	must.True(t, ok)
	must.Eq(t, b, evicted)
	must.False(t, table.Begin(b), must.Sprint("its request crosses the close"))
	open, idle := table.Count()
	must.Eq(t, []int{2, 1}, []int{open, idle})
}

// TestRequestIsRefusedWhereNoneIsIdle: connections with a request under way are never closed for another.
func TestRequestIsRefusedWhereNoneIsIdle(t *testing.T) {
	table := &Table{Limit: 1}
	must.True(t, table.Begin(table.Open("a")))
	must.True(t, table.IsShort())
	beyond := table.Open("b")
	must.True(t, table.Begin(beyond))
	evicted, ok := table.MakeRoom()
	must.False(t, ok)
	must.Nil(t, evicted)
	table.Close(beyond)
	table.Close(beyond)
	open, _ := table.Count()
	must.Eq(t, 1, open)
}

func TestFewIdleConnectionsAreShort(t *testing.T) {
	table := &Table{Limit: 16}
	var conns []*Conn
	for range 16 {
		conns = append(conns, table.Open(nil))
	}
	for _, conn := range conns[:14] {
		must.True(t, table.Begin(conn))
	}
	must.False(t, table.IsShort())
	must.True(t, table.Begin(conns[14]))
	must.True(t, table.IsShort())
	table.Close(conns[14])
	must.False(t, table.IsShort())
}

// TestCountsHold compares the counts of random steps with those of a plain model.
func TestCountsHold(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	table := &Table{Limit: 20}
	var conns []*Conn // open ones
	busy := map[*Conn]bool{}
	for range 20_000 {
		if len(conns) == 0 || random.IntN(4) == 0 && len(conns) < 25 {
			conns = append(conns, table.Open(nil))
			continue
		}
		i := random.IntN(len(conns))
		conn := conns[i]
		switch random.IntN(3) {
		case 0:
			must.True(t, table.Begin(conn))
			busy[conn] = true
			if evicted, _ := table.MakeRoom(); evicted != nil {
				must.False(t, busy[evicted], must.Sprint("a request was under way"))
				conns = slices.DeleteFunc(conns, func(c *Conn) bool { return c == evicted })
			}
		case 1:
			table.End(conn)
			delete(busy, conn)
		case 2:
			table.Close(conn)
			delete(busy, conn)
			conns = slices.Delete(conns, i, i+1)
		}
		open, idle := table.Count()
		must.Eq(t, []int{len(conns), len(conns) - len(busy)}, []int{open, idle})
	}
}
