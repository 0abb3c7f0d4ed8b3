package yamux

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/limit"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/quota"
	"github.com/sequoiaspan/sequoiaspan/wire"
)

// Handler processes messages from other entry instances.
type Handler interface {
	HandleAsk(slice home.Slice, ask pool.Ask, reply func(pool.Decision, pool.Snapshot))
	HandleReport(slice home.Slice, report pool.Report)
	HandleRenew(name, domain string, renewal entry.Renewal)
	HandleClaim(claim idempotency.Claim) idempotency.Verdict
	HandleSettle(settlement idempotency.Settlement) bool
	HandleHandover(handover idempotency.Handover) (idempotency.HandoverReply, bool)
	HandlePullRules(have uint64) (version uint64, text string)
	HandleVerify(verification entry.Verification)
	HandleVersions(from entry.Peer, rulesVersion, tableEpoch uint64)
	HandlePullLists(revision instance.Revision, wait time.Duration) entry.Lists
	MarkLeaving(name string)
	MarkStarted(name string)
	Versions() (rulesVersion, tableEpoch uint64)
	PeerNamed(name string) (entry.Peer, bool)
}

// QuotaHandler processes messages about the rate limits of teams.
type QuotaHandler interface {
	HandleTakeTokens(ctx context.Context, team string, want limit.Want) limit.Grant
	HandleReturnTokens(team string, count int)
	HandleCounts(counts []quota.Count)
}

// Server serves other entry instances. Set its exported fields before calling Serve.
type Server struct {
	Handler     Handler
	Quota       QuotaHandler
	Log         *zap.Logger
	Tracer      trace.Tracer
	Clock       func() time.Time
	MaxSessions int

	sessions sync.WaitGroup
	slots    chan struct{}
	rules    deflatedRules
}

// Serve accepts sessions until the context ends, then returns nil. It refuses sessions beyond MaxSessions.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	server.slots = make(chan struct{}, server.MaxSessions)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer server.sessions.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &Error{Op: "accept", Kind: KindUnavailable, Err: err}
		}
		select {
		case server.slots <- struct{}{}:
			server.sessions.Go(func() { server.serveSession(ctx, conn) })
		default:
			server.Log.Warn("peer: session refused; too many sessions", zap.Stringer("from", conn.RemoteAddr()))
			_ = conn.Close()
		}
	}
}

func (server *Server) serveSession(ctx context.Context, conn net.Conn) {
	defer func() { <-server.slots }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the session, also while it is accepted
	defer stop()
	accepted, err := acceptSession(conn, server.Log)
	if err != nil {
		return
	}
	defer accepted.close()
	go accepted.stream.writeFrames()
	if err := server.serveStream(accepted); err != nil && ctx.Err() == nil {
		server.Log.Warn("peer: session closed after an invalid message", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
	}
}

// remote is the peer at the other end of a stream.
type remote struct {
	server *Server
	stream *stream
	peer   entry.Peer
	domain string
}

// serveStream handles frames until the stream ends. It returns nil unless the peer sent an invalid message.
func (server *Server) serveStream(session *session) error {
	s := session.stream
	session.conn.limitReads(time.Now().Add(helloTimeout))
	first, err := s.receive()
	if err != nil {
		return readError(err)
	}
	hello := first.GetHello()
	if hello == nil || hello.GetProtocol() != protocolVersion {
		return &Error{Op: "hello", Kind: KindProtocol, Err: errProtocol}
	}
	session.conn.limitReads(time.Time{})
	server.Handler.MarkStarted(hello.GetName())
	r := &remote{server: server, stream: s, domain: hello.GetDomain()}
	r.peer, _ = server.Handler.PeerNamed(hello.GetName())
	r.peer.Name = hello.GetName()
	for {
		frame, err := s.receive()
		if err != nil {
			return readError(err)
		}
		if err := r.handle(frame); err != nil {
			return err
		}
	}
}

// readError returns nil for a closed connection and an Error for a malformed frame.
func readError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) || isClosed(err) {
		return nil
	}
	return &Error{Op: "read", Kind: KindProtocol, Err: err}
}

