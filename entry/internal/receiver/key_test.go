package receiver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bamboohill/entry/internal/dispatcher"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// TestFailureFor checks the status and the outcome that a caller gets for each
// reason that the record of calls gives.
func TestFailureFor(t *testing.T) {
	for name, c := range map[string]struct {
		result  dispatcher.Result
		status  int
		outcome string
	}{
		"another call under the key": {dispatcher.Result{Reason: wire.Reason_REASON_MISMATCH, Outcome: wire.Outcome_OUTCOME_NOT_RUN}, http.StatusUnprocessableEntity, NotRun},
		"handed over before":         {dispatcher.Result{Reason: wire.Reason_REASON_DUPLICATE, Outcome: wire.Outcome_OUTCOME_UNKNOWN}, http.StatusConflict, Unknown},
		"answer not kept":            {dispatcher.Result{Reason: wire.Reason_REASON_DUPLICATE, Outcome: wire.Outcome_OUTCOME_FAILED}, http.StatusConflict, Unknown},
		"store down":                 {dispatcher.Result{Reason: wire.Reason_REASON_STORE, Outcome: wire.Outcome_OUTCOME_NOT_RUN, RetryAfter: time.Second}, http.StatusServiceUnavailable, NotRun},
		"answer lost":                {dispatcher.Result{Reason: wire.Reason_REASON_ENGINE, Outcome: wire.Outcome_OUTCOME_UNKNOWN}, http.StatusBadGateway, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := failureFor(c.result)
			is.Equal(f.Status, c.status)
			is.Equal(f.Outcome, c.outcome)
		})
	}
}

// TestReplayHeader checks the header that marks a replayed answer.
func TestReplayHeader(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	is.NoErr((&serviceSink{w: w}).Head(&wire.Head{Status: http.StatusOK, Replayed: true}))
	is.Equal(w.Header().Get("Idempotent-Replayed"), "true")
	is.True(strings.TrimSpace(w.Body.String()) == "")
}
