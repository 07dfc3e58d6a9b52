package forwarder_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"bamboohill/platform/rig"

	"github.com/matryer/is"
)

// TestSilentStreamNotResumed guards against a stream that is not resumed when its engine
// falls silent after the first events, although the route allows a second attempt.
func TestSilentStreamNotResumed(t *testing.T) {
	b, s := newScriptedBench(t, 3, 2, reply{bytes: chunked(span(1, 3)), hang: true}, reply{bytes: complete(span(4, 8))})
	got := b.callRaw("HTTP/1.1", "/chat/x", false)
	if got.status != http.StatusOK || !got.complete || got.body != span(1, 8) || s.arrivals() != 2 {
		t.Errorf("complete %v after %d requests; got %q", got.complete, s.arrivals(), got.raw)
	}
}

// TestSilenceWhileStopping guards against streams that a stopping entry cuts because their sound
// engine was silent for some seconds and no other one takes the rest.
func TestSilenceWhileStopping(t *testing.T) {
	tests := map[string]int{"others are full": http.StatusServiceUnavailable, "others have limits": http.StatusTooManyRequests}
	for name, refusal := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := startBench(t, 3, 0, 0, 0, rig.ServerConfig{Events: 8, EventInterval: 50 * time.Millisecond})
			time.AfterFunc(20*time.Millisecond, func() {
				end := time.Now().Add(6 * time.Second)
				b.stop(end)
				time.AfterFunc(time.Until(end), b.entry.Abandon)
				for _, s := range b.servers {
					if len(s.Runs()) == 0 {
						s.Refuse(refusal)
						continue
					}
					s.Slow(3500 * time.Millisecond) // of one event
					time.AfterFunc(200*time.Millisecond, func() { s.Slow(0) })
				}
			})
			r := b.request("POST", "/chat/x", "hello")
			r.Header.Set("Deadline-Ms", "9000")
			answer, text, err := b.do(r)
			is.NoErr(err) // cut
			is.Equal(answer.StatusCode, http.StatusOK)
			is.Equal(strings.Count(text, "id: "), 8)
			is.Equal(len(b.runs()), 1)
		})
	}
}
