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
	"github.com/sequoiaspan/sequoiaspan/wire"
)

// Timing of calls.
const (
	dialTimeout   = 250 * time.Millisecond
	unreachedFor  = time.Second            // a peer that failed is passed over until then
	silentMost    = time.Minute            // a peer that did not come back by then has another name if it does
	rulesSilence  = 400 * time.Millisecond // longest wait for a text of rules, which slow links take a while for
	retireAfter   = 5 * time.Second        // a link that fell silent is closed, for replies that are only late
	recheckQueued = 500 * time.Millisecond // a queued ask is sent again, to notice a silent home
)

// Client calls other entry instances; its fields are set before use. It implements entry.Peers.
type Client struct {
	Name        string
	Incarnation idempotency.Incarnation
	Domain      string
	Silence     time.Duration // longest wait for an answer
	Log         *zap.Logger
	Tracer      trace.Tracer
	Clock       func() time.Time
	Versions    func() (rulesVersion, tableEpoch uint64)
	OnVersions  func(from entry.Peer, rulesVersion, tableEpoch uint64)
	Greeting    func(peer string) entry.Renewal // told to a peer first in each session, nil for nothing
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)

	mu        sync.Mutex
	links     map[string]*link    // by peer name
	silences  map[string]*silence // of peers that failed of late
	anySilent atomic.Bool
}

// silence is that of a peer that failed.
type silence struct {
	since       time.Time // zero once it has answered
	passedUntil time.Time // deadline until which it is passed over
}

// isOver reports whether a silence is of no more use: the peer answered, or it is gone.
func (silence *silence) isOver(now time.Time) bool {
	if silence.since.IsZero() {
		return !now.Before(silence.passedUntil)
	}
	return now.Sub(silence.since) >= silentMost
}

// link is a session to one peer.
type link struct {
	peer    entry.Peer
	session *yamux.Session
	stream  *stream
	mu      sync.Mutex
	pending map[uint64]chan *wire.Frame
	next    uint64
}

// Reachable reports whether the peer has not failed of late.
func (client *Client) Reachable(peer string) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	s := client.silences[peer]
	return s == nil || !client.Clock().Before(s.passedUntil)
}

// markUnreached has a peer that failed passed over for a while.
func (client *Client) markUnreached(peer, op string, cause error) {
	now := client.Clock()
	client.mu.Lock()
	begins := client.silences[peer] == nil || client.silences[peer].since.IsZero()
	if begins {
		client.beginSilence(now, peer)
	}
	client.silences[peer].passedUntil = now.Add(unreachedFor)
	client.mu.Unlock()
	if begins {
		client.Log.Info("peer: it does not answer and is passed over", zap.String("peer", peer), zap.String("op", op),
			zap.Duration("silence", client.Silence), zap.Duration("passed-over-for", unreachedFor), zap.Error(cause))
	}
}

// beginSilence notes that a peer has fallen silent, and forgets silences that are over. The lock is held.
func (client *Client) beginSilence(now time.Time, peer string) {
	maps.DeleteFunc(client.silences, func(_ string, s *silence) bool { return s.isOver(now) })
	if client.silences == nil {
		client.silences = map[string]*silence{}
	}
	client.silences[peer] = &silence{since: now}
	client.anySilent.Store(true)
}

// markAnswered notes a sign of life of a peer.
func (client *Client) markAnswered(peer string) {
	if !client.anySilent.Load() {
		return
	}
	client.mu.Lock()
	var since time.Time
	if s := client.silences[peer]; s != nil {
		since, s.since = s.since, time.Time{}
	}
	anySilent := false
	for _, s := range client.silences {
		anySilent = anySilent || !s.since.IsZero()
	}
	client.anySilent.Store(anySilent)
	client.mu.Unlock()
	if !since.IsZero() {
		client.Log.Info("peer: it answers again", zap.String("peer", peer), zap.Duration("silent-for", client.Clock().Sub(since)))
	}
}

// Close ends all sessions.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	for name, l := range client.links {
		l.close()
		delete(client.links, name)
	}
}

func (link *link) close() {
	link.stream.close()
	_ = link.session.Close()
}

