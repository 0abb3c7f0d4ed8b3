package http

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/retry"
)

// problem is the body of an answer that sequoiaspan makes itself (RFC 9457).
type problem struct {
	Title   string                `json:"title"`
	Status  int                   `json:"status"`
	Detail  string                `json:"detail"`
	Outcome retry.ExecutionStatus `json:"outcome"`
	Reason  retry.Reason          `json:"reason"`
}

// details explain the truths in a sentence.
var details = map[retry.ExecutionStatus]string{
	retry.NotRun:  "The request was not run.",
	retry.Unknown: "The request may have run; its answer is not at hand.",
	retry.Ran:     "The request was run earlier; its answer is not at hand.",
}

// answer writes a final answer that sequoiaspan makes itself.
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
		handler.Log.Debug("caller: an answer was not taken", zap.Error(err))
	}
}
