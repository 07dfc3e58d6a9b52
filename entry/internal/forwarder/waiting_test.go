package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboohill/core/budgeter"
	"bamboohill/core/loadtracker"
	"bamboohill/core/queuer"
	"bamboohill/core/viewer"
	"bamboohill/platform/rig"

	"github.com/matryer/is"
)

// fill takes all slots of the servers of the plain service, as other entries would, and
// returns a function that frees one.
func (b *bench) fill() (free func()) {
	var attempts []string
	for _, s := range b.servers {
		for i := range b.view.Load().Servers[viewer.ServerID(s.ID())].Slots {
			attempt := fmt.Sprint("fill-", s.ID(), i)
			b.loads.RecordPlacement(attempt, loadtracker.Work{Server: viewer.ServerID(s.ID())}, time.Now())
			attempts = append(attempts, attempt)
		}
	}
	return func() {
		b.loads.RecordEnd(attempts[0], time.Now())
		attempts = attempts[1:]
	}
}

// metric returns a metric of the entry.
func (b *bench) metric(name string) int {
	b.entry.RecordWaiting(time.Now())
	var text strings.Builder
	b.entry.Meter.Write(&text)
	for line := range strings.Lines(text.String()) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			n, _ := strconv.Atoi(strings.TrimSpace(value)) // 0 for anything else
			return n
		}
	}
	return 0
}

// await waits until a metric has a value.
func (b *bench) await(name string, want int) {
	b.t.Helper()
	for end := time.Now().Add(time.Second); b.metric(name) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("%s is %d, not %d", name, b.metric(name), want)
		}
	}
}

// ranked activates a configuration in which routes have the given priorities and calls to
// plain services may wait for 600 ms.
func (b *bench) ranked(revision int64, priorities map[string]int) {
	b.configure(revision, func(r *viewer.Route) {
		r.Priority = priorities[r.Name]
		if r.Targets[0].Service == "plain" {
			r.TargetLatency = 2 * time.Second
		}
	})
}

// send sends requests of some paths in this order, each once the one before it waits, and
// returns their statuses when all have been answered.
func (b *bench) send(ctx context.Context, paths ...string) (statuses func() map[string]int) {
	b.t.Helper()
	var all sync.WaitGroup
	var mu sync.Mutex
	got := map[string]int{}
	for _, path := range paths {
		r := b.request("POST", path, "hello").WithContext(ctx)
		r.Header.Set("Attempt-Id", fmt.Sprint(b.t.Name(), path))
		waits := b.metric("waits")
		all.Go(func() {
			answer, err := http.DefaultClient.Do(r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				got[path] = -1
				return
			}
			got[path] = answer.StatusCode
			_ = answer.Body.Close() // the answer does not matter
		})
		b.await("waits", waits+1)
	}
	return func() map[string]int {
		all.Wait()
		return got
	}
}

// TestWaitingCallsAreSentByRank checks that calls wait while all slots are taken, and are
// sent in the order of their ranks as slots become free.
func TestWaitingCallsAreSentByRank(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 1)
	b.ranked(2, map[string]int{"book": 2, "read": 1, "open": 0})
	free := b.fill()
	done := b.send(t.Context(), "/book/x", "/read/x", "/open/x")
	is.Equal(len(b.runs()), 0) // none is sent to be rejected
	is.Equal(b.metric("waiting_rank_1"), 1)
	for i, want := range []string{"/open/x", "/read/x", "/book/x"} {
		free()
		for end := time.Now().Add(300 * time.Millisecond); len(b.runs()) <= i && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		is.Equal(len(b.runs()), i+1)
		is.Equal(b.runs()[i].Target, want)
		b.loads.RecordPlacement(fmt.Sprint("again-", i), loadtracker.Work{Server: "p-0"}, time.Now()) // taken by another entry
	}
	is.Equal(done(), map[string]int{"/book/x": 200, "/read/x": 200, "/open/x": 200})
}

// TestRanksChangeWhileRequestsWait checks that requests that wait are sent by the ranks of
// the newest configuration.
func TestRanksChangeWhileRequestsWait(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 1)
	b.ranked(2, map[string]int{"book": 1, "read": 0})
	free := b.fill()
	done := b.send(t.Context(), "/read/x", "/book/x")
	b.ranked(3, map[string]int{"book": 0, "open": 1, "read": 3}) // other routes have priority 0
	b.await("waiting_rank_2", 1)
	free()
	done()
	is.Equal(b.runs()[0].Target, "/book/x")
}

