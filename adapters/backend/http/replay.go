package http

import (
	"context"
	"net/http"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// reply is what came of a request that was sent.
type reply struct {
	response *http.Response
	err      error
}

// Replay sends a copy of a request under a grant, drops the answer, and ends the grant with what came of it.
//
// A copy whose answer would come too late to clear the server is cancelled.
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
	silence := grant.SuspectAt.Sub(started)
	overdue, late := time.NewTimer(silence), time.NewTimer(pool.LateFactor*silence)
	defer overdue.Stop()
	defer late.Stop()
	progress := &Progress{}
	replies := make(chan reply, 1)
	go func() {
		response, err := backend.Send(out, Options{Address: grant.Address, Fresh: true}, progress)
		replies <- reply{response, err}
	}()
	for {
		select {
		case <-overdue.C:
			grant.ReportOverdue(false)
		case <-late.C:
			cancel()
		case r := <-replies:
			grant.Done(backend.reportOf(ctx, grant, r, progress, time.Since(started)))
			return
		}
	}
}

// reportOf tells what came of a copy, and closes its answer.
func (backend *Backend) reportOf(ctx context.Context, grant *entry.Grant, r reply, progress *Progress, took time.Duration) pool.Report {
	said := dialect.ResponseInfo{}
	if r.err == nil {
		defer r.response.Body.Close()
		said = backend.heard(r.response)
		grant.Hear(noticeOf(said))
	}
	switch {
	case r.err != nil && ctx.Err() != nil:
		return pool.Report{Outcome: pool.Canceled}
	case r.err != nil && !progress.Wrote():
		return pool.Report{Outcome: pool.ConnectFailed}
	case r.err != nil:
		return pool.Report{Outcome: pool.Reset}
	case said.Refused || r.response.StatusCode == http.StatusServiceUnavailable:
		return pool.Report{Outcome: pool.Shed, Leaving: said.Leaving, PausedUntil: said.PausedUntil}
	case IsServerError(r.response.StatusCode):
		return pool.Report{Outcome: pool.ServerError, Leaving: said.Leaving}
	}
	return pool.Report{Outcome: pool.Answered, FirstByte: took, Leaving: said.Leaving}
}
