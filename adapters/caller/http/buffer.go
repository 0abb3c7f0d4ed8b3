package http

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/retry"
)

// Limits of response buffering for idempotent requests. While a response is buffered, a failure can still be retried at
// another server.
const (
	maxBufferedBody  = 1 << 20  // bytes of one response; larger ones are streamed
	maxBufferedTotal = 32 << 20 // bytes of all responses buffered at a time
)

var (
	errMismatched = errors.New("response belongs to another request")
	errUnsigned   = errors.New("response reports a success without the server's signature")
	errPromise    = errors.New("response promises that the request was not run, which the server does not state")
)

// bufferedBody is a response body that was read completely before forwarding.
type bufferedBody struct {
	bytes.Reader
	err error
}

// shouldBuffer reports whether a response is buffered before forwarding, and reserves the memory for it.
func (exchange *exchange) shouldBuffer(response *http.Response) bool {
	if !exchange.request.Idempotent || exchange.r.Method == http.MethodHead || response.ContentLength < 0 || response.ContentLength > maxBufferedBody {
		return false
	}
	if exchange.handler.bufferedTotal.Add(response.ContentLength) > maxBufferedTotal {
		exchange.handler.bufferedTotal.Add(-response.ContentLength)
		return false
	}
	exchange.bufferedBytes += response.ContentLength
	return true
}

// bufferBody reads a response body and posts it as an event. It runs in its own goroutine.
func (exchange *exchange) bufferBody(a *attempt) {
	buffered := &bufferedBody{}
	body := make([]byte, a.response.ContentLength)
	if _, err := io.ReadFull(a.response.Body, body); err != nil {
		buffered.err = fmt.Errorf("response body is truncated: %w", err)
	}
	// The transport reuses the connection only if the body is read up to io.EOF.
	if n, err := a.response.Body.Read(make([]byte, 1)); buffered.err == nil && (n != 0 || err != io.EOF) {
		buffered.err = fmt.Errorf("response body does not end at its Content-Length: %w", err)
	}
	buffered.Reset(body)
	exchange.post(event{attempt: a, buffered: buffered})
}

// handleBuffered handles a buffered body: it delivers the response, or retries if the body is truncated or the status is
// a server error.
func (exchange *exchange) handleBuffered(a *attempt, buffered *bufferedBody) bool {
	_ = a.response.Body.Close()
	if buffered.err != nil {
		exchange.logFailed(a, pool.Truncated, buffered.err)
		exchange.close(a, pool.Truncated)
		return exchange.retryOrFinish(retry.Failure{Wrote: true, Replayable: exchange.body.replayable()})
	}
	a.buffered = buffered
	if !backend.IsServerError(a.response.StatusCode) {
		return exchange.deliver(a)
	}
	exchange.logFailed(a, pool.ServerError, nil)
	exchange.close(a, pool.ServerError)
	exchange.keepFallback(a, true)
	return exchange.retryOrFinish(retry.Failure{Wrote: true, Replayable: exchange.body.replayable()})
}
