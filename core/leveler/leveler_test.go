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

// TestAlike checks that among servers that are alike the one with the lowest load and failure
// rate is chosen, over drawn loads.
func TestAlike(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		all := make([]leveler.Candidate, 1+random.IntN(7))
		best, least := -1, math.Inf(1)
		for i := range all {
			all[i] = leveler.Candidate{Running: random.IntN(12), Slots: 1 + random.IntN(8), Slowdown: float64(random.IntN(2))}
			if random.IntN(3) == 0 {
				all[i].FailureRate = random.Float64()
			}
			if rank := float64(all[i].Running)/float64(all[i].Slots) + 4*all[i].FailureRate; rank < least {
				best, least = i, rank
			}
		}
		is.Equal(leveler.Choose(all, leveler.Staleness{Delay: time.Second, Work: time.Second}, random.Float64), best)
	}
	is.Equal(leveler.Choose(nil, leveler.Staleness{}, random.Float64), -1)
}

func TestUnlike(t *testing.T) {
	normal := func(running int) leveler.Candidate {
		return leveler.Candidate{Running: running, Slots: 6, Slowdown: 1}
	}
	tests := map[string]struct {
		other leveler.Candidate // beside a server at normal speed with running calls
		load  int
		want  int
	}{
		"slow and idle":             {other: leveler.Candidate{Slots: 6, Slowdown: 4}, load: 2, want: 0},
		"slow, the other full":      {other: leveler.Candidate{Slots: 6, Slowdown: 4}, load: 7, want: 1},
		"slow and late":             {other: leveler.Candidate{Slots: 6, Slowdown: 2, LateRate: 0.5}, load: 6, want: 0},
		"fails":                     {other: leveler.Candidate{Slots: 6, Slowdown: 1, FailureRate: 1}, load: 12, want: 0},
		"more slots, the same load": {other: leveler.Candidate{Running: 4, Slots: 12, Slowdown: 1}, load: 3, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(leveler.Choose([]leveler.Candidate{normal(test.load), test.other}, leveler.Staleness{}, nil), test.want)
		})
	}
}

const plainSlots = 6

// call is a call that some entry takes for running.
type call struct {
	entry, server int
	sent, ends    time.Duration
}

// look returns the servers as an entry knows them, and how many calls really run at each.
func look(calls []call, slowdowns []float64, entry int, delay, now time.Duration) (known []leveler.Candidate, running []int) {
	known = make([]leveler.Candidate, len(slowdowns))
	running = make([]int, len(slowdowns))
	for i, s := range slowdowns {
		known[i] = leveler.Candidate{Slots: plainSlots, Slowdown: s}
	}
	for _, c := range calls {
		if c.entry == entry && now < c.ends {
			known[c.server].Running++
		}
		if c.entry != entry && now >= c.sent+delay { // until delay after its end
			known[c.server].Running++
			known[c.server].PeerRunning++
		}
		if now < c.ends {
			running[c.server]++
		}
	}
	return known, running
}

// herd simulates entries that send calls to few plain servers, each of which learns of the
// calls of the others with a delay, and returns the share of calls that find a server full.
// A server runs plainSlots calls at a time and rejects others.
func herd(seed uint64, entries int, delay time.Duration, rate float64, slowdowns []float64, choose func(random *rand.Rand, all []leveler.Candidate) int) float64 {
	const (
		work   = 30 * time.Millisecond // median
		length = 60 * time.Second
		step   = time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 2))
	var calls []call
	rejected, total := 0, 0
	for now := time.Duration(0); now < length; now += step {
		calls = slices.DeleteFunc(calls, func(c call) bool { return now >= c.ends+delay })
		if random.Float64() >= rate*step.Seconds() {
			continue
		}
		entry := random.IntN(entries)
		known, running := look(calls, slowdowns, entry, delay, now)
		order := random.Perm(len(known))
		shuffled := make([]leveler.Candidate, len(known))
		for i, n := range order {
			shuffled[i] = known[n]
		}
		s := order[choose(random, shuffled)]
		total++
		if running[s] >= plainSlots {
			rejected++
			continue
		}
		took := work.Seconds() * math.Exp(0.5*random.NormFloat64()) * slowdowns[s]
		calls = append(calls, call{entry: entry, server: s, sent: now, ends: now + time.Duration(took*float64(time.Second))})
	}
	return float64(rejected) / float64(total)
}

// TestHerd checks that fewer calls find a server full than by the lowest load alone, which
// sends all entries to the same server, and hardly more when few calls are unseen.
func TestHerd(t *testing.T) {
	const work = 34 * time.Millisecond // mean
	alike, many, unlike := []float64{1, 1, 1}, []float64{1, 1, 1, 1, 1, 1, 1}, []float64{4, 1, 1}
	tests := map[string]struct {
		entries   int
		delay     time.Duration
		slowdowns []float64
		most      float64 // share of the calls that are rejected, by that of the lowest load
	}{
		"26 entries, three servers":           {26, 45 * time.Millisecond, alike, 0.5},
		"26 entries, seven servers":           {26, 45 * time.Millisecond, many, 0.5},
		"26 entries, one of three slow":       {26, 45 * time.Millisecond, unlike, 0.5},
		"26 entries, three servers, 15 ms":    {26, 15 * time.Millisecond, alike, 1},
		"four entries, three servers":         {4, 45 * time.Millisecond, alike, 1},
		"four entries, three servers, 15 ms":  {4, 15 * time.Millisecond, alike, 1},
		"four entries, seven servers, 15 ms":  {4, 15 * time.Millisecond, many, 1},
		"one entry, three servers, no delays": {1, 0, alike, 1},
	}
	for name, test := range tests {
		for _, share := range []float64{0.3, 0.6} {
			t.Run(fmt.Sprint(name, ", load ", share), func(t *testing.T) {
				rate := 0.0
				for _, s := range test.slowdowns {
					rate += share * plainSlots / (work.Seconds() * s)
				}
				chosen := func(random *rand.Rand, all []leveler.Candidate) int {
					return leveler.Choose(all, leveler.Staleness{Delay: test.delay, Work: work}, random.Float64)
				}
				shed := map[string]float64{}
				for seed := range uint64(2) {
					shed["chosen"] += herd(seed, test.entries, test.delay, rate, test.slowdowns, chosen) / 2
					shed["lowest"] += herd(seed, test.entries, test.delay, rate, test.slowdowns, lowestLoad) / 2
					shed["two"] += herd(seed, test.entries, test.delay, rate, test.slowdowns, twoChoices) / 2
					shed["random"] += herd(seed, test.entries, test.delay, rate, test.slowdowns, anyServer) / 2
				}
				t.Logf("rejected: %.3v", shed)
				if shed["chosen"] > test.most*shed["lowest"]+0.002 {
					t.Errorf("rejected: %.3v", shed)
				}
			})
		}
	}
}

// lowestLoad chooses the server with the fewest calls as far as known.
func lowestLoad(_ *rand.Rand, all []leveler.Candidate) int {
	best := 0
	for i, c := range all {
		if c.Running < all[best].Running {
			best = i
		}
	}
	return best
}

// twoChoices chooses the better one of two random servers.
func twoChoices(_ *rand.Rand, all []leveler.Candidate) int {
	if leveler.Rank(all[1]) < leveler.Rank(all[0]) {
		return 1
	}
	return 0
}

func anyServer(random *rand.Rand, all []leveler.Candidate) int { return random.IntN(len(all)) }
