package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// helloTimeout bounds the wait for the name of the instance that opens a connection.
const helloTimeout = 2 * time.Second

// network carries the connections between instances, each through a proxy before the control address of the instance that accepts it. The first
// message of a connection names the instance that opened it, so that a cut can tell which two instances it separates.
type network struct {
	mu    sync.Mutex
	names []string
	cuts  func(from, to string) bool // whether nothing passes between two ends, nil without a cut
	links map[*link]struct{}
	ended chan struct{} // closed when the cut ends
}

// link is a connection from an instance to another one, or to the store.
type link struct {
	from, to string
	conns    [2]net.Conn
}

func newNetwork() *network { return &network{links: map[*link]struct{}{}} }

// listen returns the address at which other instances reach an instance's control address.
func (network *network) listen(name, control string) (string, error) {
	network.mu.Lock()
	network.names = append(network.names, name)
	network.mu.Unlock()
	return network.accept(func(conn net.Conn) {
		if from, first := network.readSender(conn); from != "" {
			network.carry(conn, from, name, control, first)
		}
	})
}

// listenFor returns the address at which an instance reaches the store.
func (network *network) listenFor(from, store string) (string, error) {
	return network.accept(func(conn net.Conn) { network.carry(conn, from, storeEnd, store, nil) })
}

// storeEnd is the store's name as the end of a link.
const storeEnd = "store"

func (network *network) accept(serve func(net.Conn)) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String(), nil
}

// cut lets nothing pass between the ends for which a function returns true: connections between them hang, in both directions.
func (network *network) cut(cuts func(from, to string) bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.cuts, network.ended = cuts, make(chan struct{})
}

// heal ends the cut. The connections that it held up are reset.
func (network *network) heal() {
	network.mu.Lock()
	defer network.mu.Unlock()
	for link := range network.links {
		if network.isCut(link) {
			for _, conn := range link.conns {
				_ = conn.Close()
			}
		}
	}
	network.cuts = nil
	if network.ended != nil {
		close(network.ended)
		network.ended = nil
	}
}

// isCut reports whether a link is held up. The lock must be held.
func (network *network) isCut(link *link) bool {
	return network.cuts != nil && (network.cuts(link.from, link.to) || network.cuts(link.to, link.from))
}

// held returns a channel that is closed when a link is no longer held up, nil if it is not held up.
func (network *network) held(link *link) <-chan struct{} {
	network.mu.Lock()
	defer network.mu.Unlock()
	if !network.isCut(link) {
		return nil
	}
	return network.ended
}

// readSender reads the first bytes of a connection until they name the instance that has opened it.
func (network *network) readSender(conn net.Conn) (from string, first []byte) {
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	buffer := make([]byte, 1024)
	for from == "" {
		n, err := conn.Read(buffer)
		if err != nil {
			return "", nil
		}
		first = append(first, buffer[:n]...)
		from = network.sender(first)
	}
	_ = conn.SetReadDeadline(time.Time{})
	return from, first
}

// carry passes bytes between a connection and its target, the first ones of which have been read already.
func (network *network) carry(conn net.Conn, from, to, address string, first []byte) {
	target, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer target.Close()
	link := &link{from: from, to: to, conns: [2]net.Conn{conn, target}}
	network.mu.Lock()
	network.links[link] = struct{}{}
	network.mu.Unlock()
	defer func() {
		network.mu.Lock()
		delete(network.links, link)
		network.mu.Unlock()
	}()
	if held := network.held(link); held != nil {
		<-held
		return
	}
	if _, err := target.Write(first); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go network.copy(link, target, conn, done)
	go network.copy(link, conn, target, done)
	<-done
}

// sender returns the instance whose name the first bytes of a connection contain.
func (network *network) sender(first []byte) string {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, name := range network.names {
		if bytes.Contains(first, []byte(name)) {
			return name
		}
	}
	return ""
}

func (network *network) copy(link *link, to io.Writer, from io.Reader, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if held := network.held(link); held != nil {
			<-held
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
