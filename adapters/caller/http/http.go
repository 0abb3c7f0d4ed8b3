// Package http serves callers over HTTP: it answers directory lookups and forwards requests to backend servers.
package http

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/core/retry"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/core/split"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/latency"
)

// DirectoryPath is the path at which callers look up the addresses to use, with the query
// ?service=NAME[&failure-domain=NAME][&region=NAME].
const DirectoryPath = "/.sequoiaspan/directory"

// overloadRetryDelay is the Retry-After of a request that this instance is too late for; another instance may have time at once.
const overloadRetryDelay = 500 * time.Millisecond

// Time reserved for this instance's own answers, so that they reach callers before their deadlines.
const (
	callerRoundTrip   = 50 * time.Millisecond // for the request and the answer, together
	maxRoundTripShare = 0.125                 // of the time until a deadline
)

// noRulesRetryDelay is the Retry-After while no rules are in force; a starting instance has received them by then.
const noRulesRetryDelay = time.Second

// closedRetryDelay is the Retry-After of a request that the rules refuse without a judgement on the request: their next version may allow it.
const closedRetryDelay = time.Second

// Sender sends a request to a backend server once, without retries.
type Sender interface {
	Send(request *http.Request, options backend.Options, progress *backend.Progress) (*http.Response, error)
}

// Handler serves callers. Its exported fields must be set before the first request.
type Handler struct {
	Entry   *entry.Entry
	Quotas  Quotas // nil for no limits
	Backend Sender
	Log     *zap.Logger
	Metrics metrics.Registry
	Tracer  trace.Tracer
	Dialect dialect.Dialect // nil for dialect.Native
	Clock   func() time.Time
	Seed    uint64 // seeds the backoff jitter

	attemptCount  atomic.Uint64 // attempts so far; added to attemptBase, it makes a unique id
	attemptBase   uint64
	randomMu      sync.Mutex
	random        *rand.Rand
	splits        map[string]*split.Sequence // by host and prefix of the route
	bufferedTotal atomic.Int64               // bytes reserved for buffered response bodies, over all requests
	once          sync.Once

	logBudget                   logBudget
	requests, waits, firstBytes *latency.Histogram
}

func (handler *Handler) init() {
	if handler.Dialect == nil {
		handler.Dialect = dialect.Native{}
	}
	handler.splits = map[string]*split.Sequence{}
	handler.random = rand.New(rand.NewPCG(handler.Seed, handler.Seed))
	// The random upper 32 bits keep ids of different instances and runs apart; the lower 32 bits count.
	handler.attemptBase = rand.Uint64() << 32
	handler.requests = latency.GetOrRegisterHistogram("caller.requests", handler.Metrics)
	handler.waits = latency.GetOrRegisterHistogram("grant.waits", handler.Metrics)
	handler.firstBytes = latency.GetOrRegisterHistogram("backend.first-bytes", handler.Metrics)
}

func (handler *Handler) nextAttempt() uint64 {
	return handler.attemptBase + handler.attemptCount.Add(1)
}

