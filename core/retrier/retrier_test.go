package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/core/retrier"

	"github.com/matryer/is"
)

func TestAllAttemptsFail(t *testing.T) {
	tests := map[string]struct {
		accounts int
		requests int
		maxRatio float64 // attempts per request
	}{
		"one account":   {accounts: 1, requests: 2000, maxRatio: 1.2},
		"many accounts": {accounts: 50, requests: 2000, maxRatio: 1.2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			r := retrier.New(retrier.Config{})
			sent := 0
			for i := range test.requests {
				account := identifier.Account(rune('a' + i%test.accounts))
				r.RecordRequest(account)
				sent++
				for try := 1; try < 8; try++ {
					if _, ok := r.Retry(account, try, time.Minute, random.Float64()); !ok {
						break
					}
					sent++
				}
			}
			is.True(float64(sent) < test.maxRatio*float64(test.requests)) // the budget limits the retries
			is.True(sent > test.requests)                                 // but allows some
		})
	}
}

func TestAccountCannotExhaustEntryBudget(t *testing.T) {
	is := is.New(t)
	r := retrier.New(retrier.Config{Burst: 20, AccountShare: 0.25})
	r.RecordRequest("large")
	for {
		if _, ok := r.Retry("large", 1, time.Minute, 0); !ok {
			break
		}
	}
	_, ok := r.Retry("small", 1, time.Minute, 0)
	is.True(ok)
}

func TestDelayFitsTimeLeft(t *testing.T) {
	tests := map[string]struct {
		attempts int
		left     time.Duration
		random   float64
		want     time.Duration
		ok       bool
	}{
		"first":        {attempts: 1, left: time.Second, random: 0.5, want: 5 * time.Millisecond, ok: true},
		"doubles":      {attempts: 3, left: time.Second, random: 0.5, want: 20 * time.Millisecond, ok: true},
		"bounded":      {attempts: 30, left: time.Minute, random: 0.5, want: time.Second, ok: true},
		"no time left": {attempts: 3, left: 20 * time.Millisecond, random: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := retrier.New(retrier.Config{BaseDelay: 10 * time.Millisecond, MaxDelay: 2 * time.Second})
			delay, ok := r.Retry("a", test.attempts, test.left, test.random)
			is.Equal(ok, test.ok)
			is.Equal(delay, test.want)
		})
	}
}
