package http

import (
	"context"
	"net"
	"time"

	"github.com/sequoiaspan/sequoiaspan/wait"
)

// dialer opens connections to backend servers. Its time limit is for the server: this instance's own delay is added.
type dialer struct {
	net.Dialer
	delays wait.Delays // nil for none
}

// DialContext opens a connection. It gives up when the server has been silent for dialTimeout.
func (dialer *dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return wait.Dial(ctx, &dialer.Dialer, time.Now().Add(dialTimeout), dialer.delays, network, address)
}
