package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["shared-body"] = sharedBody }

// Figures of the case shared-body.
const (
	saldoWork  = 410 * time.Millisecond // of saldo-read
	slowFactor = 4                      // of srv_slow
	slowFor    = 9 * time.Second
	bodyPieces = 10
)

// sharedBody checks that upstreams run requests with the bodies that the clients have sent, while one of them is slow.
func sharedBody(w *world, trouble bool) bool {
	w.configure(7, []route{{"r-1", "/saldo/", "safe", "saldos", 2500, 1200, 2, 2}}, []string{"saldos"})
	var mu sync.Mutex
	changed := 0 // requests that were run with another body
	var slow atomic.Bool
	for i := range 4 {
		u := w.addUpstream(fmt.Sprintf("i-%d", i), "saldos", fmt.Sprintf("gt-central-%c", 'a'+i%3), 4, saldoWork)
		u.serve = func(_ http.ResponseWriter, r *http.Request) bool {
			if i == 0 && slow.Load() {
				time.Sleep((slowFactor - 1) * saldoWork)
			}
			id := r.Header.Get("Attempt-Id")
			body, err := io.ReadAll(r.Body) // asks for the body: 100 Continue
			if err != nil {
				w.record.add("%s drops %s: its body is incomplete", u.id, id)
				return true
			}
			if string(body) != bodyOf(id) {
				w.record.add("%s runs %s with the body %q, its client has sent %q", u.id, id, body, bodyOf(id))
				mu.Lock()
				changed++
				mu.Unlock()
			}
			return false
		}
	}
	for i := range 3 {
		w.addNode(fmt.Sprintf("front-%d", i), fmt.Sprintf("gt-central-%c", 'a'+i))
	}
	w.startAll()
	var group sync.WaitGroup
	const calm, all = 50, 140 // requests
	for i := range all {
		if trouble && i == calm {
			w.record.add("i-0 is slow from now on")
			slow.Store(true)
			time.AfterFunc(slowFor, func() { slow.Store(false) })
		}
		time.Sleep(100 * time.Millisecond)
		n := w.nodes[i%3]
		group.Go(func() {
			upload(w, n, fmt.Sprintf("c-%d", i))
		})
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	w.record.add("%d requests were run with another body", changed)
	return changed == 0
}

// bodyOf returns the body of a client's request.
func bodyOf(id string) string {
	text := ""
	for i := range bodyPieces {
		text += fmt.Sprintf("[%s part %d]", id, i)
	}
	return text
}

// upload sends a request with a chunked body, and the body when the system asks for it.
func upload(w *world, n *node, id string) {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	w.record.add("client %s sends POST to %s", id, n.name)
	fmt.Fprintf(c, "POST /saldo/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: 2500\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n", id, host, id)
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	if err == nil && response.StatusCode == http.StatusContinue {
		for piece := range strings.SplitAfterSeq(bodyOf(id), "]") {
			if piece == "" {
				break
			}
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
		}
		fmt.Fprint(c, "0\r\n\r\n")
		response, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		w.record.add("client %s has no answer", id)
		return
	}
	w.record.add("client %s has %d %s", id, response.StatusCode, response.Header.Get("Response-Signature"))
}
