package limiter_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/core/limiter"
	"bamboohill/wire"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// kind returns the kind of a *limiter.LimitError, or "" for another error.
func kind(err error) limiter.Kind {
	var limit *limiter.LimitError
	if errors.As(err, &limit) {
		return limit.Kind
	}
	return ""
}

// TestTake sends ten requests to a limiter that holds a share, and checks how
// many are admitted and why the others are refused.
func TestTake(t *testing.T) {
	share := limiter.Share{Rate: 2, Concurrency: 3, Expires: origin.Add(time.Hour)}
	tests := map[string]struct {
		plan     *wire.Plan
		share    limiter.Share
		gap      time.Duration // between requests
		hold     bool          // requests don't end
		admitted int           // of ten
		kind     limiter.Kind
	}{
		"unlimited":     {plan: &wire.Plan{}, hold: true, admitted: 10},
		"rate":          {plan: &wire.Plan{Rate: 100}, share: share, admitted: 1, kind: limiter.Rate},
		"slow enough":   {plan: &wire.Plan{Rate: 100}, share: share, gap: time.Second / 2, admitted: 10},
		"concurrency":   {plan: &wire.Plan{Concurrency: 100}, share: share, hold: true, admitted: 3, kind: limiter.Concurrency},
		"one at a time": {plan: &wire.Plan{Concurrency: 100}, share: share, admitted: 10},
		"both":          {plan: &wire.Plan{Rate: 100, Concurrency: 100}, share: share, gap: time.Second, hold: true, admitted: 3, kind: limiter.Concurrency},
		"no share yet":  {plan: &wire.Plan{Rate: 100}},
		"share expired": {plan: &wire.Plan{Rate: 100}, share: limiter.Share{Rate: 2, Expires: origin}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := origin
			l := holding(test.plan, test.share, now)
			admitted := 0
			var last error
			for range 10 {
				release, err := l.Take("a", test.plan, 1, now)
				if err != nil {
					last = err
				} else {
					admitted++
					if !test.hold {
						release(true, now)
					}
				}
				now = now.Add(test.gap)
			}
			is.Equal(admitted, test.admitted)
			is.Equal(kind(last), test.kind)
			if test.kind != "" {
				is.Equal(l.Counts(now).Refused[test.kind], int64(10-test.admitted))
			}
			var none *limiter.NoShareError
			is.Equal(errors.As(last, &none), test.admitted == 0)
		})
	}
}

// holding returns a limiter that holds a share of account a.
func holding(plan *wire.Plan, share limiter.Share, now time.Time) *limiter.Limiter {
	l := limiter.New(limiter.Config{})
	if limiter.Limited(plan) {
		l.Take("a", plan, 1, now) // refused, but creates the account
	}
	l.Grant("a", share, now)
	return l
}

// TestReleaseCountsOnce checks that a second call of a Release frees no second
// slot.
func TestReleaseCountsOnce(t *testing.T) {
	is := is.New(t)
	plan := &wire.Plan{Concurrency: 2}
	l := holding(plan, limiter.Share{Concurrency: 2, Expires: origin.Add(time.Hour)}, origin)
	first, err := l.Take("a", plan, 1, origin)
	is.NoErr(err)
	_, err = l.Take("a", plan, 1, origin)
	is.NoErr(err)
	first(true, origin)
	first(true, origin)
	_, err = l.Take("a", plan, 1, origin)
	is.NoErr(err)
	_, err = l.Take("a", plan, 1, origin)
	is.Equal(kind(err), limiter.Concurrency)
}

// TestRemovalOfIdleAccount checks that an idle account is removed, but not while
// a request of it runs.
func TestRemovalOfIdleAccount(t *testing.T) {
	is := is.New(t)
	l := limiter.New(limiter.Config{IdleTimeout: time.Second})
	release, err := l.Take("a", &wire.Plan{}, 1, origin)
	is.NoErr(err)
	l.Renewals(origin.Add(time.Hour), origin) // not removed while a request runs
	release(true, origin.Add(time.Hour))
	l.Renewals(origin.Add(2*time.Hour), origin)
	is.Equal(l.ShareRequest("a", origin).Running, 0)
}

