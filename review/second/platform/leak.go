package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["status-digit"] = playStatusDigit }

// Figures of the case. The share and the part of the answers are those of garble in the list of kinds.
const (
	garbleShare      = 0.5
	garbleEvery      = 50 // 2 in 100 answers
	garbleFor        = 5500 * time.Millisecond
	stableWindow     = 3 * time.Second
	floorShare       = 0.7
	floorWindow      = 2 * time.Second
	digitRate        = 420 // requests a second
	digitWork        = 40 * time.Millisecond
	digitDeadline    = 1200 * time.Millisecond
	digitUrgent      = 0.6 // of the requests have the more urgent priority
	digitUpstreams   = 6
	digitMeasureFrom = garbleFor + 2*stableWindow // after the start of the episode the upstreams are sound again
	digitMeasureFor  = 8 * time.Second
)

// playStatusDigit has half of a service's upstreams spoil one digit of the status in some of their answers, and checks FLOOR when they have been
// sound again for twice stable_window_ms.
func playStatusDigit(ctx context.Context, world *world) error {
	routes := []route{
		{Prefix: "/leny950/", Kind: "safe", Service: "estados", Timeout: 3000, Target: 1200, Priority: 1, Attempts: 2},
		{Prefix: "/cufi502/", Kind: "safe", Service: "estados", Timeout: 3000, Target: 1200, Priority: 2, Attempts: 2},
	}
	if err := world.publish(3, []string{"estados"}, routes, nil); err != nil {
		return err
	}
	for i := range digitUpstreams {
		if _, err := world.addUpstream(fmt.Sprintf("i-%d", i), "estados", 4, digitWork); err != nil {
			return err
		}
	}
	if err := world.startNodes(ctx, 3, nil); err != nil {
		return err
	}
	time.Sleep(stableWindow) // all instances know each other
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { world.sendSteadily(ctx, stop) })
	time.Sleep(4 * time.Second)
	world.record.printf("calm traffic has run for 4 s")
	start := time.Now()
	spoiled := 0
	var mu sync.Mutex
	if world.trouble {
		garbling := world.upstreams[:int(garbleShare*digitUpstreams)]
		for _, u := range garbling {
			u.setAnswer(func(r *http.Request, _ string, count int) answer {
				if count%garbleEvery != 0 {
					return answer{}
				}
				mu.Lock()
				spoiled++
				mu.Unlock()
				return answer{raw: strings.Replace(u.soundAnswer(r, "200 OK"), " 200 ", " 000 ", 1), close: true}
			})
		}
		world.record.printf("garble begins at %d of %d upstreams: each %dth answer has the status  000 instead of 200", len(garbling), digitUpstreams, garbleEvery)
	}
	time.Sleep(garbleFor)
	for _, u := range world.upstreams {
		u.setAnswer(nil)
	}
	mu.Lock()
	world.record.printf("garble has ended; %d answers were spoiled", spoiled)
	mu.Unlock()
	time.Sleep(time.Until(start.Add(digitMeasureFrom)))
	from := time.Now()
	time.Sleep(digitMeasureFor)
	until := time.Now()
	close(stop)
	group.Wait()
	return world.checkFloor(from, until)
}

// sendSteadily sends requests at digitRate until stop is closed.
func (world *world) sendSteadily(ctx context.Context, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / digitRate)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		prefix := "/cufi502/"
		if rand.Float64() < digitUrgent {
			prefix = "/leny950/"
		}
		group.Go(func() {
			world.sents.send(clientRequest{node: world.nodes[rand.IntN(len(world.nodes))], method: http.MethodGet, host: host,
				target: fmt.Sprintf("%s%d", prefix, i), kind: "safe", deadline: digitDeadline})
		})
	}
}

// checkFloor checks FLOOR: in each window of 2 s either floor_share of the sound upstreams get requests, or at most a tenth, or half and more, of
// the requests are not served.
func (world *world) checkFloor(from, until time.Time) error {
	sents, runs := world.sents.list(), world.runs.list()
	var broken error
	for begin := from; !begin.Add(floorWindow).After(until); begin = begin.Add(floorWindow / 2) {
		end := begin.Add(floorWindow)
		used := map[string]bool{}
		for _, run := range runs {
			if !run.At.Before(begin) && run.At.Before(end) {
				used[run.Upstream] = true
			}
		}
		all, unserved := 0, 0
		for _, sent := range sents {
			if sent.At.Before(begin) || !sent.At.Before(end) {
				continue
			}
			all++
			if !sent.served() {
				unserved++
			}
		}
		share, lost := float64(len(used))/digitUpstreams, float64(unserved)/float64(max(1, all))
		world.record.printf("window from %.1f s: %d of %d sound upstreams got requests, %d of %d requests were not served", world.record.at(begin), len(used), digitUpstreams, unserved, all)
		if len(used) > 0 && share < floorShare && lost > 0.1 && lost < 0.5 {
			broken = fmt.Errorf("%w: FLOOR: for 2 s from %.1f s, %d of %d sound upstreams got requests while %.0f in 100 requests were not served", errBroken, world.record.at(begin), len(used), digitUpstreams, 100*lost)
		}
	}
	return broken
}
