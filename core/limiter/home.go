package limiter

import (
	"math"
	"slices"
	"sync"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
)

// defaultLease is the term of the lease of a share.
const defaultLease = 2 * time.Second

// reservedFraction is the fraction of an account's limits that is kept back
// while some live entries have not borrowed yet.
const reservedFraction = 0.1

// demandFactor is the ratio of the share that an entry is offered to its
// measured demand, so that its demand can grow.
const demandFactor = 1.25

// HomeConfig configures a Home.
type HomeConfig struct {
	Lease time.Duration // term of the lease of a share, default 2 s
}

// Home records the shares that an entry has lent of the accounts for which it
// is the home entry. Create it with NewHome.
type Home struct {
	config   HomeConfig
	mu       sync.Mutex
	accounts map[identifier.Account]map[string]*loan // by account and borrower
}

// loan is the share that one entry has borrowed, and its last request.
type loan struct {
	share   Share
	demand  float64 // requests/s
	running int
	waiting int
}

// NewHome returns a Home without loans.
func NewHome(config HomeConfig) *Home {
	if config.Lease <= 0 {
		config.Lease = defaultLease
	}
	return &Home{config: config, accounts: map[identifier.Account]map[string]*loan{}}
}

// HomeOf returns the home entry of an account, which is chosen among the given
// entries by rendezvous hashing, or "" if there are no entries.
func HomeOf(account identifier.Account, entries []string) string {
	var home string
	var highest uint64
	for _, e := range entries {
		if h := xxhash.Sum64String(e + "\x00" + string(account)); home == "" || h > highest {
			home, highest = e, h
		}
	}
	return home
}

// EqualShare returns an equal part of a plan's limits for one lease of the
// default term. An entry uses it if it can't reach the home entry. The share
// allows at least one concurrent request.
func EqualShare(plan *wire.Plan, entries int, now time.Time) Share {
	n := max(1, entries)
	s := Share{Rate: plan.GetRate() / float64(n), Concurrency: Unlimited, Expires: now.Add(defaultLease)}
	if plan.GetConcurrency() > 0 {
		s.Concurrency = max(1, int(plan.GetConcurrency())/n)
	}
	return s
}

// Lend returns the share of an account's limits that an entry may use for one
// lease: its max-min fair share by the demands of all borrowers, at most what
// the unexpired shares of the other borrowers leave. Entries is the number of
// live entries.
func (h *Home) Lend(borrower string, q ShareRequest, entries int, now time.Time) Share {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpired(now)
	loans := h.accounts[q.Account]
	if loans == nil {
		loans = map[string]*loan{}
		h.accounts[q.Account] = loans
	}
	x := loans[borrower]
	if x == nil {
		x = &loan{}
		loans[borrower] = x
	}
	x.demand, x.running, x.waiting = q.Demand, q.Running, q.Waiting
	reserved := 0.0
	if len(loans) < entries {
		reserved = reservedFraction
	}
	x.share = Share{Expires: now.Add(h.config.Lease), Concurrency: Unlimited}
	x.share.Rate = maxMinShare(loans, x, q.Plan.GetRate(), reserved, rateOf)
	if c := q.Plan.GetConcurrency(); c > 0 {
		x.share.Concurrency = int(maxMinShare(loans, x, float64(c), reserved, slotsOf))
		if x.share.Concurrency == 0 && x.free(loans, float64(c), slotsOf) >= 1 && !x.unused(loans) {
			x.share.Concurrency = 1 // parts of a small limit may all round down to 0
		}
	}
	return x.share
}

// Lent returns the sum of the unexpired shares of an account.
func (h *Home) Lent(account identifier.Account, now time.Time) Share {
	h.mu.Lock()
	defer h.mu.Unlock()
	var sum Share
	for _, x := range h.accounts[account] {
		if now.Before(x.share.Expires) {
			sum.Rate += x.share.Rate
			sum.Concurrency += x.share.Concurrency
		}
	}
	return sum
}

// removeExpired removes the loans whose leases have expired.
func (h *Home) removeExpired(now time.Time) {
	for account, loans := range h.accounts {
		for borrower, x := range loans {
			if !x.share.Expires.IsZero() && !now.Before(x.share.Expires) {
				delete(loans, borrower)
			}
		}
		if len(loans) == 0 {
			delete(h.accounts, account)
		}
	}
}

// usage returns the demand and the current share of a loan for one limit.
type usage func(*loan) (demand, held float64)

func rateOf(x *loan) (demand, held float64) {
	return x.demand*demandFactor + 1, x.share.Rate
}

func slotsOf(x *loan) (demand, held float64) {
	return math.Ceil(float64(x.running+x.waiting)*demandFactor) + 1, float64(max(x.share.Concurrency, x.running))
}

// unused reports whether a borrower has no request that needs a slot while
// another borrower has some that wait for one.
func (x *loan) unused(loans map[string]*loan) bool {
	if x.running+x.waiting > 0 {
		return false
	}
	for _, y := range loans {
		if y != x && y.waiting > 0 {
			return true
		}
	}
	return false
}

// free returns the part of a limit that the shares of the other borrowers
// leave.
func (x *loan) free(loans map[string]*loan, limit float64, of usage) float64 {
	for _, y := range loans {
		if y != x {
			_, held := of(y)
			limit -= held
		}
	}
	return limit
}

// maxMinShare returns the max-min fair share of a limit for one borrower, of
// which the fraction reserved is kept back.
func maxMinShare(loans map[string]*loan, borrower *loan, limit, reserved float64, of usage) float64 {
	var demands []float64
	for _, x := range loans {
		d, _ := of(x)
		demands = append(demands, d)
	}
	free := borrower.free(loans, limit, of)
	level := MaxMinLevel(demands, limit*(1-reserved))
	own, _ := of(borrower)
	// The part of the limit that exceeds all demands is lent in equal parts.
	var used float64
	for _, d := range demands {
		used += min(d, level)
	}
	extra := max(0, limit*(1-reserved)-used) / float64(len(demands))
	return max(0, min(min(own, level)+extra, free))
}

// MaxMinLevel returns the largest level such that the demands, each limited to
// it, add up to at most the limit. It is infinite if the demands add up to at
// most the limit.
func MaxMinLevel(demands []float64, limit float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	remaining := limit
	for i, d := range sorted {
		if level := remaining / float64(len(sorted)-i); d > level {
			return level
		}
		remaining -= d
	}
	return math.Inf(1)
}
