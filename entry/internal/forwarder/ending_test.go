package forwarder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bamboohill/core/viewer"
	"bamboohill/platform/rig"

	"github.com/matryer/is"
)

// TestStopping checks which requests a stopping entry refuses, and that it names the time at
// which another try can succeed.
func TestStopping(t *testing.T) {
	tests := map[string]struct {
		target   string
		end      time.Duration // from now until the entry must have answered
		reopens  time.Duration // from now until an entry accepts any request; 0 if one does
		status   int
		min, max float64 // Retry-After in seconds
	}{
		"a call in time":                {target: "/read/x", end: 5 * time.Second, status: http.StatusOK},
		"a prompt in time":              {target: "/chat/x", end: 5 * time.Second, status: http.StatusOK},
		"a call too late":               {target: "/read/x", end: 100 * time.Millisecond, status: http.StatusServiceUnavailable, max: 0.1},
		"a prompt too late":             {target: "/chat/x", end: 100 * time.Millisecond, status: http.StatusServiceUnavailable, max: 0.1},
		"too late, all entries stop":    {target: "/chat/x", end: 100 * time.Millisecond, reopens: 3 * time.Second, status: http.StatusServiceUnavailable, min: 2.9, max: 3.61},
		"too late, another one is back": {target: "/chat/x", end: 100 * time.Millisecond, reopens: time.Nanosecond, status: http.StatusServiceUnavailable, min: 0.4, max: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 1, 1)
			answer, _, err := b.do(b.request("POST", test.target, "first")) // shows how long answers take
			is.NoErr(err)
			is.Equal(answer.StatusCode, http.StatusOK)
			runs := len(b.runs())
			b.stop(time.Now().Add(test.end))
			if test.reopens > 0 {
				b.reopens = time.Now().Add(test.reopens)
			}
			answer, _, err = b.do(b.request("POST", test.target, "late"))
			is.NoErr(err)
			is.Equal(answer.StatusCode, test.status)
			if test.status == http.StatusOK {
				return
			}
			is.Equal(len(b.runs()), runs) // not run, as the status says
			wait, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(wait >= test.min && wait <= test.max)
		})
	}
}

// TestLongAnswerWhileStopping guards against streams that a stopping entry accepts because
// earlier answers were short, and cuts at the end of its grace period.
func TestLongAnswerWhileStopping(t *testing.T) {
	tests := map[string]struct {
		answers int           // short ones before
		slow    time.Duration // added to each of the eight events of the late stream
	}{
		"no answer before":        {answers: 0, slow: 200 * time.Millisecond},
		"a short answer before":   {answers: 1, slow: 200 * time.Millisecond},
		"short answers before":    {answers: 20, slow: 200 * time.Millisecond},
		"slightly longer answers": {answers: 20, slow: 140 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 1, 1)
			for range test.answers {
				answer, _, err := b.do(b.request("POST", "/chat/x", "short"))
				is.NoErr(err)
				is.Equal(answer.StatusCode, http.StatusOK)
			}
			runs := len(b.runs())
			b.servers[0].Slow(test.slow)
			b.stop(time.Now().Add(time.Second))
			start := time.Now()
			answer, _, err := b.do(b.request("POST", "/chat/x", "long"))
			is.NoErr(err)
			if answer.StatusCode == http.StatusOK {
				is.True(time.Now().Before(b.end())) // the answer must be complete by then
				return
			}
			is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
			is.Equal(len(b.runs()), runs) // not run, as the status says
			is.True(time.Since(start) < 500*time.Millisecond)
			is.True(answer.Header.Get("Retry-After") != "")
		})
	}
}

// TestCallsWhileStopping guards against calls that a stopping entry refuses although they take
// far less time than is left. One that takes longer is answered before the end.
func TestCallsWhileStopping(t *testing.T) {
	tests := map[string]struct {
		slow   time.Duration
		status int
	}{
		"as fast as usual":    {status: http.StatusOK},
		"slower than the end": {slow: 2 * time.Second, status: http.StatusBadGateway},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 0, 1)
			b.configure(2, func(r *viewer.Route) { r.TargetLatency = 100 * time.Millisecond })
			b.servers[0].Slow(test.slow)
			b.stop(time.Now().Add(time.Second))
			time.AfterFunc(time.Second, b.entry.Abandon)
			answer, _, err := b.do(b.request("POST", "/book/x", "hello"))
			is.NoErr(err)
			is.Equal(answer.StatusCode, test.status)
		})
	}
}

