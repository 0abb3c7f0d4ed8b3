// Package http serves status, metrics and liveness to operators on a separate address.
package http

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/entry"
)

// Handler serves the operator endpoints. Set its fields before use.
type Handler struct {
	Status  func() entry.Status
	Metrics metrics.Registry
	Log     *zap.Logger
}

// Mux returns a router for the operator endpoints.
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
		handler.Log.Debug("operator: writing the status response failed", zap.Error(err))
	}
}

func (handler *Handler) metricsJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(handler.Metrics, w)
}
