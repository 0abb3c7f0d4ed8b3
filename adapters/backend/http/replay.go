package http

import (
	"context"
	"net/http"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// sendResult is the result of Backend.Send.
type sendResult struct {
	response *http.Response
	err      error
}

// Replay sends a copy of a request under a grant, discards the response and reports the outcome to the grant.
//
// A copy without a response after pool.LateFactor times the suspicion timeout is canceled: a later response could not clear
// the server.
func (backend *Backend) Replay(ctx context.Context, grant *entry.Grant, request entry.RequestCopy) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, request.Method, "http://"+grant.Address.String()+request.Target, nil)
	if err != nil {
		grant.Done(pool.Report{Outcome: pool.Unused})
		return
	}
	out.Host, out.Header = request.Host, request.Header.Clone()
	started := time.Now()
	suspectAfter := grant.SuspectAt.Sub(started)
	overdue := make(chan struct{})
	suspicion := wait.OnSilence(grant.SuspectAt, backend.Delays, func() { close(overdue) })
	defer suspicion.Stop()
	defer wait.OnSilence(started.Add(pool.LateFactor*suspectAfter), backend.Delays, cancel).Stop()
	progress := &Progress{}
	results := make(chan sendResult, 1)
	go func() {
		response, err := backend.Send(out, Options{Address: grant.Address, Fresh: true}, progress)
		results <- sendResult{response, err}
	}()
	for {
		select {
		case <-overdue:
			grant.ReportOverdue(false)
			overdue = nil
		case r := <-results:
			grant.Done(backend.reportOf(ctx, grant, r, progress, time.Since(started)))
			return
		}
	}
}

// reportOf returns the outcome of a copy and closes its response.
func (backend *Backend) reportOf(ctx context.Context, grant *entry.Grant, r sendResult, progress *Progress, took time.Duration) pool.Report {
	info := dialect.ResponseInfo{}
	if r.err == nil {
		defer r.response.Body.Close()
		info = backend.parseResponse(r.response)
		grant.RecordNotice(noticeOf(info))
	}
	switch {
	case r.err != nil && ctx.Err() != nil:
		return pool.Report{Outcome: pool.Canceled}
	case r.err != nil && !progress.Wrote():
		return pool.Report{Outcome: pool.ConnectFailed}
	case r.err != nil:
		return pool.Report{Outcome: pool.Reset}
	case info.Refused || r.response.StatusCode == http.StatusServiceUnavailable:
		return pool.Report{Outcome: pool.Shed, Leaving: info.Leaving, PausedUntil: info.PausedUntil}
	case IsServerError(r.response.StatusCode):
		return pool.Report{Outcome: pool.ServerError, Leaving: info.Leaving}
	}
	return pool.Report{Outcome: pool.Answered, FirstByte: took, Leaving: info.Leaving}
}
