package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"testing"
	"time"

	"bamboohill/core/viewer"
	"bamboohill/platform/rig"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// crash sends a request whose server closes the connection, then removes that
// server from the list.
func (b *bench) crash(r *http.Request) head {
	b.t.Helper()
	for _, s := range b.servers {
		s.AddFaults(rig.FaultClosed)
	}
	answer, _, err := b.do(r)
	if err != nil {
		b.t.Fatal(err)
	}
	b.clearFaults()
	list := maps.Clone(b.view.Load().Servers)
	for _, run := range b.runs() {
		if run.Attempt == r.Header.Get("Attempt-Id") {
			delete(list, viewer.ServerID(run.Header.Get("Expect-Instance")))
		}
	}
	b.view.SetServers(list)
	b.entry.RecordCrashes(time.Now())
	return answer
}

// TestCrashingRequest sends a request that crashes every server that runs it:
// after two crashes it must be refused, also by an entry that only received the
// accusations, while other requests are served.
func TestCrashingRequest(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 6)
	poison := func(b *bench, attempt string) *http.Request {
		r := b.request("POST", "/book/poison", "bad")
		r.Header.Set("Attempt-Id", attempt)
		return r
	}
	for n, attempt := range []string{"a", "b", "c", "d"} {
		answer := b.crash(poison(b, attempt))
		if n < 2 {
			is.Equal(answer.StatusCode, http.StatusBadGateway)
			continue
		}
		is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
		is.True(answer.Header.Get("Retry-After") > "1")
	}
	is.Equal(len(b.runs()), 2)
	answer, _, err := b.do(b.request("POST", "/book/poison", "good"))
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK)

	other := newBench(t, 0, 2)
	for _, a := range b.screener.Accusations() {
		is.True(other.screener.Record(a))
	}
	answer, _, err = other.do(poison(other, "e"))
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(other.runs()), 0)
}

// TestInnocentRequestIsServed guards against an hour's block of a request that shared
// crashed servers, and against endless trials of one that crashes them. Each step
// is "crash" (the server crashes), "serve" (it must answer), "refuse" (the request
// must not be sent) or "wait" (until the next trial).
func TestInnocentRequestIsServed(t *testing.T) {
	const interval = 300 * time.Millisecond
	for name, steps := range map[string][]string{
		"shared two crashes":                     {"crash", "crash", "refuse", "wait", "serve", "serve"},
		"shared crashes between complete runs":   {"crash", "serve", "crash", "serve", "crash", "serve"},
		"crashes servers":                        {"crash", "crash", "refuse", "wait", "crash", "wait", "refuse", "wait", "crash", "wait", "wait", "wait", "wait", "refuse"},
		"shares two crashes again, waits longer": {"crash", "crash", "wait", "serve", "crash", "crash", "wait", "refuse", "wait", "serve"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTrialBench(t, 0, 8, interval)
			for n, step := range steps {
				r := b.request("POST", "/book/x", "seat 4")
				r.Header.Set("Attempt-Id", fmt.Sprint("a", n))
				runs := len(b.runs())
				switch step {
				case "wait":
					time.Sleep(interval)
				case "crash":
					is.Equal(b.crash(r).StatusCode, http.StatusBadGateway)
				case "serve":
					answer, _, err := b.do(r)
					is.NoErr(err)
					is.Equal(answer.StatusCode, http.StatusOK)
				case "refuse":
					answer, _, err := b.do(r)
					is.NoErr(err)
					is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
					is.Equal(len(b.runs()), runs)
				}
			}
		})
	}
}

// TestServerEndsUnnoticed ends the server of a request in ways that this entry does
// not see as a broken connection before the deadline: the request must be suspected
// all the same.
func TestServerEndsUnnoticed(t *testing.T) {
	tests := map[string]struct {
		path, body string
		fault      string
		callerTime time.Duration // until the caller leaves; 0 if it stays
	}{
		"connection closed":                   {path: "/book/x", fault: rig.FaultClosed},
		"stream closed inside an event":       {path: "/fixed/x", fault: rig.FaultMidEvent},
		"silent until the deadline":           {path: "/book/x", fault: rig.FaultNoAnswer},
		"silent until the caller leaves":      {path: "/book/x", fault: rig.FaultNoAnswer, callerTime: 100 * time.Millisecond},
		"stream silent until the caller left": {path: "/fixed/x", fault: rig.FaultNoAnswer, callerTime: 100 * time.Millisecond},
		"answer without length":               {path: "/book/x", fault: rig.FaultNoLength},
		"long answer closed early":            {path: "/book/x", fault: rig.FaultLongTruncated},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 2, 2)
			b.fault(test.fault)
			r := b.request("POST", test.path, "poison")
			r.Header.Set("Deadline-Ms", "300")
			if test.callerTime > 0 {
				ctx, cancel := context.WithTimeout(r.Context(), test.callerTime)
				defer cancel()
				r = r.WithContext(ctx)
			}
			if answer, err := http.DefaultClient.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, answer.Body) // it may be cut
				_ = answer.Body.Close()
			}
			waitFor(t, func() bool { return len(b.loads.OwnLoads(time.Now())) == 0 })
			list := maps.Clone(b.view.Load().Servers)
			server := b.runs()[0].Header.Get("Expect-Instance")
			delete(list, viewer.ServerID(server))
			b.view.SetServers(list)
			waitFor(t, func() bool {
				b.entry.RecordCrashes(time.Now())
				return len(b.screener.Accusations()) == 1
			})
			is.Equal(b.screener.Accusations()[0].GetServer(), server)
		})
	}
}

