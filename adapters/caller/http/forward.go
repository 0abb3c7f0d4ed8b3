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
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// Limits of copying a response body to the caller.
const (
	copyBufferBytes    = 32 << 10
	callerWriteTimeout = 2 * time.Minute // per write; a caller that accepts no bytes for this long is disconnected
	// minBytesPerSecond is the rate below which a body counts as stalled, measured over the time spent waiting for the
	// server. The slowest legitimate links reach some thousand bytes per second.
	minBytesPerSecond = 64
	// bodyGrace is how much longer than its deadline a response may take whose header has arrived, so that a caller gets one that is
	// about to be complete.
	bodyGrace = 200 * time.Millisecond
)

// Limits of a body without Content-Length, which may never end. They are far above the largest exports.
const (
	maxUnsizedBytes    = 1 << 30 // bytes
	maxUnsizedDuration = 10 * time.Minute
)

var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

var (
	errStalled        = errors.New("response body stalled")
	errUnbounded      = errors.New("response body without a length exceeds its size limit")
	errBodyDeadline   = errors.New("response body has not ended by its deadline")
	errCallerWrite    = errors.New("caller stopped reading the response")
	errNotResumable   = errors.New("response cannot be resumed")
	errNoAttemptsLeft = errors.New("no attempts left")
)

// forward copies a backend server's response to the caller. If the body fails, it aborts the connection.
func (exchange *exchange) forward(a *attempt) {
	response := a.response
	exchange.handler.copyHeader(exchange.w.Header(), response.Header)
	exchange.closeUnlessRead()
	announceTrailers(exchange.w.Header(), response)
	exchange.w.WriteHeader(response.StatusCode)
	download := exchange.newDownload(a)
	download.flushAlways = response.ContentLength < 0
	if download.flushAlways {
		// The caller may wait for the header before it sends more. A failed flush shows up at the first write.
		_ = http.NewResponseController(exchange.w).Flush()
	}
	err := download.run()
	if err != nil {
		exchange.logAborted(download.attempt, err)
		exchange.breakOff()
	}
	copyTrailers(exchange.w.Header(), download.attempt.response)
}

// forwardFallback forwards the failure response of a backend server whose grant has ended. A refusal reports the outcome
// of its own attempt only, so its outcome header is replaced by the execution status over all attempts.
func (exchange *exchange) forwardFallback(a *attempt, executionStatus retry.ExecutionStatus) {
	defer a.cancel()
	defer a.response.Body.Close()
	exchange.logForwardedFailure(a, executionStatus)
	exchange.handler.copyHeader(exchange.w.Header(), a.response.Header)
	exchange.closeUnlessRead()
	if a.responseInfo.Refused {
		exchange.w.Header().Set(dialect.OutcomeHeader, string(executionStatus))
	}
	exchange.w.WriteHeader(a.response.StatusCode)
	if err := exchange.newDownload(a).copy(); err != nil {
		exchange.logAborted(a, err)
		exchange.breakOff()
	}
}

