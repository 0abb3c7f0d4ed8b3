package http

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/latency"
)

// TestMetricsText parses the metrics with the Prometheus text parser.
func TestMetricsText(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("backend.attempts{outcome=reset}", registry).Inc(2)
	metrics.GetOrRegisterCounter("backend.attempts{outcome=answered}", registry).Inc(3)
	metrics.GetOrRegisterGauge("rules.version", registry).Update(7)
	latency.GetOrRegisterHistogram("caller.requests", registry).Observe(3 * time.Millisecond)
	handler := &Handler{Metrics: registry, Log: zap.NewNop()}
	recorder := httptest.NewRecorder()
	handler.Mux().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	parser := expfmt.NewTextParser(model.LegacyValidation)
	read, err := parser.TextToMetricFamilies(recorder.Body)
	must.NoError(t, err)
	must.MapLen(t, 3, read)
	attempts := read["sequoiaspan_backend_attempts_total"].Metric
	must.Len(t, 2, attempts)
	outcomes := map[string]float64{}
	for _, m := range attempts {
		must.Eq(t, "outcome", m.Label[0].GetName())
		outcomes[m.Label[0].GetValue()] = m.Counter.GetValue()
	}
	must.Eq(t, map[string]float64{"reset": 2, "answered": 3}, outcomes)
	must.Eq(t, 7, read["sequoiaspan_rules_version"].Metric[0].Gauge.GetValue())
	requests := read["sequoiaspan_caller_requests_seconds"].Metric[0].Histogram
	must.Eq(t, 1, requests.GetSampleCount())
	must.Eq(t, 0.003, requests.GetSampleSum())
	for _, bucket := range requests.Bucket {
		must.Eq(t, bucket.GetUpperBound() >= 0.003, bucket.GetCumulativeCount() == 1)
	}
}
