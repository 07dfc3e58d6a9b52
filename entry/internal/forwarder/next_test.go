package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNext(t *testing.T) {
	const left = time.Second
	tests := map[string]struct {
		history history
		last    fate
		want    bool
	}{
		"repeatable, broken once":         {history: history{repeatable: true, sends: 1, runs: 1, most: 2, left: left}, last: fateBroken, want: true},
		"repeatable, failed once":         {history: history{repeatable: true, sends: 1, runs: 1, most: 2, left: left}, last: fateFailed, want: true},
		"repeatable, bound reached":       {history: history{repeatable: true, sends: 2, runs: 2, most: 2, left: left}, last: fateBroken},
		"once, broken":                    {history: history{sends: 1, runs: 1, most: 3, left: left}, last: fateBroken},
		"once, failed":                    {history: history{sends: 1, runs: 1, most: 3, left: left}, last: fateFailed},
		"once, not run":                   {history: history{sends: 1, most: 1, left: left}, last: fateNotRun, want: true},
		"once, broken, then not run":      {history: history{sends: 2, runs: 1, most: 5, left: left}, last: fateNotRun},
		"bound reached, then not run":     {history: history{repeatable: true, sends: 3, runs: 2, most: 2, left: left}, last: fateNotRun},
		"not run too often":               {history: history{repeatable: true, sends: 4, most: 2, left: left}, last: fateNotRun},
		"no time left":                    {history: history{repeatable: true, sends: 1, runs: 1, most: 2, left: time.Millisecond}, last: fateBroken},
		"begun, and can go on elsewhere":  {history: history{repeatable: true, resumable: true, begun: true, sends: 1, runs: 1, most: 2, left: left}, last: fateBroken, want: true},
		"begun, and can't go on":          {history: history{repeatable: true, begun: true, sends: 1, runs: 1, most: 2, left: left}, last: fateBroken},
		"answered":                        {history: history{repeatable: true, sends: 1, runs: 1, most: 2, left: left}, last: fateDone},
		"the caller has left":             {history: history{repeatable: true, sends: 1, runs: 1, most: 2, left: left}, last: fateLeft},
		"never reached a server, so far":  {history: history{most: 1, left: left}, last: fateNotRun, want: true},
		"stream that must not go on":      {history: history{sends: 1, runs: 1, most: 2, left: left, begun: true}, last: fateBroken},
		"turned down before it could run": {history: history{repeatable: true, sends: 3, most: 2, left: left}, last: fateNotRun, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(next(test.history, test.last), test.want) })
	}
}

// TestFinal: unavailable only if nothing ran.
func TestFinal(t *testing.T) {
	tests := map[string]struct {
		history history
		want    int
	}{
		"nothing ran":         {history: history{sends: 3, left: time.Second}, want: http.StatusServiceUnavailable},
		"nothing ran in time": {history: history{left: -time.Second}, want: http.StatusServiceUnavailable},
		"may have run":        {history: history{sends: 1, runs: 1, left: time.Second}, want: http.StatusBadGateway},
		"time is up":          {history: history{sends: 1, runs: 1}, want: http.StatusGatewayTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(final(test.history), test.want) })
	}
}
