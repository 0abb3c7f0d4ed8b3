package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["endless-body"] = endlessBody }

// endlessBody checks that requests get a final answer by their route's timeout_ms and half a second when the body of one upstream has no end.
func endlessBody(w *world, trouble bool) bool {
	const (
		requests = 60
		timeout  = 2500 * time.Millisecond // timeout_ms of the route
		deadline = 8 * time.Second         // Request-Deadline of the clients
		slack    = 500 * time.Millisecond  // RULES.md, CONFIG
	)
	w.configure(7, []route{{"r-1", "/pdf/", "download", "estados", int(timeout.Milliseconds()), 1200, 2, 2}}, []string{"estados"})
	for i := range 3 {
		u := w.addUpstream(fmt.Sprintf("i-%d", i), "estados", fmt.Sprintf("gt-central-%c", 'a'+i), 16, 250*time.Millisecond)
		if trouble && i == 0 {
			u.serve = sendEndlessBody
		}
		w.addNode(fmt.Sprintf("front-%d", i), u.zone)
	}
	w.startAll()
	var group sync.WaitGroup
	var mu sync.Mutex
	long, late := 0, 0
	for i := range requests {
		time.Sleep(100 * time.Millisecond)
		n := w.nodes[i%len(w.nodes)]
		group.Go(func() {
			id := fmt.Sprintf("c-%d", i)
			took, outcome := fetch(w, n, id, fmt.Sprintf("/pdf/%d", i), deadline)
			w.record.add("client %s has %s after %d ms", id, outcome, took.Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			if took > timeout {
				long++
			}
			if took > timeout+slack {
				late++
			}
		})
	}
	group.Wait()
	w.record.add("%d of %d requests lasted longer than their route's timeout_ms, %d of them had no final answer %d ms after it", long, requests, late, slack.Milliseconds())
	return late < 8 || 4*late <= long
}

// sendEndlessBody answers with a body that never ends, until the caller closes.
func sendEndlessBody(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set("Response-Signature", "signed")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for r.Context().Err() == nil {
		if _, err := w.Write(bytes.Repeat([]byte("x"), 1000)); err != nil || control.Flush() != nil {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// fetch sends a request on a new connection and reads the whole answer. It returns how long the request had no final answer and what it got.
func fetch(w *world, n *node, id, path string, deadline time.Duration) (time.Duration, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.front+path, nil)
	request.Host, request.Close = host, true
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	w.record.add("client %s sends GET %s to %s, Request-Deadline %d", id, path, n.name, deadline.Milliseconds())
	sent := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return time.Since(sent), "no answer: " + describe(err)
	}
	defer response.Body.Close()
	size, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return time.Since(sent), fmt.Sprintf("%d and %d bytes, then: %s", response.StatusCode, size, describe(err))
	}
	return time.Since(sent), fmt.Sprintf("a whole answer, %d and %d bytes", response.StatusCode, size)
}

func describe(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "the client's deadline has passed"
	}
	return err.Error()
}
