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
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// DirectoryPath answers which addresses to use: ?service=NAME[&failure-domain=NAME][&region=NAME].
const DirectoryPath = "/.sequoiaspan/directory"

// ownPrefix is kept from routes.
const ownPrefix = "/.sequoiaspan/"

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
	Clock   func() time.Time
	Seed    uint64 // of backoff jitter

	attempts atomic.Uint64 // attempt numbers, unique with the base
	base     uint64
	randomMu sync.Mutex
	random   *rand.Rand
	once     sync.Once
}

func (handler *Handler) init() {
	handler.random = rand.New(rand.NewPCG(handler.Seed, handler.Seed))
	// The upper half tells entries and their runs apart, the lower half counts.
	handler.base = rand.Uint64() << 32
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
	metrics.GetOrRegisterTimer("caller.requests", handler.Metrics).UpdateSince(started)
}

func (handler *Handler) serveOwn(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != DirectoryPath {
		handler.answer(w, r, retry.Answer{Truth: retry.NotRun, Reason: retry.ReasonNoRoute})
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
	set, _ := handler.Entry.Rules()
	route := set.Route(r.Method, r.URL.Path)
	if route == nil {
		reason := retry.ReasonNoRoute
		answer := retry.Answer{Truth: retry.NotRun, Reason: reason}
		if set.Len() == 0 {
			answer = retry.Answer{Truth: retry.NotRun, Reason: retry.ReasonNoServer, RetryAt: handler.Clock().Add(time.Second)}
		}
		handler.answer(w, r, answer)
		return
	}
	deadline, err := handler.deadline(r, route)
	if err != nil {
		handler.answer(w, r, retry.Answer{Truth: retry.NotRun, Reason: retry.ReasonBadRequest})
		return
	}
	if retryAt, admitted := handler.Entry.Admit(r.Context(), r.Header.Get(backend.TeamHeader)); !admitted {
		handler.answer(w, r, retry.Answer{Truth: retry.NotRun, Reason: retry.ReasonLimit, RetryAt: retryAt})
		return
	}
	body, err := readBody(w, r, deadline)
	if err != nil {
		handler.answer(w, r, retry.Answer{Truth: retry.NotRun, Reason: retry.ReasonBadRequest})
		return
	}
	newExchange(handler, w, r, route, set.Service(route.Service), deadline, body).run()
}

// deadline returns the earlier of the route's deadline and the caller's.
func (handler *Handler) deadline(r *http.Request, route *rules.Route) (time.Time, error) {
	deadline := handler.Clock().Add(route.Deadline)
	text := r.Header.Get(backend.DeadlineHeader)
	if text == "" {
		return deadline, nil
	}
	callers, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, err
	}
	if callers.Before(deadline) {
		return callers, nil
	}
	return deadline, nil
}

// backoff calls f with the seeded random source.
func (handler *Handler) withRandom(f func(*rand.Rand)) {
	handler.randomMu.Lock()
	defer handler.randomMu.Unlock()
	f(handler.random)
}
