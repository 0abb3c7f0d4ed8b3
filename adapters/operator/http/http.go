// Package http serves operators: status, metrics and liveness, on an address of their own.
package http

import (
	"encoding/json"
	"fmt"
	"net/http"

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