// TestCallIsSentAfterItsWait checks that a call is sent after the part of its target for
// which it waits, although no slot is known to be free, and at once if the slots are not
// known.
func TestCallIsSentAfterItsWait(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 1)
	b.ranked(2, nil)
	b.fill()
	began := time.Now()
	is.Equal(b.send(t.Context(), "/read/x")()["/read/x"], 200)
	is.True(time.Since(began) > 590*time.Millisecond)
	is.True(time.Since(began) < 750*time.Millisecond)
	unknown := *b.view.Load().Servers["p-0"]
	unknown.Slots = 0
	b.view.SetServers(map[viewer.ServerID]*viewer.Server{"p-0": &unknown})
	began = time.Now()
	got, _, err := b.do(b.request("POST", "/read/y", "hello"))
	is.NoErr(err)
	is.Equal(got.StatusCode, http.StatusOK)
	is.True(time.Since(began) < 300*time.Millisecond)
}

// TestCallersLeaveWhileWaiting checks that nothing of a caller that leaves while it waits
// remains, and that the requests behind it are served.
func TestCallersLeaveWhileWaiting(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 1)
	b.ranked(2, map[string]int{"book": 0, "read": 1})
	free := b.fill()
	is.Equal(deciding(), 0)
	ctx, cancel := context.WithCancel(t.Context())
	left := b.send(ctx, "/book/x", "/book/y")
	stays := b.send(t.Context(), "/read/x")
	cancel()
	left()
	b.await("waiting_rank_0", 0)
	is.Equal(b.metric("waiting_bytes"), len("hello"))
	free()
	is.Equal(stays()["/read/x"], 200)
	is.Equal(len(b.runs()), 1)
	for end := time.Now().Add(time.Second); deciding() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(deciding(), 0) // the decisions end with the last request
}

// deciding returns the number of goroutines that decide on waiting requests.
func deciding() int {
	stacks := make([]byte, 8<<20)
	return strings.Count(string(stacks[:runtime.Stack(stacks, true)]), "forwarder.(*lines).run(")
}

// TestEntryStopsWhileRequestsWait checks that requests which wait are answered when the
// entry stops.
func TestEntryStopsWhileRequestsWait(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 1)
	b.ranked(2, nil)
	b.fill()
	done := b.send(t.Context(), "/read/x", "/book/x")
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	is.NoErr(b.server.Config.Shutdown(ctx)) // returns when all are answered
	is.Equal(done(), map[string]int{"/read/x": 200, "/book/x": 200})
}

// TestFullQueueRefusesTheLast checks that a queue at its bound refuses the least urgent
// request at once, and tells its caller when to come back.
func TestFullQueueRefusesTheLast(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 1)
	b.entry.Waiting = queuer.Limits{Requests: 2}
	b.ranked(2, map[string]int{"book": 2, "read": 1, "open": 0})
	free := b.fill()
	done := b.send(t.Context(), "/book/x", "/book/y", "/read/x")
	is.Equal(b.metric("refused_overflow"), 1)
	free()
	got := done()
	is.Equal(got["/read/x"], 200)
	is.Equal(got["/book/y"], 503) // the oldest of its kind stays
	is.Equal(got["/book/x"], 200)
}

// TestReturnIsRecognized checks that a caller which comes back after a refusal is counted,
// also if it is refused again.
func TestReturnIsRecognized(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 0)
	for i := range 3 {
		r := b.request("POST", "/read/x", "hello")
		r.Header.Set("Attempt-Id", fmt.Sprint("try-", i))
		got, _, err := b.do(r)
		is.NoErr(err)
		is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	}
	is.Equal(b.metric("returned_read"), 2)
	is.Equal(b.metric("refused_again_read"), 2)
	is.Equal(b.metric("refused_no_server"), 3)
}

