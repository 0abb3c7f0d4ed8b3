package yamux

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/wait"
	"github.com/sequoiaspan/sequoiaspan/wire"
)

// Call timeouts and intervals.
const (
	dialTimeout           = 250 * time.Millisecond
	avoidDuration         = time.Second            // how long a peer is avoided after a failure
	maxOutageAge          = time.Minute            // then the record is dropped: a peer that returns later has a new name
	rulesTimeout          = 400 * time.Millisecond // rules texts take longer than other replies on slow links
	retireDelay           = 5 * time.Second        // a timed-out session stays open this long for late replies
	queuedRecheckInterval = 500 * time.Millisecond // a queued ask is resent to detect an unresponsive home
)

// Client calls other entry instances. Set its exported fields before use. It implements entry.Peers.
type Client struct {
	Name            string
	Incarnation     idempotency.Incarnation
	Domain          string
	ResponseTimeout time.Duration // longest wait for a reply
	Log             *zap.Logger
	Tracer          trace.Tracer
	Clock           func() time.Time
	Delays          wait.Delays // nil for none
	Versions        func() (rulesVersion, tableEpoch uint64)
	OnVersions      func(from entry.Peer, rulesVersion, tableEpoch uint64)
	InitialRenewal  func(peer string) entry.Renewal // sent first in each session; may be nil
	Dial            func(ctx context.Context, network, address string) (net.Conn, error)

	mu        sync.Mutex
	links     map[string]*link   // by peer name
	outages   map[string]*outage // by peer name, of peers that failed recently
	anyOutage atomic.Bool
}

// outage records a peer failure.
type outage struct {
	since      time.Time // zero after the peer has replied
	avoidUntil time.Time // the peer is avoided until then
}

// expired reports whether the record can be dropped: the peer has recovered or has been unreachable for maxOutageAge.
func (outage *outage) expired(now time.Time) bool {
	if outage.since.IsZero() {
		return !now.Before(outage.avoidUntil)
	}
	return now.Sub(outage.since) >= maxOutageAge
}

// link is an open session to one peer with its pending calls.
type link struct {
	*session
	peer    entry.Peer
	mu      sync.Mutex
	pending map[uint64]chan *wire.Frame
	next    uint64
}

// Reachable reports whether the peer is not currently avoided because of a recent failure.
func (client *Client) Reachable(peer string) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	s := client.outages[peer]
	return s == nil || !client.Clock().Before(s.avoidUntil)
}

// markUnreachable avoids a failed peer for avoidDuration.
func (client *Client) markUnreachable(peer, op string, cause error) {
	now := client.Clock()
	client.mu.Lock()
	begins := client.outages[peer] == nil || client.outages[peer].since.IsZero()
	if begins {
		client.beginOutage(now, peer)
	}
	client.outages[peer].avoidUntil = now.Add(avoidDuration)
	client.mu.Unlock()
	if begins {
		client.Log.Info("peer: no reply; avoiding the peer for a while", zap.String("peer", peer), zap.String("op", op),
			zap.Duration("silence", client.ResponseTimeout), zap.Duration("passed-over-for", avoidDuration), zap.Error(cause))
	}
}

// beginOutage records that a peer has stopped replying and drops expired records. The caller holds the lock.
func (client *Client) beginOutage(now time.Time, peer string) {
	maps.DeleteFunc(client.outages, func(_ string, s *outage) bool { return s.expired(now) })
	if client.outages == nil {
		client.outages = map[string]*outage{}
	}
	client.outages[peer] = &outage{since: now}
	client.anyOutage.Store(true)
}

// markResponsive records that a peer has sent a frame.
func (client *Client) markResponsive(peer string) {
	if !client.anyOutage.Load() {
		return
	}
	client.mu.Lock()
	var since time.Time
	if s := client.outages[peer]; s != nil {
		since, s.since = s.since, time.Time{}
	}
	anyOutage := false
	for _, s := range client.outages {
		anyOutage = anyOutage || !s.since.IsZero()
	}
	client.anyOutage.Store(anyOutage)
	client.mu.Unlock()
	if !since.IsZero() {
		client.Log.Info("peer: replies again", zap.String("peer", peer), zap.Duration("silent-for", client.Clock().Sub(since)))
	}
}

// Close closes all sessions.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	for name, l := range client.links {
		l.close()
		delete(client.links, name)
	}
}

