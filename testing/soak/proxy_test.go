package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// trouble is what goes wrong on a path.
type trouble uint8

const (
	untroubled trouble = iota
	silenced           // bytes of neither direction pass
	mute               // answers do not pass
	deaf               // requests do not pass
	slow               // each piece is late
	resetting          // connections are reset, old and new ones
	troubles           // how many there are
)

// slowBy is how late a piece is on a slow path.
const slowBy = 150 * time.Millisecond

// proxy passes loopback connections on to an address, with troubles.
type proxy struct {
	listener net.Listener
	to       netip.AddrPort

	mu      sync.Mutex
	trouble trouble
	changed chan struct{} // closed at the next change
	conns   map[net.Conn]struct{}
}

// newProxy listens at an address, or at any if it is not valid.
func newProxy(at netip.AddrPort, to netip.AddrPort) (*proxy, error) {
	address := "127.0.0.1:0"
	if at.IsValid() {
		address = at.String()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(resetting)
}

// set has a trouble begin, or end.
func (p *proxy) set(t trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	close(p.changed)
	p.changed = make(chan struct{})
	if t == resetting {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func (p *proxy) state() (trouble, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble, p.changed
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(from)
	}
}

func (p *proxy) serve(from net.Conn) {
	if t, _ := p.state(); t == resetting {
		reset(from)
		return
	}
	to, err := net.Dial("tcp", p.to.String())
	if err != nil {
		reset(from)
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(from, to, deaf) })
	both.Go(func() { p.pass(to, from, mute) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

// pass copies one direction; blockedBy is the trouble that holds just this direction up.
func (p *proxy) pass(from, to net.Conn, blockedBy trouble) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.await(blockedBy)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == io.EOF:
			p.await(blockedBy)
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// await waits until bytes of a direction may pass.
func (p *proxy) await(blockedBy trouble) {
	for {
		t, changed := p.state()
		switch t {
		case silenced, blockedBy:
			<-changed
		case slow:
			time.Sleep(slowBy)
			return
		default:
			return
		}
	}
}
