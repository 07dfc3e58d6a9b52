package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"bamboohill/core/budgeter"
	"bamboohill/platform/rig"

	"github.com/matryer/is"
)

// TestGoneServersSpendNoBudget checks that a request whose connections are refused by servers
// that are gone reaches the one that is left, with a retry budget of none, and that a retry
// after a rejection still needs the budget.
func TestGoneServersSpendNoBudget(t *testing.T) {
	tests := map[string]struct {
		rejects bool // the server that is left rejects the first request that it gets
		want    int
	}{
		"served":   {want: http.StatusOK},
		"rejected": {rejects: true, want: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 0, 6)
			b.entry.Budgeter = budgeter.New(budgeter.Config{Ratio: 1e-9, Slack: 1e-9, Window: time.Minute})
			for _, s := range b.servers[1:] {
				is.NoErr(s.Close())
			}
			if test.rejects {
				b.servers[0].AddFaults(rig.FaultRefused)
			}
			got, _, err := b.do(b.request("POST", "/read/x", "hello"))
			is.NoErr(err)
			is.Equal(got.StatusCode, test.want)
			is.Equal(b.metric("repeats") > b.metric("unreached"), false) // a retry that was not paid for
		})
	}
}