// ServeHTTP answers a directory lookup or forwards the request to a backend server.
func (handler *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler.once.Do(handler.init)
	conn := connectionOf(r)
	if conn.isGone(r) {
		// It is followed by the end of the connection, which has been read ahead.
		panic(http.ErrAbortHandler)
	}
	if !headOf(r).begin(r) {
		w.Header().Set("Connection", "close")
		handler.refuseUnread(w, r, retry.ReasonOverload)
		return
	}
	isLast := handler.Entry.IsLeaving() || !conn.mayStay()
	if isLast {
		w.Header().Set("Connection", "close")
	}
	if lane := laneOf(r); lane != nil && !lane.begin(r, handler.isIdempotent(r), isLast) {
		panic(http.ErrAbortHandler)
	}
	if !handler.Dialect.ExactPaths() && strings.HasPrefix(r.URL.Path, rules.ReservedPrefix) {
		handler.serveDirectory(w, r)
		return
	}
	started := handler.Clock()
	if !handler.Entry.AdmitRequest() {
		handler.refuseUnread(w, r, retry.ReasonOverload)
		return
	}
	if !conn.hasRoom() {
		handler.refuseUnread(w, r, retry.ReasonConnections)
		return
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := handler.Tracer.Start(ctx, "caller")
	defer span.End()
	defer func() { handler.requests.Observe(handler.Clock().Sub(started)) }()
	handler.serveRouted(w, r.WithContext(ctx))
}

// isIdempotent reports whether a request has a route on which it may be repeated.
func (handler *Handler) isIdempotent(r *http.Request) bool {
	set, version := handler.Entry.Rules()
	if version == 0 {
		return false
	}
	route := handler.route(set, r)
	return route != nil && route.Idempotent(r.Method)
}

// route returns the route of a request, or nil.
func (handler *Handler) route(set *rules.Set, r *http.Request) *rules.Route {
	if handler.Dialect.ExactPaths() {
		return set.ExactRoute(r.Method, r.Host, sentPath(r))
	}
	return set.Route(r.Method, r.Host, r.URL.Path)
}

// sentPath returns the path of a request as its caller sent it.
func sentPath(r *http.Request) string {
	if path, _, _ := strings.Cut(r.RequestURI, "?"); strings.HasPrefix(path, "/") {
		return path
	}
	return r.URL.EscapedPath() // of an absolute URL
}

func (handler *Handler) serveDirectory(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != DirectoryPath {
		handler.answer(w, r, retry.Answer{ExecutionStatus: retry.NotRun, Reason: retry.ReasonNoRoute})
		return
	}
	query := r.URL.Query()
	directory := handler.Entry.Lookup(query.Get("service"), query.Get("failure-domain"), query.Get("region"))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	if err := json.NewEncoder(w).Encode(directory); err != nil {
		handler.Log.Debug("caller: cannot write the directory response", zap.Error(err))
	}
}

func (handler *Handler) serveRouted(w http.ResponseWriter, r *http.Request) {
	now := handler.Clock()
	// A request without a route is answered as such, even if its headers are invalid: infoErr is checked afterwards.
	info, infoErr := handler.Dialect.ParseRequest(now, r)
	set, version := handler.Entry.Rules()
	if version == 0 {
		handler.refuse(w, r, &info, retry.ReasonNoRules, now.Add(noRulesRetryDelay))
		return
	}
	route := handler.route(set, r)
	if route == nil {
		handler.refuse(w, r, &info, retry.ReasonNoRoute, time.Time{})
		return
	}
	if handler.Entry.IsStopping() {
		handler.refuse(w, r, &info, retry.ReasonStopping, now)
		return
	}
	if infoErr != nil {
		handler.refuse(w, r, &info, retry.ReasonBadRequest, time.Time{})
		return
	}
	if isClosed(set, route, &info) {
		handler.refuse(w, r, &info, retry.ReasonClosed, now.Add(closedRetryDelay))
		return
	}
	if !authorize(set, route, &info) {
		handler.refuse(w, r, &info, retry.ReasonKeyUnknown, time.Time{})
		return
	}
	timeout := now.Add(route.Timeout)
	callerDeadline := earlier(timeout, info.Deadline)
	info.Deadline = handler.answerDeadline(now, timeout, info.Deadline)
	if !now.Before(info.Deadline) {
		handler.refuse(w, r, &info, retry.ReasonDeadline, now.Add(overloadRetryDelay))
		return
	}
	if maxBytes := set.CallerLimits().MaxBodyBytes; maxBytes > 0 {
		if r.ContentLength > maxBytes {
			handler.refuse(w, r, &info, retry.ReasonBodyTooLarge, time.Time{})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	requestPriority := priority(set, route, info.Team)
	if !handler.admit(w, r, &info, requestPriority) {
		return
	}
	limits := handler.bodyLimits(info.Deadline, callerDeadline)
	body, err := readBody(w, r, limits)
	if err != nil {
		handler.returnQuota(info.Team)
		handler.refuse(w, r, &info, bodyRefusalReason(err), time.Time{})
		return
	}
	exchange := newExchange(handler, w, r, route, set.Service(route.PickService(handler.splitPoint(route))), info, body)
	exchange.bodyDeadline = limits.streamDeadline
	exchange.rulesVersion, exchange.keysRequired = version, set.KeysRequired()
	exchange.limitedTeam, exchange.priority = info.Team, requestPriority
	exchange.run()
}

// answerDeadline returns when this instance answers by itself: at the end of the route's timeout, or early enough for the answer to reach
// the caller before its deadline, if that is earlier. The caller has waited since it sent the request, which may be this instance's delay ago.
func (handler *Handler) answerDeadline(now, timeout, callerDeadline time.Time) time.Time {
	if callerDeadline.IsZero() {
		return timeout
	}
	roundTrip := min(callerRoundTrip, time.Duration(maxRoundTripShare*float64(callerDeadline.Sub(now))))
	return earlier(timeout, callerDeadline.Add(-roundTrip-handler.Entry.Delay()))
}

// bodyRefusalReason returns why a request is refused whose body could not be read.
func bodyRefusalReason(err error) retry.Reason {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return retry.ReasonBodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return retry.ReasonDeadline
	}
	return retry.ReasonBadRequest
}

// bodyLimits returns the limits of reading the request's body. The deadline of a stream is also that of a response's body.
func (handler *Handler) bodyLimits(deadline, callerDeadline time.Time) bodyLimits {
	limits := bodyLimits{deadline: deadline}
	if handler.Dialect.DeadlineCoversBody() {
		limits.streamDeadline = callerDeadline.Add(bodyGrace)
	} else {
		limits.pause = interactivePause
	}
	return limits
}

// refuse answers a request that was not sent to any backend server. Its log line has the further fields.
func (handler *Handler) refuse(w http.ResponseWriter, r *http.Request, info *dialect.RequestInfo, reason retry.Reason, retryAt time.Time, more ...zap.Field) {
	answer := retry.Answer{ExecutionStatus: retry.NotRun, Reason: reason, RetryAt: retryAt}
	handler.logRejected(r, info, answer, more...)
	handler.answer(w, r, answer)
}

// refuseUnread refuses a request that this instance has no room or time for, before it looks at it.
func (handler *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, reason retry.Reason) {
	if connectionOf(r).isOver() {
		w.Header().Set("Connection", "close")
	}
	now := handler.Clock()
	info, _ := handler.Dialect.ParseRequest(now, r)
	handler.refuse(w, r, &info, reason, now.Add(overloadRetryDelay), zap.Duration("delay", handler.Entry.Delay()))
}

// count increments a counter in the instance's metrics.
func (handler *Handler) count(name string) {
	metrics.GetOrRegisterCounter(name, handler.Metrics).Inc(1)
}

// earlier returns the earlier of two deadlines; a zero b means no deadline.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// splitPoint returns the point in [0, 1) that selects the service for the next request of a split route.
func (handler *Handler) splitPoint(route *rules.Route) float64 {
	if len(route.Split) == 0 {
		return 0
	}
	handler.randomMu.Lock()
	defer handler.randomMu.Unlock()
	key := route.Host + route.Prefix
	sequence := handler.splits[key]
	if sequence == nil {
		sequence = split.New(rand.Uint64())
		handler.splits[key] = sequence
	}
	return sequence.Next()
}

// withRandom calls f with the seeded random source while holding its lock.
func (handler *Handler) withRandom(f func(*rand.Rand)) {
	handler.randomMu.Lock()
	defer handler.randomMu.Unlock()
	f(handler.random)
}
