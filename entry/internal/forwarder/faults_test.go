package forwarder_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"bamboohill/platform/rig"

	"github.com/matryer/is"
)

// TestFaultsOnce meets each fault on a call that must not run twice: the caller
// gets its own whole answer or an honest failure.
func TestFaultsOnce(t *testing.T) {
	tests := map[string]struct {
		fault string
		want  int // status
		runs  int
	}{
		"surplus":  {fault: rig.FaultSurplus, want: http.StatusOK, runs: 1},
		"stray":    {fault: rig.FaultStray, want: http.StatusOK, runs: 1},
		"unframed": {fault: rig.FaultUnframed, want: http.StatusOK, runs: 1},
		"torn":     {fault: rig.FaultTorn, want: http.StatusBadGateway, runs: 1},
		"full":     {fault: rig.FaultFull, want: http.StatusServiceUnavailable, runs: 0},
		"fails":    {fault: rig.FaultFails, want: http.StatusInternalServerError, runs: 1},
		"closes":   {fault: rig.FaultCloses, want: http.StatusBadGateway, runs: 1},
		"hangs":    {fault: rig.FaultHangs, want: http.StatusGatewayTimeout, runs: 1},
		"encoded":  {fault: rig.FaultEncoded, want: http.StatusBadGateway, runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 0, 2)
			b.fault(test.fault, test.fault, test.fault)
			answer, body, err := b.do(b.request("POST", "/book/x", "seat 4"))
			is.NoErr(err)
			is.Equal(answer.StatusCode, test.want)
			is.Equal(len(b.runs()), test.runs)
			is.Equal(body == rig.Answer("POST", "/book/x", "seat 4"), test.want == http.StatusOK)
			is.Equal(answer.Header.Get("Retry-After") != "", test.want == http.StatusServiceUnavailable)
			// The next request is answered as if nothing had been.
			again := b.request("POST", "/book/y", "seat 5")
			again.Header.Set("Attempt-Id", "again")
			b.clearFaults()
			answer, body, err = b.do(again)
			is.NoErr(err)
			is.Equal(answer.StatusCode, http.StatusOK)
			is.Equal(body, rig.Answer("POST", "/book/y", "seat 5"))
		})
	}
}

// clearFaults forgets the faults that were not met.
func (b *bench) clearFaults() {
	for _, s := range b.servers {
		s.ClearFaults()
	}
}

// TestFaultsRepeat meets a fault at the first server on a call that may run
// again: another answers.
func TestFaultsRepeat(t *testing.T) {
	for _, fault := range []string{rig.FaultStray, rig.FaultTorn, rig.FaultFull, rig.FaultFails, rig.FaultCloses, rig.FaultHangs, rig.FaultEncoded, rig.FaultSurplus, rig.FaultUnframed} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 0, 2)
			b.servers[0].Fault(fault)
			for range 6 { // some of them meet the fault; its connection is not used again
				answer, body, err := b.do(b.request("GET", "/read/x", ""))
				is.NoErr(err)
				is.Equal(answer.StatusCode, http.StatusOK)
				is.Equal(body, rig.Answer("GET", "/read/x", ""))
			}
			is.True(len(b.runs()) <= 6+1)
		})
	}
}

// TestResume breaks a stream inside its third event: it goes on elsewhere, at
// the right event, and the caller sees one stream.
func TestResume(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 0)
	b.servers[0].Fault(rig.FaultMidEvent)
	b.servers[1].Fault(rig.FaultMidEvent)
	answer, body, err := b.do(b.request("POST", "/chat/x", "hello"))
	// Two breaks use up the two servers that the route allows: the caller sees
	// that the stream is cut, with whole events only.
	is.True(err != nil)
	is.Equal(answer.StatusCode, http.StatusOK)
	is.True(strings.HasPrefix(events("hello"), body))
	runs := b.runs()
	is.Equal(len(runs), 2)
	is.Equal(runs[0].Behind+runs[1].Behind, 2) // the second went on behind the second event

	answer, body, err = b.do(b.request("POST", "/chat/x", "hello"))
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK)
	is.Equal(body, events("hello"))
}

// TestResumeOnce breaks one server only.
func TestResumeOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 0)
	for _, s := range b.servers {
		s.Fault(rig.FaultMidEvent)
	}
	b.servers[1].ClearFaults()
	stamp := map[string]bool{}
	for range 2 { // one of them meets the fault first
		answer, body, err := b.do(b.request("POST", "/chat/x", "hello"))
		is.NoErr(err)
		is.Equal(body, events("hello"))
		stamp[answer.Header.Get("Response-Stamp")] = true
	}
	is.True(len(stamp) >= 1)
	for _, r := range b.runs() {
		is.True(r.Behind == 0 || r.Behind == 2)
	}
}

// TestNotResumable cuts a stream that may not go on elsewhere.
func TestNotResumable(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 0)
	b.fault(rig.FaultMidEvent)
	_, body, err := b.do(b.request("POST", "/fixed/x", "hello"))
	is.True(err != nil) // visibly cut
	is.True(strings.HasPrefix(events("hello"), body))
	is.Equal(len(b.runs()), 1)
}

// TestReusedAddress finds another server at the address: nothing runs there.
func TestReusedAddress(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 2)
	b.servers[0].Rename("i-other")
	b.servers[1].Rename("i-other")
	answer, _, err := b.do(b.request("POST", "/book/x", "seat 4"))
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(b.runs()), 0)
}

// TestCallerLeaves closes the caller's connection in the middle of a stream:
// the engine hears of it.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 1, 0)
	b.fault(rig.FaultHangs)
	ctx, leave := context.WithCancel(context.Background())
	r := b.request("POST", "/chat/x", "hello").WithContext(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		answer, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = answer.Body.Close() // never reached: the engine says nothing
		}
	}()
	waitFor(t, func() bool { return len(b.servers[0].Runs()) == 1 })
	leave()
	<-done
	waitFor(t, func() bool { return b.servers[0].Left() == 1 })
	waitFor(t, func() bool { return len(b.books.OwnLoads(time.Now())) == 0 })
	is.Equal(len(b.runs()), 1)
}

// TestEarly gets an answer before the server has read a long body: the rest of
// the body must not be taken for a request.
func TestEarly(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 1)
	body := strings.Repeat("GET /read/smuggled HTTP/1.1\r\n\r\n", 1500)
	b.fault(rig.FaultEarly)
	answer, _, err := b.do(b.request("POST", "/book/x", body))
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	answer, text, err := b.do(b.request("POST", "/book/x", body))
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK)
	is.Equal(text, rig.Answer("POST", "/book/x", body))
	is.Equal(len(b.runs()), 1)
}

// TestGrey calls two plain servers of which one fails every request with an
// answer of its own: it is tried once, the other serves the rest.
func TestGrey(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 2)
	for range 30 {
		b.servers[0].Fault(rig.FaultFails)
	}
	failed := 0
	for n := range 30 {
		r := b.request("POST", "/book/x", "seat 4")
		r.Header.Set("Attempt-Id", "grey-"+strconv.Itoa(n))
		answer, _, err := b.do(r)
		is.NoErr(err)
		if answer.StatusCode != http.StatusOK {
			failed++
		}
	}
	is.True(failed <= 2)
}