// TestSharesStayWithinThePlan checks that the unexpired shares never add up to
// more than the plan. After the home entry has failed they may exceed it by
// what it had lent, for one lease.
func TestSharesStayWithinThePlan(t *testing.T) {
	const lease = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		plan := &wire.Plan{Rate: float64(rapid.IntRange(1, 100).Draw(t, "rate")), Concurrency: int32(rapid.IntRange(1, 20).Draw(t, "concurrency"))}
		entries := rapid.IntRange(1, 5).Draw(t, "entries")
		home := limiter.NewHome(limiter.HomeConfig{Lease: lease})
		now := origin
		held := map[int]limiter.Share{}
		var failed []limiter.Share // lent by failed home entries, until the leases end
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"borrow": func(t *rapid.T) {
				e := rapid.IntRange(0, entries-1).Draw(t, "entry")
				held[e] = home.Lend(fmt.Sprint(e), limiter.ShareRequest{
					Account: "a", Plan: plan, Demand: rapid.Float64Range(0, 200).Draw(t, "demand"),
					Running: rapid.IntRange(0, min(held[e].Concurrency, 20)).Draw(t, "running"), Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"),
				}, entries, now)
			},
			"fail home": func(*rapid.T) {
				lent := home.Lent("a", now)
				lent.Expires = now.Add(lease)
				failed = append(failed, lent)
				home = limiter.NewHome(limiter.HomeConfig{Lease: lease})
			},
			"": func(t *rapid.T) {
				var sum limiter.Share
				for _, s := range held {
					if now.Before(s.Expires) {
						sum.Rate += s.Rate
						sum.Concurrency += s.Concurrency
					}
				}
				allowed := limiter.Share{}
				for _, s := range failed {
					if now.Before(s.Expires) {
						allowed.Rate += s.Rate
						allowed.Concurrency += s.Concurrency
					}
				}
				if sum.Rate > plan.GetRate()+allowed.Rate+1e-9 || sum.Concurrency > int(plan.GetConcurrency())+allowed.Concurrency {
					t.Fatalf("shares %+v exceed plan rate %v, concurrency %v and allowance %+v", sum, plan.GetRate(), plan.GetConcurrency(), allowed)
				}
			},
		})
	})
}

// TestLend checks the shares of two entries, x and y, as their demands change.
func TestLend(t *testing.T) {
	is := is.New(t)
	plan := &wire.Plan{Rate: 100, Concurrency: 10}
	home := limiter.NewHome(limiter.HomeConfig{Lease: 2 * time.Second})
	ask := func(entry string, demand float64, running int, now time.Time) limiter.Share {
		return home.Lend(entry, limiter.ShareRequest{Account: "a", Plan: plan, Demand: demand, Running: running}, 2, now)
	}
	first := ask("x", 500, 9, origin)
	is.Equal(first.Rate, 90.0) // the rest is reserved for y
	second := ask("y", 500, 9, origin.Add(time.Second))
	is.Equal(second.Rate, 10.0)
	is.Equal(second.Concurrency, 1)
	now := origin.Add(1500 * time.Millisecond)
	is.Equal(ask("x", 500, 5, now).Rate, 50.0) // equal demands give equal shares
	is.Equal(ask("y", 500, 1, now).Rate, 50.0)
	is.True(ask("x", 1, 0, now).Rate <= 50)
	is.True(ask("y", 500, 1, now).Rate > 60) // more, since x demands less
	is.Equal(home.Lent("a", now.Add(time.Hour)), limiter.Share{})
}

