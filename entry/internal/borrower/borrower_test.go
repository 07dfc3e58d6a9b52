package borrower_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/core/limiter"
	"bamboohill/entry/internal/borrower"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// entries are borrowers that call each other directly. Those in dead neither make
// nor answer calls.
type entries struct {
	plan *wire.Plan
	dead []string
	all  map[string]*borrower.Borrower
}

var errUnreachable = errors.New("cut")

func (e *entries) others(self string) []string {
	var list []string
	for name := range e.all {
		if name != self && !slices.Contains(e.dead, name) {
			list = append(list, name)
		}
	}
	return list
}

func newEntries(plan *wire.Plan, names ...string) *entries {
	e := &entries{plan: plan, all: map[string]*borrower.Borrower{}}
	for _, name := range names {
		e.all[name] = borrower.New(borrower.Config{
			Self: name, Live: func() []string { return e.others(name) }, Plan: func(string) *wire.Plan { return plan },
			Borrow: func(ctx context.Context, home string, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
				if slices.Contains(e.dead, home) || slices.Contains(e.dead, name) {
					return nil, errUnreachable
				}
				return e.all[home].Lend(ctx, q)
			},
		})
	}
	return e
}

// send sends a request through every live entry each 5 ms for the given time, and
// returns how many requests a second were admitted.
func (e *entries) send(t *testing.T, duration time.Duration) float64 {
	admitted := 0
	for start := time.Now(); time.Since(start) < duration; time.Sleep(5 * time.Millisecond) {
		for name, b := range e.all {
			if slices.Contains(e.dead, name) {
				continue
			}
			release, err := b.Take(t.Context(), identifier.Account("a"), e.plan, 1)
			if err == nil {
				admitted++
				release(true, time.Now())
			}
		}
	}
	return float64(admitted) / duration.Seconds()
}

func TestRateLimitHoldsAcrossEntries(t *testing.T) {
	tests := map[string]struct {
		dead    func(home string) []string // entries that are unreachable after 8 s
		maxRate float64                    // requests a second in the first 2 s of the loss
	}{
		"all live":     {dead: func(string) []string { return nil }, maxRate: 110},
		"home lost":    {dead: func(home string) []string { return []string{home} }, maxRate: 200},
		"home, y lost": {dead: func(home string) []string { return []string{home, "y"} }, maxRate: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newEntries(&wire.Plan{Rate: 100}, "x", "y", "z")
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				for _, b := range e.all {
					go b.Run(ctx)
				}
				e.send(t, 3*time.Second) // until the first shares and their bursts are used up
				rate := e.send(t, 5*time.Second)
				is.True(rate > 85 && rate < 110)
				e.dead = test.dead(limiter.HomeOf("a", []string{"x", "y", "z"}))
				is.True(e.send(t, 2*time.Second) < test.maxRate) // until the old leases expire
				e.send(t, 3*time.Second)
				rate = e.send(t, 5*time.Second)
				is.True(rate > 85 && rate < 110)
			})
		})
	}
}

func TestEqualShareWithoutHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := borrower.New(borrower.Config{
			Self: "x", Live: func() []string { return []string{"y", "z"} }, Plan: func(string) *wire.Plan { return nil },
			Borrow: func(ctx context.Context, _ string, _ *wire.BorrowRequest) (*wire.BorrowReply, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		})
		plan := &wire.Plan{Rate: 30, Concurrency: 3}
		start := time.Now()
		for _, account := range []identifier.Account{"a", "b", "c", "d"} {
			_, err := b.Take(t.Context(), account, plan, 1)
			is.NoErr(err)
			_, err = b.Take(t.Context(), account, plan, 1)
			var limit *limiter.LimitError
			is.True(errors.As(err, &limit)) // an equal share of a concurrency of 3 among three entries is 1
			is.True(limit.RetryAfter > 0)
		}
		is.True(time.Since(start) <= 400*time.Millisecond) // at most 100 ms per account, on the fake clock
	})
}
