package sharer_test

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"bamboohill/core/sharer"

	"github.com/matryer/is"
)

func TestLevel(t *testing.T) {
	tests := map[string]struct {
		demands  []float64
		capacity float64
		want     float64
	}{
		"no demand":               {capacity: 5},
		"enough for all":          {demands: []float64{1, 3, 2}, capacity: 10, want: 3},
		"one large":               {demands: []float64{1, 30, 2}, capacity: 10, want: 7},
		"two large":               {demands: []float64{1, 30, 50}, capacity: 10, want: 4.5},
		"all large":               {demands: []float64{10, 30, 50}, capacity: 6, want: 2},
		"nothing to divide":       {demands: []float64{10, 30}, want: 0},
		"exactly enough":          {demands: []float64{2, 2}, capacity: 4, want: 2},
		"one account asks for it": {demands: []float64{9}, capacity: 4, want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(math.Abs(sharer.Level(test.demands, test.capacity)-test.want) < 1e-9)
		})
	}
}

// TestNobodyIsHeldBack checks that no account is over its share while room is not short,
// whatever it uses, and that accounts are again not held back after a shortage.
func TestNobodyIsHeldBack(t *testing.T) {
	is := is.New(t)
	s, now := sharer.New(), time.Unix(1000, 0)
	use := func() {
		for _, name := range []string{"small", "large"} {
			work := map[string]float64{"small": 0.1, "large": 5}[name]
			s.RecordDemand("service", name, work, now)
			s.RecordUse("service", name, work, now)
		}
	}
	use()
	is.Equal(s.Standing("service", "large", now), sharer.FarBelow)
	is.Equal(s.Own(now), nil)
	s.RecordDemand("service", "small", 2, now)
	s.RecordShortage("service", now)
	is.True(s.Standing("service", "large", now) > sharer.Within)
	is.Equal(s.Standing("service", "small", now), sharer.FarBelow)
	is.Equal(s.Standing("other", "large", now), sharer.FarBelow)
	is.Equal(s.Standing("service", "", now), sharer.FarBelow)
	now = now.Add(1100 * time.Millisecond)
	use()
	is.Equal(s.Standing("service", "large", now), sharer.FarBelow)
}

// TestShortageIsTold checks that an entry learns of a shortage elsewhere, tells its own
// sums then, and that news of a shortage do not keep each other alive.
func TestShortageIsTold(t *testing.T) {
	is := is.New(t)
	a, b, now := sharer.New(), sharer.New(), time.Unix(1000, 0)
	a.RecordDemand("service", "small", 3, now)
	a.RecordShortage("service", now)
	b.RecordDemand("service", "large", 6, now)
	b.RecordUse("service", "large", 6, now)
	is.Equal(b.Own(now), nil)
	b.ApplyPeer("a", a.Own(now), now)
	is.True(b.Standing("service", "large", now) > sharer.Within)
	a.ApplyPeer("b", b.Own(now), now)
	is.True(a.Standing("service", "large", now.Add(60*time.Millisecond)) > sharer.Within)
	end := now.Add(3 * time.Second)
	for ; now.Before(end); now = now.Add(50 * time.Millisecond) {
		b.ApplyPeer("a", a.Own(now), now)
		a.ApplyPeer("b", b.Own(now), now)
	}
	is.Equal(a.Own(now), nil)
	is.Equal(b.Own(now), nil)
	is.Equal(b.Standing("service", "large", now), sharer.FarBelow)
}

// demand is the rate at which an account asks, in requests per second, through one entry
// or through all of them.
type demand struct {
	rate   float64
	work   float64 // of a request, in seconds of a server
	single bool    // through the first entry only
}

// TestShares simulates entries in front of servers that can do half of what accounts ask
// for. Each entry places its waiting requests in the order of the standings of their
// accounts, and entries take turns at random. Every account must get 0.9 of its
// max-min share or more, also after all entries have lost their sums. As with
// requests of unlike rank, an entry leaves room to one that told that a request of an
// account below half of its share waits there.
func TestShares(t *testing.T) {
	few := map[string]demand{"large": {rate: 200, work: 0.1}}
	for n := range 20 {
		few["small "+strconv.Itoa(n)] = demand{rate: 5, work: 0.1}
	}
	single := map[string]demand{"large": {rate: 400, work: 0.1, single: true}}
	for n := range 20 {
		single["small "+strconv.Itoa(n)] = demand{rate: 5, work: 0.1}
	}
	sizes := map[string]demand{"largest prompts": {rate: 4, work: 5}, "other prompts": {rate: 300, work: 0.05}, "small": {rate: 20, work: 0.05}}
	tests := map[string]struct {
		entries  int
		accounts map[string]demand
		restart  bool // all entries lose their sums in the middle
	}{
		"few entries":            {entries: 4, accounts: few},
		"many entries":           {entries: 26, accounts: few},
		"one entry only":         {entries: 26, accounts: single},
		"the largest prompts":    {entries: 26, accounts: sizes},
		"all entries are killed": {entries: 26, accounts: few, restart: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(test.entries, test.accounts)
			f.run(4 * time.Second)
			if test.restart {
				for i := range f.entries {
					f.entries[i] = &entry{sharer: sharer.New()}
				}
				f.run(2 * time.Second)
			}
			const period = 10 * time.Second
			asked, got := f.run(period)
			level := sharer.Level(slices.Collect(maps.Values(asked)), f.capacity*period.Seconds())
			for name := range test.accounts {
				share := min(level, asked[name])
				t.Logf("%s: %.2f of a share of %.2f", name, got[name], share)
				is.True(got[name] >= 0.9*share)
			}
		})
	}
}

