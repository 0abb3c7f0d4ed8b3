package http

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/testing/raw"
)

// TestInvalidAnswersToHealthChecksAreUnhealthy guards against a server that counts as healthy by an answer that HTTP does not allow.
func TestInvalidAnswersToHealthChecksAreUnhealthy(t *testing.T) {
	backend := &Backend{Dialect: dialect.Native{}}
	defer backend.Close()
	trailers := raw.InvalidTrailers("", "ok")
	for name, text := range raw.InvalidAnswers("", "ok") {
		healthy, notice := backend.Probe(t.Context(), pool.Probe{Server: "s0", Address: raw.Answer(t, text)}, "/health")
		must.False(t, healthy, must.Sprint(name))
		if _, isHeadValid := trailers[name]; !isHeadValid {
			must.Eq(t, entry.Notice{}, notice, must.Sprint(name))
		}
	}
	healthy, _ := backend.Probe(t.Context(), pool.Probe{Server: "s0", Address: raw.Answer(t, "HTTP/1.0 200 OK\r\n\r\nok")}, "/health")
	must.True(t, healthy)
}

// TestInvalidAnswersToCopiesClearNoServer guards against a server that is verified by an answer that HTTP does not allow. Of a copy's answer only the
// head is read.
func TestInvalidAnswersToCopiesClearNoServer(t *testing.T) {
	backend := &Backend{}
	defer backend.Close()
	for name, text := range raw.InvalidHeads("", "ok") {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", nil)
		must.NoError(t, err)
		progress := &Progress{}
		response, err := backend.Send(request, Options{Address: raw.Answer(t, text), Fresh: true}, progress)
		report := backend.reportOf(t.Context(), nil, sendResult{response, err}, progress, time.Second)
		must.Eq(t, pool.Reset, report.Outcome, must.Sprint(name))
	}
}
