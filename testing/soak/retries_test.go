package soak

import (
	"sort"
	"time"
)

// The limit on a service's retries. The burst is small, so that the few callers of the soak reach it.
const (
	retryWindow  = 10 * time.Second
	retryShare   = 0.2 // by default
	retryBurst   = 10.0
	refusedShare = 0.6 // of the requests at a server that refuses most
)

// arrivals are the times at which requests for a service were sent, and at which servers of it received one again.
type arrivals struct {
	received map[string]bool // requests that a server of the service has received
	again    []time.Time
	sent     []time.Time
}

// receive notes that a server of a service has received a request; the lock is held.
func (l *ledger) receive(id, service string, at time.Time) {
	a := l.arrivals[service]
	if a == nil {
		a = &arrivals{received: map[string]bool{}}
		l.arrivals[service] = a
	}
	if a.received[id] {
		a.again = append(a.again, at)
	}
	a.received[id] = true
}

// within returns how many of the sorted times lie in the window that begins at a time.
func within(times []time.Time, from time.Time) int {
	first := sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
	last := sort.Search(len(times), func(i int) bool { return times[i].After(from.Add(retryWindow)) })
	return last - first
}

// judgeRetries checks how often requests were sent again to each service, by all instances together; the lock is held.
func (l *ledger) judgeRetries() {
	for service, a := range l.arrivals {
		for _, s := range l.requests {
			if l.allowed[s.route.prefix][service] {
				a.sent = append(a.sent, s.at)
			}
		}
		for _, times := range [][]time.Time{a.again, a.sent} {
			sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		}
		for _, from := range a.again {
			requests := max(within(a.sent, from), within(a.sent, from.Add(-retryWindow/2)), within(a.sent, from.Add(-retryWindow)))
			bound := retryShare*float64(requests) + retryBurst
			again := within(a.again, from)
			l.mostRetries = max(l.mostRetries, float64(again)/bound)
			if float64(again) > bound {
				l.fail("retries", "%s received %d requests again in %s, %.0f are allowed for %d", service, again, retryWindow, bound, requests)
				break
			}
		}
	}
}
