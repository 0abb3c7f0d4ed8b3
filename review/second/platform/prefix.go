package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["encoded-prefix"] = playEncodedPrefix }

// Figures of the case. Half of the upstreams lose the answer of 6 in 100 of the requests that they ran.
const (
	prefixRequests  = 1600
	prefixParallel  = 8
	prefixWork      = 20 * time.Millisecond
	prefixDeadline  = 3 * time.Second
	lostAnswerShare = 0.5
	lostAnswers     = 0.06
	encodedPrefix   = "/dep%C3%B3sitos/"
)

// playEncodedPrefix sends unsafe requests on a route whose prefix has a letter that paths carry percent-encoded, beside a safe route for all other
// paths. Some upstreams run a request and lose its answer. It checks TWICE.
func playEncodedPrefix(ctx context.Context, world *world) error {
	routes := []route{
		{Prefix: "/", Kind: "safe", Service: "pagos", Timeout: 3000, Target: 1200, Priority: 2, Attempts: 2},
		{Prefix: encodedPrefix, Kind: "unsafe", Service: "pagos", Timeout: 3000, Target: 1200, Priority: 1, Attempts: 2},
		{Prefix: "/liberar/", Kind: "unsafe", Service: "pagos", Timeout: 3000, Target: 1200, Priority: 1, Attempts: 2},
	}
	if err := world.publish(5, []string{"pagos"}, routes, nil); err != nil {
		return err
	}
	for i := range 6 {
		if _, err := world.addUpstream(fmt.Sprintf("i-%d", i), "pagos", 4, prefixWork); err != nil {
			return err
		}
	}
	if err := world.startNodes(ctx, 3, nil); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	if world.trouble {
		losing := world.upstreams[:int(lostAnswerShare*float64(len(world.upstreams)))]
		for _, u := range losing {
			u.setAnswer(func(*http.Request, string, int) answer {
				if rand.Float64() >= lostAnswers {
					return answer{}
				}
				return answer{close: true} // the request has run, its connection ends without an answer
			})
		}
		world.record.printf("answer_lost begins at %d of %d upstreams, for %.0f in 100 of the requests that they run", len(losing), len(world.upstreams), 100*lostAnswers)
	}
	work := make(chan string, prefixRequests)
	for i := range prefixRequests / 2 {
		work <- fmt.Sprintf("%s%d", encodedPrefix, i)
		work <- fmt.Sprintf("/liberar/%d", i)
	}
	close(work)
	var group sync.WaitGroup
	for n := range prefixParallel {
		group.Go(func() {
			for target := range work {
				world.sents.send(clientRequest{node: world.nodes[n%len(world.nodes)], method: http.MethodPost, host: host, target: target, kind: "unsafe", body: `{"amount":"1200"}`, deadline: prefixDeadline})
			}
		})
	}
	group.Wait()
	return world.checkTwice()
}

// checkTwice checks that no request ran twice. All requests of the case are of unsafe routes.
func (world *world) checkTwice() error {
	byID := map[string][]run{}
	for _, run := range world.runs.list() {
		byID[run.ID] = append(byID[run.ID], run)
	}
	twice := 0
	for id, found := range byID {
		if len(found) < 2 {
			continue
		}
		twice++
		world.record.printf("%s %s ran %d times: at %s and at %s", id, found[0].Target, len(found), found[0].Upstream, found[1].Upstream)
	}
	world.record.printf("%d unsafe requests sent, %d of them ran more than once", len(world.sents.list()), twice)
	if twice > 0 {
		return fmt.Errorf("%w: TWICE: %d of %d unsafe requests ran more than once", errBroken, twice, len(world.sents.list()))
	}
	return nil
}
