package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of requests and responses.
const (
	RequestHeader = "Bamboohill-Request"
	OutcomeHeader = "Bamboohill-Outcome"
	TimeoutHeader = "Bamboohill-Timeout"
	KeyHeader     = "Idempotency-Key"
	// StaleHeader marks a response that was made although the configuration has
	// been unconfirmed for longer than the plan's limit, as the plan permits it.
	StaleHeader = "Bamboohill-Stale"
)

// Values of OutcomeHeader.
const (
	NotRun  = "not-run"
	Unknown = "unknown"
)

// Failure is an error as it is returned to callers.
type Failure struct {
	Status     int           `json:"-"`
	Message    string        `json:"message"`
	Type       string        `json:"type"`
	Code       string        `json:"code"`
	Outcome    string        `json:"outcome"`
	RetryAfter time.Duration `json:"-"`
}

type envelope struct {
	Error *Failure `json:"error"`
}

func invalidRequest(code, message string) *Failure {
	return &Failure{Status: http.StatusBadRequest, Type: "invalid_request_error", Code: code, Message: message, Outcome: NotRun}
}

func denied(status int, code, message string) *Failure {
	return &Failure{Status: status, Type: "permission_error", Code: code, Message: message, Outcome: NotRun}
}

func unavailable(code, message string, retryAfter time.Duration) *Failure {
	return &Failure{
		Status: http.StatusServiceUnavailable, Type: "overloaded_error", Code: code, Message: message, Outcome: NotRun,
		RetryAfter: max(retryAfter, time.Second),
	}
}

// write sends the failure as the complete response.
func (f *Failure) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, f.Outcome)
	h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	w.WriteHeader(f.Status)
	json.NewEncoder(w).Encode(envelope{Error: f})
}