// TestRefusedPromptIsToldWhenToReturn checks the bounds of the time that the caller of a
// prompt is told that finds no room.
func TestRefusedPromptIsToldWhenToReturn(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 1, 0)
	for i := range 4 {
		b.loads.RecordPlacement(fmt.Sprint("load-", i), loadtracker.Work{Server: "i-0", Prefill: 2 * time.Second, ContextTokens: 10_000}, time.Now())
	}
	r := b.request("POST", "/chat/x", "hello")
	r.Header.Set("Deadline-Ms", "9000")
	got, _, err := b.do(r)
	is.NoErr(err)
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(wait >= 2) // the engine has 8 s of work, of which callers wait for at most 3 s
	is.True(wait <= 3)
}

// TestEnginesAreToldRanks checks that engines are told the rank of a request only if the
// requests of their service have different ranks, and plain servers never.
func TestEnginesAreToldRanks(t *testing.T) {
	tests := map[string]struct {
		priorities map[string]int
		path       string
		hide       bool
		want       string
	}{
		"one rank":        {priorities: map[string]int{"chat": 2, "fixed": 2}, path: "/chat/x"},
		"most urgent":     {priorities: map[string]int{"chat": 0, "fixed": 2}, path: "/chat/x", want: "0"},
		"less urgent":     {priorities: map[string]int{"chat": 0, "fixed": 2}, path: "/fixed/x", want: "1"},
		"far less urgent": {priorities: map[string]int{"chat": 0, "fixed": 30}, path: "/fixed/x", want: "1"},
		"two before it":   {priorities: map[string]int{"chat": 0, "read": 1, "fixed": 30}, path: "/fixed/x", want: "2"},
		"hidden":          {priorities: map[string]int{"chat": 0, "fixed": 2}, path: "/fixed/x", hide: true},
		"plain":           {priorities: map[string]int{"read": 0, "book": 2}, path: "/book/x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 1, 1)
			b.entry.HideRanks = test.hide
			b.configure(2, func(r *viewer.Route) { r.Priority = test.priorities[r.Name] })
			got, _, err := b.do(b.request("POST", test.path, "hello"))
			is.NoErr(err)
			is.Equal(got.StatusCode, http.StatusOK)
			is.Equal(b.runs()[0].Header.Get("Request-Priority"), test.want)
		})
	}
}

// TestUrgentRequestsElsewhere checks that a request leaves room to more urgent ones at other
// entries for a part of its time, and to less urgent ones not.
func TestUrgentRequestsElsewhere(t *testing.T) {
	tests := map[string]struct {
		path  string
		least time.Duration
		most  time.Duration
	}{
		"less urgent": {path: "/read/x", least: 100 * time.Millisecond, most: 300 * time.Millisecond},
		"as urgent":   {path: "/open/x", most: 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 0, 1)
			b.ranked(2, map[string]int{"read": 1})
			waits := map[uint32][]queuer.Count{queuer.HashService("plain"): {{Rank: 0, Number: 1}}}
			b.entry.Board.ApplyPeer("other", waits, time.Now())
			began := time.Now()
			got, _, err := b.do(b.request("POST", test.path, "hello"))
			is.NoErr(err)
			is.Equal(got.StatusCode, http.StatusOK)
			is.True(time.Since(began) >= test.least)
			is.True(time.Since(began) < test.most)
		})
	}
}

// TestRetriesOfLeastUrgent checks that a third of the retry budget is kept for requests that
// are more urgent than others of their service, and that all may use it if none is.
func TestRetriesOfLeastUrgent(t *testing.T) {
	tests := map[string]struct {
		priorities map[string]int
		path       string
		want       int // of 6 retries in the budget
	}{
		"least urgent": {priorities: map[string]int{"read": 1}, path: "/read/", want: 4},
		"more urgent":  {priorities: map[string]int{"book": 1}, path: "/read/", want: 6},
		"one rank":     {path: "/read/", want: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 0, 2)
			b.entry.Budgeter = budgeter.New(budgeter.Config{Ratio: 1e-9, Slack: 7.6, Window: time.Minute})
			b.configure(2, func(r *viewer.Route) { r.Priority = test.priorities[r.Name] })
			for i := range 8 {
				b.fault(rig.FaultRefused)
				r := b.request("POST", test.path+strconv.Itoa(i), "hello")
				r.Header.Set("Attempt-Id", fmt.Sprint("try-", i))
				_, _, err := b.do(r)
				is.NoErr(err)
				b.clearFaults()
			}
			is.Equal(b.metric("repeats"), test.want)
		})
	}
}
