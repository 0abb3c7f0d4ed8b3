package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// Limits of verifications.
const (
	verificationObservers  = 2 // instances that verify one suspicion
	verificationWorkers    = 8
	maxQueuedVerifications = 64 // further ones are dropped
	verificationTimeout    = 5 * time.Second
)

// RequestCopy is a copy of a safe request without a body (RFC 9110, section 9.2.1), which may be sent again.
type RequestCopy struct {
	Method string
	Target string // in origin form
	Host   string
	Header http.Header // as sent to a backend server
}

// valid reports whether the copied request is safe.
func (requestCopy *RequestCopy) valid() bool {
	return (requestCopy.Method == http.MethodGet || requestCopy.Method == http.MethodHead) && strings.HasPrefix(requestCopy.Target, "/")
}

// Verification asks an instance to send a copy of an answered request to a suspect backend server, and as a control another copy
// to a server that is not suspect.
type Verification struct {
	Slice       home.Slice
	Server      string
	Attempt     uint64 // of the copy to the suspect
	Control     uint64 // attempt of the control
	Fingerprint uint64
	Request     RequestCopy
}

// Replayer sends copies of requests to backend servers.
type Replayer interface {
	// Replay sends a copy under a grant, discards the response, and ends the grant with the outcome.
	Replay(ctx context.Context, grant *Grant, request RequestCopy)
}

// enqueueVerification queues a verification for a worker. It drops it if the queue is full, as a late verification is useless.
func (entry *Entry) enqueueVerification(verify func(context.Context)) {
	select {
	case entry.verifications <- verify:
	default:
		entry.count("verifications.dropped")
	}
}

// runVerifications runs queued verifications until the context ends.
func (entry *Entry) runVerifications(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	for range verificationWorkers {
		workers.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case verify := <-entry.verifications:
					verify(ctx)
				}
			}
		})
	}
}

// RequestVerification asks instances in other failure domains to verify the grant's server, which was slow or failed on a request
// that another server answered in time. It does not block. The function nextAttempt returns unused attempt numbers.
func (grant *Grant) RequestVerification(request RequestCopy, nextAttempt func() uint64) {
	entry := grant.entry
	entry.enqueueVerification(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, verificationTimeout)
		defer cancel()
		for _, peer := range entry.observers(grant.Slice) {
			verification := Verification{
				Slice: grant.Slice, Server: grant.Server, Attempt: nextAttempt(), Control: nextAttempt(),
				Fingerprint: grant.ask.Fingerprint, Request: request,
			}
			if err := entry.Peers.Verify(ctx, peer, verification); err != nil {
				entry.Log.Debug("entry: failed to ask a peer to verify a server", zap.String("peer", peer.Name), zap.Error(err))
			}
		}
	})
}

// observers returns the reachable instances that verify this instance's suspicions in a slice.
func (entry *Entry) observers(slice home.Slice) []Peer {
	plan := entry.members.plan()
	self := instance.Entry{Name: entry.Name, Domain: entry.Domain}
	var out []Peer
	for _, i := range home.Observers(slice, plan.candidates, self, verificationObservers, entry.isUsable) {
		out = append(out, Peer{plan.candidates[i].Entry.Name, plan.candidates[i].Entry.Peer})
	}
	return out
}

// HandleVerify queues a verification requested by another instance. It drops one whose request is not safe.
func (entry *Entry) HandleVerify(verification Verification) {
	if !verification.Request.valid() {
		entry.Log.Warn("entry: dropped a verification whose request is not safe", zap.String("method", verification.Request.Method))
		return
	}
	entry.enqueueVerification(func(ctx context.Context) { entry.verify(ctx, verification) })
}

// verify sends a copy to the suspect, if the slice's home grants it, and a control to another server.
func (entry *Entry) verify(ctx context.Context, verification Verification) {
	ctx, cancel := context.WithTimeout(ctx, verificationTimeout)
	defer cancel()
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(verification.Request.Header))
	ctx, span := entry.Tracer.Start(ctx, "verification")
	defer span.End()
	ask := pool.Ask{
		Attempt: verification.Attempt, Verify: verification.Server, Idempotent: true, Number: 1,
		Deadline: entry.Clock().Add(verificationTimeout), Fingerprint: verification.Fingerprint,
	}
	grant, _ := entry.Acquire(ctx, verification.Slice, ask)
	if grant == nil {
		return
	}
	entry.count("verifications.sent")
	var copies sync.WaitGroup
	defer copies.Wait()
	copies.Go(func() { entry.Replayer.Replay(ctx, grant, verification.Request) })
	ask.Attempt, ask.Verify = verification.Control, ""
	ask.Hedge, ask.Number, ask.Exclude = true, 2, []string{verification.Server}
	if control, _ := entry.Acquire(ctx, verification.Slice, ask); control != nil {
		entry.Replayer.Replay(ctx, control, verification.Request)
	}
}
