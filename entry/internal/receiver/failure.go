package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of answers.
const (
	RequestHeader = "Bamboohill-Request"
	OutcomeHeader = "Bamboohill-Outcome"
	TimeoutHeader = "Bamboohill-Timeout"
	KeyHeader     = "Idempotency-Key"
	// StaleHeader says that the configuration is past the plan's bound on being
	// unconfirmed, and that the plan wants to be served all the same.
	StaleHeader = "Bamboohill-Stale"
)

// Values of OutcomeHeader.
const (
	NotRun  = "not-run"
	Unknown = "unknown"
)

// Failure is an error object as callers see it.
type Failure struct {
	Status  int           `json:"-"`
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Code    string        `json:"code"`
	Outcome string        `json:"outcome"`
	Retry   time.Duration `json:"-"`
}

type envelope struct {
	Error *Failure `json:"error"`
}

func invalid(code, message string) *Failure {
	return &Failure{Status: http.StatusBadRequest, Type: "invalid_request_error", Code: code, Message: message, Outcome: NotRun}
}

func denied(status int, code, message string) *Failure {
	return &Failure{Status: status, Type: "permission_error", Code: code, Message: message, Outcome: NotRun}
}

func busy(code, message string, retry time.Duration) *Failure {
	return &Failure{
		Status: http.StatusServiceUnavailable, Type: "overloaded_error", Code: code, Message: message, Outcome: NotRun,
		Retry: max(retry, time.Second),
	}
}

// write sends the failure as a whole answer.
func (f *Failure) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, f.Outcome)
	h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.Retry.Seconds()))))
	w.WriteHeader(f.Status)
	json.NewEncoder(w).Encode(envelope{Error: f})
}
