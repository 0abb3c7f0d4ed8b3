package http

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/retry"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// Copying of answers.
const (
	copyBytes  = 32 << 10
	writeStall = 2 * time.Minute // a caller that takes nothing for so long is given up
	// leastFlow is the rate of bytes per second below which a body counts as stalled, while its server is waited for. The slowest
	// honest links bring some thousand.
	leastFlow = 64
)

// Bounds of a body whose length the server does not tell: it may never end. They are far beyond the largest exports.
const (
	untoldMost = 1 << 30 // bytes
	untoldTime = 10 * time.Minute
)

var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

var (
	errStalled     = errors.New("the answer's body stalled")
	errEndless     = errors.New("the answer's body has no told length and does not end")
	errCaller      = errors.New("the caller stopped taking the answer")
	errNotResumed  = errors.New("the answer could not be resumed")
	errNoMoreTries = errors.New("no attempts are left")
)

// forward passes a backend server's answer on, whole or visibly broken.
func (exchange *exchange) forward(a *attempt) {
	response := a.response
	exchange.handler.copyHeader(exchange.w.Header(), response.Header)
	announceTrailers(exchange.w.Header(), response)
	exchange.w.WriteHeader(response.StatusCode)
	download := &download{exchange: exchange, attempt: a, flushAlways: response.ContentLength < 0}
	if download.flushAlways {
		// The caller may wait for the header before it goes on; a failure shows at the first write.
		_ = http.NewResponseController(exchange.w).Flush()
	}
	err := download.run()
	if err != nil {
		exchange.logBrokenOff(download.attempt, err)
		// The connection is cut, so that the caller sees that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	copyTrailers(exchange.w.Header(), download.attempt.response)
}

// passOn passes on the refusal of a backend server whose grant has ended. The server speaks for its own attempt only: what
// is told of the request is the truth over all attempts.
func (exchange *exchange) passOn(a *attempt, truth retry.ExecutionStatus) {
	defer a.cancel()
	defer a.response.Body.Close()
	exchange.logPassedOn(a, truth)
	exchange.handler.copyHeader(exchange.w.Header(), a.response.Header)
	if a.said.Refused {
		exchange.w.Header().Set(dialect.OutcomeHeader, string(truth))
	}
	exchange.w.WriteHeader(a.response.StatusCode)
	download := &download{exchange: exchange, attempt: a}
	if err := download.copy(); err != nil {
		exchange.logBrokenOff(a, err)
		panic(http.ErrAbortHandler)
	}
}

func announceTrailers(header http.Header, response *http.Response) {
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
}

func copyTrailers(header http.Header, response *http.Response) {
	for name, values := range response.Trailer {
		for _, value := range values {
			header.Add(http.TrailerPrefix+name, value)
		}
	}
}

// download copies an answer's body, resuming it from another server where that is safe.
type download struct {
	exchange    *exchange
	attempt     *attempt
	offset      int64 // bytes passed on
	flushAlways bool
	flow        flow
	endBy       time.Time // for a body of untold length
}

// flow measures how fast a server sends a body; the time in which the caller takes it does not count.
type flow struct {
	waited time.Duration
	bytes  int64
}

// read takes in one read, and reports whether the body has stalled over a time.
func (flow *flow) read(waited, over time.Duration, bytes int) (stalled bool) {
	flow.waited += waited
	flow.bytes += int64(bytes)
	if flow.waited < over {
		return false
	}
	stalled = float64(flow.bytes) < leastFlow*flow.waited.Seconds()
	flow.waited, flow.bytes = 0, 0
	return stalled
}

// run copies the body to its end and reports each attempt's outcome.
func (download *download) run() error {
	exchange := download.exchange
	first := download.attempt.response
	for {
		err := download.copy()
		download.done(err)
		if err == nil || errors.Is(err, errCaller) {
			return err
		}
		if resumeErr := download.resume(first); resumeErr != nil {
			return fmt.Errorf("%w; %w", err, resumeErr)
		}
		exchange.explain("request: its answer goes on from another backend server", zap.String("backend-server", download.attempt.grant.Server), zap.Int64("offset", download.offset), zap.Error(err))
	}
}

// done reports the outcome of the present attempt.
func (download *download) done(err error) {
	a := download.attempt
	report := pool.Report{Reused: a.progress.Reused(), Leaving: a.said.Leaving}
	switch {
	case errors.Is(err, errCaller) || download.exchange.r.Context().Err() != nil:
		report.Outcome = pool.Canceled
	case errors.Is(err, errStalled):
		report.Outcome = pool.Stalled
	case err != nil:
		report.Outcome = pool.Truncated
	case backend.IsServerError(a.response.StatusCode):
		report.Outcome = pool.ServerError
	default:
		report.Outcome = pool.Answered
		report.FirstByte = a.firstByte
	}
	_ = a.response.Body.Close()
	a.cancel()
	a.grant.Done(report)
}

// copy copies the present attempt's body.
func (download *download) copy() error {
	buffer := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buffer)
	control := http.NewResponseController(download.exchange.w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	for {
		n, readErr := download.read(buffer[:])
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(writeStall))
			if _, err := download.exchange.w.Write(buffer[:n]); err != nil {
				return fmt.Errorf("%w: %w", errCaller, err)
			}
			download.offset += int64(n)
			if download.flushAlways && control.Flush() != nil {
				return errCaller
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// read reads once; silence for longer than the service's stall ends the attempt, and so does a trickle for as long.
func (download *download) read(buffer []byte) (int, error) {
	a := download.attempt
	if a.response.ContentLength < 0 {
		if download.endBy.IsZero() {
			download.endBy = time.Now().Add(untoldTime)
		}
		if download.offset > untoldMost || time.Now().After(download.endBy) {
			return 0, errEndless
		}
	}
	began := time.Now()
	stalled := make(chan struct{})
	timer := time.AfterFunc(download.exchange.service.StallTimeout, func() {
		close(stalled)
		a.cancel()
	})
	if a.held != nil {
		timer.Stop()
		return a.held.Read(buffer)
	}
	n, err := a.response.Body.Read(buffer)
	if err == nil && download.flow.read(time.Since(began), download.exchange.service.StallTimeout, n) {
		timer.Stop()
		a.cancel()
		return n, errStalled
	}
	if !timer.Stop() && err != nil && err != io.EOF {
		<-stalled
		return n, errStalled
	}
	return n, err
}

// resume continues a broken download from another server, if it is one that surely has the same content.
func (download *download) resume(first *http.Response) error {
	exchange := download.exchange
	etag := first.Header.Get("ETag")
	resumable := exchange.r.Method == http.MethodGet && exchange.request.Idempotent && first.StatusCode == http.StatusOK &&
		strings.HasPrefix(etag, `"`) && exchange.r.Header.Get("Range") == "" && exchange.r.Context().Err() == nil
	if !resumable {
		return errNotResumed
	}
	for exchange.request.Number() < exchange.request.MaxAttempts {
		if download.resumeOnce(first, etag) {
			return nil
		}
	}
	return errNoMoreTries
}

// resumeOnce tries one more server.
func (download *download) resumeOnce(first *http.Response, etag string) bool {
	exchange := download.exchange
	now := exchange.now()
	action := exchange.request.Resume(now, now.Add(exchange.route.Timeout))
	ask := pool.Ask{
		Attempt: exchange.handler.nextAttempt(), Team: exchange.terms.Team, Idempotent: true, Number: exchange.request.Number(),
		Exclude: exchange.request.TriedServers(), Deadline: action.At, Fingerprint: exchange.fingerprint,
	}
	grant, _ := exchange.handler.Entry.AcquireAny(exchange.ctx, exchange.slice, ask)
	if grant == nil {
		return false
	}
	exchange.request.Granted(grant.Server)
	a, err := exchange.sendRange(grant, ask.Attempt, download.offset, etag, action.At)
	if err != nil {
		grant.Done(pool.Report{Outcome: pool.Reset})
		return false
	}
	if !continues(first, a.response, download.offset, etag) {
		_ = a.response.Body.Close()
		a.cancel()
		grant.Done(pool.Report{Outcome: pool.Canceled})
		return false
	}
	download.attempt = a
	return true
}

// sendRange asks a server for the rest of the content.
func (exchange *exchange) sendRange(grant *entry.Grant, id uint64, offset int64, etag string, deadline time.Time) (*attempt, error) {
	ctx, cancel := context.WithCancel(exchange.ctx)
	a := &attempt{id: id, grant: grant, cancel: cancel, sentAt: exchange.now()}
	timer := time.AfterFunc(deadline.Sub(exchange.now()), cancel)
	defer timer.Stop()
	out := exchange.outgoing(ctx, grant)
	out.Header.Set("Range", "bytes="+strconv.FormatInt(offset, 10)+"-")
	out.Header.Set("If-Range", etag)
	response, err := exchange.handler.Backend.Send(out, backend.Options{Address: grant.Address, Fresh: true}, &a.progress)
	if err != nil {
		cancel()
		return nil, err
	}
	a.response, a.firstByte = response, exchange.now().Sub(a.sentAt)
	exchange.hear(a)
	return a, nil
}

// continues reports whether an answer is the rest of the first one.
func continues(first, rest *http.Response, offset int64, etag string) bool {
	if rest.StatusCode != http.StatusPartialContent || rest.Header.Get("ETag") != etag {
		return false
	}
	if rest.Header.Get("Content-Encoding") != first.Header.Get("Content-Encoding") {
		return false
	}
	var from, to, total int64
	if _, err := fmt.Sscanf(rest.Header.Get("Content-Range"), "bytes %d-%d/%d", &from, &to, &total); err != nil {
		return false
	}
	if from != offset || to != total-1 {
		return false
	}
	return first.ContentLength < 0 || first.ContentLength == total
}
