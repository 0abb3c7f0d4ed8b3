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

// Holding of answers to idempotent requests: until an answer is whole, another server can still give it.
const (
	maxBufferedBody  = 1 << 20  // bytes of one answer; larger ones are passed on as they come
	maxBufferedTotal = 32 << 20 // bytes of all answers buffered at a time
)

var errMismatched = errors.New("the answer belongs to another request")

// bufferedBody is an answer's body that was read before the answer is passed on.
type bufferedBody struct {
	bytes.Reader
	err error
}

// shouldBuffer reports whether an answer is read whole before it is passed on.
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

// bufferBody reads an answer's body in the background.
func (exchange *exchange) bufferBody(a *attempt) {
	buffered := &bufferedBody{}
	body := make([]byte, a.response.ContentLength)
	if _, err := io.ReadFull(a.response.Body, body); err != nil {
		buffered.err = fmt.Errorf("the answer's body broke off: %w", err)
	}
	// Reading to the end lets the transport keep the connection.
	if n, err := a.response.Body.Read(make([]byte, 1)); buffered.err == nil && (n != 0 || err != io.EOF) {
		buffered.err = fmt.Errorf("the answer's body did not end: %w", err)
	}
	buffered.Reset(body)
	exchange.post(event{attempt: a, buffered: buffered})
}

// handleBuffered follows the end of an answer's body.
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
