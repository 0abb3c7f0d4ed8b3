package http

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/retry"
)

// problem is the body of a response that sequoiaspan generates itself (RFC 9457).
type problem struct {
	Title   string                `json:"title"`
	Status  int                   `json:"status"`
	Detail  string                `json:"detail"`
	Outcome retry.ExecutionStatus `json:"outcome"`
	Reason  retry.Reason          `json:"reason"`
}

// details holds the sentence that describes each execution status to the caller.
var details = map[retry.ExecutionStatus]string{
	retry.NotRun:  "The request was not run.",
	retry.Unknown: "The request may have run; its answer is not at hand.",
	retry.Ran:     "The request was run earlier; its answer is not at hand.",
}

// answer writes a final response that sequoiaspan generates itself.
func (handler *Handler) answer(w http.ResponseWriter, r *http.Request, answer retry.Answer) {
	handler.count("caller.own-answers{reason=" + string(answer.Reason) + "}")
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	status := handler.Dialect.PrepareAnswer(handler.Clock(), header, answer)
	w.WriteHeader(status)
	if r.Method == http.MethodHead {
		return
	}
	body := problem{Title: http.StatusText(status), Status: status, Detail: details[answer.ExecutionStatus], Outcome: answer.ExecutionStatus, Reason: answer.Reason}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		handler.Log.Debug("caller: cannot write the response", zap.Error(err))
	}
}
