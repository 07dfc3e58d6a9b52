// Package limiter enforces the limits of client accounts across all entries
// without a shared store: request rates, concurrency, and fair shares of the
// work under overload.
//
// Each account has a home entry, which HomeOf computes alike at every entry.
// The home entry lends parts of the plan's rate and concurrency to the entries
// that request them, each part for the term of a lease. An entry admits
// requests up to its own share only, so the unexpired shares never add up to
// more than the plan as long as the home entry is alive. If the home entry
// fails, the next one starts without loans; the limits may then be exceeded by
// at most the shares that the failed one had lent, for one lease. An entry
// that can't reach the home entry uses an equal part of the plan.
//
// Under overload the limiter also divides the work that the entry can get
// served among the accounts, weighted by plan, so that one large account
// cannot crowd out the small ones. Without overload it refuses no request for
// this reason.
//
// # Usage
//
//	l := limiter.New(limiter.Config{})
//	release, err := l.Take(account, plan, work, time.Now())
//	var none *limiter.NoShareError
//	if errors.As(err, &none) {
//		l.Grant(account, share, now) // from the home entry, or limiter.EqualShare
//		release, err = l.Take(account, plan, work, now)
//	}
//	if err != nil {
//		return err // a *limiter.LimitError with the delay before a retry
//	}
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
	defaultBurstTime   = time.Second
	defaultMinRetry    = 500 * time.Millisecond
	defaultIdleTimeout = time.Minute
)

// renewalTimeout is the time after an account's last request during which its
// share is still renewed.
const renewalTimeout = time.Second

// demandWindow is the time constant of the measured demand of an account.
const demandWindow = 2 * time.Second

// Config configures a Limiter. A zero value selects the default.
type Config struct {
	BurstTime   time.Duration // a share allows a burst of Rate * BurstTime requests, but at least one; default 1 s
	MinRetry    time.Duration // lower bound of RetryAfter, default 500 ms
	IdleTimeout time.Duration // before an account without requests is removed, default 1 min
	Fair        FairConfig
}

// Share is the part of an account's limits that one entry may use. A limit of
// zero admits no request.
type Share struct {
	Rate        float64   // requests/s
	Concurrency int       // concurrent requests, or Unlimited
	Expires     time.Time // end of the lease
}

// Unlimited is the concurrency of a share without a limit.
const Unlimited = math.MaxInt32

// Kind is the kind of a limit.
type Kind string

// Kinds of limits.
const (
	Rate        Kind = "rate"
	Concurrency Kind = "concurrency"
	Fairness    Kind = "fairness"
)

// LimitError reports that an account has reached one of its limits.
type LimitError struct {
	Account    identifier.Account
	Kind       Kind
	RetryAfter time.Duration // delay before a retry
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("limiter: account %s has reached its %s limit", e.Account, e.Kind)
}

// NoShareError reports that the entry has no unexpired share of an account's
// limits. The caller borrows one and calls Take again.
type NoShareError struct {
	Account identifier.Account
}

// Error implements error.
func (e *NoShareError) Error() string {
	return fmt.Sprintf("limiter: no unexpired share of the limits of account %s", e.Account)
}

// ShareRequest is the request of an entry for a share of an account's limits.
type ShareRequest struct {
	Account identifier.Account
	Plan    *wire.Plan
	Demand  float64 // measured requests/s
	Running int     // requests that are running
	Waiting int     // requests refused since the last grant
}

// Limiter holds the shares of one entry. Create it with New.
type Limiter struct {
	config   Config
	mu       sync.Mutex
	accounts map[identifier.Account]*account
	fair     *fair
	counts   Counts
}

// Counts holds the counters and the state of a Limiter.
type Counts struct {
	Refused map[Kind]int64 // requests refused since the start, by kind of limit
	Shares  int            // number of unexpired shares
	Sharing bool           // fair sharing is on, since the fleet is overloaded
}

// Counts returns the counters and the state of the limiter.
func (l *Limiter) Counts(now time.Time) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{Refused: maps.Clone(l.counts.Refused), Sharing: l.fair.overloaded}
	for _, a := range l.accounts {
		if now.Before(a.share.Expires) {
			c.Shares++
		}
	}
	return c
}

// account is the state of one account at an entry.
type account struct {
	plan        *wire.Plan
	share       Share
	tokens      float64   // requests that the rate admits now
	refilled    time.Time // last update of tokens
	running     int
	refused     int // requests refused since the last grant
	demand      rate
	lastRequest time.Time
}

