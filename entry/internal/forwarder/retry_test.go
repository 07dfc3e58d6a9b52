package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestMayResend(t *testing.T) {
	const remaining = time.Second
	tests := map[string]struct {
		history history
		last    sendResult
		want    bool
	}{
		"repeatable, broken once":       {history: history{repeatable: true, sends: 1, runs: 1, maxRuns: 2, remaining: remaining}, last: sendBroken, want: true},
		"repeatable, failed once":       {history: history{repeatable: true, sends: 1, runs: 1, maxRuns: 2, remaining: remaining}, last: sendFailed, want: true},
		"repeatable, maximum reached":   {history: history{repeatable: true, sends: 2, runs: 2, maxRuns: 2, remaining: remaining}, last: sendBroken},
		"once, broken":                  {history: history{sends: 1, runs: 1, maxRuns: 3, remaining: remaining}, last: sendBroken},
		"once, failed":                  {history: history{sends: 1, runs: 1, maxRuns: 3, remaining: remaining}, last: sendFailed},
		"once, not run":                 {history: history{sends: 1, maxRuns: 1, remaining: remaining}, last: sendNotRun, want: true},
		"once, broken, then not run":    {history: history{sends: 2, runs: 1, maxRuns: 5, remaining: remaining}, last: sendNotRun},
		"maximum reached, then not run": {history: history{repeatable: true, sends: 3, runs: 2, maxRuns: 2, remaining: remaining}, last: sendNotRun},
		"not run too often":             {history: history{repeatable: true, sends: 4, maxRuns: 2, remaining: remaining}, last: sendNotRun},
		"no time left":                  {history: history{repeatable: true, sends: 1, runs: 1, maxRuns: 2, remaining: time.Millisecond}, last: sendBroken},
		"started, resumable":            {history: history{repeatable: true, resumable: true, started: true, sends: 1, runs: 1, maxRuns: 2, remaining: remaining}, last: sendBroken, want: true},
		"started, not resumable":        {history: history{repeatable: true, started: true, sends: 1, runs: 1, maxRuns: 2, remaining: remaining}, last: sendBroken},
		"answered":                      {history: history{repeatable: true, sends: 1, runs: 1, maxRuns: 2, remaining: remaining}, last: sendDone},
		"caller disconnected":           {history: history{repeatable: true, sends: 1, runs: 1, maxRuns: 2, remaining: remaining}, last: sendCanceled},
		"reached no server yet":         {history: history{maxRuns: 1, remaining: remaining}, last: sendNotRun, want: true},
		"started, not repeatable":       {history: history{sends: 1, runs: 1, maxRuns: 2, remaining: remaining, started: true}, last: sendBroken},
		"refused before it could run":   {history: history{repeatable: true, sends: 3, maxRuns: 2, remaining: remaining}, last: sendNotRun, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(mayResend(test.history, test.last), test.want) })
	}
}

// TestFinalStatus checks that the status is 503 only if the request has not run.
func TestFinalStatus(t *testing.T) {
	tests := map[string]struct {
		history history
		want    int
	}{
		"nothing ran":         {history: history{sends: 3, remaining: time.Second}, want: http.StatusServiceUnavailable},
		"nothing ran in time": {history: history{remaining: -time.Second}, want: http.StatusServiceUnavailable},
		"may have run":        {history: history{sends: 1, runs: 1, remaining: time.Second}, want: http.StatusBadGateway},
		"time is up":          {history: history{sends: 1, runs: 1}, want: http.StatusGatewayTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(finalStatus(test.history), test.want) })
	}
}