// link returns the session to a peer and opens one if none is usable.
func (client *Client) link(ctx context.Context, to entry.Peer) (*link, error) {
	client.mu.Lock()
	l := client.links[to.Name]
	client.mu.Unlock()
	if l != nil && l.peer == to && !l.ended() {
		return l, nil
	}
	opened, err := client.open(ctx, to)
	if err != nil {
		client.markUnreachable(to.Name, "dial", err)
		return nil, &Error{Op: "dial", Kind: KindUnavailable, Peer: to.Name, Err: err}
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if other := client.links[to.Name]; other != nil && other != l && !other.ended() && other.peer == to {
		opened.close()
		return other, nil
	}
	if l != nil {
		l.close()
	}
	if client.links == nil {
		client.links = map[string]*link{}
	}
	client.links[to.Name] = opened
	return opened, nil
}

func (link *link) ended() bool {
	select {
	case <-link.stream.done:
		return true
	default:
		return link.IsClosed()
	}
}

func (client *Client) open(ctx context.Context, to entry.Peer) (*link, error) {
	ctx, cancel := wait.WithSilence(ctx, time.Now().Add(dialTimeout), client.Delays)
	defer cancel()
	dial := client.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", to.Address.String())
	if err != nil {
		return nil, errors.Join(err, context.Cause(ctx))
	}
	opened, err := openSession(conn, client.Log)
	if err != nil {
		return nil, err
	}
	l := &link{session: opened, peer: to, pending: map[uint64]chan *wire.Frame{}}
	hello := &wire.Hello{
		Protocol: protocolVersion, Name: client.Name, Incarnation: string(client.Incarnation), Domain: client.Domain,
	}
	if err := l.stream.send(&wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}); err != nil {
		l.close()
		return nil, err
	}
	if err := client.sendInitialRenewal(l); err != nil {
		l.close()
		return nil, err
	}
	go l.stream.writeFrames()
	go client.readReplies(l)
	return l, nil
}

// sendInitialRenewal sends a renewal before any ask: a restarted peer needs the held grants before it decides.
func (client *Client) sendInitialRenewal(l *link) error {
	if client.InitialRenewal == nil {
		return nil
	}
	greeting := client.InitialRenewal(l.peer.Name)
	if len(greeting.Slices) == 0 {
		return nil
	}
	return l.stream.send(client.stamp(0, &wire.Frame{Body: &wire.Frame_Renew{Renew: renewalToWire(greeting, client.Clock())}}))
}

// readReplies delivers replies to their pending calls until the stream ends.
func (client *Client) readReplies(l *link) {
	defer l.close()
	for {
		frame, err := l.stream.receive()
		if err != nil {
			if !isClosed(err) {
				client.Log.Warn("peer: session ended unexpectedly", zap.String("peer", l.peer.Name), zap.Error(err))
			}
			return
		}
		client.markResponsive(l.peer.Name)
		client.OnVersions(l.peer, frame.GetRulesVersion(), frame.GetTableEpoch())
		l.mu.Lock()
		replies := l.pending[frame.GetId()]
		l.mu.Unlock()
		select {
		case replies <- frame:
		default:
		}
	}
}

func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrClosedPipe) ||
		errors.Is(err, yamux.ErrSessionShutdown) || errors.Is(err, yamux.ErrStreamClosed) ||
		errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrKeepAliveTimeout) || errors.Is(err, yamux.ErrTimeout) ||
		errors.Is(err, io.ErrUnexpectedEOF)
}

// replyBuffer has room for a queued decision and the final one, both possibly duplicated by a resent ask.
const replyBuffer = 8

// beginCall registers a call and returns its ID and reply channel.
func (link *link) beginCall() (uint64, chan *wire.Frame) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.next++
	replies := make(chan *wire.Frame, replyBuffer)
	link.pending[link.next] = replies
	return link.next, replies
}

func (link *link) endCall(id uint64) {
	link.mu.Lock()
	defer link.mu.Unlock()
	delete(link.pending, id)
}

func (client *Client) stamp(id uint64, frame *wire.Frame) *wire.Frame {
	frame.Id = id
	frame.RulesVersion, frame.TableEpoch = client.Versions()
	return frame
}

// call sends a frame and waits up to ResponseTimeout for its reply.
func (client *Client) call(ctx context.Context, op string, to entry.Peer, frame *wire.Frame) (*wire.Frame, error) {
	return client.callWithTimeout(ctx, op, to, frame, client.ResponseTimeout)
}

// callWithTimeout sends a frame and waits for its reply.
func (client *Client) callWithTimeout(ctx context.Context, op string, to entry.Peer, frame *wire.Frame, timeout time.Duration) (*wire.Frame, error) {
	l, err := client.link(ctx, to)
	if err != nil {
		return nil, err
	}
	id, replies := l.beginCall()
	defer l.endCall(id)
	if err := l.stream.send(client.stamp(id, frame)); err != nil {
		return nil, client.handleFailure(op, KindUnavailable, to, err)
	}
	silence, silent := client.onSilence(timeout)
	defer silence.Stop()
	select {
	case reply := <-replies:
		return reply, nil
	case <-silent:
		return nil, client.handleFailure(op, KindTimeout, to, nil)
	case <-l.stream.done:
		return nil, client.handleFailure(op, KindUnavailable, to, nil)
	case <-ctx.Done():
		return nil, &Error{Op: op, Kind: KindTimeout, Peer: to.Name, Err: ctx.Err()}
	}
}

