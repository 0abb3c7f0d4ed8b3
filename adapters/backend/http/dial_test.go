package http

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/testing/slow"
)

// TestOwnDelayDoesNotFailConnections guards against an overloaded instance that gives up connections which servers have accepted in time.
func TestOwnDelayDoesNotFailConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	limitPassed := time.NewTimer(dialTimeout + 50*time.Millisecond)
	waitForLimit := func(string, string, syscall.RawConn) error { <-limitPassed.C; return nil }
	d := &dialer{delays: slow.Instance(time.Hour), Dialer: net.Dialer{Control: waitForLimit}}
	conn, err := d.DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	must.NoError(t, conn.Close())
}
