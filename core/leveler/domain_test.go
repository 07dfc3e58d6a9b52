package leveler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bamboohill/core/leveler"

	"github.com/matryer/is"
)

func TestOwnDomain(t *testing.T) {
	server := func(remote bool, running int) leveler.Candidate {
		return leveler.Candidate{Running: running, Slots: 6, Slowdown: 1, Remote: remote}
	}
	slow, failing := server(false, 0), server(false, 0)
	slow.Slowdown, failing.FailureRate = 2, 0.1
	tests := map[string]struct {
		all  []leveler.Candidate
		want int
	}{
		"own domain has room":           {[]leveler.Candidate{server(true, 0), server(false, 5)}, 1},
		"own domain is full":            {[]leveler.Candidate{server(true, 0), server(false, 6)}, 0},
		"one of two is full":            {[]leveler.Candidate{server(false, 6), server(true, 0), server(false, 2)}, 1},
		"less load within the domain":   {[]leveler.Candidate{server(false, 3), server(true, 0), server(false, 2)}, 2},
		"own server is slow":            {[]leveler.Candidate{server(true, 0), slow}, 0},
		"own server fails":              {[]leveler.Candidate{server(true, 0), failing}, 0},
		"no server in the own domain":   {[]leveler.Candidate{server(true, 2), server(true, 1)}, 1},
		"one domain, or none is known":  {[]leveler.Candidate{server(false, 2), server(false, 1)}, 1},
		"all are full, the other less":  {[]leveler.Candidate{server(true, 7), server(false, 9)}, 0},
		"no slots are known, one taken": {[]leveler.Candidate{{Remote: true}, {Running: 1}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(leveler.Choose(test.all, leveler.Staleness{}, nil), test.want)
		})
	}
}

// TestDomainsUnknown checks that decisions are the same if no server is known to be in
// another domain, and if all are, over drawn loads.
func TestDomainsUnknown(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	for seed := range uint64(5_000) {
		near := make([]leveler.Candidate, 1+random.IntN(7))
		for i := range near {
			near[i] = leveler.Candidate{Running: random.IntN(9), PeerRunning: random.IntN(3), Slots: 1 + random.IntN(8), FailureRate: random.Float64() / 10}
		}
		remote := slices.Clone(near)
		for i := range remote {
			remote[i].Remote = true
		}
		s := leveler.Staleness{Delay: time.Duration(random.IntN(50)) * time.Millisecond, Work: 30 * time.Millisecond}
		draw := func() func() float64 { return rand.New(rand.NewPCG(seed, 3)).Float64 }
		is.Equal(leveler.Choose(near, s, draw()), leveler.Choose(remote, s, draw()))
	}
}

// wave is the load of the callers of a domain: waveRate in turn, calmRate else.
const (
	domains  = 3
	turn     = 2 * time.Second
	waveRate = 1.8
	calmRate = (domains - waveRate) / (domains - 1)
)

// drawDomain returns the domain of a caller at a time.
func drawDomain(random *rand.Rand, now time.Duration) int {
	left := random.Float64() * domains
	for d := range domains - 1 {
		rate := calmRate
		if int(now/turn)%domains == d {
			rate = waveRate
		}
		if left -= rate; left < 0 {
			return d
		}
	}
	return domains - 1
}

// alternate simulates entries of three domains, whose callers' traffic swings in turn, before
// plain servers in the given domains. It returns the shares of calls that find a server full
// and that stay in their domain. If blind, entries do not know the domains.
func alternate(seed uint64, entries int, rate float64, servers []int, blind bool) (rejected, own float64) {
	const (
		work   = 60 * time.Millisecond // median
		delay  = 20 * time.Millisecond
		length = 60 * time.Second
		step   = time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 2))
	var calls []call
	full, stayed, total := 0, 0, 0
	slowdowns := slices.Repeat([]float64{1}, len(servers))
	for now := time.Duration(0); now < length; now += step {
		calls = slices.DeleteFunc(calls, func(c call) bool { return now >= c.ends+delay })
		if random.Float64() >= rate*step.Seconds() {
			continue
		}
		domain := drawDomain(random, now)
		entry := domain + domains*random.IntN((entries-domain+domains-1)/domains)
		known, running := look(calls, slowdowns, entry, delay, now)
		order := random.Perm(len(known))
		shuffled := make([]leveler.Candidate, len(known))
		for i, n := range order {
			shuffled[i] = known[n]
			shuffled[i].Remote = !blind && servers[n] != domain
		}
		s := order[leveler.Choose(shuffled, leveler.Staleness{Delay: delay, Work: work}, random.Float64)]
		total++
		if servers[s] == domain {
			stayed++
		}
		if running[s] >= plainSlots {
			full++
			continue
		}
		took := work.Seconds() * math.Exp(0.5*random.NormFloat64())
		calls = append(calls, call{entry: entry, server: s, sent: now, ends: now + time.Duration(took*float64(time.Second))})
	}
	return float64(full) / float64(total), float64(stayed) / float64(total)
}

// TestAlternating checks that most calls stay in their domain while it has room, and that
// no more of them find a server full than without knowledge of domains.
func TestAlternating(t *testing.T) {
	for name, servers := range map[string][]int{"three, two, two": {0, 0, 0, 1, 1, 2, 2}, "one each": {0, 1, 2}, "none in one": {0, 0, 1, 1}} {
		for _, entries := range []int{11, 26} {
			for _, load := range []float64{0.1, 0.4, 0.7} {
				t.Run(fmt.Sprint(name, ", ", entries, " entries, load ", load), func(t *testing.T) {
					rejected, own := alternateSeeds(entries, load, servers, false)
					rejectedBefore, ownBefore := alternateSeeds(entries, load, servers, true)
					t.Logf("rejected %.4f, before %.4f; own %.3f, before %.3f", rejected, rejectedBefore, own, ownBefore)
					if rejected > rejectedBefore+0.002 || load < 0.2 && own < ownBefore+0.2 {
						t.Errorf("rejected %.4f, before %.4f; own %.3f, before %.3f", rejected, rejectedBefore, own, ownBefore)
					}
				})
			}
		}
	}
}

// alternateSeeds returns the mean results of alternate over some seeds, at a load in calls per
// slot.
func alternateSeeds(entries int, load float64, servers []int, blind bool) (rejected, own float64) {
	const (
		mean  = 0.068 // seconds, of a call
		seeds = 4
	)
	for seed := range uint64(seeds) {
		r, o := alternate(seed, entries, load*plainSlots*float64(len(servers))/mean, servers, blind)
		rejected += r / seeds
		own += o / seeds
	}
	return rejected, own
}
