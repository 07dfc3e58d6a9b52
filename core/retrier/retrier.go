// Package retrier limits the retries of an entry with retry budgets. It keeps
// only the budgets: random numbers are passed in, and there is no clock.
//
// # Usage
//
//	r := retrier.New(retrier.Config{})
//	r.RecordRequest(account)
//	for try := 1; ; try++ {
//		...
//		delay, ok := r.Retry(account, try, left, random)
//		if !ok {
//			break
//		}
//	}
//
// There is one budget for each client account and one for the entry as a whole.
// The first attempt of a request adds Ratio to both, up to their limits; a retry
// takes one from both. If all attempts fail, the number of attempts sent is
// therefore at most 1 + Ratio times the number of requests, plus the bursts.
package retrier

import (
	"sync"
	"time"

	"bamboohill/core/identifier"
)

// Defaults of Config.
const (
	defaultRatio        = 0.15
	defaultBurst        = 20.0
	defaultAccountShare = 0.25
	defaultBaseDelay    = 5 * time.Millisecond
	defaultMaxDelay     = time.Second
)

// maxAccounts is the maximum number of accounts whose budgets are stored. Full
// budgets are not stored. While the maximum is reached, an account whose budget is
// full gets no retries.
const maxAccounts = 50_000

// Config configures a Retrier. Zero values mean the defaults: 0.15, 20, 0.25, 5 ms
// and 1 s.
type Config struct {
	Ratio        float64       // retries that each request adds to the budgets
	Burst        float64       // limit of the budget of the entry, in retries
	AccountShare float64       // fraction of Burst that is the limit of the budget of one account
	BaseDelay    time.Duration // longest delay before the first retry
	MaxDelay     time.Duration // longest delay before any retry
}

// Retrier holds the retry budgets of one entry. It is safe for concurrent use.
type Retrier struct {
	config Config

	mu       sync.Mutex
	entry    float64                        // retries left for the entry
	accounts map[identifier.Account]float64 // retries left; full budgets are absent
}

// New returns a Retrier whose budgets are full.
func New(config Config) *Retrier {
	if config.Ratio <= 0 {
		config.Ratio = defaultRatio
	}
	if config.Burst <= 0 {
		config.Burst = defaultBurst
	}
	if config.AccountShare <= 0 || config.AccountShare > 1 {
		config.AccountShare = defaultAccountShare
	}
	if config.BaseDelay <= 0 {
		config.BaseDelay = defaultBaseDelay
	}
	if config.MaxDelay < config.BaseDelay {
		config.MaxDelay = max(defaultMaxDelay, config.BaseDelay)
	}
	return &Retrier{config: config, entry: config.Burst, accounts: map[identifier.Account]float64{}}
}

func (r *Retrier) accountBurst() float64 { return max(1, r.config.Burst*r.config.AccountShare) }

func (r *Retrier) account(name identifier.Account) float64 {
	budget, found := r.accounts[name]
	if !found {
		return r.accountBurst()
	}
	return budget
}

// RecordRequest adds the first attempt of a request to the budgets.
func (r *Retrier) RecordRequest(account identifier.Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry = min(r.config.Burst, r.entry+r.config.Ratio)
	budget := r.account(account) + r.config.Ratio
	if budget >= r.accountBurst() {
		delete(r.accounts, account)
		return
	}
	r.accounts[account] = budget
}

// Retry takes one retry from the budgets after the given number of attempts. It
// returns the delay before the retry: exponential backoff with full jitter, for
// which random is a number in [0, 1). It reports false if a budget is exhausted or
// if the delay is not shorter than the time left.
func (r *Retrier) Retry(account identifier.Account, attempts int, left time.Duration, random float64) (time.Duration, bool) {
	delay := r.delay(attempts, random)
	if delay >= left {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.account(account)
	if r.entry < 1 || budget < 1 {
		return 0, false
	}
	if _, found := r.accounts[account]; !found && len(r.accounts) >= maxAccounts {
		return 0, false
	}
	r.entry--
	r.accounts[account] = budget - 1
	return delay, true
}

func (r *Retrier) delay(attempts int, random float64) time.Duration {
	limit := r.config.BaseDelay
	for range attempts - 1 {
		limit = min(2*limit, r.config.MaxDelay)
	}
	return time.Duration(random * float64(limit))
}

// Available returns the number of retries left in the budget of the entry.
func (r *Retrier) Available() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry
}