// handle processes one frame.
func (remote *remote) handle(frame *wire.Frame) error {
	handler := remote.server.Handler
	if remote.peer.Address.IsValid() {
		handler.HandleVersions(remote.peer, frame.GetRulesVersion(), frame.GetTableEpoch())
	}
	now := remote.server.Clock()
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Ask:
		remote.ask(frame.GetId(), body.Ask, now)
	case *wire.Frame_Report:
		slice, report := reportFromWire(body.Report, now)
		report.Entry, report.Domain = remote.peer.Name, remote.domain
		handler.HandleReport(slice, report)
	case *wire.Frame_Renew:
		handler.HandleRenew(remote.peer.Name, remote.domain, renewalFromWire(body.Renew, now))
	case *wire.Frame_Verify:
		handler.HandleVerify(verificationFromWire(body.Verify))
	case *wire.Frame_Claim:
		verdict := handler.HandleClaim(claimFromWire(body.Claim, now))
		remote.reply(frame.GetId(), &wire.Frame{Body: &wire.Frame_Verdict{Verdict: verdictToWire(verdict, now)}})
	case *wire.Frame_Settle:
		kept := handler.HandleSettle(settlementFromWire(body.Settle))
		remote.reply(frame.GetId(), &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{Refused: !kept}}})
	case *wire.Frame_Handover:
		keys, known := handler.HandleHandover(handoverFromWire(body.Handover))
		remote.reply(frame.GetId(), keysToWire(keys, known, now))
	case *wire.Frame_PullRules:
		version, text := handler.HandlePullRules(body.PullRules.GetHave())
		deflated, err := remote.server.rules.get(version, text)
		if err != nil {
			remote.server.Log.Error("peer: compressing the rules failed", zap.Uint64("version", version), zap.Error(err))
			version, deflated = 0, nil
		}
		remote.reply(frame.GetId(), &wire.Frame{Body: &wire.Frame_Rules{Rules: &wire.Rules{Version: version, Text: deflated}}})
	case *wire.Frame_Tokens:
		remote.tokens(frame.GetId(), body.Tokens, now)
	case *wire.Frame_Counts:
		remote.server.Quota.HandleCounts(countsFromWire(body.Counts))
	case *wire.Frame_PullLists:
		go remote.pullLists(frame.GetId(), body.PullLists)
	case *wire.Frame_Leaving:
		handler.MarkLeaving(remote.peer.Name)
		remote.reply(frame.GetId(), &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{}}})
	case nil:
		// A message of a later build: its sender does without a reply.
	default:
		return &Error{Op: "handle", Kind: KindProtocol, Peer: remote.peer.Name, Err: errProtocol}
	}
	return nil
}

func (remote *remote) ask(id uint64, message *wire.Ask, now time.Time) {
	slice, ask := askFromWire(message, now)
	ask.Entry, ask.Domain = remote.peer.Name, remote.domain
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{"traceparent": message.GetTraceParent()})
	_, span := remote.server.Tracer.Start(ctx, "grant")
	remote.server.Handler.HandleAsk(slice, ask, func(decision pool.Decision, snapshot pool.Snapshot) {
		if decision.Verdict != pool.Queued {
			span.End()
		}
		reply := decisionToWire(decision, snapshot, remote.server.Clock())
		remote.reply(id, &wire.Frame{Body: &wire.Frame_Decision{Decision: reply}})
	})
}

// tokens takes back tokens that were not used and grants others. A message that wants none has no id, unless it is a probe.
func (remote *remote) tokens(id uint64, message *wire.Tokens, now time.Time) {
	if returned := int(message.GetReturned()); returned > 0 {
		remote.server.Quota.HandleReturnTokens(message.GetTeam(), returned)
	}
	if id == 0 {
		return
	}
	grant := limit.Grant{}
	if want := wantFromWire(message); want.Tokens > 0 {
		grant = remote.server.Quota.HandleTakeTokens(context.Background(), message.GetTeam(), want)
	}
	remote.reply(id, &wire.Frame{Body: &wire.Frame_TokensReply{TokensReply: grantToWire(grant, now)}})
}

// pullLists waits for a list change and replies.
func (remote *remote) pullLists(id uint64, message *wire.PullLists) {
	lists := remote.server.Handler.HandlePullLists(revisionOf(message), time.Duration(message.GetWaitNanos()))
	remote.reply(id, &wire.Frame{Body: &wire.Frame_Lists{Lists: listsToWire(lists, remote.server.Clock())}})
}

// reply queues a reply. It drops the reply if the peer reads too slowly; the peer retries after its timeout.
func (remote *remote) reply(id uint64, frame *wire.Frame) {
	frame.Id = id
	frame.RulesVersion, frame.TableEpoch = remote.server.Handler.Versions()
	if err := remote.stream.send(frame); errors.Is(err, errQueueFull) {
		remote.server.Log.Warn("peer: reply dropped; the peer reads too slowly", zap.String("peer", remote.peer.Name))
	}
}