// TestWaitingWhileStopping guards against requests that wait for room at an entry that stops,
// and are sent when they can't be answered any more, or are never sent.
func TestWaitingWhileStopping(t *testing.T) {
	tests := map[string]struct {
		path     string
		deadline string // in milliseconds
		status   int
	}{
		"a call that may outlast the entry":        {path: "/read/x", deadline: "1900", status: http.StatusServiceUnavailable},
		"an at-most-once call that may outlast it": {path: "/book/x", deadline: "1900", status: http.StatusServiceUnavailable},
		"a call with an earlier deadline":          {path: "/read/x", deadline: "900", status: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 0, 1)
			b.ranked(2, nil)
			free := b.fill()
			r := b.request("POST", test.path, "hello")
			r.Header.Set("Deadline-Ms", test.deadline)
			answers := make(chan head, 1)
			go func() {
				answer, _, err := b.do(r)
				if err != nil {
					t.Error(err)
					return
				}
				answers <- answer
			}()
			b.await("waits", 1)
			b.stop(time.Now().Add(time.Second))
			if test.status == http.StatusOK {
				time.Sleep(100 * time.Millisecond)
				free()
			}
			select {
			case answer := <-answers:
				is.Equal(answer.StatusCode, test.status)
				is.Equal(answer.Header.Get("Retry-After") != "", test.status != http.StatusOK)
			case <-time.After(500 * time.Millisecond):
				t.Fatal("the request still waits")
			}
			is.Equal(len(b.runs()) > 0, test.status == http.StatusOK)
		})
	}
}

// TestUnansweredAtTheEnd guards against requests whose connections are closed without an
// answer at the end of the grace period.
func TestUnansweredAtTheEnd(t *testing.T) {
	tests := map[string]struct {
		path   string
		fill   bool // the request waits for room
		status int
	}{
		"a stream without an event":  {path: "/chat/x", status: http.StatusBadGateway},
		"a call":                     {path: "/read/x", status: http.StatusBadGateway},
		"an at-most-once call":       {path: "/book/x", status: http.StatusBadGateway},
		"a call that waits for room": {path: "/read/x", fill: true, status: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 1, 1)
			b.fault(rig.FaultNoAnswer)
			if test.fill {
				b.ranked(2, nil)
				b.fill()
			}
			answers := make(chan head, 1)
			go func() {
				answer, _, err := b.do(b.request("POST", test.path, "hello"))
				if err != nil {
					t.Error(err)
					return
				}
				answers <- answer
			}()
			if test.fill {
				b.await("waits", 1)
			} else {
				for len(b.runs()) == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			b.entry.Abandon()
			select {
			case answer := <-answers:
				is.Equal(answer.StatusCode, test.status)
			case <-time.After(300 * time.Millisecond): // connections are closed then
				t.Fatal("no answer")
			}
			time.Sleep(50 * time.Millisecond)
			is.Equal(len(b.runs()), map[bool]int{false: 1}[test.fill]) // not sent again, nor at all
		})
	}
}

// TestSentAfterAbandon guards against requests that are sent or run on after Abandon, as it
// came between their placement and their send.
func TestSentAfterAbandon(t *testing.T) {
	is := is.New(t)
	const rounds, callers, slow = 20, 24, 600 * time.Millisecond
	for round := range rounds {
		b := newBench(t, 0, 1)
		b.servers[0].Slow(slow)
		b.configure(2, func(r *viewer.Route) { r.TargetLatency = 0 })
		var mu sync.Mutex
		answered := map[string]bool{}
		var all sync.WaitGroup
		for i := range callers {
			r := b.request("POST", "/book/x", "hello")
			r.Header.Set("Attempt-Id", fmt.Sprint(round, "-", i))
			all.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Microsecond)
				answer, _, err := b.do(r)
				mu.Lock()
				defer mu.Unlock()
				answered[r.Header.Get("Attempt-Id")] = err == nil && answer.StatusCode == http.StatusOK
			})
		}
		time.Sleep(time.Duration(300+40*round) * time.Microsecond)
		abandoned := time.Now()
		b.entry.Abandon()
		all.Wait()
		for _, run := range b.runs() {
			ended := run.At.Add(slow)
			is.True(!answered[run.Attempt] || ended.Before(abandoned.Add(100*time.Millisecond)))
		}
	}
}

