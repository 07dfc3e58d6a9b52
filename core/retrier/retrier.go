// Package retrier bounds how much work an entry sends again. It is pure but
// for its own counts: the random source is passed in and there is no clock.
//
// # Usage
//
//	r := retrier.New(retrier.Config{})
//	r.First(account)
//	for try := 1; ; try++ {
//		...
//		pause, ok := r.Again(account, try, left, random)
//		if !ok {
//			break
//		}
//	}
//
// Every first try earns Ratio of a retry for its client account and for the
// entry as a whole, up to Burst; every retry costs one of both. Under a fleet
// that fails everything, the total sent thus stays below 1 + Ratio times the
// first tries, plus the bursts.
package retrier

import (
	"sync"
	"time"

	"bamboohill/core/ider"
)

// Defaults of Config.
const (
	defaultRatio = 0.15
	defaultBurst = 20.0
	defaultShare = 0.25
	defaultBase  = 5 * time.Millisecond
	defaultMost  = time.Second
)

// maxAccounts bounds the accounts whose budgets are remembered; beyond it the
// full ones, which carry no debt, are forgotten.
const maxAccounts = 50_000

// Config describes a Retrier. Zero values mean the defaults.
type Config struct {
	Ratio        float64       // retries earned by a first try
	Burst        float64       // retries that an entry may save up
	AccountShare float64       // of Burst that one account may save up
	BaseDelay    time.Duration // longest pause before the first retry
	MaxDelay     time.Duration // longest pause before any retry
}

// Retrier holds the retry budgets of one entry. It is safe for concurrent use.
type Retrier struct {
	config Config

	mu       sync.Mutex
	entry    float64
	accounts map[ider.Account]float64
}

// New returns a retrier whose budgets are full.
func New(config Config) *Retrier {
	if config.Ratio <= 0 {
		config.Ratio = defaultRatio
	}
	if config.Burst <= 0 {
		config.Burst = defaultBurst
	}
	if config.AccountShare <= 0 || config.AccountShare > 1 {
		config.AccountShare = defaultShare
	}
	if config.BaseDelay <= 0 {
		config.BaseDelay = defaultBase
	}
	if config.MaxDelay < config.BaseDelay {
		config.MaxDelay = max(defaultMost, config.BaseDelay)
	}
	return &Retrier{config: config, entry: config.Burst, accounts: map[ider.Account]float64{}}
}

func (r *Retrier) accountBurst() float64 { return max(1, r.config.Burst*r.config.AccountShare) }

func (r *Retrier) account(name ider.Account) float64 {
	saved, found := r.accounts[name]
	if !found {
		return r.accountBurst()
	}
	return saved
}

// RecordRequest notes the first try of a request.
func (r *Retrier) RecordRequest(account ider.Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry = min(r.config.Burst, r.entry+r.config.Ratio)
	saved := r.account(account) + r.config.Ratio
	if saved >= r.accountBurst() {
		delete(r.accounts, account)
		return
	}
	r.accounts[account] = saved
}

// Retry asks for one more try after the given number of tries. It returns the
// pause before it, from random, a number in [0, 1): exponential with full
// jitter. It refuses when a budget is spent or when the pause would use up the
// time left.
func (r *Retrier) Retry(account ider.Account, tries int, left time.Duration, random float64) (time.Duration, bool) {
	pause := r.pause(tries, random)
	if pause >= left {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	saved := r.account(account)
	if r.entry < 1 || saved < 1 {
		return 0, false
	}
	if _, found := r.accounts[account]; !found && len(r.accounts) >= maxAccounts {
		return 0, false
	}
	r.entry--
	r.accounts[account] = saved - 1
	return pause, true
}

func (r *Retrier) pause(tries int, random float64) time.Duration {
	most := r.config.BaseDelay
	for range tries - 1 {
		most = min(2*most, r.config.MaxDelay)
	}
	return time.Duration(random * float64(most))
}

// Available returns the retries that the entry may still send.
func (r *Retrier) Available() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry
}
