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

// defaultLease is how long a lent share is in force.
const defaultLease = 2 * time.Second

// spare is the part of an account's limits that is kept for entries that have
// not asked yet, while there are any.
const spare = 0.1

// growth is how much more than its measured demand an entry is lent.
const growth = 1.25

// HomeConfig describes a Home. The zero Lease means 2 s.
type HomeConfig struct {
	Lease time.Duration
}

// Home is the ledger of the shares that an entry has lent for the accounts it
// is home of.
type Home struct {
	config   HomeConfig
	mu       sync.Mutex
	accounts map[identifier.Account]map[string]*loan
}

// loan is what one entry was lent.
type loan struct {
	share   Share
	demand  float64
	running int
	waiting int
}

// NewHome returns a ledger without loans.
func NewHome(config HomeConfig) *Home {
	if config.Lease <= 0 {
		config.Lease = defaultLease
	}
	return &Home{config: config, accounts: map[identifier.Account]map[string]*loan{}}
}

// HomeOf returns the home of an account among the live entries by rendezvous
// hashing, or "" if there are none.
func HomeOf(account identifier.Account, entries []string) string {
	var home string
	var top uint64
	for _, e := range entries {
		if h := xxhash.Sum64String(e + "\x00" + string(account)); home == "" || h > top {
			home, top = e, h
		}
	}
	return home
}

// Equal returns an entry's equal part of a plan's limits for one lease, when
// no home can be reached. It allows at least one request at once.
func Equal(plan *wire.Plan, entries int, now time.Time) Share {
	n := max(1, entries)
	s := Share{Rate: plan.GetRate() / float64(n), Concurrency: Unlimited, Until: now.Add(defaultLease)}
	if plan.GetConcurrency() > 0 {
		s.Concurrency = max(1, int(plan.GetConcurrency())/n)
	}
	return s
}

// Lend gives an entry its share of an account's limits: its part by the
// demands of all borrowers (max-min), as far as the unexpired shares of the
// others leave room. Entries is how many live entries there are.
func (h *Home) Lend(borrower string, want Want, entries int, now time.Time) Share {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	loans := h.accounts[want.Account]
	if loans == nil {
		loans = map[string]*loan{}
		h.accounts[want.Account] = loans
	}
	x := loans[borrower]
	if x == nil {
		x = &loan{}
		loans[borrower] = x
	}
	x.demand, x.running, x.waiting = want.Demand, want.Running, want.Waiting
	keep := 0.0
	if len(loans) < entries {
		keep = spare
	}
	x.share = Share{Until: now.Add(h.config.Lease), Concurrency: Unlimited}
	x.share.Rate = part(loans, x, want.Plan.GetRate(), keep, rateOf)
	if c := want.Plan.GetConcurrency(); c > 0 {
		x.share.Concurrency = int(part(loans, x, float64(c), keep, slotsOf))
		if x.share.Concurrency == 0 && x.free(loans, float64(c), slotsOf) >= 1 && !x.yields(loans) {
			x.share.Concurrency = 1 // a small limit is not lost in parts
		}
	}
	return x.share
}

// Lent returns what is lent of an account now.
func (h *Home) Lent(account identifier.Account, now time.Time) Share {
	h.mu.Lock()
	defer h.mu.Unlock()
	var sum Share
	for _, x := range h.accounts[account] {
		if now.Before(x.share.Until) {
			sum.Rate += x.share.Rate
			sum.Concurrency += x.share.Concurrency
		}
	}
	return sum
}

// expire forgets the loans that have ended.
func (h *Home) expire(now time.Time) {
	for account, loans := range h.accounts {
		for borrower, x := range loans {
			if !x.share.Until.IsZero() && !now.Before(x.share.Until) {
				delete(loans, borrower)
			}
		}
		if len(loans) == 0 {
			delete(h.accounts, account)
		}
	}
}

// amount reads what a loan wants and holds of one limit.
type amount func(*loan) (wants, holds float64)

func rateOf(x *loan) (wants, holds float64) {
	return x.demand*growth + 1, x.share.Rate
}

func slotsOf(x *loan) (wants, holds float64) {
	return math.Ceil(float64(x.running+x.waiting)*growth) + 1, float64(max(x.share.Concurrency, x.running))
}

// yields reports whether a borrower has no use for a slot while another waits
// for one.
func (x *loan) yields(loans map[string]*loan) bool {
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

// free returns what the other borrowers' shares leave of a limit.
func (x *loan) free(loans map[string]*loan, limit float64, of amount) float64 {
	for _, y := range loans {
		if y != x {
			_, holds := of(y)
			limit -= holds
		}
	}
	return limit
}

// part returns the borrower's max-min part of a limit.
func part(loans map[string]*loan, borrower *loan, limit, keep float64, of amount) float64 {
	var wants []float64
	for _, x := range loans {
		w, _ := of(x)
		wants = append(wants, w)
	}
	free := borrower.free(loans, limit, of)
	level := Level(wants, limit*(1-keep))
	mine, _ := of(borrower)
	// What nobody wants is lent as well, in equal parts.
	var taken float64
	for _, w := range wants {
		taken += min(w, level)
	}
	extra := max(0, limit*(1-keep)-taken) / float64(len(wants))
	return max(0, min(min(mine, level)+extra, free))
}

// Level returns the largest level such that the wants, each cut to it, add up
// to no more than the limit. It is infinite if they do so uncut.
func Level(wants []float64, limit float64) float64 {
	sorted := slices.Sorted(slices.Values(wants))
	left := limit
	for i, w := range sorted {
		if level := left / float64(len(sorted)-i); w > level {
			return level
		}
		left -= w
	}
	return math.Inf(1)
}
