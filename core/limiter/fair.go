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
	defaultCalm   = time.Second
	defaultMemory = 10 * time.Second
	defaultDebt   = time.Second
	defaultLeast  = 10_000.0
)

// The work that gets done is measured over doneMemory, and the best measure
// fades over peakMemory: after a pause the measure of the moment is too low.
const (
	doneMemory = 4 * time.Second
	peakMemory = 2 * time.Minute
)

// levelEvery is how often the fair level is worked out anew.
const levelEvery = 100 * time.Millisecond

// How much of the work measured is shared out, by the backlog: a little more
// while it is short, so that the measure can rise, and less the longer it is.
const (
	probe  = 1.05
	slope  = 0.2 // less for each further Calm of backlog
	floor  = 0.5
	relief = 3 // sharing ends when the backlog is Calm divided by it
)

// FairConfig describes fair sharing. Zero values mean the defaults.
type FairConfig struct {
	Calm   time.Duration // backlog up to which all is let through, 1 s
	Memory time.Duration // how far back demand is measured, 10 s
	Debt   time.Duration // of an account's share that it may use ahead, 1 s
	Least  float64       // least work to share out, in tokens a second, 10,000
	Off    bool          // share nothing out
}

// fair shares out work among accounts under overload: each gets at most its
// weighted max-min part of the work that the entry gets done. It is guarded by
// the Limiter's mutex.
type fair struct {
	config   FairConfig
	pressed  bool
	backlog  time.Duration
	claims   map[identifier.Account]*claim
	done     rate    // tokens of work a second served
	peak     float64 // the best of done, fading
	born     time.Time
	level    float64 // tokens of work a second for each unit of weight
	levelled time.Time
}

// claim is one account's part.
type claim struct {
	weight  float64
	offered rate    // tokens of work a second asked for
	credit  float64 // tokens of work, negative while it has used more
	filled  time.Time
}

func newFair(config FairConfig) *fair {
	if config.Calm <= 0 {
		config.Calm = defaultCalm
	}
	if config.Memory <= 0 {
		config.Memory = defaultMemory
	}
	if config.Debt <= 0 {
		config.Debt = defaultDebt
	}
	if config.Least <= 0 {
		config.Least = defaultLeast
	}
	return &fair{config: config, claims: map[identifier.Account]*claim{}, level: math.Inf(1)}
}

func (f *fair) press(backlog time.Duration) {
	f.backlog = backlog
	f.pressed = !f.config.Off && (backlog > f.config.Calm || f.pressed && backlog > f.config.Calm/relief)
}

// take returns zero if an account's request may go ahead, else when to come
// back.
func (f *fair) take(name identifier.Account, weight, work float64, now time.Time) time.Duration {
	c, found := f.claims[name]
	if !found {
		c = &claim{filled: now}
		f.claims[name] = c
	}
	c.weight = weight
	c.offered.add(work, now, f.config.Memory)
	if now.Sub(f.levelled) >= levelEvery {
		f.relevel(now)
	}
	if !f.pressed || math.IsInf(f.level, 1) {
		c.credit, c.filled = 0, now
		return 0
	}
	gets := f.level * c.weight
	c.credit = min(gets*f.config.Debt.Seconds(), c.credit+gets*max(0, now.Sub(c.filled).Seconds()))
	c.filled = now
	if c.credit < 0 && c.offered.get(now, f.config.Memory) > gets {
		wait := time.Duration(-c.credit / gets * float64(time.Second))
		return min(max(wait, time.Second), time.Minute)
	}
	c.credit = max(c.credit-work, -gets*f.config.Memory.Seconds())
	return 0
}

// end notes that a request let through has ended, and whether it was served.
func (f *fair) end(work float64, served bool, now time.Time) {
	if served {
		f.done.add(work, now, doneMemory)
	}
}

// able returns the work a second that the entry can have done, or infinity
// while it has served for too short to know.
func (f *fair) able(now time.Time) float64 {
	age := now.Sub(f.born)
	done := f.done.get(now, doneMemory)
	switch {
	case age < doneMemory/8:
		return math.Inf(1)
	case age < 2*doneMemory:
		return max(f.config.Least, done/(1-math.Exp(-age.Seconds()/doneMemory.Seconds())))
	}
	f.peak = max(f.config.Least, done, f.peak)
	return f.peak
}

// relevel works out the level: the accounts' demands, each cut to the level
// times its weight, add up to the work that gets done.
func (f *fair) relevel(now time.Time) {
	if f.born.IsZero() {
		f.born = now
	}
	f.peak *= math.Exp(-min(now.Sub(f.levelled), peakMemory).Seconds() / peakMemory.Seconds())
	f.levelled = now
	type demand struct{ wants, weight float64 }
	var demands []demand
	var weights float64
	for name, c := range f.claims {
		wants := c.offered.get(now, f.config.Memory)
		if wants < 1 && c.credit >= 0 {
			delete(f.claims, name)
			continue
		}
		demands = append(demands, demand{wants, c.weight})
		weights += c.weight
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.wants/a.weight, b.wants/b.weight) })
	left := f.target() * f.able(now)
	f.level = math.Inf(1)
	if len(demands) < 2 {
		return // nobody to share with
	}
	for _, d := range demands {
		if level := left / weights; d.wants > level*d.weight {
			f.level = level
			return
		}
		left -= d.wants
		weights -= d.weight
	}
}

// target returns the part of the measured work that is shared out.
func (f *fair) target() float64 {
	over := f.backlog.Seconds()/f.config.Calm.Seconds() - 1
	return max(floor, probe-slope*max(0, over))
}
