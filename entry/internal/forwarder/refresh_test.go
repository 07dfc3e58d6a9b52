package forwarder_test

import (
	"strconv"
	"testing"
	"time"

	"bamboohill/core/loadtracker"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

// TestRefreshBeforeDecision checks that a decision uses what another entry has told, although
// it is read only then: the server that the other one fills gets nothing.
func TestRefreshBeforeDecision(t *testing.T) {
	for path, full := range map[string]string{"/read/x": "p-0", "/chat/x": "i-0"} {
		t.Run(full, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 2, 2)
			b.entry.Refresh = func() {
				work := loadtracker.Load{Running: 4, ContextTokens: 100_000, Prefill: time.Minute}
				b.loads.ApplyPeerReport("other", loadtracker.Report{Loads: map[uint32]loadtracker.Load{loadtracker.Hash(viewer.ServerID(full)): work}}, time.Now())
			}
			for n := range 12 {
				r := b.request("POST", path, "hello")
				r.Header.Set("Attempt-Id", "refresh-"+strconv.Itoa(n))
				_, _, err := b.do(r)
				is.NoErr(err)
			}
			for i, id := range []string{"i-0", "i-1", "p-0", "p-1"} {
				if ran := len(b.servers[i].Runs()); id == full {
					is.Equal(ran, 0)
				}
			}
			is.Equal(len(b.runs()), 12)
		})
	}
}
