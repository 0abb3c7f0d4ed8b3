package http

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// slowBody returns up to part bytes after each pause, until its length is reached or the attempt is canceled.
type slowBody struct {
	ctx    context.Context
	part   int // bytes
	pause  time.Duration
	length int64 // bytes, -1 for an endless body
	sent   int64
}

func (body *slowBody) Read(p []byte) (int, error) {
	wait.For(body.ctx, body.pause)
	if body.ctx.Err() != nil {
		return 0, context.Cause(body.ctx)
	}
	if body.length >= 0 && body.sent >= body.length {
		return 0, io.EOF
	}
	n := min(len(p), body.part)
	if body.length >= 0 {
		n = min(n, int(body.length-body.sent))
	}
	body.sent += int64(n)
	return n, nil
}

func (body *slowBody) Close() error { return nil }

// countingWriter is an http.ResponseWriter that counts the bytes of the body.
type countingWriter struct {
	header http.Header
	bytes  int64
}

func (countingWriter *countingWriter) Header() http.Header { return countingWriter.header }

func (countingWriter *countingWriter) WriteHeader(int) {}

func (countingWriter *countingWriter) Write(p []byte) (int, error) {
	countingWriter.bytes += int64(len(p))
	return len(p), nil
}

// Flush does nothing, since there is no buffer.
func (countingWriter *countingWriter) Flush() {}

// TestForwardsBodiesWithoutEnd forwards slow and endless bodies. A body that trickles, or that exceeds the limits of a body
// without Content-Length, must be aborted visibly for the caller. A legitimate body on a slow link must not be aborted.
func TestForwardsBodiesWithoutEnd(t *testing.T) {
	const stall = 30 * time.Second // set by the rules below
	for name, c := range map[string]struct {
		body        slowBody
		length      int64 // Content-Length, -1 if unknown
		whole       bool
		maxDuration time.Duration
	}{
		"trickle":           {slowBody{part: 1, pause: time.Second, length: -1}, -1, false, 2 * stall},
		"trickle of a told": {slowBody{part: 1, pause: time.Second, length: 1 << 20}, 1 << 20, false, 2 * stall},
		"no end":            {slowBody{part: 1 << 10, pause: time.Second, length: -1}, -1, false, maxUnsizedDuration + stall},
		"no end, fast":      {slowBody{part: 32 << 10, length: -1, pause: time.Millisecond}, -1, false, maxUnsizedDuration},
		"slow link":         {slowBody{part: 1400, pause: time.Second, length: 2 << 20}, 2 << 20, true, time.Hour},
		"untold, slow link": {slowBody{part: 1400, pause: time.Second, length: 300 << 10}, -1, true, maxUnsizedDuration},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handler := newTestHandler(func(request *http.Request, progress *backend.Progress) (*http.Response, error) {
					progress.SetConnected(false)
					body := c.body
					body.ctx = request.Context()
					return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: c.length, Body: &body}, nil
				})
				handler.Entry.ApplyRules(2, fmt.Sprintf("service payouts stall=%s # asked by: test\nroute /exports service=payouts repeatable=no deadline=10s # asked by: test\n", stall))
				caller := &countingWriter{header: http.Header{}}
				started, whole := time.Now(), true
				func() {
					defer func() {
						if reason := recover(); reason != nil {
							must.Eq(t, any(http.ErrAbortHandler), reason)
							whole = false
						}
					}()
					handler.ServeHTTP(caller, httptest.NewRequest(http.MethodPost, "/exports", nil))
				}()
				must.Eq(t, c.whole, whole)
				must.LessEq(t, c.maxDuration, time.Since(started))
				must.LessEq(t, maxUnsizedBytes+copyBufferBytes, caller.bytes)
				if whole {
					must.Eq(t, c.body.length, caller.bytes)
				}
			})
		})
	}
}

// TestOwnDelayBreaksNoBodyOff guards against an overloaded instance that breaks bodies off whose bytes wait for it.
func TestOwnDelayBreaksNoBodyOff(t *testing.T) {
	const stall = time.Second
	for name, whole := range map[string]bool{"on time": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := &slowBody{part: 1 << 10, pause: 3 * stall / 2, length: 2 << 10}
				handler := newTestHandler(func(request *http.Request, progress *backend.Progress) (*http.Response, error) {
					progress.SetConnected(false)
					body.ctx = request.Context()
					return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: body.length, Body: body}, nil
				})
				handler.Entry.ApplyRules(2, fmt.Sprintf("service payouts stall=%s # asked by: test\nroute /exports service=payouts repeatable=no deadline=10s # asked by: test\n", stall))
				if whole {
					handler.Entry.RecordDelay(time.Now(), 0, stall)
				}
				caller := &countingWriter{header: http.Header{}}
				defer func() {
					must.Eq(t, whole, recover() == nil)
					must.Eq(t, whole, caller.bytes == body.length)
				}()
				handler.ServeHTTP(caller, httptest.NewRequest(http.MethodPost, "/exports", nil))
			})
		})
	}
}