// breakOff ends the exchange and the caller's connection, so that the caller detects that the response is incomplete. A caller of HTTP/1.0 knows no
// chunks: it takes the end of the connection for that of the response, unless it is a reset.
func (exchange *exchange) breakOff() {
	if !exchange.r.ProtoAtLeast(1, 1) {
		connectionOf(exchange.r).resetOnClose()
	}
	panic(http.ErrAbortHandler)
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

// download copies a response body to the caller and resumes it from another server where that is safe.
type download struct {
	exchange    *exchange
	attempt     *attempt
	offset      int64 // bytes forwarded
	flushAlways bool
	throughput  throughput
	deadline    time.Time // for the last byte that is read from a server, zero for none
}

func (exchange *exchange) newDownload(a *attempt) *download {
	download := &download{exchange: exchange, attempt: a}
	if a.buffered != nil {
		return download // delivered however slowly the caller reads it
	}
	download.deadline = exchange.bodyDeadline
	if a.response.ContentLength < 0 {
		download.deadline = earlier(time.Now().Add(maxUnsizedDuration), download.deadline)
	}
	return download
}

// throughput measures how fast a server sends a body. Time spent writing to the caller is excluded.
type throughput struct {
	waited time.Duration
	bytes  int64
}

// read records one read. Once the reads have waited for the duration over in total, it reports whether the rate was
// below minBytesPerSecond and starts a new measurement.
func (throughput *throughput) read(waited, over time.Duration, bytes int) (stalled bool) {
	throughput.waited += waited
	throughput.bytes += int64(bytes)
	if throughput.waited < over {
		return false
	}
	stalled = float64(throughput.bytes) < minBytesPerSecond*throughput.waited.Seconds()
	throughput.waited, throughput.bytes = 0, 0
	return stalled
}

// run copies the body to its end, resuming it if necessary, and reports each attempt's outcome.
func (download *download) run() error {
	exchange := download.exchange
	first := download.attempt.response
	if download.attempt.buffered != nil {
		// The caller may read slowly, or not before it has earlier responses. The slot is not held meanwhile.
		download.finishAttempt(nil)
		return download.copy()
	}
	for {
		err := download.copy()
		download.finishAttempt(err)
		if err == nil || errors.Is(err, errCallerWrite) {
			return err
		}
		if resumeErr := download.resume(first); resumeErr != nil {
			return fmt.Errorf("%w; %w", err, resumeErr)
		}
		exchange.logDecision("request: response resumed from another backend server", zap.String("backend-server", download.attempt.grant.Server), zap.Int64("offset", download.offset), zap.Error(err))
	}
}

// finishAttempt closes the current attempt and reports its outcome.
func (download *download) finishAttempt(err error) {
	a := download.attempt
	report := pool.Report{Reused: a.progress.Reused(), Leaving: a.responseInfo.Leaving}
	switch {
	case errors.Is(err, errCallerWrite) || download.exchange.r.Context().Err() != nil:
		report.Outcome = pool.Canceled
	case errors.Is(err, errStalled) || errors.Is(err, errBodyDeadline):
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

// copy copies the current attempt's body to the caller.
func (download *download) copy() error {
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	control := http.NewResponseController(download.exchange.w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if !download.deadline.IsZero() {
		defer time.AfterFunc(time.Until(download.deadline), download.attempt.cancel).Stop()
	}
	for {
		n, readErr := download.read(buffer[:])
		if n > 0 {
			_ = control.SetWriteDeadline(download.writeDeadline(n))
			if _, err := download.exchange.w.Write(buffer[:n]); err != nil {
				return fmt.Errorf("%w: %w", errCallerWrite, err)
			}
			download.offset += int64(n)
			if download.flushAlways && control.Flush() != nil {
				return errCallerWrite
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

// writeDeadline returns the deadline for writing the next n bytes to the caller.
func (download *download) writeDeadline(n int) time.Time {
	deadline := time.Now().Add(callerWriteTimeout)
	isLast := download.offset+int64(n) == download.attempt.response.ContentLength
	if isLast {
		return deadline
	}
	return earlier(deadline, download.deadline)
}

// read reads once from the body. It cancels the attempt if no byte arrives within the service's StallTimeout, or if the rate over
// that time is below minBytesPerSecond.
func (download *download) read(buffer []byte) (int, error) {
	a := download.attempt
	if a.buffered != nil {
		return a.buffered.Read(buffer)
	}
	if a.response.ContentLength < 0 && download.offset > maxUnsizedBytes {
		return 0, errUnbounded
	}
	startedAt := time.Now()
	if !download.deadline.IsZero() && !startedAt.Before(download.deadline) {
		return 0, errBodyDeadline
	}
	stalled := make(chan struct{})
	silence := wait.OnSilence(startedAt.Add(download.exchange.service.StallTimeout), download.exchange.handler.Entry, func() {
		close(stalled)
		a.cancel()
	})
	n, err := a.response.Body.Read(buffer)
	silence.Stop()
	if err != nil && err != io.EOF && !download.deadline.IsZero() && !time.Now().Before(download.deadline) {
		return n, errBodyDeadline
	}
	if err == nil && download.throughput.read(time.Since(startedAt), download.exchange.service.StallTimeout, n) {
		a.cancel()
		return n, errStalled
	}
	select {
	case <-stalled:
		if err != nil && err != io.EOF {
			return n, errStalled
		}
	default:
	}
	return n, err
}

// resume continues a failed download from another server. It requires a strong ETag, which identifies the same content
// on another server.
func (download *download) resume(first *http.Response) error {
	exchange := download.exchange
	etag := first.Header.Get("ETag")
	resumable := exchange.r.Method == http.MethodGet && exchange.request.Idempotent && first.StatusCode == http.StatusOK &&
		strings.HasPrefix(etag, `"`) && exchange.r.Header.Get("Range") == "" && exchange.r.Context().Err() == nil &&
		(exchange.bodyDeadline.IsZero() || exchange.now().Before(exchange.bodyDeadline))
	if !resumable {
		return errNotResumable
	}
	for exchange.request.Number() < exchange.request.MaxAttempts {
		if download.resumeOnce(first, etag) {
			return nil
		}
	}
	return errNoAttemptsLeft
}

// resumeOnce requests the rest from one more server and reports whether it succeeded.
func (download *download) resumeOnce(first *http.Response, etag string) bool {
	exchange := download.exchange
	now := exchange.now()
	action := exchange.request.Resume(now, earlier(now.Add(exchange.route.Timeout), exchange.bodyDeadline))
	ask := pool.Ask{
		Attempt: exchange.handler.nextAttempt(), Team: exchange.info.Team, Idempotent: true, Number: exchange.request.Number(),
		Exclude: exchange.request.TriedServers(), Deadline: action.At, Fingerprint: exchange.fingerprint,
	}
	grant, _ := exchange.handler.Entry.AcquireAny(exchange.ctx, exchange.slice, ask)
	if grant == nil {
		return false
	}
	exchange.grants = append(exchange.grants, grant)
	exchange.request.Granted(grant.Server)
	if exchange.denial() != "" {
		grant.Done(pool.Report{Outcome: pool.Unused})
		return false
	}
	a, err := exchange.sendRange(grant, ask.Attempt, download.offset, etag, action.At)
	if err != nil {
		grant.Done(pool.Report{Outcome: pool.Reset})
		return false
	}
	length, isContinuation := continuationLength(first, a.response, download.offset, etag)
	if foreignError(a.responseInfo) != nil || !isContinuation {
		_ = a.response.Body.Close()
		a.cancel()
		grant.Done(pool.Report{Outcome: pool.Canceled})
		return false
	}
	a.response.Body = &rangeBody{ReadCloser: a.response.Body, left: length}
	download.attempt = a
	return true
}

// sendRange requests the content from offset on, on condition that its ETag is unchanged. The deadline applies until the
// response header arrives.
func (exchange *exchange) sendRange(grant *entry.Grant, id uint64, offset int64, etag string, deadline time.Time) (*attempt, error) {
	ctx, cancel := context.WithCancel(exchange.ctx)
	a := &attempt{id: id, grant: grant, cancel: cancel, sentAt: exchange.now()}
	timer := time.AfterFunc(deadline.Sub(exchange.now()), cancel)
	defer timer.Stop()
	out := exchange.outgoingRequest(ctx, grant)
	out.Header.Set("Range", "bytes="+strconv.FormatInt(offset, 10)+"-")
	out.Header.Set("If-Range", etag)
	response, err := exchange.handler.Backend.Send(out, backend.Options{Address: grant.Address, Fresh: true}, &a.progress)
	if err != nil {
		cancel()
		return nil, err
	}
	a.response, a.firstByte = response, exchange.now().Sub(a.sentAt)
	exchange.recordResponseInfo(a)
	return a, nil
}
