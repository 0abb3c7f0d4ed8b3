package scenario

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// relay stands between an entry instance's peer address and those who connect to it, and can go silent one way.
type relay struct {
	listener net.Listener
	target   netip.AddrPort
	mu       sync.Mutex
	open     *sync.Cond
	inCut    bool // nothing reaches the target
	outCut   bool // nothing comes back
	silent   int  // connections up to this number are silent for good
	count    int
	closed   bool
}

func newRelay(target netip.AddrPort) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target}
	r.open = sync.NewCond(&r.mu)
	go r.serve()
	return r, nil
}

func (r *relay) address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.open.Broadcast()
	_ = r.listener.Close()
}

// set changes what is cut.
func (r *relay) set(in, out bool) {
	r.mu.Lock()
	r.inCut, r.outCut = in, out
	r.mu.Unlock()
	r.open.Broadcast()
}

func (r *relay) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(conn)
	}
}

func (r *relay) pass(conn net.Conn) {
	r.mu.Lock()
	r.count++
	number := r.count
	r.mu.Unlock()
	defer conn.Close()
	target, err := net.Dial("tcp", r.target.String())
	if err != nil {
		return
	}
	defer target.Close()
	go r.copy(target, conn, number, &r.inCut)
	r.copy(conn, target, number, &r.outCut)
}

// copy passes bytes on; while its way is cut they wait, as in a network that lost them and sends them again.
func (r *relay) copy(to, from net.Conn, number int, cut *bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		for (*cut || number <= r.silent) && !r.closed {
			r.open.Wait()
		}
		closed := r.closed
		r.mu.Unlock()
		if closed {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err == io.EOF || err != nil {
			return
		}
	}
}

// hush makes the connections that are open now silent for good; new ones work.
func (r *relay) hush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = r.count
}

// cmdHush makes a backend server's open connections silent for good: hush SERVER.
func cmdHush(ts *testscript.TestScript, _ bool, args []string) {
	worldOf(ts).relays[args[0]].hush()
}

// relayServer lists a backend server under a relay's address.
func (w *world) relayServer(name string) (bool, error) {
	for i := range w.listed {
		if w.listed[i].Name != name {
			continue
		}
		r, err := newRelay(w.listed[i].Address)
		if err != nil {
			return false, err
		}
		w.relays[name] = r
		w.listed[i].Address = r.address()
		w.publishList()
		return true, nil
	}
	return false, nil
}

// cmdRelay lists an entry instance or a backend server under a relay's address: relay NAME.
func cmdRelay(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	done, err := w.relayServer(args[0])
	ts.Check(err)
	if done {
		return
	}
	p, err := w.entry(args[0])
	ts.Check(err)
	r, err := newRelay(p.settings.Peer)
	ts.Check(err)
	w.relays[args[0]] = r
	p.relayed = r.address()
	w.publishList()
}

// cmdCut cuts what reaches a relay's target, what it answers, both or none: cut in|out|both|none NAME. Each instance's
// way to the store has a relay of the instance's name and -store.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	r := worldOf(ts).relays[args[1]]
	if r == nil {
		ts.Fatalf("%s has no relay", args[1])
	}
	r.set(args[0] == "in" || args[0] == "both", args[0] == "out" || args[0] == "both")
}
