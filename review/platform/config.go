package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost-config"] = lostConfig }

// Figures of the case lost-config.
const (
	addedRoutes = 1740            // of a big_config, the largest in the site files
	earlier     = 3               // big_configs before the first loss
	applyWithin = 2 * time.Second // config_apply_ms
	configRuns  = 7               // configurations tried
)

// lostConfig checks that a configuration is in force at the machines in touch config_apply_ms after its acknowledgement, when other
// machines are lost for good right after it.
func lostConfig(w *world, trouble bool) bool {
	services := []string{"pagos", "cobros"}
	var upstreams []*upstream
	for _, s := range services {
		for i := range 3 {
			upstreams = append(upstreams, w.addUpstream(fmt.Sprintf("i-%s-%d", s, i), s, fmt.Sprintf("gt-central-%c", 'a'+i), 4, 20*time.Millisecond))
		}
	}
	w.configure(7, versionRoutes(7, "pagos"), services)
	for i := range 3 {
		w.addNode(fmt.Sprintf("front-a-%d", i), "gt-central-a")
	}
	w.addNode("front-b-0", "gt-central-b")
	w.addNode("front-c-0", "gt-central-c")
	w.startAll()
	for run := range configRuns {
		version, old, service := 10+3*run, services[run%2], services[(run+1)%2]
		live := w.live()
		first := watchEffect(live, upstreams)
		stop := make(chan struct{})
		var group sync.WaitGroup
		path := fmt.Sprintf("/n%d-0/x", version)
		for _, n := range live {
			group.Go(func() { poll(w, n, path, stop) })
		}
		time.Sleep(300 * time.Millisecond)
		w.configure(version, versionRoutes(version, service), services)
		acked := time.Now()
		watcher := <-first
		w.record.add("%s has passed on the first request on a route of r%d, %d ms after the acknowledgement", watcher.name, version, time.Since(acked).Milliseconds())
		if trouble {
			time.Sleep(time.Duration(2*run) * time.Millisecond)
			lose(w, live, watcher)
		}
		time.Sleep(time.Until(acked.Add(applyWithin + 3*time.Second)))
		close(stop)
		group.Wait()
		if stale(w, version, old, path, acked) > 0 {
			time.Sleep(10 * time.Second)
			stale(w, version, old, path, acked)
			return false
		}
		if !trouble {
			return true
		}
		w.replace(run)
	}
	return true
}

// versionRoutes returns the routes of a version: /pay/ goes to the given service, and a big_config has added routes that no version before
// has had.
func versionRoutes(version int, service string) []route {
	routes := []route{{"r-pay", "/pay/", "unsafe", service, 3000, 1200, 1, 2}}
	for i := range (earlier + 1) * addedRoutes {
		added := version
		if i >= addedRoutes {
			added = 0 // by an earlier one
		}
		routes = append(routes, route{fmt.Sprintf("r-%d-%d", added, i), fmt.Sprintf("/n%d-%d/", added, i), "safe", service, 2500, 1200, 2, 2})
	}
	return routes
}

// watchEffect returns a channel for the first instance of gt-central-a whose request reaches an upstream.
func watchEffect(live []*node, upstreams []*upstream) <-chan *node {
	first := make(chan *node, 1)
	for _, u := range upstreams {
		u.setOnRun(func(id string) {
			for _, n := range live {
				if n.zone == "gt-central-a" && strings.HasPrefix(id, "poll-"+n.name+"-") {
					select {
					case first <- n:
					default:
					}
				}
			}
		})
	}
	return first
}

// poll sends requests on a new route until one is not answered 404.
func poll(w *world, n *node, path string, stop <-chan struct{}) {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for count := 1; ; count++ {
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: poll-%s-%d\r\nRequest-Deadline: 2000\r\n\r\n", path, host, n.name, count)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusNotFound {
			w.record.add("%s has answered GET %s %d times with 404", n.name, path, count-1)
			return
		}
		_, _ = reader.Discard(int(max(0, response.ContentLength)))
		select {
		case <-stop:
			w.record.add("%s has answered GET %s %d times with 404, the last time now", n.name, path, count)
			return
		case <-time.After(200 * time.Microsecond):
		}
	}
}

// live returns the nodes whose processes run.
func (w *world) live() []*node {
	var live []*node
	for _, n := range w.nodes {
		if !n.hasEnded() {
			live = append(live, n)
		}
	}
	return live
}

// lose takes away three of the five machines at once and for good: the given one and those of the other zones.
func lose(w *world, live []*node, watcher *node) {
	var names []string
	for _, n := range live {
		if n == watcher || n.zone != watcher.zone {
			n.signal(syscall.SIGKILL)
			names = append(names, n.name)
		}
	}
	w.record.add("lost for good at the same moment: %s", strings.Join(names, ", "))
}

// stale sends requests to the machines that are left and returns the number of those that are handled as only the older version allows.
func stale(w *world, version int, old, path string, acked time.Time) int {
	count := 0
	for _, n := range w.live() {
		status, _ := send(w, n, "GET", fmt.Sprintf("get-%s-%d-%d", n.name, version, time.Since(acked).Milliseconds()), path, "", false)
		if status == http.StatusNotFound {
			w.record.add("%s refuses GET %s with 404 %d ms after the acknowledgement of r%d, which has the route", n.name, path, time.Since(acked).Milliseconds(), version)
			count++
		}
		for i := range 5 {
			id := fmt.Sprintf("pay-%s-%d-%d-%d", n.name, version, time.Since(acked).Milliseconds(), i)
			status, signer := send(w, n, "POST", id, "/pay/x", "abc", false)
			if status == http.StatusOK && strings.HasPrefix(signer, "signed-i-"+old) {
				w.record.add("%s has %s run by the old service %s %d ms after the acknowledgement of r%d", n.name, id, old, time.Since(acked).Milliseconds(), version)
				count++
			}
		}
	}
	w.record.add("%d requests were handled as only a version older than r%d allows, %d ms after its acknowledgement", count, version, time.Since(acked).Milliseconds())
	return count
}

// replace adds machines at new addresses for those that were lost.
func (w *world) replace(run int) {
	for i, zone := range []string{"gt-central-a", "gt-central-b", "gt-central-c"} {
		n := w.addNode(fmt.Sprintf("front-%c-%d", 'a'+i, 10+run), zone)
		n.start()
		n.awaitReady()
		w.record.add("%s is added", n.name)
	}
	time.Sleep(3 * time.Second)
}