// onSilence returns a channel that is closed when a peer has been silent for the timeout.
func (client *Client) onSilence(timeout time.Duration) (*wait.Silence, <-chan struct{}) {
	silent := make(chan struct{})
	return wait.OnSilence(time.Now().Add(timeout), client.Delays, func() { close(silent) }), silent
}

func (client *Client) handleFailure(op string, kind Kind, to entry.Peer, err error) error {
	client.markUnreachable(to.Name, op, err)
	if kind == KindTimeout {
		client.retire(to.Name)
	}
	return &Error{Op: op, Kind: kind, Peer: to.Name, Err: err}
}

// retire makes the next call to a peer open a new session: the connection may be dead without an error.
func (client *Client) retire(peer string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	l := client.links[peer]
	if l == nil {
		return
	}
	delete(client.links, peer)
	time.AfterFunc(retireDelay, l.close)
}

// sendOneWay sends a frame that has no reply.
func (client *Client) sendOneWay(ctx context.Context, op string, to entry.Peer, frame *wire.Frame) error {
	l, err := client.link(ctx, to)
	if err != nil {
		return err
	}
	if err := l.stream.send(client.stamp(0, frame)); err != nil {
		return client.handleFailure(op, KindUnavailable, to, err)
	}
	return nil
}

// Ask asks a home for a grant. A queued ask waits until its deadline; an Error is returned if the home stops replying meanwhile.
func (client *Client) Ask(ctx context.Context, to entry.Peer, slice home.Slice, ask pool.Ask) (pool.Decision, pool.Snapshot, error) {
	ctx, span := client.Tracer.Start(ctx, "ask")
	defer span.End()
	l, err := client.link(ctx, to)
	if err != nil {
		return pool.Decision{}, pool.Snapshot{}, err
	}
	id, replies := l.beginCall()
	defer l.endCall(id)
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	send := func() error {
		message := askToWire(slice, ask, client.Clock())
		message.TraceParent = carrier["traceparent"]
		// Sent again, the ask may reach a home that does not know it.
		ask.Burst, ask.Earned = 0, true
		return l.stream.send(client.stamp(id, &wire.Frame{Body: &wire.Frame_Ask{Ask: message}}))
	}
	if err := send(); err != nil {
		return pool.Decision{}, pool.Snapshot{}, client.handleFailure("ask", KindUnavailable, to, err)
	}
	decision, snapshot, err := client.awaitDecision(ctx, l, to, replies, send)
	if err != nil {
		// The home may have granted or queued the ask: release it.
		unused := pool.Report{Attempt: ask.Attempt, Outcome: pool.Unused}
		_ = l.stream.send(client.stamp(0, &wire.Frame{Body: &wire.Frame_Report{Report: reportToWire(slice, unused, client.Clock())}}))
	}
	return decision, snapshot, err
}

func (client *Client) awaitDecision(ctx context.Context, l *link, to entry.Peer, replies <-chan *wire.Frame, send func() error) (pool.Decision, pool.Snapshot, error) {
	silence, silent := client.onSilence(client.ResponseTimeout)
	defer func() { silence.Stop() }()
	restart := func(timeout time.Duration) {
		silence.Stop()
		silence, silent = client.onSilence(timeout)
	}
	queued := false
	for {
		select {
		case reply := <-replies:
			decision, snapshot := decisionFromWire(reply.GetDecision(), client.Clock())
			if decision.Verdict != pool.Queued {
				return decision, snapshot, nil
			}
			queued = true
			restart(queuedRecheckInterval)
		case <-silent:
			if !queued {
				return pool.Decision{}, pool.Snapshot{}, client.handleFailure("ask", KindTimeout, to, nil)
			}
			queued = false
			restart(client.ResponseTimeout)
			if err := send(); err != nil {
				return pool.Decision{}, pool.Snapshot{}, client.handleFailure("ask", KindUnavailable, to, err)
			}
		case <-l.stream.done:
			return pool.Decision{}, pool.Snapshot{}, client.handleFailure("ask", KindUnavailable, to, nil)
		case <-ctx.Done():
			return pool.Decision{}, pool.Snapshot{}, &Error{Op: "ask", Kind: KindTimeout, Peer: to.Name, Err: ctx.Err()}
		}
	}
}

