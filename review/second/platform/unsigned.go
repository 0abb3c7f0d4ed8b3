package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["unsigned-success"] = playUnsignedSuccess
	cases["run-and-refused"] = playRunAndRefused
}

// Figures of the cases. The shares are those of garble and srv_grey in the list of kinds.
const (
	ownRequests   = 900
	ownParallel   = 9
	ownWork       = 20 * time.Millisecond
	ownDeadline   = 3 * time.Second
	ownUpstreams  = 7
	garbling      = 3 // of the upstreams, less than half
	grey          = 1 // of the upstreams, less than 15 in 100
	greyEvery     = 5 // of a grey upstream's requests 2 in 5 fail
	greyFailing   = 2
	headerName    = "Response-Signature:"
	spoiledHeader = "Response-Signaturd:" // one bit differs
)

// startOwn starts a deployment with one service and routes of all kinds.
func (world *world) startOwn(ctx context.Context) error {
	routes := []route{
		{Prefix: "/leny950/", Kind: "safe", Service: "pagos", Timeout: 3000, Target: 1200, Priority: 2, Attempts: 2},
		{Prefix: "/puka111/", Kind: "unsafe", Service: "pagos", Timeout: 3000, Target: 1200, Priority: 1, Attempts: 2},
		{Prefix: "/cufi502/", Kind: "download", Service: "pagos", Timeout: 3000, Target: 1200, Priority: 2, Attempts: 2},
	}
	if err := world.publish(5, []string{"pagos"}, routes, nil); err != nil {
		return err
	}
	for i := range ownUpstreams {
		if _, err := world.addUpstream(fmt.Sprintf("i-%d", i), "pagos", 4, ownWork); err != nil {
			return err
		}
	}
	err := world.startNodes(ctx, 3, nil)
	time.Sleep(stableWindow)
	return err
}

// sendKinds sends ownRequests requests, of the given kinds by turns.
func (world *world) sendKinds(kinds ...clientRequest) {
	work := make(chan clientRequest, ownRequests)
	for i := range ownRequests {
		request := kinds[i%len(kinds)]
		request.node, request.host, request.deadline = world.nodes[i%len(world.nodes)], host, ownDeadline
		request.target = fmt.Sprintf("%s%d", request.target, i)
		work <- request
	}
	close(work)
	var group sync.WaitGroup
	for range ownParallel {
		group.Go(func() {
			for request := range work {
				world.sents.send(request)
			}
		})
	}
	group.Wait()
}

// playUnsignedSuccess has half of the upstreams spoil one letter of the name of Response-Signature in 2 of 100 answers, and checks MIXED: no client
// gets a success without it.
func playUnsignedSuccess(ctx context.Context, world *world) error {
	if err := world.startOwn(ctx); err != nil {
		return err
	}
	if world.trouble {
		for _, u := range world.upstreams[:garbling] {
			u.setAnswer(func(r *http.Request, _ string, count int) answer {
				if count%garbleEvery != 0 {
					return answer{}
				}
				return answer{raw: strings.Replace(u.soundAnswer(r, "200 OK"), headerName, spoiledHeader, 1)}
			})
		}
		world.record.printf("garble begins at %d of %d upstreams: each %dth answer has %s instead of %s", garbling, ownUpstreams, garbleEvery, spoiledHeader, headerName)
	}
	world.sendKinds(clientRequest{method: http.MethodGet, target: "/leny950/", kind: "safe"}, clientRequest{method: http.MethodPost, target: "/puka111/", kind: "unsafe", body: "x"},
		clientRequest{method: http.MethodGet, target: "/cufi502/", kind: "download"})
	unsigned := map[string]int{}
	total := 0
	for _, sent := range world.sents.list() {
		if sent.Status >= 200 && sent.Status < 300 && !sent.Signed {
			unsigned[sent.Kind]++
			total++
			world.record.printf("%s %s (%s) got status %d without Response-Signature", sent.ID, sent.Target, sent.Kind, sent.Status)
		}
	}
	world.record.printf("%d requests sent, %d successes without Response-Signature: %v", ownRequests, total, unsigned)
	if total > 0 {
		return fmt.Errorf("%w: MIXED: %d of %d clients got a success (2xx) without the upstream's Response-Signature: %v", errBroken, total, ownRequests, unsigned)
	}
	return nil
}

// playRunAndRefused has some upstreams run requests and fail them with 503, without Not-Executed, and checks REFUSED: no unsafe request that has run is
// answered 429, 503, 408 or 421.
func playRunAndRefused(ctx context.Context, world *world) error {
	if err := world.startOwn(ctx); err != nil {
		return err
	}
	if world.trouble {
		for _, u := range world.upstreams[:grey] {
			u.setAnswer(func(r *http.Request, _ string, count int) answer {
				if count%greyEvery >= greyFailing {
					return answer{}
				}
				return answer{raw: u.soundAnswer(r, "503 Service Unavailable")}
			})
		}
		world.record.printf("srv_grey begins at %d of %d upstreams: %d of %d requests run and end with the upstream's own 503, without Not-Executed", grey, ownUpstreams, greyFailing, greyEvery)
	}
	world.sendKinds(clientRequest{method: http.MethodPost, target: "/puka111/", kind: "unsafe", body: "x"})
	ran := map[string]string{}
	for _, run := range world.runs.list() {
		ran[run.ID] = run.Upstream
	}
	refused := 0
	for _, sent := range world.sents.list() {
		switch sent.Status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		default:
			continue
		}
		if at, found := ran[sent.ID]; found {
			refused++
			world.record.printf("%s %s was answered %d and has run at %s", sent.ID, sent.Target, sent.Status, at)
		}
	}
	world.record.printf("%d unsafe requests sent, %d of them were refused and have run", ownRequests, refused)
	if refused > 0 {
		return fmt.Errorf("%w: REFUSED: %d of %d unsafe requests were answered 503 and have run", errBroken, refused, ownRequests)
	}
	return nil
}