// TestServerEndsUnderOpenConnection removes a server from the list while a request to
// it hangs: the request must be suspected though neither the connection breaks nor
// the caller leaves, and not once more when it leaves.
func TestServerEndsUnderOpenConnection(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 2)
	b.fault(rig.FaultNoAnswer)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = http.DefaultClient.Do(b.request("POST", "/book/x", "poison").WithContext(ctx)) }() //nolint:bodyclose // it is never answered
	waitFor(t, func() bool { return len(b.runs()) == 1 })
	list := maps.Clone(b.view.Load().Servers)
	server := b.runs()[0].Header.Get("Expect-Instance")
	delete(list, viewer.ServerID(server))
	b.view.SetServers(list)
	b.entry.RecordCrashes(time.Now())
	is.Equal(len(b.screener.Accusations()), 1)
	is.Equal(b.screener.Accusations()[0].GetServer(), server)
	cancel()
	waitFor(t, func() bool { return len(b.loads.OwnLoads(time.Now())) == 0 })
	b.entry.RecordCrashes(time.Now())
	is.Equal(len(b.screener.Accusations()), 1)
}

// fingerprintOf returns the fingerprint under which a request is suspected.
func fingerprintOf(t *testing.T, method, path, body string) string {
	t.Helper()
	b := newBench(t, 1, 1)
	b.crash(b.request(method, path, body))
	return b.screener.Accusations()[0].GetFingerprint()
}

// TestBlockedWhileRunning blocks a request while an entry waits for a server's
// answer to it: it must not be sent to another server.
func TestBlockedWhileRunning(t *testing.T) {
	is := is.New(t)
	f := fingerprintOf(t, "GET", "/read/x", "")
	b := newBench(t, 0, 2)
	b.fault(rig.FaultNoAnswer)
	go func() {
		waitFor(t, func() bool { return len(b.runs()) == 1 })
		for _, server := range []string{"p-8", "p-9"} {
			b.screener.Record(&wire.Accusation{Fingerprint: f, Server: server})
		}
	}()
	answer, _, err := b.do(b.request("GET", "/read/x", ""))
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusBadGateway) // it may have run
	is.Equal(len(b.runs()), 1)
	is.Equal(len(b.loads.OwnLoads(time.Now())), 0)
}

// TestCrashIsConfirmedLate guards against a crash that is confirmed only once another
// request is placed on the server or its registration expires.
func TestCrashIsConfirmedLate(t *testing.T) {
	for name, path := range map[string]string{"call": "/book/x", "stream": "/fixed/x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 2, 2)
			b.fault(rig.FaultCrash)
			_, _, err := b.do(b.request("POST", path, "poison"))
			is.NoErr(err)
			start := time.Now()
			waitFor(t, func() bool { return len(b.screener.Accusations()) == 1 })
			is.True(time.Since(start) < time.Second)
			is.Equal(b.screener.Accusations()[0].GetServer(), b.runs()[0].Header.Get("Expect-Instance"))
		})
	}
}

// TestHelperEndsUnnoticed ends a helper of a prompt while the engine that the prompt
// was sent to lives on: the prompt must be suspected.
func TestHelperEndsUnnoticed(t *testing.T) {
	for name, fault := range map[string]string{
		"while prefilling": rig.FaultHelperLost,
		"while decoding":   rig.FaultMidEvent,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 3, 0)
			b.fault(fault)
			r := b.request("POST", "/fixed/x", "poison")
			r.Header.Set("Token-Usage", "150000,50") // reserves memory at helpers
			_, _, _ = b.do(r)                        // the answer is cut
			list := map[viewer.ServerID]*viewer.Server{}
			for _, run := range b.runs() {
				id := viewer.ServerID(run.Header.Get("Expect-Instance"))
				lives := *b.view.Load().Servers[id]
				lives.Observed = time.Now().Add(time.Minute)
				list[id] = &lives
			}
			b.view.SetServers(list)
			b.entry.RecordCrashes(time.Now())
			is.True(len(b.screener.Accusations()) >= 1)
			for _, a := range b.screener.Accusations() {
				is.True(list[viewer.ServerID(a.GetServer())] == nil)
			}
		})
	}
}

// TestLostAnswersDontBlock loses the answers of a request whose backend servers
// are alive: it must not be blocked.
func TestLostAnswersDontBlock(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 4)
	for _, attempt := range []string{"a", "b", "c"} {
		b.fault(rig.FaultClosed)
		r := b.request("POST", "/book/x", "seat 4")
		r.Header.Set("Attempt-Id", attempt)
		answer, _, err := b.do(r)
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusBadGateway)
		b.entry.RecordCrashes(time.Now())
		b.clearFaults()
	}
	is.Equal(len(b.screener.Accusations()), 0)
}