// Report sends the outcome of a grant to its home.
func (client *Client) Report(ctx context.Context, to entry.Peer, slice home.Slice, report pool.Report) error {
	return client.sendOneWay(ctx, "report", to, &wire.Frame{Body: &wire.Frame_Report{Report: reportToWire(slice, report, client.Clock())}})
}

// Renew sends a home the grants that this instance holds.
func (client *Client) Renew(ctx context.Context, to entry.Peer, renewal entry.Renewal) error {
	return client.sendOneWay(ctx, "renew", to, &wire.Frame{Body: &wire.Frame_Renew{Renew: renewalToWire(renewal, client.Clock())}})
}

// Verify asks a peer to verify a backend server.
func (client *Client) Verify(ctx context.Context, to entry.Peer, verification entry.Verification) error {
	return client.sendOneWay(ctx, "verify", to, &wire.Frame{Body: &wire.Frame_Verify{Verify: verificationToWire(verification)}})
}

// Claim asks a key's owner whether a request may run.
func (client *Client) Claim(ctx context.Context, to entry.Peer, claim idempotency.Claim) (idempotency.Verdict, error) {
	frame := &wire.Frame{Body: &wire.Frame_Claim{Claim: claimToWire(claim, client.Clock())}}
	reply, err := client.call(ctx, "claim", to, frame)
	if err != nil {
		return idempotency.Verdict{}, err
	}
	return verdictFromWire(reply.GetVerdict(), client.Clock()), nil
}

// Settle sends the outcome of a claim to the key's owner; false means that the peer does not own the key.
func (client *Client) Settle(ctx context.Context, to entry.Peer, settlement idempotency.Settlement) (bool, error) {
	reply, err := client.call(ctx, "settle", to, &wire.Frame{Body: &wire.Frame_Settle{Settle: settlementToWire(settlement)}})
	if err != nil {
		return false, err
	}
	return reply.GetAck() != nil && !reply.GetAck().GetRefused(), nil
}

// Handover asks a previous owner for its keys; false means that the peer does not know the key table yet.
func (client *Client) Handover(ctx context.Context, to entry.Peer, handover idempotency.Handover) (idempotency.HandoverReply, bool, error) {
	reply, err := client.call(ctx, "handover", to, &wire.Frame{Body: &wire.Frame_Handover{Handover: handoverToWire(handover)}})
	if err != nil {
		return idempotency.HandoverReply{}, false, err
	}
	if reply.GetKeys() == nil {
		return idempotency.HandoverReply{}, false, nil
	}
	return keysFromWire(reply.GetKeys(), client.Clock()), true, nil
}

// PullRules asks a peer for rules newer than a version; version 0 means that the peer has none.
func (client *Client) PullRules(ctx context.Context, to entry.Peer, have uint64) (uint64, string, error) {
	reply, err := client.callWithTimeout(ctx, "pull-rules", to, &wire.Frame{Body: &wire.Frame_PullRules{PullRules: &wire.PullRules{Have: have}}}, rulesTimeout)
	if err != nil {
		return 0, "", err
	}
	if reply.GetRules().GetVersion() == 0 {
		return 0, "", nil
	}
	text, err := inflateRules(reply.GetRules().GetText())
	if err != nil {
		return 0, "", &Error{Op: "pull-rules", Kind: KindProtocol, Peer: to.Name, Err: err}
	}
	return reply.GetRules().GetVersion(), text, nil
}

// PullLists asks a peer for list changes after a revision and waits up to the given time for one.
func (client *Client) PullLists(ctx context.Context, to entry.Peer, revision instance.Revision, wait time.Duration) (entry.Lists, error) {
	frame := &wire.Frame{Body: &wire.Frame_PullLists{PullLists: &wire.PullLists{
		Generation: revision.Generation, Revision: revision.Number, WaitNanos: wait.Nanoseconds(),
	}}}
	reply, err := client.callWithTimeout(ctx, "pull-lists", to, frame, wait+client.ResponseTimeout)
	if err != nil {
		return entry.Lists{}, err
	}
	lists, err := listsFromWire(reply.GetLists(), client.Clock())
	if err != nil {
		return entry.Lists{}, &Error{Op: "pull-lists", Kind: KindProtocol, Peer: to.Name, Err: err}
	}
	return lists, nil
}

// NotifyLeaving notifies a peer that this instance accepts no new work.
func (client *Client) NotifyLeaving(ctx context.Context, to entry.Peer) error {
	_, err := client.call(ctx, "leaving", to, &wire.Frame{Body: &wire.Frame_Leaving{Leaving: &wire.Leaving{}}})
	return err
}
