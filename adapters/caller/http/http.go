// Package http serves callers over HTTP: the directory, and requests passed on to backend servers.
package http

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
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

// DirectoryPath answers which addresses to use: ?service=NAME[&failure-domain=NAME][&region=NAME].
const DirectoryPath = "/.sequoiaspan/directory"

// ownPrefix is kept from routes.
const ownPrefix = "/.sequoiaspan/"

// noRulesRetry is when callers may come back while no rules are in force; an instance that starts has them by then.
const noRulesRetry = time.Second

// Sender sends one attempt to a backend server.
type Sender interface {
	Send(request *http.Request, options backend.Options, progress *backend.Progress) (*http.Response, error)
}

// Handler serves callers; its fields are set before use.
type Handler struct {
	Entry   *entry.Entry
	Backend Sender
	Log     *zap.Logger
	Metrics metrics.Registry
	Tracer  trace.Tracer
	Dialect dialect.Dialect // nil for sequoiaspan's own
	Clock   func() time.Time
	Seed    uint64 // of backoff jitter

	attempts atomic.Uint64 // attempt numbers, unique with the base
	base     uint64
	randomMu sync.Mutex
	random   *rand.Rand
	splits   map[string]*split.Sequence // by host and prefix of a split route
	held     atomic.Int64               // bytes of answers that are held
	once     sync.Once

	logBudget                   logBudget
	requests, waits, firstBytes *latency.Histogram
}

func (handler *Handler) init() {
	if handler.Dialect == nil {
		handler.Dialect = dialect.Native{}
	}
	handler.splits = map[string]*split.Sequence{}
	handler.random = rand.New(rand.NewPCG(handler.Seed, handler.Seed))
	// The upper half tells entries and their runs apart, the lower half counts.
	handler.base = rand.Uint64() << 32
	handler.requests = latency.GetOrRegisterHistogram("caller.requests", handler.Metrics)
	handler.waits = latency.GetOrRegisterHistogram("grant.waits", handler.Metrics)
	handler.firstBytes = latency.GetOrRegisterHistogram("backend.first-bytes", handler.Metrics)
}

func (handler *Handler) nextAttempt() uint64 {
	return handler.base + handler.attempts.Add(1)
}

// ServeHTTP answers one caller's request.
func (handler *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler.once.Do(handler.init)
	if handler.Entry.IsLeaving() {
		w.Header().Set("Connection", "close")
	}
	if len(r.URL.Path) >= len(ownPrefix) && r.URL.Path[:len(ownPrefix)] == ownPrefix {
		handler.serveOwn(w, r)
		return
	}
	started := handler.Clock()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := handler.Tracer.Start(ctx, "caller")
	defer span.End()
	handler.serveRouted(w, r.WithContext(ctx))
	handler.requests.Observe(handler.Clock().Sub(started))
}

func (handler *Handler) serveOwn(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != DirectoryPath {
		handler.answer(w, r, retry.Answer{ExecutionStatus: retry.NotRun, Reason: retry.ReasonNoRoute})
		return
	}
	query := r.URL.Query()
	directory := handler.Entry.Lookup(query.Get("service"), query.Get("failure-domain"), query.Get("region"))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	if err := json.NewEncoder(w).Encode(directory); err != nil {
		handler.Log.Debug("caller: a directory answer was not taken", zap.Error(err))
	}
}

func (handler *Handler) serveRouted(w http.ResponseWriter, r *http.Request) {
	now := handler.Clock()
	// What is wrong with the terms is told once the request has a route.
	terms, termsErr := handler.Dialect.ParseRequest(now, r)
	set, version := handler.Entry.Rules()
	if version == 0 {
		handler.refuse(w, r, &terms, retry.ReasonNoRules, now.Add(noRulesRetry))
		return
	}
	route := set.Route(r.Method, r.Host, r.URL.Path)
	if route == nil {
		handler.refuse(w, r, &terms, retry.ReasonNoRoute, time.Time{})
		return
	}
	if handler.Entry.IsStopping() {
		handler.refuse(w, r, &terms, retry.ReasonStopping, now)
		return
	}
	if termsErr != nil {
		handler.refuse(w, r, &terms, retry.ReasonBadRequest, time.Time{})
		return
	}
	terms.Deadline = earlier(now.Add(route.Timeout), terms.Deadline)
	if retryAt, admitted := handler.Entry.Admit(r.Context(), terms.Team); !admitted {
		handler.refuse(w, r, &terms, retry.ReasonRateLimit, retryAt)
		return
	}
	if most := set.CallerLimits().MaxBodyBytes; most > 0 {
		if r.ContentLength > most {
			handler.refuse(w, r, &terms, retry.ReasonBodyTooLarge, time.Time{})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, most)
	}
	body, err := readBody(w, r)
	if err != nil {
		handler.refuse(w, r, &terms, retry.ReasonBadRequest, time.Time{})
		return
	}
	service := set.Service(route.PickService(handler.point(route)))
	newExchange(handler, w, r, route, service, terms, body).run()
}

// refuse answers a request of which nothing was sent to a backend server.
func (handler *Handler) refuse(w http.ResponseWriter, r *http.Request, terms *dialect.RequestInfo, reason retry.Reason, retryAt time.Time) {
	answer := retry.Answer{ExecutionStatus: retry.NotRun, Reason: reason, RetryAt: retryAt}
	handler.logTurnedAway(r, terms, answer)
	handler.answer(w, r, answer)
}

// count adds to a counter of the instance's metrics.
func (handler *Handler) count(name string) {
	metrics.GetOrRegisterCounter(name, handler.Metrics).Inc(1)
}

// earlier returns the earlier of two deadlines, of which the second may be zero for none.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// point returns where the next request of a split route falls between its services.
func (handler *Handler) point(route *rules.Route) float64 {
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

// backoff calls f with the seeded random source.
func (handler *Handler) withRandom(f func(*rand.Rand)) {
	handler.randomMu.Lock()
	defer handler.randomMu.Unlock()
	f(handler.random)
}
