package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bamboohill/core/identifier"
)

// Defaults of FairConfig.
const (
	defaultBacklogLimit = time.Second
	defaultDemandWindow = 10 * time.Second
	defaultCreditWindow = time.Second
	defaultMinCapacity  = 10_000.0
)

// Time constants of the exponential averages. The throughput is averaged over
// throughputWindow, and its peak decays over peakWindow: after a pause the
// current throughput is below what the entry can serve.
const (
	throughputWindow = 4 * time.Second
	peakWindow       = 2 * time.Minute
)

// levelInterval is the time between two computations of the fair level.
const levelInterval = 100 * time.Millisecond

// The fraction of the measured throughput that is shared out depends on the
// backlog: it is above 1 while the backlog is short, so that the measured
// throughput can rise, and falls as the backlog grows.
const (
	maxFraction      = 1.05
	fractionDecrease = 0.2 // for each further BacklogLimit of backlog
	minFraction      = 0.5
	hysteresis       = 3 // sharing ends at a backlog of BacklogLimit / hysteresis
)

// FairConfig configures fair sharing under overload. A zero value selects the
// default.
type FairConfig struct {
	BacklogLimit time.Duration // backlog above which sharing starts, default 1 s
	DemandWindow time.Duration // time constant of the measured demand, default 10 s
	CreditWindow time.Duration // an unused share is kept for this long, default 1 s
	MinCapacity  float64       // lower bound of the measured capacity in tokens/s, default 10,000
	Disabled     bool          // never share
}

// fair divides the capacity of an entry among accounts under overload: each
// account gets at most its weighted max-min fair share. It is guarded by the
// mutex of the Limiter.
type fair struct {
	config     FairConfig
	overloaded bool
	backlog    time.Duration
	accounts   map[identifier.Account]*fairAccount
	throughput rate      // work served, tokens/s
	peak       float64   // decaying maximum of throughput, tokens/s
	started    time.Time // of the first computation of the level
	level      float64   // tokens/s for each unit of weight
	levelTime  time.Time
}

// fairAccount is the state of one account.
type fairAccount struct {
	weight  float64
	demand  rate      // work requested, tokens/s
	credit  float64   // tokens of work, negative after use above the share, by at most the share of one DemandWindow
	updated time.Time // of credit
}

func newFair(config FairConfig) *fair {
	if config.BacklogLimit <= 0 {
		config.BacklogLimit = defaultBacklogLimit
	}
	if config.DemandWindow <= 0 {
		config.DemandWindow = defaultDemandWindow
	}
	if config.CreditWindow <= 0 {
		config.CreditWindow = defaultCreditWindow
	}
	if config.MinCapacity <= 0 {
		config.MinCapacity = defaultMinCapacity
	}
	return &fair{config: config, accounts: map[identifier.Account]*fairAccount{}, level: math.Inf(1)}
}

// setBacklog starts or ends sharing according to the backlog.
func (f *fair) setBacklog(backlog time.Duration) {
	f.backlog = backlog
	f.overloaded = !f.config.Disabled && (backlog > f.config.BacklogLimit || f.overloaded && backlog > f.config.BacklogLimit/hysteresis)
}

// admit returns 0 if a request of an account is within its share, else the
// delay before a retry. Work is in tokens.
func (f *fair) admit(name identifier.Account, weight, work float64, now time.Time) time.Duration {
	c, found := f.accounts[name]
	if !found {
		c = &fairAccount{updated: now}
		f.accounts[name] = c
	}
	c.weight = weight
	c.demand.add(work, now, f.config.DemandWindow)
	if now.Sub(f.levelTime) >= levelInterval {
		f.updateLevel(now)
	}
	if !f.overloaded || math.IsInf(f.level, 1) {
		c.credit, c.updated = 0, now
		return 0
	}
	share := f.level * c.weight
	c.credit = min(share*f.config.CreditWindow.Seconds(), c.credit+share*max(0, now.Sub(c.updated).Seconds()))
	c.updated = now
	if c.credit < 0 && c.demand.get(now, f.config.DemandWindow) > share {
		wait := time.Duration(-c.credit / share * float64(time.Second))
		return min(max(wait, time.Second), time.Minute)
	}
	c.credit = max(c.credit-work, -share*f.config.DemandWindow.Seconds())
	return 0
}

// end records the end of an admitted request and whether it was served.
func (f *fair) end(work float64, served bool, now time.Time) {
	if served {
		f.throughput.add(work, now, throughputWindow)
	}
}

// capacity returns the work in tokens/s that the entry can get served, or
// infinity until it has been measured for an eighth of throughputWindow. Up to
// twice that window it is the average, corrected for the short measurement, and
// after that the decaying peak.
func (f *fair) capacity(now time.Time) float64 {
	age := now.Sub(f.started)
	throughput := f.throughput.get(now, throughputWindow)
	switch {
	case age < throughputWindow/8:
		return math.Inf(1)
	case age < 2*throughputWindow:
		return max(f.config.MinCapacity, throughput/(1-math.Exp(-age.Seconds()/throughputWindow.Seconds())))
	}
	f.peak = max(f.config.MinCapacity, throughput, f.peak)
	return f.peak
}

// updateLevel computes the level at which the accounts' demands, each limited
// to the level times its weight, add up to the work that is shared out. It
// removes accounts without demand.
func (f *fair) updateLevel(now time.Time) {
	if f.started.IsZero() {
		f.started = now
	}
	f.peak *= math.Exp(-min(now.Sub(f.levelTime), peakWindow).Seconds() / peakWindow.Seconds())
	f.levelTime = now
	type demand struct{ work, weight float64 }
	var demands []demand
	var weights float64
	for name, c := range f.accounts {
		work := c.demand.get(now, f.config.DemandWindow)
		if work < 1 && c.credit >= 0 {
			delete(f.accounts, name)
			continue
		}
		demands = append(demands, demand{work, c.weight})
		weights += c.weight
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.work/a.weight, b.work/b.weight) })
	remaining := f.sharedFraction() * f.capacity(now)
	f.level = math.Inf(1)
	if len(demands) < 2 {
		return // no other account to share with
	}
	for _, d := range demands {
		if level := remaining / weights; d.work > level*d.weight {
			f.level = level
			return
		}
		remaining -= d.work
		weights -= d.weight
	}
}

// sharedFraction returns the fraction of the capacity that is shared out.
func (f *fair) sharedFraction() float64 {
	excess := f.backlog.Seconds()/f.config.BacklogLimit.Seconds() - 1
	return max(minFraction, maxFraction-fractionDecrease*max(0, excess))
}
