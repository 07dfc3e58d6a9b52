package runner_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"bamboohill/core/framer"
	"bamboohill/sidecar/internal/runner"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// TestPlainNeverRepeats breaks a reused connection after the service has run a
// call. net/http must not resend the call.
func TestPlainNeverRepeats(t *testing.T) {
	for name, body := range map[string]string{"body": "x", "no body": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				io.Copy(io.Discard, q.Body)
				if runs.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
				io.WriteString(w, "ok")
			}))
			defer service.Close()
			r := runner.New(runner.Config{Service: strings.TrimPrefix(service.URL, "http://"), Client: service.Client()})
			call := func() *wire.Refused {
				frames := framer.NewWriter(framer.WriterConfig{Sink: &bytes.Buffer{}})
				p := &wire.Proposal{Method: http.MethodPost, Path: "/book", Key: "k"}
				return r.RunPlain(context.Background(), p, []byte(body), frames, func() *wire.Report { return nil })
			}
			is.True(call() == nil)
			is.Equal(call().GetOutcome(), wire.Outcome_OUTCOME_UNKNOWN)
			is.Equal(runs.Load(), int32(2)) // one run per call
		})
	}
}
