package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"bamboohill/core/gauger"
	"bamboohill/core/viewer"
	"bamboohill/platform/rig"

	"github.com/matryer/is"
)

// press sends requests one after the other from a number of callers for a time.
func (b *bench) press(callers int, d time.Duration, method, path string) {
	var wait sync.WaitGroup
	for c := range callers {
		wait.Go(func() {
			for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
				r := b.request(method, path, "x")
				r.Header.Set("Attempt-Id", fmt.Sprintf("%s-%d-%d", b.t.Name(), c, n))
				answer, err := http.DefaultClient.Do(r)
				if err != nil {
					b.t.Error(err)
					return
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					b.t.Error(err)
				}
				_ = answer.Body.Close() // it was read to its end
			}
		})
	}
	wait.Wait()
}

func (b *bench) slowdown(s *rig.Server) float64 {
	server := b.view.Load().Servers["i-0"]
	for _, v := range b.view.Load().Servers {
		if string(v.ID) == s.ID() {
			server = v
		}
	}
	return b.entry.Gauger.Slowdown(gauger.RunOf(server), time.Now())
}

// TestSlowEngine checks that an engine that becomes slow is found by the pauses of its
// streams, and gets less work, but some.
func TestSlowEngine(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 3, 0)
	b.configure(2, func(r *viewer.Route) { r.TargetGap = 35 * time.Millisecond }) // three passes
	for _, s := range b.servers {
		s.Slow(25 * time.Millisecond)
	}
	b.press(5, time.Second, http.MethodPost, "/chat/x")
	for _, s := range b.servers {
		is.Equal(b.slowdown(s), 1.0)
	}
	slow := b.servers[0]
	slow.Slow(90 * time.Millisecond)
	b.press(5, 1500*time.Millisecond, http.MethodPost, "/chat/x")
	is.True(b.slowdown(slow) > 2)
	before := len(slow.Runs())
	all := len(b.runs())
	b.press(5, time.Second, http.MethodPost, "/chat/x")
	t.Log(len(slow.Runs())-before, len(b.runs())-all, b.slowdown(slow))
	is.True(len(slow.Runs())-before < (len(b.runs())-all)/5)
	for _, s := range b.servers[1:] {
		is.Equal(b.slowdown(s), 1.0)
	}
}

// TestFastFailures checks that a plain server that fails at once is not taken for a fast
// one, and that the others are not taken for slow.
func TestFastFailures(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 3)
	for _, s := range b.servers {
		s.Slow(20 * time.Millisecond)
	}
	b.press(6, time.Second, http.MethodGet, "/read/x")
	for range 10_000 {
		b.servers[0].AddFaults(rig.FaultServerError)
	}
	b.servers[0].Slow(0)
	b.press(6, time.Second, http.MethodGet, "/read/x")
	for _, s := range b.servers {
		is.Equal(b.slowdown(s), 1.0)
	}
}

// TestSlowPlainServer checks that a plain server that becomes slow gets less work.
func TestSlowPlainServer(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 3)
	for _, s := range b.servers {
		s.Slow(10 * time.Millisecond)
	}
	b.press(6, time.Second, http.MethodGet, "/read/x")
	slow := b.servers[0]
	slow.Slow(60 * time.Millisecond)
	b.press(6, time.Second, http.MethodGet, "/read/x")
	is.True(b.slowdown(slow) > 2)
	before, all := len(slow.Runs()), len(b.runs())
	b.press(3, time.Second, http.MethodGet, "/read/x")
	t.Log(len(slow.Runs())-before, len(b.runs())-all, b.slowdown(slow))
	is.True(len(slow.Runs())-before < (len(b.runs())-all)/20)
}
