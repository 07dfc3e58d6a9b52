package caller

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bamboohill/core/synthesizer"
	"bamboohill/load/internal/planner"
	"bamboohill/load/internal/settings"

	"github.com/matryer/is"
)

func serve(t *testing.T, retries int, handler http.HandlerFunc) *Caller {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	s := settings.Settings{
		Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Accounts: []settings.Account{{Key: "k"}}, Answer: 3, Retries: retries,
	}
	is.New(t).Equal(len(s.Check()), 0)
	return New(Config{Settings: s, Planner: planner.New(planner.Config{Settings: s})})
}

func TestPromptOutcomes(t *testing.T) {
	r := planner.Request{Serial: 1, Tokens: 32, Answer: 3, Stream: true}
	c := serve(t, 0, nil)
	seed := synthesizer.Seed(c.planner.Prompt(r))
	event := func(text string) string { return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}]}\n\n", text) }
	first, whole := event(synthesizer.Text(seed, 2)), event(synthesizer.Token(seed, 2))
	cases := map[string]struct {
		status  int
		outcome string
		body    string
		want    Outcome
	}{
		"whole":                      {200, "", first + whole + "data: [DONE]\n\n", Answered},
		"incomplete, ended normally": {200, "", first + "data: [DONE]\n\n", Truncated},
		"connection closed":          {200, "", first, Unknown},
		"error event":                {200, "", first + "data: {\"error\":{\"code\":\"unknown\"}}\n\n", Unknown},
		"answer to another prompt":   {200, "", event(synthesizer.Text(seed+1, 3)) + "data: [DONE]\n\n", Wrong},
		"part of another answer":     {200, "", event(synthesizer.Text(seed+1, 1)), Wrong},
		"refused as not run":         {503, notRun, `{"error":{"code":"not_run"}}`, NotRun},
		"failed, outcome unknown":    {502, "unknown", `{"error":{"code":"unknown"}}`, Unknown},
		"failed without an outcome":  {500, "", "", Unknown},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := serve(t, 0, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(outcomeHeader, k.outcome)
				w.WriteHeader(k.status)
				io.WriteString(w, k.body)
			})
			is.Equal(c.Do(t.Context(), r).Outcome, k.want)
		})
	}
}

func TestRetryHonoursRetryAfter(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	c := serve(t, 1, func(w http.ResponseWriter, q *http.Request) {
		if calls.Add(1) == 1 {
			w.Header().Set(outcomeHeader, notRun)
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		body, _ := io.ReadAll(q.Body)
		fmt.Fprintf(w, `{"booking":%q,"run":1,"bytes":%d}`, q.Header.Get(keyHeader), len(body))
	})
	r := c.Do(t.Context(), planner.Request{Kind: planner.Booking, Serial: 1, Key: "b"})
	is.Equal(r.Outcome, Answered)
	is.Equal(r.Tries, 2)
	is.True(r.Total >= time.Second)
}

func TestBookingOfAnotherIsWrong(t *testing.T) {
	is := is.New(t)
	c := serve(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"booking":"other","run":1,"bytes":1}`)
	})
	is.Equal(c.Do(t.Context(), planner.Request{Kind: planner.Booking, Key: "b"}).Outcome, Wrong)
}
