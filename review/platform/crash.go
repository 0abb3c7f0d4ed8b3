package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["crash-rolled"] = crashRolled
	cases["crash-chunked"] = crashChunked
}

// Figures of the rule on requests that crash upstreams.
const (
	crashWindow = 3 * time.Second // stable_window_ms
	mostCrashes = 3
	crashBody   = "crash" // of the request that crashes upstreams
)

// crashWorld is a service whose upstreams crash when they begin to run a certain request.
type crashWorld struct {
	*world
	mu      sync.Mutex
	next    int // number of the next upstream
	crashes []time.Time
	lost    int // other requests that got 502 or no answer
	done    chan struct{}
	group   sync.WaitGroup
}

// newCrashWorld starts 12 upstreams and three entry instances.
func newCrashWorld(w *world) *crashWorld {
	c := &crashWorld{world: w, done: make(chan struct{})}
	w.configure(7, []route{{"r-1", "/pay/", "unsafe", "pagos", 3000, 1200, 1, 2}}, []string{"pagos"})
	for range 12 {
		c.addCrashing()
	}
	for i := range 3 {
		w.addNode(fmt.Sprintf("front-%d", i), fmt.Sprintf("gt-central-%c", 'a'+i))
	}
	w.startAll()
	return c
}

// addCrashing starts an upstream. Some seconds after its crash it is back, under a new id.
func (c *crashWorld) addCrashing() {
	c.mu.Lock()
	i := c.next
	c.next++
	c.mu.Unlock()
	u := c.addUpstream(fmt.Sprintf("i-%d", i), "pagos", fmt.Sprintf("gt-central-%c", 'a'+i%3), 4, 310*time.Millisecond)
	u.serve = func(_ http.ResponseWriter, r *http.Request) bool {
		body, err := io.ReadAll(r.Body)
		if err != nil || string(body) != crashBody {
			return err != nil
		}
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		u.crash()
		time.AfterFunc(3*time.Second, c.addCrashing)
		return true
	}
}

// every calls f in a goroutine of its own, again and again, until the case is done.
func (c *crashWorld) every(pause time.Duration, f func(i int)) {
	c.group.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-c.done:
				return
			case <-time.After(pause):
				c.group.Go(func() { f(i) })
			}
		}
	})
}

// work sends a request that crashes nothing, and counts it if it is lost.
func (c *crashWorld) work(n *node, i int, path string, chunked bool) {
	status, _ := send(c.world, n, http.MethodPost, fmt.Sprintf("c-%d", i), path, fmt.Sprintf("order %d", i), chunked)
	if status == 0 || status == http.StatusBadGateway {
		c.mu.Lock()
		c.lost++
		c.mu.Unlock()
	}
}

// held ends the case and reports whether the rule held.
func (c *crashWorld) held() bool {
	close(c.done)
	c.group.Wait()
	late := 0
	for i, at := range c.crashes {
		if i > 2 && at.Sub(c.crashes[2]) > crashWindow {
			late++
		}
	}
	c.record.add("the request crashed %d upstreams, %d of them later than %d ms after the third; %d other requests were run or sent and lost", len(c.crashes), late, crashWindow.Milliseconds(), c.lost)
	return late <= mostCrashes
}

// crashRolled checks the rule while two of the three machines are stopped and started in turn, twice. The third one takes all requests.
func crashRolled(w *world, trouble bool) bool {
	c := newCrashWorld(w)
	calm := w.nodes[2]
	c.every(400*time.Millisecond, func(i int) {
		send(w, calm, http.MethodPost, fmt.Sprintf("crash-%d", i), "/pay/crash", crashBody, false)
	})
	c.every(15*time.Millisecond, func(i int) { c.work(calm, i, fmt.Sprintf("/pay/%d", i), false) })
	time.Sleep(8 * time.Second)
	for range 2 {
		for _, n := range w.nodes[:2] {
			if trouble {
				w.record.add("SIGTERM to %s", n.name)
				n.signal(syscall.SIGTERM)
				<-n.ended
				w.record.add("%s has stopped and is started again", n.name)
				n.start()
				n.awaitReady()
			}
			time.Sleep(5 * time.Second)
		}
	}
	return c.held()
}

// crashChunked checks the rule while other requests on the same path are served. All bodies come in chunks; with CHUNKED=0, for comparison,
// they come with a length.
func crashChunked(w *world, trouble bool) bool {
	c := newCrashWorld(w)
	chunked := os.Getenv("CHUNKED") != "0"
	if trouble {
		c.every(400*time.Millisecond, func(i int) {
			send(w, w.nodes[i%3], http.MethodPost, fmt.Sprintf("crash-%d", i), "/pay/release", crashBody, chunked)
		})
	}
	c.every(15*time.Millisecond, func(i int) { c.work(w.nodes[i%3], i, "/pay/release", chunked) })
	time.Sleep(15 * time.Second)
	return c.held()
}