// link returns the session to a peer, opening it when there is none.
func (client *Client) link(ctx context.Context, to entry.Peer) (*link, error) {
	client.mu.Lock()
	l := client.links[to.Name]
	client.mu.Unlock()
	if l != nil && l.peer == to && !l.ended() {
		return l, nil
	}
	opened, err := client.open(ctx, to)
	if err != nil {
		client.markUnreached(to.Name, "dial", err)
		return nil, &Error{Op: "dial", Kind: KindDown, Peer: to.Name, Err: err}
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
		return link.session.IsClosed()
	}
}

func (client *Client) open(ctx context.Context, to entry.Peer) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := client.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", to.Address.String())
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(conn, sessionConfig(client.Log))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	opened, err := session.OpenStream()
	if err != nil {
		_ = session.Close()
		return nil, err
	}
	l := &link{peer: to, session: session, stream: newStream(opened), pending: map[uint64]chan *wire.Frame{}}
	hello := &wire.Hello{
		Protocol: protocolVersion, Name: client.Name, Incarnation: string(client.Incarnation), Domain: client.Domain,
	}
	if err := l.stream.send(&wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}); err != nil {
		return nil, err
	}
	if err := client.greet(l); err != nil {
		return nil, err
	}
	go l.stream.write()
	go client.read(l)
	return l, nil
}

// greet tells a peer first what it must know before it decides on anything: it may have started anew.
func (client *Client) greet(l *link) error {
	if client.Greeting == nil {
		return nil
	}
	greeting := client.Greeting(l.peer.Name)
	if len(greeting.Slices) == 0 {
		return nil
	}
	return l.stream.send(client.stamp(0, &wire.Frame{Body: &wire.Frame_Renew{Renew: renewalTo(greeting, client.Clock())}}))
}

// read hands replies to those who wait for them until the stream ends.
func (client *Client) read(l *link) {
	defer l.close()
	for {
		frame, err := l.stream.receive()
		if err != nil {
			if !isClosed(err) {
				client.Log.Warn("peer: a session ended", zap.String("peer", l.peer.Name), zap.Error(err))
			}
			return
		}
		client.markAnswered(l.peer.Name)
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
		errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrKeepAliveTimeout) || errors.Is(err, io.ErrUnexpectedEOF)
}

// replyRoom holds a queued decision and the final one, each perhaps twice.
const replyRoom = 8

// begin registers a call and returns its id and replies.
func (link *link) begin() (uint64, chan *wire.Frame) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.next++
	replies := make(chan *wire.Frame, replyRoom)
	link.pending[link.next] = replies
	return link.next, replies
}

func (link *link) end(id uint64) {
	link.mu.Lock()
	defer link.mu.Unlock()
	delete(link.pending, id)
}

func (client *Client) stamp(id uint64, frame *wire.Frame) *wire.Frame {
	frame.Id = id
	frame.RulesVersion, frame.TableEpoch = client.Versions()
	return frame
}

// call sends a frame and waits for its reply.
func (client *Client) call(ctx context.Context, op string, to entry.Peer, frame *wire.Frame) (*wire.Frame, error) {
	return client.callWithin(ctx, op, to, frame, client.Silence)
}

// callWithin sends a frame and waits for its reply, for a time at most.
func (client *Client) callWithin(ctx context.Context, op string, to entry.Peer, frame *wire.Frame, silence time.Duration) (*wire.Frame, error) {
	l, err := client.link(ctx, to)
	if err != nil {
		return nil, err
	}
	id, replies := l.begin()
	defer l.end(id)
	if err := l.stream.send(client.stamp(id, frame)); err != nil {
		return nil, client.failed(op, KindDown, to, err)
	}
	timer := time.NewTimer(silence)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply, nil
	case <-timer.C:
		return nil, client.failed(op, KindSilent, to, nil)
	case <-l.stream.done:
		return nil, client.failed(op, KindDown, to, nil)
	case <-ctx.Done():
		return nil, &Error{Op: op, Kind: KindSilent, Peer: to.Name, Err: ctx.Err()}
	}
}

