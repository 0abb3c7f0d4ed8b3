package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

// gone checks that requests whose clients have closed their connections reach no upstream over half a second later. The bodies come in
// chunks. In a burst, requests wait for a slot.
func gone(w *world, trouble bool) bool {
	const (
		few        = 3
		patience   = 600 * time.Millisecond // half the objective of 1200 ms
		calm       = 28 * time.Millisecond  // between requests
		burst      = 15 * time.Millisecond  // 1.87 times as many
		burstStart = 4 * time.Second
		burstEnd   = burstStart + 2800*time.Millisecond
		end        = 10 * time.Second
		deadline   = 3 * time.Second
	)
	w.configure(7, []route{{"r-1", "/pay/", "unsafe", "pagos", int(deadline.Milliseconds()), 1200, 1, 2}}, []string{"pagos"})
	var mu sync.Mutex
	closed, arrived := map[string]time.Time{}, map[string]time.Time{}
	for i := range 3 {
		zone := fmt.Sprintf("gt-central-%c", 'a'+i)
		u := w.addUpstream(fmt.Sprintf("i-%d", i), "pagos", zone, 4, 310*time.Millisecond)
		u.setOnArrival(func(id string) {
			mu.Lock()
			defer mu.Unlock()
			arrived[id] = time.Now()
		})
		w.addNode(fmt.Sprintf("front-%d", i), zone)
	}
	w.startAll()
	var group sync.WaitGroup
	started := time.Now()
	for i := 0; time.Since(started) < end; i++ {
		since := time.Since(started)
		pause, wait := calm, deadline
		if trouble && since >= burstStart && since < burstEnd {
			pause = burst
			if i%10 < 3 { // a share of 0.3 of the clients
				wait = patience
			}
		}
		n := w.nodes[i%len(w.nodes)]
		group.Go(func() {
			id := fmt.Sprintf("c-%d", i)
			left := submit(w, n, id, wait)
			if left && wait == patience {
				mu.Lock()
				closed[id] = time.Now()
				mu.Unlock()
			}
		})
		time.Sleep(pause)
	}
	group.Wait()
	time.Sleep(deadline)
	late := 0
	for id, at := range closed {
		if arrived[id].Sub(at) > 500*time.Millisecond {
			late++
			w.record.add("%s reached an upstream %d ms after its client had closed", id, arrived[id].Sub(at).Milliseconds())
		}
	}
	w.record.add("%d clients left, the requests of %d reached an upstream over 500 ms later", len(closed), late)
	return late <= few
}

// submit sends a whole request with a chunked body and closes the connection after the given time without an answer. It reports whether it
// closed it so.
func submit(w *world, n *node, id string, wait time.Duration) (left bool) {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	w.record.add("client %s sends POST to %s", id, n.name)
	fmt.Fprintf(c, "POST /pay/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: 3000\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", id, host, id)
	_ = c.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.record.add("client %s has no answer and closes", id)
		return true
	}
	w.record.add("client %s has %d", id, response.StatusCode)
	return false
}