// New returns a Limiter without shares.
func New(config Config) *Limiter {
	if config.BurstTime <= 0 {
		config.BurstTime = defaultBurstTime
	}
	if config.MinRetry <= 0 {
		config.MinRetry = defaultMinRetry
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	return &Limiter{
		config: config, accounts: map[identifier.Account]*account{}, fair: newFair(config.Fair), counts: Counts{Refused: map[Kind]int64{}},
	}
}

// Release records the end of an admitted request. Served tells whether its
// work was completed. Calls after the first have no effect.
type Release func(served bool, now time.Time)

// Take admits a request of the account that costs the given work in tokens, and
// returns the function to call at its end. If it can't admit the request it
// returns a *NoShareError or a *LimitError.
func (l *Limiter) Take(name identifier.Account, plan *wire.Plan, work int64, now time.Time) (Release, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name, plan, now)
	a.demand.add(1, now, demandWindow)
	err := l.check(name, a, now)
	if err == nil {
		if retry := l.fair.admit(name, weight(plan), float64(work), now); retry > 0 {
			err = &LimitError{Account: name, Kind: Fairness, RetryAfter: retry}
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

// account returns the state of an account, which it creates if needed, and
// records a request of it.
func (l *Limiter) account(name identifier.Account, plan *wire.Plan, now time.Time) *account {
	a, found := l.accounts[name]
	if !found {
		a = &account{refilled: now}
		l.accounts[name] = a
	}
	a.plan, a.lastRequest = plan, now
	return a
}

// check returns nil if the account's share admits one more request now.
func (l *Limiter) check(name identifier.Account, a *account, now time.Time) error {
	if !Limited(a.plan) {
		a.tokens = 1
		return nil
	}
	if !now.Before(a.share.Expires) {
		return &NoShareError{Account: name}
	}
	if a.plan.GetConcurrency() > 0 && a.running >= a.share.Concurrency {
		a.refused++
		return &LimitError{Account: name, Kind: Concurrency, RetryAfter: l.config.MinRetry}
	}
	if a.plan.GetRate() <= 0 {
		a.tokens = 1
		return nil
	}
	a.refill(now, l.config.BurstTime)
	if a.tokens < 1 {
		a.refused++
		return &LimitError{Account: name, Kind: Rate, RetryAfter: l.retryAfter(a)}
	}
	return nil
}

// refill adds the tokens that the rate has allowed since the last call. It holds
// at most the tokens of the given burst time, but at least one.
func (a *account) refill(now time.Time, burst time.Duration) {
	capacity := max(1, a.share.Rate*burst.Seconds())
	a.tokens = min(capacity, a.tokens+a.share.Rate*max(0, now.Sub(a.refilled).Seconds()))
	a.refilled = now
}

// retryAfter returns the delay until the rate admits the next request, at
// least the configured minimum and at most 1 min. It is 1 s, or the configured
// minimum if that is longer, if the rate admits no request.
func (l *Limiter) retryAfter(a *account) time.Duration {
	if a.share.Rate <= 0 {
		return max(l.config.MinRetry, time.Second)
	}
	wait := time.Duration((1 - a.tokens) / a.share.Rate * float64(time.Second))
	return min(max(l.config.MinRetry, wait), time.Minute)
}

// Grant replaces the account's share. Running requests continue even if the
// new share is smaller. An account that is not known is ignored.
func (l *Limiter) Grant(name identifier.Account, share Share, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.accounts[name]
	if !found {
		return
	}
	a.refill(now, l.config.BurstTime)
	if a.share.Expires.IsZero() {
		a.tokens = 1
	}
	a.share = share
	a.refused = 0
}

// Renewals returns the shares to request from the home entries: those of the
// accounts in use whose shares expire by the given time or whose requests were
// refused. The share of an account without recent requests is not renewed, so
// that other entries can use it. The account itself is removed after
// IdleTimeout.
func (l *Limiter) Renewals(now, before time.Time) []ShareRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests []ShareRequest
	for name, a := range l.accounts {
		idle := now.Sub(a.lastRequest) > l.config.IdleTimeout && a.running == 0
		if idle {
			delete(l.accounts, name)
		}
		unused := now.Sub(a.lastRequest) > renewalTimeout && a.running == 0
		if unused || !Limited(a.plan) || a.refused == 0 && a.share.Expires.After(before) {
			continue
		}
		requests = append(requests, a.request(name, now))
	}
	return requests
}

// ShareRequest returns the request to send to the home entry of an account.
func (l *Limiter) ShareRequest(name identifier.Account, now time.Time) ShareRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.accounts[name]
	if !found {
		return ShareRequest{Account: name}
	}
	return a.request(name, now)
}

func (a *account) request(name identifier.Account, now time.Time) ShareRequest {
	return ShareRequest{
		Account: name, Plan: a.plan, Demand: a.demand.get(now, demandWindow), Running: a.running, Waiting: a.refused,
	}
}

// SetBacklog sets the time that the fleet needs to work off its queue. It
// decides whether fair sharing applies.
func (l *Limiter) SetBacklog(backlog time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fair.setBacklog(backlog)
}

// Limited reports whether a plan limits rate or concurrency.
func Limited(plan *wire.Plan) bool { return plan.GetRate() > 0 || plan.GetConcurrency() > 0 }

// weight returns the weight of a plan under fair sharing, 1 if it is not set.
func weight(plan *wire.Plan) float64 {
	if plan.GetWeight() <= 0 {
		return 1
	}
	return plan.GetWeight()
}

// rate is an exponential moving average of events per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(amount float64, now time.Time, window time.Duration) {
	r.value = r.get(now, window) + amount/window.Seconds()
	r.at = now
}

func (r *rate) get(now time.Time, window time.Duration) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-max(0, now.Sub(r.at).Seconds())/window.Seconds())
}