func (client *Client) failed(op string, kind Kind, to entry.Peer, err error) error {
	client.markUnreached(to.Name, op, err)
	if kind == KindSilent {
		client.retire(to.Name)
	}
	return &Error{Op: op, Kind: kind, Peer: to.Name, Err: err}
}

// retire has the next call to a peer open a new session: this one's connection may be dead without a sign.
func (client *Client) retire(peer string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	l := client.links[peer]
	if l == nil {
		return
	}
	delete(client.links, peer)
	time.AfterFunc(retireAfter, l.close)
}

// tell sends a frame that has no reply.
func (client *Client) tell(ctx context.Context, op string, to entry.Peer, frame *wire.Frame) error {
	l, err := client.link(ctx, to)
	if err != nil {
		return err
	}
	if err := l.stream.send(client.stamp(0, frame)); err != nil {
		return client.failed(op, KindDown, to, err)
	}
	return nil
}

// Ask asks a home for a grant. A queued ask waits until the ask's deadline; a home that falls silent meanwhile is noticed.
func (client *Client) Ask(ctx context.Context, to entry.Peer, slice home.Slice, ask pool.Ask) (pool.Decision, pool.Snapshot, error) {
	ctx, span := client.Tracer.Start(ctx, "ask")
	defer span.End()
	l, err := client.link(ctx, to)
	if err != nil {
		return pool.Decision{}, pool.Snapshot{}, err
	}
	id, replies := l.begin()
	defer l.end(id)
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	send := func() error {
		message := askTo(slice, ask, client.Clock())
		message.TraceParent = carrier["traceparent"]
		return l.stream.send(client.stamp(id, &wire.Frame{Body: &wire.Frame_Ask{Ask: message}}))
	}
	if err := send(); err != nil {
		return pool.Decision{}, pool.Snapshot{}, client.failed("ask", KindDown, to, err)
	}
	decision, standing, err := client.awaitDecision(ctx, l, to, replies, send)
	if err != nil {
		// The home may have granted or queued the ask: give it back.
		unused := pool.Report{Attempt: ask.Attempt, Outcome: pool.Unused}
		_ = l.stream.send(client.stamp(0, &wire.Frame{Body: &wire.Frame_Report{Report: reportTo(slice, unused, client.Clock())}}))
	}
	return decision, standing, err
}

func (client *Client) awaitDecision(ctx context.Context, l *link, to entry.Peer, replies <-chan *wire.Frame, send func() error) (pool.Decision, pool.Snapshot, error) {
	timer := time.NewTimer(client.Silence)
	defer timer.Stop()
	queued := false
	for {
		select {
		case reply := <-replies:
			decision, standing := decisionFrom(reply.GetDecision(), client.Clock())
			if decision.Verdict != pool.Queued {
				return decision, standing, nil
			}
			queued = true
			timer.Reset(recheckQueued)
		case <-timer.C:
			if !queued {
				return pool.Decision{}, pool.Snapshot{}, client.failed("ask", KindSilent, to, nil)
			}
			queued = false
			timer.Reset(client.Silence)
			if err := send(); err != nil {
				return pool.Decision{}, pool.Snapshot{}, client.failed("ask", KindDown, to, err)
			}
		case <-l.stream.done:
			return pool.Decision{}, pool.Snapshot{}, client.failed("ask", KindDown, to, nil)
		case <-ctx.Done():
			return pool.Decision{}, pool.Snapshot{}, &Error{Op: "ask", Kind: KindSilent, Peer: to.Name, Err: ctx.Err()}
		}
	}
}

// Report tells a home what came of a grant.
func (client *Client) Report(ctx context.Context, to entry.Peer, slice home.Slice, report pool.Report) error {
	return client.tell(ctx, "report", to, &wire.Frame{Body: &wire.Frame_Report{Report: reportTo(slice, report, client.Clock())}})
}

// Renew tells a home which grants are held.
func (client *Client) Renew(ctx context.Context, to entry.Peer, renewal entry.Renewal) error {
	return client.tell(ctx, "renew", to, &wire.Frame{Body: &wire.Frame_Renew{Renew: renewalTo(renewal, client.Clock())}})
}

