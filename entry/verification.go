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
	verifyVantages = 2 // instances that verify one suspicion
	verifyWorkers  = 8
	verifyRoom     = 64 // verifications waiting for a worker; more are dropped
	verifyTimeout  = 5 * time.Second
)

// Copy is a safe request without a body (RFC 9110, section 9.2.1) that may be sent again.
type Copy struct {
	Method string
	Target string // in origin form
	Host   string
	Header http.Header // as a backend server gets it
}

// valid reports whether the copy is of a safe request.
func (copied *Copy) valid() bool {
	return (copied.Method == http.MethodGet || copied.Method == http.MethodHead) && strings.HasPrefix(copied.Target, "/")
}

// Verification asks for a copy of an answered request to be sent to a suspect backend server, and for another one to go
// to a server that is not suspect, as a control.
type Verification struct {
	Slice       home.Slice
	Server      string
	Attempt     uint64 // of the copy to the server
	Control     uint64 // of the control
	Fingerprint uint64
	Request     Copy
}

// Replayer sends copies of requests to backend servers.
type Replayer interface {
	// Replay sends a copy under a grant, drops the answer, and ends the grant with what came of it.
	Replay(ctx context.Context, grant *Grant, request Copy)
}

// addVerification queues a verification, or drops it: it is of use at once or not at all.
func (entry *Entry) addVerification(verify func(context.Context)) {
	select {
	case entry.verifications <- verify:
	default:
		entry.count("verifications.dropped")
	}
}

// runVerifications works on the verifications until the context ends.
func (entry *Entry) runVerifications(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	for range verifyWorkers {
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

// VerifyBeside has instances of other failure domains verify the grant's server, which did badly with a request that
// another one has answered in time. It does not wait; next returns attempts.
func (grant *Grant) VerifyBeside(request Copy, next func() uint64) {
	entry := grant.entry
	entry.addVerification(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
		defer cancel()
		for _, peer := range entry.vantages(grant.Slice) {
			verification := Verification{
				Slice: grant.Slice, Server: grant.Server, Attempt: next(), Control: next(),
				Fingerprint: grant.ask.Fingerprint, Request: request,
			}
			if err := entry.Peers.Verify(ctx, peer, verification); err != nil {
				entry.Log.Debug("entry: a peer was not asked to verify a server", zap.String("peer", peer.Name), zap.Error(err))
			}
		}
	})
}

// vantages returns the reachable instances that verify this one's suspicions in a slice.
func (entry *Entry) vantages(slice home.Slice) []Peer {
	plan := entry.members.plan()
	self := instance.Entry{Name: entry.Name, Domain: entry.Domain}
	var out []Peer
	for _, i := range home.Observers(slice, plan.candidates, self, verifyVantages, entry.isUsable) {
		out = append(out, Peer{plan.candidates[i].Entry.Name, plan.candidates[i].Entry.Peer})
	}
	return out
}

// HandleVerify takes in another instance's request to verify a server.
func (entry *Entry) HandleVerify(verification Verification) {
	if !verification.Request.valid() {
		entry.Log.Warn("entry: a verification that is not of a safe request was dropped", zap.String("method", verification.Request.Method))
		return
	}
	entry.addVerification(func(ctx context.Context) { entry.verify(ctx, verification) })
}

// verify sends a copy to the suspect, if its home wants that, and one to another server.
func (entry *Entry) verify(ctx context.Context, verification Verification) {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(verification.Request.Header))
	ctx, span := entry.Tracer.Start(ctx, "verification")
	defer span.End()
	ask := pool.Ask{
		Attempt: verification.Attempt, Verify: verification.Server, Idempotent: true, Number: 1,
		Deadline: entry.Clock().Add(verifyTimeout), Fingerprint: verification.Fingerprint,
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
