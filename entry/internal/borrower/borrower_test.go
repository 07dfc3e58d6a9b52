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

// entries are borrowers that reach each other directly.
type entries struct {
	plan *wire.Plan
	dead []string
	all  map[string]*borrower.Borrower
}

var errCut = errors.New("cut")

func (e *entries) others(self string) []string {
	var list []string
	for name := range e.all {
		if name != self && !slices.Contains(e.dead, name) {
			list = append(list, name)
		}
	}
	return list
}

func join(plan *wire.Plan, names ...string) *entries {
	e := &entries{plan: plan, all: map[string]*borrower.Borrower{}}
	for _, name := range names {
		e.all[name] = borrower.New(borrower.Config{
			Self: name, Live: func() []string { return e.others(name) }, Plan: func(string) *wire.Plan { return plan },
			Borrow: func(ctx context.Context, home string, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
				if slices.Contains(e.dead, home) || slices.Contains(e.dead, name) {
					return nil, errCut
				}
				return e.all[home].Lend(ctx, q)
			},
		})
	}
	return e
}

// offer has every live entry offer a request each 5 ms for a while, and
// returns how many a second were let through.
func (e *entries) offer(t *testing.T, length time.Duration) float64 {
	taken := 0
	for begin := time.Now(); time.Since(begin) < length; time.Sleep(5 * time.Millisecond) {
		for name, b := range e.all {
			if slices.Contains(e.dead, name) {
				continue
			}
			release, err := b.Take(t.Context(), identifier.Account("a"), e.plan, 1)
			if err == nil {
				taken++
				release(true, time.Now())
			}
		}
	}
	return float64(taken) / length.Seconds()
}

func TestRateHoldsOverEntries(t *testing.T) {
	tests := map[string]struct {
		dead func(home string) []string // from the third second on
		most float64                    // requests a second while the loss is new
	}{
		"all live":        {dead: func(string) []string { return nil }, most: 110},
		"home lost":       {dead: func(home string) []string { return []string{home} }, most: 200},
		"all but one cut": {dead: func(home string) []string { return []string{home, "y"} }, most: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := join(&wire.Plan{Rate: 100}, "x", "y", "z")
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				for _, b := range e.all {
					go b.Run(ctx)
				}
				e.offer(t, 3*time.Second) // the first shares and their bursts
				rate := e.offer(t, 5*time.Second)
				is.True(rate > 85 && rate < 110)
				e.dead = test.dead(limiter.HomeOf("a", []string{"x", "y", "z"}))
				is.True(e.offer(t, 2*time.Second) < test.most) // a lease
				e.offer(t, 3*time.Second)
				rate = e.offer(t, 5*time.Second)
				is.True(rate > 85 && rate < 110)
			})
		})
	}
}

func TestNoHomeAnswers(t *testing.T) {
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
		begin := time.Now()
		for _, account := range []identifier.Account{"a", "b", "c", "d"} {
			_, err := b.Take(t.Context(), account, plan, 1)
			is.NoErr(err)
			_, err = b.Take(t.Context(), account, plan, 1)
			var limit *limiter.LimitError
			is.True(errors.As(err, &limit)) // one of three, equal parts
			is.True(limit.RetryAfter > 0)
		}
		is.True(time.Since(begin) <= 400*time.Millisecond) // 100 ms an account at most, on the fake clock
	})
}