// fleet is a simulated set of entries.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	entries  []*entry
	accounts map[string]demand
	names    []string
	capacity float64 // in servers
	credit   float64 // work that servers can take now
}

type entry struct {
	sharer  *sharer.Sharer
	waiting []waiting
	told    bool // whether a request of an account within its share waits, as the others know
}

type waiting struct {
	account string
	since   time.Time
}

func newFleet(entries int, accounts map[string]demand) *fleet {
	f := &fleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), accounts: accounts}
	for range entries {
		f.entries = append(f.entries, &entry{sharer: sharer.New()})
	}
	for name, d := range accounts {
		f.names = append(f.names, name)
		f.capacity += d.rate * d.work / 2
	}
	slices.Sort(f.names)
	return f
}

// run simulates a time and returns the work that each account asked for and got.
func (f *fleet) run(d time.Duration) (asked, got map[string]float64) {
	const (
		step     = 5 * time.Millisecond
		patience = 500 * time.Millisecond // for which a request waits
		// tellSteps is the number of steps after which entries tell what waits.
		tellSteps = 9
	)
	tick := 0
	asked, got = map[string]float64{}, map[string]float64{}
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.arrive(step, asked)
		f.credit = min(f.credit+f.capacity*step.Seconds(), f.capacity)
		for _, e := range f.entries {
			e.waiting = slices.DeleteFunc(e.waiting, func(w waiting) bool { return f.now.Sub(w.since) > patience })
			if len(e.waiting) > 0 {
				e.sharer.RecordShortage("service", f.now)
			}
		}
		f.place(got)
		if tick++; tick%tellSteps == 0 {
			for _, e := range f.entries {
				e.told = slices.ContainsFunc(e.waiting, func(w waiting) bool { return e.standing(w, f.now) <= sharer.Below })
			}
		}
		f.tell()
	}
	return asked, got
}

// tell delivers the messages of all entries, but for a few that are lost.
func (f *fleet) tell() {
	const loss = 0.02
	for i, e := range f.entries {
		uses := e.sharer.Own(f.now)
		if uses == nil {
			continue
		}
		for j, other := range f.entries {
			if i != j && f.random.Float64() >= loss {
				other.sharer.ApplyPeer(strconv.Itoa(i), uses, f.now)
			}
		}
	}
}

// arrive adds the requests of one step.
func (f *fleet) arrive(step time.Duration, asked map[string]float64) {
	for _, name := range f.names {
		d := f.accounts[name]
		for due := d.rate * step.Seconds(); f.random.Float64() < due; due-- {
			e := f.entries[0]
			if !d.single {
				e = f.entries[f.random.IntN(len(f.entries))]
			}
			e.sharer.RecordDemand("service", name, d.work, f.now)
			asked[name] += d.work
			e.waiting = append(e.waiting, waiting{name, f.now})
		}
	}
}

func (e *entry) standing(w waiting, now time.Time) sharer.Standing {
	return e.sharer.Standing("service", w.account, now)
}

// place lets entries in random order place their first request until the capacity is used.
func (f *fleet) place(got map[string]float64) {
	wanted := slices.ContainsFunc(f.entries, func(e *entry) bool { return e.told })
	for progress := true; progress; {
		progress = false
		for _, i := range f.random.Perm(len(f.entries)) {
			e := f.entries[i]
			if len(e.waiting) == 0 || f.credit <= 0 {
				continue
			}
			first := 0
			for j := range e.waiting {
				if e.standing(e.waiting[j], f.now) < e.standing(e.waiting[first], f.now) {
					first = j
				}
			}
			if wanted && e.standing(e.waiting[first], f.now) > sharer.Below {
				continue
			}
			name := e.waiting[first].account
			e.waiting = slices.Delete(e.waiting, first, first+1)
			e.sharer.RecordUse("service", name, f.accounts[name].work, f.now)
			got[name] += f.accounts[name].work
			f.credit -= f.accounts[name].work
			progress = true
		}
	}
}

// BenchmarkStanding asks for the standing of an account at an entry that hears 25 others.
func BenchmarkStanding(b *testing.B) {
	s, now := sharer.New(), time.Unix(1000, 0)
	for n := range 24 {
		name := strconv.Itoa(n)
		s.RecordDemand("service", name, float64(n), now)
		s.RecordUse("service", name, float64(n)/2, now)
	}
	s.RecordShortage("service", now)
	uses := s.Own(now)
	for n := range 25 {
		s.ApplyPeer(strconv.Itoa(n), uses, now)
	}
	for b.Loop() {
		now = now.Add(time.Microsecond)
		s.RecordShortage("service", now)
		s.Standing("service", "3", now)
	}
}