// Verify asks a peer to verify a backend server.
func (client *Client) Verify(ctx context.Context, to entry.Peer, verification entry.Verification) error {
	return client.tell(ctx, "verify", to, &wire.Frame{Body: &wire.Frame_Verify{Verify: verificationTo(verification)}})
}

// Claim asks a key's owner whether a request may run.
func (client *Client) Claim(ctx context.Context, to entry.Peer, claim idempotency.Claim) (idempotency.Verdict, error) {
	frame := &wire.Frame{Body: &wire.Frame_Claim{Claim: claimTo(claim, client.Clock())}}
	reply, err := client.call(ctx, "claim", to, frame)
	if err != nil {
		return idempotency.Verdict{}, err
	}
	return verdictFrom(reply.GetVerdict(), client.Clock()), nil
}

// Settle tells a key's owner what came of a claim; false means that the key is kept elsewhere.
func (client *Client) Settle(ctx context.Context, to entry.Peer, settlement idempotency.Settlement) (bool, error) {
	reply, err := client.call(ctx, "settle", to, &wire.Frame{Body: &wire.Frame_Settle{Settle: settlementTo(settlement)}})
	if err != nil {
		return false, err
	}
	return reply.GetAck() != nil && !reply.GetAck().GetRefused(), nil
}

// Handover asks an earlier owner for its keys; false means that it does not know the table yet.
func (client *Client) Handover(ctx context.Context, to entry.Peer, handover idempotency.Handover) (idempotency.HandoverReply, bool, error) {
	reply, err := client.call(ctx, "handover", to, &wire.Frame{Body: &wire.Frame_Handover{Handover: handoverTo(handover)}})
	if err != nil {
		return idempotency.HandoverReply{}, false, err
	}
	if reply.GetKeys() == nil {
		return idempotency.HandoverReply{}, false, nil
	}
	return keysFrom(reply.GetKeys(), client.Clock()), true, nil
}

// PullRules asks a peer for newer rules; version 0 stands for none.
func (client *Client) PullRules(ctx context.Context, to entry.Peer, have uint64) (uint64, string, error) {
	reply, err := client.callWithin(ctx, "pull-rules", to, &wire.Frame{Body: &wire.Frame_PullRules{PullRules: &wire.PullRules{Have: have}}}, rulesSilence)
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

// TakeTokens asks a team's counter for a part of its limit.
func (client *Client) TakeTokens(ctx context.Context, to entry.Peer, team string, want int) (int, time.Time, error) {
	frame := &wire.Frame{Body: &wire.Frame_Tokens{Tokens: &wire.Tokens{Team: team, Want: uint32(want)}}}
	reply, err := client.call(ctx, "take-tokens", to, frame)
	if err != nil {
		return 0, time.Time{}, err
	}
	tokens := reply.GetTokensReply()
	return int(tokens.GetGranted()), after(client.Clock(), tokens.GetRetryAfterNanos()), nil
}

// PullLists asks a peer for changes of the lists.
func (client *Client) PullLists(ctx context.Context, to entry.Peer, revision instance.Revision, wait time.Duration) (entry.Lists, error) {
	frame := &wire.Frame{Body: &wire.Frame_PullLists{PullLists: &wire.PullLists{
		Generation: revision.Generation, Revision: revision.Number, WaitNanos: wait.Nanoseconds(),
	}}}
	reply, err := client.callWithin(ctx, "pull-lists", to, frame, wait+client.Silence)
	if err != nil {
		return entry.Lists{}, err
	}
	lists, err := listsFrom(reply.GetLists(), client.Clock())
	if err != nil {
		return entry.Lists{}, &Error{Op: "pull-lists", Kind: KindProtocol, Peer: to.Name, Err: err}
	}
	return lists, nil
}

// NotifyLeaving tells a peer that this instance takes no new work.
func (client *Client) NotifyLeaving(ctx context.Context, to entry.Peer) error {
	_, err := client.call(ctx, "leaving", to, &wire.Frame{Body: &wire.Frame_Leaving{Leaving: &wire.Leaving{}}})
	return err
}