// TestUnusedSlotIsReassigned checks that a slot that one entry doesn't use goes
// to an entry with waiting requests, and that a share without recent requests
// isn't renewed.
func TestUnusedSlotIsReassigned(t *testing.T) {
	is := is.New(t)
	plan := &wire.Plan{Concurrency: 1}
	home := limiter.NewHome(limiter.HomeConfig{Lease: 2 * time.Second})
	ask := func(entry string, waiting int, now time.Time) int {
		return home.Lend(entry, limiter.ShareRequest{Account: "a", Plan: plan, Waiting: waiting}, 2, now).Concurrency
	}
	is.Equal(ask("x", 0, origin), 1)
	is.Equal(ask("y", 1, origin.Add(time.Second)), 0)
	is.Equal(ask("x", 0, origin.Add(1500*time.Millisecond)), 0)
	is.Equal(ask("y", 1, origin.Add(1600*time.Millisecond)), 1)

	l := holding(plan, limiter.Share{Concurrency: 1, Expires: origin.Add(time.Second)}, origin)
	l.Take("a", plan, 1, origin)
	is.Equal(len(l.Renewals(origin.Add(time.Hour), origin.Add(2*time.Hour))), 1) // a request runs
	l = holding(plan, limiter.Share{Concurrency: 1, Expires: origin.Add(time.Second)}, origin)
	is.Equal(len(l.Renewals(origin, origin.Add(2*time.Second))), 1)
	is.Equal(len(l.Renewals(origin.Add(2*time.Second), origin.Add(4*time.Second))), 0) // no request for 2 s
}

// TestMaxMinLevel checks levels that limit some of the demands, all, and none.
func TestMaxMinLevel(t *testing.T) {
	is := is.New(t)
	is.Equal(limiter.MaxMinLevel([]float64{1, 10, 10}, 11), 5.0)
	is.Equal(limiter.MaxMinLevel([]float64{5, 5, 5}, 9), 3.0)
	is.True(limiter.MaxMinLevel([]float64{1, 2}, 3) > 1e300)
}

// admittedWork simulates a fleet with a capacity in tokens/s under the work that
// each account offers, and returns the admitted work of each account in the
// second half of the run. All rates are in tokens/s.
func admittedWork(capacity float64, offered, weights map[string]float64) map[string]float64 {
	const (
		tick   = time.Millisecond
		work   = 100
		length = 60 * time.Second
	)
	l := limiter.New(limiter.Config{Fair: limiter.FairConfig{MinCapacity: 1}})
	admitted, due := map[string]float64{}, map[string]float64{}
	var queue []limiter.Release
	served := 0.0
	for at := time.Duration(0); at < length; at += tick {
		now := origin.Add(at)
		for served += capacity * tick.Seconds(); served >= work; served -= work {
			if len(queue) > 0 {
				queue[0](true, now)
				queue = queue[1:]
			}
		}
		l.SetBacklog(time.Duration(float64(len(queue)) * work / capacity * float64(time.Second)))
		for _, name := range []string{"a", "b", "c"} {
			due[name] += offered[name] * tick.Seconds()
			for ; due[name] >= work; due[name] -= work {
				release, err := l.Take(identifier.Account(name), &wire.Plan{Weight: weights[name]}, work, now)
				if err != nil {
					continue
				}
				queue = append(queue, release)
				if at >= length/2 {
					admitted[name] += work / (length / 2).Seconds()
				}
			}
		}
	}
	return admitted
}

// TestFairShares checks that an overloaded fleet with a capacity of 100,000
// tokens/s admits the weighted max-min fair share of each account, within 15%.
func TestFairShares(t *testing.T) {
	tests := map[string]struct {
		offered map[string]float64
		weights map[string]float64
		want    map[string]float64
	}{
		"no overload":        {offered: map[string]float64{"a": 40_000, "b": 20_000, "c": 10_000}, want: map[string]float64{"a": 40_000, "b": 20_000, "c": 10_000}},
		"alone":              {offered: map[string]float64{"a": 400_000}, want: map[string]float64{"a": 400_000}},
		"one large":          {offered: map[string]float64{"a": 400_000, "b": 20_000, "c": 10_000}, want: map[string]float64{"a": 70_000, "b": 20_000, "c": 10_000}},
		"two large":          {offered: map[string]float64{"a": 400_000, "b": 200_000, "c": 10_000}, want: map[string]float64{"a": 45_000, "b": 45_000, "c": 10_000}},
		"two large, weights": {offered: map[string]float64{"a": 400_000, "b": 400_000, "c": 10_000}, weights: map[string]float64{"a": 2, "b": 1, "c": 1}, want: map[string]float64{"a": 60_000, "b": 30_000, "c": 10_000}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := admittedWork(100_000, test.offered, test.weights)
			for account, want := range test.want {
				t.Logf("%s: admitted %.0f, want %.0f", account, got[account], want)
				is.True(got[account] > 0.85*want)
				is.True(got[account] < 1.15*want)
			}
		})
	}
}
