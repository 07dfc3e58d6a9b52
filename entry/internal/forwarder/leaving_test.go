package forwarder_test

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"bamboohill/core/viewer"
	"bamboohill/platform/rig"

	"github.com/matryer/is"
)

// leavingNotice is the time from an answer that says that its server leaves until no new
// request is sent there.
const leavingNotice = 100 * time.Millisecond

// TestRequestsAfterLeaving guards against requests to a server whose answers say that it
// leaves, although the store still says that it is ready.
func TestRequestsAfterLeaving(t *testing.T) {
	tests := map[string]struct {
		path    string
		refuses bool
		faults  []string
	}{
		"engines":         {path: "/chat/x"},
		"plain":           {path: "/read/x"},
		"at most once":    {path: "/book/x"},
		"rejections":      {path: "/read/x", refuses: true},
		"failure":         {path: "/read/x", faults: []string{rig.FaultServerError}},
		"strays":          {path: "/read/x", faults: []string{rig.FaultOtherAttempt, rig.FaultOtherAttempt}},
		"broken streams":  {path: "/chat/x", faults: []string{rig.FaultMidEvent}},
		"without lengths": {path: "/read/x", faults: []string{rig.FaultNoLength}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newBench(t, 2, 2)
			leaves := map[string]bool{"i-0": true, "p-0": true}
			for _, s := range b.servers {
				if leaves[s.ID()] {
					s.Say(0, "Server-Leaving: 1")
					s.AddFaults(test.faults...)
				}
				if leaves[s.ID()] && test.refuses {
					s.Refuse(http.StatusServiceUnavailable)
				}
			}
			statuses := count(b.steadyLoad(test.path, 20*time.Millisecond, 2*time.Second))
			t.Logf("answers by status: %v", statuses)
			is.Equal(statuses[http.StatusOK], 100) // the other server has room for all
			for _, s := range b.servers {
				arrivals := s.Arrivals()
				if !leaves[s.ID()] || len(arrivals) == 0 {
					continue
				}
				first := arrivals[0].At
				n := arrivedIn(arrivals, first.Add(leavingNotice), time.Now())
				t.Logf("%s: %d requests, %d after it said that it leaves", s.ID(), len(arrivals), n)
				is.Equal(n, 0)
			}
		})
	}
}

// TestLeavingServerStartsAgain checks that a server that leaves gets requests again once it
// has started anew under its id, and none before whatever the store says.
func TestLeavingServerStartsAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 1)
	s := b.servers[0]
	s.Say(0, "Server-Leaving: 1")
	got, _, _ := b.do(b.request("POST", "/read/x", "hello"))
	is.Equal(got.StatusCode, http.StatusOK)
	s.Say(0)
	b.view.SetServers(b.view.Load().Servers) // the store says once more that it is ready
	got, _, _ = b.do(b.request("POST", "/read/x", "hello"))
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	is.True(got.Header.Get("Retry-After") != "")
	next := maps.Clone(b.view.Load().Servers)
	again := *next[viewer.ServerID(s.ID())]
	again.StartMillis++
	next[again.ID] = &again
	b.view.SetServers(next)
	got, _, _ = b.do(b.request("POST", "/read/x", "hello"))
	is.Equal(got.StatusCode, http.StatusOK)
}
