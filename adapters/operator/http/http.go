// Package http serves operators: status, metrics and liveness, on an address of their own.
package http

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/entry"
)

// Handler serves operators; its fields are set before use.
type Handler struct {
	Status  func() entry.Status
	Metrics metrics.Registry
	Log     *zap.Logger
}

// Mux returns the operators' paths.
func (handler *Handler) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", handler.status)
	mux.HandleFunc("GET /metrics.json", handler.metricsJSON)
	mux.HandleFunc("GET /metrics", handler.metricsText)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	return mux
}

func (handler *Handler) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(handler.Status()); err != nil {
		handler.Log.Debug("operator: a status answer was not taken", zap.Error(err))
	}
}

func (handler *Handler) metricsJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(handler.Metrics, w)
}

// metricsText writes the text format that scrapers read.
func (handler *Handler) metricsText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	handler.Metrics.Each(func(name string, metric any) { writeMetric(w, metricName(name), metric) })
}

func metricName(name string) string {
	return "sequoiaspan_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.Timer:
		snapshot := m.Snapshot()
		fmt.Fprintf(w, "# TYPE %s_seconds summary\n", name)
		for _, quantile := range []float64{0.5, 0.99} {
			fmt.Fprintf(w, "%s_seconds{quantile=\"%g\"} %g\n", name, quantile, snapshot.Percentile(quantile)/float64(time.Second))
		}
		fmt.Fprintf(w, "%s_seconds_count %d\n", name, snapshot.Count())
	}
}
