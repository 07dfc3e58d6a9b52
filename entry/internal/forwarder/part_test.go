package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bamboohill/core/screener"
	"bamboohill/core/viewer"
	"bamboohill/platform/rig"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// askWithParts sends a request that no other one equals, with the given shared parts of
// its prompt, and returns the status.
func (b *bench) askWithParts(n int, parts string) int {
	r := b.request("POST", "/chat/x", fmt.Sprint("body ", n))
	r.Header.Set("Attempt-Id", fmt.Sprint("at-", n))
	r.Header.Set("Prompt-Prefix", fmt.Sprintf("%s,own%d:250", parts, n))
	got, _, _ := b.do(r) // a broken answer is one that is not complete
	return got.StatusCode
}

// crashed returns the number of engines that have crashed.
func (b *bench) crashed() int {
	engines := map[string]bool{}
	for _, s := range b.servers {
		for _, r := range s.Runs() {
			if rig.IsPoison(s, r) {
				engines[s.ID()] = true
			}
		}
	}
	return len(engines)
}

// TestPartThatCrashesEngines guards against requests that are sent on although they share
// a part under which five engines have ended, wherever it stands in the prompt and however
// long its id is, and against others that are refused because they share their account and
// the other parts.
func TestPartThatCrashesEngines(t *testing.T) {
	tests := map[string]struct {
		before, after int // further shared parts before and after the one that differs
		id            string
	}{
		"second":            {id: badPart},
		"18th":              {before: 16, after: 2, id: badPart},
		"121st of 150":      {before: 119, after: 29, id: badPart},
		"200th":             {before: 198, after: 10, id: badPart},
		"id of 80 bytes":    {before: 2, id: badPart + strings.Repeat("0", 80-len(badPart))},
		"id of 2,000 bytes": {id: badPart + strings.Repeat("0", 2000-len(badPart))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newTrialBench(t, 16, 0, 10*time.Second)
			n := 0
			ask := func(parts string) int {
				n++
				return b.askWithParts(n, "sys:800,"+sharedParts("b", test.before)+parts+sharedParts(",a", test.after))
			}
			for doc := range 8 {
				is.Equal(ask(fmt.Sprintf("doc%d:300", doc)), http.StatusOK)
			}
			time.Sleep(warmUp)
			for i := range 12 {
				ask(fmt.Sprintf("%s:%d,doc%d:300", test.id, 100+i, i%8)) // another size each time
				time.Sleep(120 * time.Millisecond)
			}
			t.Logf("%d engines crashed", b.crashed())
			is.True(b.crashed() <= 5)
			served := 0
			for doc := range 20 {
				if ask(fmt.Sprintf("doc%d:300", doc)) == http.StatusOK {
					served++
				}
			}
			t.Logf("%d of 20 sound requests were served", served)
			is.True(served >= 18)
		})
	}
}

// sharedParts returns n parts of a prompt that all requests share. They begin with a comma if
// name does, else each ends with one.
func sharedParts(name string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%s%d:4", name, i)
		if name[0] != ',' {
			b.WriteByte(',')
		}
	}
	return b.String()
}

// warmUp is the time for which the entry has run when the crashes begin.
const warmUp = 2 * time.Second

// TestPartBlockedWhileRunning guards against requests that crash their servers although the
// part that does it has become known while they wait for their first event.
func TestPartBlockedWhileRunning(t *testing.T) {
	is := is.New(t)
	b := newTrialBench(t, 4, 0, 10*time.Second)
	for _, s := range b.servers {
		s.AddFaults(rig.FaultNoAnswer)
	}
	status := make(chan int, 1)
	go func() { status <- b.askWithParts(1, "sys:800,late:100") }()
	waitFor(t, func() bool { return len(b.runs()) == 1 })
	began := time.Now()
	for i := range 3 {
		b.screener.Record(&wire.Accusation{Fingerprint: screener.PartFingerprint("late"), Server: fmt.Sprint("x-", i), Certain: true})
	}
	is.Equal(<-status, http.StatusBadGateway) // it may have run
	is.True(time.Since(began) < 200*time.Millisecond)
	is.Equal(len(b.runs()), 1)
	waitFor(t, func() bool { return b.disconnects() == 1 })
	for _, s := range b.servers {
		is.True(!b.ejector.Ejected(viewer.ServerID(s.ID()), time.Now()))
	}
}

// disconnects returns the number of requests that the entry has abandoned.
func (b *bench) disconnects() int {
	n := 0
	for _, s := range b.servers {
		n += s.Disconnects()
	}
	return n
}
