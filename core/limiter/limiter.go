// Package limiter keeps the limits of client accounts over all entries,
// without a store: rates, concurrency, and fair shares of the work under
// overload.
//
// Each account has a home entry (HomeOf, the same at every entry) that lends
// parts of the plan's rate and concurrency to the entries that ask, each under
// a lease. An entry lets requests through up to its own share alone, so the
// shares in force never add up to more than the plan while the home lives. A
// lost home costs at most the shares that it had lent, for one lease: the next
// home lends anew. An entry that reaches no home at all falls back to an equal
// part.
//
// Under overload the limiter shares out what the entry gets done, in work and
// weighted by plan, so that one large account cannot crowd out the small ones.
// Without overload it refuses nothing for that reason.
//
// # Usage
//
//	l := limiter.New(limiter.Config{})
//	release, err := l.Take(account, plan, work, time.Now())
//	var need *limiter.BorrowError
//	if errors.As(err, &need) {
//		l.Grant(account, share, now) // lent by the home, or limiter.Equal
//		release, err = l.Take(account, plan, work, now)
//	}
//	if err != nil { ... }             // *limiter.LimitError: when to come back
//	defer func() { release(served, time.Now()) }()
//
// A Limiter and a Home are safe for concurrent use.
package limiter

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"sync"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/wire"
)

// Defaults of Config.
const (
	defaultBurst = time.Second
	defaultRetry = 500 * time.Millisecond
	defaultIdle  = time.Minute
)

// unusedAfter is how long after an account's last request its share is still
// renewed.
const unusedAfter = time.Second

// demandMemory is how far back the measured demand of an account reaches.
const demandMemory = 2 * time.Second

// Config describes a Limiter. Zero values mean the defaults.
type Config struct {
	Burst time.Duration // of the rate that may be used at once, 1 s
	Retry time.Duration // soonest time to come back, 500 ms
	Idle  time.Duration // until an account without requests is forgotten, 1 min
	Fair  FairConfig
}

// Share is a part of an account's limits. Zero means none of it, and
// Unlimited no bound.
type Share struct {
	Rate        float64 // requests a second
	Concurrency int     // requests at once
	Until       time.Time
}

// Unlimited is a concurrency without a bound.
const Unlimited = math.MaxInt32

// Kind names a limit.
type Kind string

// Kinds of limits.
const (
	Rate        Kind = "rate"
	Concurrency Kind = "concurrency"
	Fairness    Kind = "fairness"
)

// LimitError says that an account is over a limit.
type LimitError struct {
	Account identifier.Account
	Kind    Kind
	Retry   time.Duration // when to come back
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("limiter: account %s is over its %s", e.Account, e.Kind)
}

// BorrowError says that the entry holds no share in force of an account's
// limits: borrow one and take again.
type BorrowError struct {
	Account identifier.Account
}

// Error implements error.
func (e *BorrowError) Error() string {
	return fmt.Sprintf("limiter: no share of account %s", e.Account)
}

// Want is what an entry asks the home of an account for.
type Want struct {
	Account identifier.Account
	Plan    *wire.Plan
	Demand  float64 // requests a second seen
	Running int
	Waiting int // refused since the last asking
}

// Limiter holds an entry's shares.
type Limiter struct {
	config   Config
	mu       sync.Mutex
	accounts map[identifier.Account]*account
	fair     *fair
	counts   Counts
}

// Counts is what a Limiter has done and holds.
type Counts struct {
	Refused map[Kind]int64 // since the start
	Shares  int            // in force
	Sharing bool           // accounts share the work: the fleet is overloaded
}

// Counts returns what the limiter has done and holds.
func (l *Limiter) Counts(now time.Time) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{Refused: maps.Clone(l.counts.Refused), Sharing: l.fair.pressed}
	for _, a := range l.accounts {
		if now.Before(a.share.Until) {
			c.Shares++
		}
	}
	return c
}

// account is what an entry holds of one account.
type account struct {
	plan    *wire.Plan
	share   Share
	tokens  float64 // requests that the rate allows now
	filled  time.Time
	running int
	refused int
	demand  rate
	last    time.Time
}

// New returns a limiter that holds no share.
func New(config Config) *Limiter {
	if config.Burst <= 0 {
		config.Burst = defaultBurst
	}
	if config.Retry <= 0 {
		config.Retry = defaultRetry
	}
	if config.Idle <= 0 {
		config.Idle = defaultIdle
	}
	return &Limiter{
		config: config, accounts: map[identifier.Account]*account{}, fair: newFair(config.Fair), counts: Counts{Refused: map[Kind]int64{}},
	}
}

// Release ends a request that was let through. Served says whether its work
// was done. Calls after the first do nothing.
type Release func(served bool, now time.Time)