// TestAbandonBesideFirstEvent guards against streams that begin after Abandon has canceled
// them, and are cut.
func TestAbandonBesideFirstEvent(t *testing.T) {
	is := is.New(t)
	const rounds, callers = 30, 16
	var cut atomic.Int64
	for round := range rounds {
		b := newBench(t, 4, 0)
		var all sync.WaitGroup
		for i := range callers {
			r := b.request("POST", "/fixed/x", "hello")
			r.Header.Set("Attempt-Id", fmt.Sprint(round, "-", i))
			all.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				if _, _, err := b.do(r); err != nil {
					cut.Add(1)
				}
			})
		}
		time.Sleep(time.Duration(2500+300*round) * time.Microsecond)
		b.entry.Abandon()
		all.Wait()
	}
	is.Equal(cut.Load(), int64(0))
}

// TestWaitingBehindWhileStopping guards against requests that stay at an entry that stops, as
// they wait behind one that may.
func TestWaitingBehindWhileStopping(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 1)
	b.ranked(2, nil)
	b.fill()
	ask := func(id, deadline string) chan head {
		r := b.request("POST", "/book/x", "hello")
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Deadline-Ms", deadline)
		answers := make(chan head, 1)
		go func() {
			if answer, _, err := b.do(r); err == nil {
				answers <- answer
			}
		}()
		return answers
	}
	first := ask("first", "1300")
	b.await("waits", 1)
	second := ask("second", "1900")
	b.await("waits", 2)
	b.stop(time.Now().Add(1400 * time.Millisecond))
	select {
	case answer := <-second:
		is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	case <-time.After(300 * time.Millisecond):
		t.Error("the second one still waits")
	}
	is.Equal(len(first), 0) // it still waits
	b.entry.Abandon()
	<-first
}

// TestAbandonSpoilsNoServer guards against a server that is taken to have failed, as Abandon
// ended the answer that it was sending.
func TestAbandonSpoilsNoServer(t *testing.T) {
	is := is.New(t)
	b, s := newScriptedBench(t, 2, 2, reply{bytes: "HTTP/1.1 200 OK\r\nAttempt-Id: AT\r\nResponse-Stamp: s\r\nContent-Length: 10\r\n\r\nabc", hang: true})
	answers := make(chan head, 1)
	go func() {
		if answer, _, err := b.do(b.request("POST", "/read/x", "hello")); err == nil {
			answers <- answer
		}
	}()
	for s.arrivals() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // the head is there
	b.entry.Abandon()
	answer := <-answers
	is.Equal(answer.StatusCode, http.StatusBadGateway)
	is.Equal(b.metric("doubts"), 0)
	is.Equal(b.metric("repeats"), 0)
	is.Equal(s.arrivals(), 1)
}

// TestBodyArrivingAtTheEnd guards against connections that are closed without an answer as the
// process ends, since the bodies of their requests are still arriving.
func TestBodyArrivingAtTheEnd(t *testing.T) {
	for _, path := range []string{"/chat/x", "/book/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 1, 1)
			conn, err := net.Dial("tcp4", b.server.Listener.Addr().String()) //nolint:noctx // it ends with the test
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a\r\nAuthorization: Token k1\r\nContent-Length: 10\r\n\r\nhello", path)
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond) // it is being read
			b.stop(time.Now())
			began := time.Now()
			b.entry.Abandon()
			is.NoErr(conn.SetReadDeadline(began.Add(2 * time.Second)))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer answer.Body.Close()
			is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
			is.True(answer.Header.Get("Retry-After") != "")
			is.True(time.Since(began) < 200*time.Millisecond)
			is.Equal(len(b.runs()), 0)
		})
	}
}