// Take lets a request of the account through, which will cost so many tokens
// of work, and returns the function that ends it. Else it returns a *BorrowError or a *LimitError and
// holds nothing.
func (l *Limiter) Take(name identifier.Account, plan *wire.Plan, work int64, now time.Time) (Release, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name, plan, now)
	a.demand.add(1, now, demandMemory)
	err := l.check(name, a, now)
	if err == nil {
		if retry := l.fair.take(name, weight(plan), float64(work), now); retry > 0 {
			err = &LimitError{Account: name, Kind: Fairness, Retry: retry}
		}
	}
	if err != nil {
		var limit *LimitError
		if errors.As(err, &limit) {
			l.counts.Refused[limit.Kind]++
		}
		return nil, err
	}
	a.running++
	a.tokens--
	var once sync.Once
	return func(served bool, now time.Time) { once.Do(func() { l.end(a, work, served, now) }) }, nil
}

func (l *Limiter) end(a *account, work int64, served bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.running--
	l.fair.end(float64(work), served, now)
}

func (l *Limiter) account(name identifier.Account, plan *wire.Plan, now time.Time) *account {
	a, found := l.accounts[name]
	if !found {
		a = &account{filled: now}
		l.accounts[name] = a
	}
	a.plan, a.last = plan, now
	return a
}

// check returns nil if the share allows one more request now.
func (l *Limiter) check(name identifier.Account, a *account, now time.Time) error {
	if !Limited(a.plan) {
		a.tokens = 1
		return nil
	}
	if !now.Before(a.share.Until) {
		return &BorrowError{Account: name}
	}
	if a.plan.GetConcurrency() > 0 && a.running >= a.share.Concurrency {
		a.refused++
		return &LimitError{Account: name, Kind: Concurrency, Retry: l.config.Retry}
	}
	if a.plan.GetRate() <= 0 {
		a.tokens = 1
		return nil
	}
	a.refill(now, l.config.Burst)
	if a.tokens < 1 {
		a.refused++
		return &LimitError{Account: name, Kind: Rate, Retry: l.wait(a)}
	}
	return nil
}

func (a *account) refill(now time.Time, burst time.Duration) {
	most := max(1, a.share.Rate*burst.Seconds())
	a.tokens = min(most, a.tokens+a.share.Rate*max(0, now.Sub(a.filled).Seconds()))
	a.filled = now
}

// wait returns when the rate allows the next request.
func (l *Limiter) wait(a *account) time.Duration {
	if a.share.Rate <= 0 {
		return max(l.config.Retry, time.Second)
	}
	wait := time.Duration((1 - a.tokens) / a.share.Rate * float64(time.Second))
	return min(max(l.config.Retry, wait), time.Minute)
}

// Grant puts a share in force in place of the account's earlier one. A request
// that runs goes on, also beyond a smaller share.
func (l *Limiter) Grant(name identifier.Account, share Share, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.accounts[name]
	if !found {
		return
	}
	a.refill(now, l.config.Burst)
	if a.share.Until.IsZero() {
		a.tokens = 1
	}
	a.share = share
	a.refused = 0
}

// Wants returns what to ask the homes for: the accounts in use whose shares
// end before the given time, or that refused requests. The share of an account
// without requests is let go, so that other entries can have it; the account
// itself is forgotten later.
func (l *Limiter) Wants(now, before time.Time) []Want {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Want
	for name, a := range l.accounts {
		idle := now.Sub(a.last) > l.config.Idle && a.running == 0
		if idle {
			delete(l.accounts, name)
		}
		unused := now.Sub(a.last) > unusedAfter && a.running == 0
		if unused || !Limited(a.plan) || a.refused == 0 && a.share.Until.After(before) {
			continue
		}
		list = append(list, a.want(name, now))
	}
	return list
}

// Want returns what to ask the home of one account for.
func (l *Limiter) Want(name identifier.Account, now time.Time) Want {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.accounts[name]
	if !found {
		return Want{Account: name}
	}
	return a.want(name, now)
}

func (a *account) want(name identifier.Account, now time.Time) Want {
	return Want{
		Account: name, Plan: a.plan, Demand: a.demand.get(now, demandMemory), Running: a.running, Waiting: a.refused,
	}
}

// Press tells how long the fleet's backlog of work is, which says whether
// fair shares apply.
func (l *Limiter) Press(backlog time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fair.press(backlog)
}

// Limited reports whether a plan bounds rate or concurrency.
func Limited(plan *wire.Plan) bool { return plan.GetRate() > 0 || plan.GetConcurrency() > 0 }

func weight(plan *wire.Plan) float64 {
	if plan.GetWeight() <= 0 {
		return 1
	}
	return plan.GetWeight()
}

// rate measures events a second over an exponentially fading past.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(amount float64, now time.Time, memory time.Duration) {
	r.value = r.get(now, memory) + amount/memory.Seconds()
	r.at = now
}

func (r *rate) get(now time.Time, memory time.Duration) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-max(0, now.Sub(r.at).Seconds())/memory.Seconds())
}
