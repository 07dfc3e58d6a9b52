package queuer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bamboohill/core/queuer"
	"bamboohill/core/sharer"
)

var (
	firstMixture = flag.Uint64("mixture.first", 0, "seed of the first drawn mixture")
	mixtures     = flag.Uint64("mixture.seeds", 24, "number of drawn mixtures")
)

// Bounds of what callers get, in the order of docs/design/waiting.md.
const (
	servedMargin = 0.05                   // by which a kind may be served worse than a less urgent one
	floorTime    = 10_000                 // milliseconds in which each kind and each account is served once at least
	unusedBound  = 250 * time.Millisecond // for which room stays unused while a request waits that it suffices for
	shareBound   = 0.9                    // of its max-min share, that an account gets
	rebuildTime  = 2_000                  // milliseconds after which it does, after all entries were killed
)

// Times of a drawn mixture in milliseconds.
const (
	mixtureStart  = 2_000
	mixtureLength = 20_000
	fleetPlaces   = 16
)

// mixture is a drawn load of several entries.
type mixture struct {
	entries int
	kinds   []drawnKind
	clients []client
	trouble trouble
	faults  string
}

// drawFleetMixture draws pairs of kinds that differ in rank alone and up to two other kinds,
// which ask for 0.8 to 2.5 times the room, client accounts of unequal demand, and faults.
func drawFleetMixture(random *rand.Rand) mixture {
	m := mixture{entries: []int{4, 26}[random.IntN(2)]}
	for pair := range 1 + random.IntN(3) {
		k := drawFleetKind(random)
		for rank := range 2 {
			k.request.Rank = 2*rank + random.IntN(2)
			k.request.Kind = fmt.Sprintf("pair %d rank %d", pair, k.request.Rank)
			m.kinds = append(m.kinds, k)
		}
	}
	for single := range random.IntN(3) {
		k := drawFleetKind(random)
		k.request.Rank, k.request.Kind = random.IntN(4), fmt.Sprint("single ", single)
		m.kinds = append(m.kinds, k)
	}
	load := (0.8 + 1.7*random.Float64()) / float64(len(m.kinds))
	for i, k := range m.kinds {
		m.kinds[i].each = max(1, int(float64(k.room*k.holds)/(load*fleetPlaces)))
	}
	for i := range 1 + random.IntN(6) {
		m.clients = append(m.clients, client{name: fmt.Sprint("account ", i), weight: 0.05 + random.ExpFloat64(), only: random.IntN(4) == 0})
	}
	m.trouble = trouble{delay: 2 + random.IntN(20)}
	m.faults = []string{"none", "loss", "late", "mute", "slow", "killed", "frozen", "all killed"}[random.IntN(8)]
	switch m.faults {
	case "loss":
		m.trouble.loss = 0.5
	case "late":
		m.trouble.delay = 200
	case "mute":
		m.trouble.mute = true
	case "slow":
		m.trouble.slow = 100
	}
	return m
}

func drawFleetKind(random *rand.Rand) drawnKind {
	room := 1 << random.IntN(4)
	return drawnKind{
		request: queuer.Request{Size: room * 4096, Patience: time.Duration(200+random.IntN(1300)) * time.Millisecond},
		room:    room, holds: 40 + random.IntN(160),
	}
}

// play plays the mixture.
func (m mixture) play(seed uint64) *fleet {
	f := newFleet(seed, m.entries, fleetPlaces, m.kinds, m.clients, m.trouble)
	f.first = mixtureStart
	f.at(8_000, func() {
		switch m.faults {
		case "killed":
			f.kill(2, 3_000)
		case "frozen":
			f.freeze(2, 2_000)
		case "all killed":
			for i := range f.entries {
				f.kill(i, 500)
			}
		}
	})
	f.play(mixtureStart + mixtureLength)
	return f
}

// share returns the share of a kind's requests that were served.
func (f *fleet) share(kind int) float64 {
	return float64(f.placed[kind]) / float64(max(1, f.asked[kind]))
}

// checkKinds checks that no kind starves or is served worse than a less urgent one that
// differs from it in nothing else.
func (f *fleet) checkKinds(t *testing.T) {
	t.Helper()
	for i, k := range f.kinds {
		t.Logf("%s: room %d, patience %v, %d of %d served", k.request.Kind, k.room, k.request.Patience, f.placed[i], f.asked[i])
		if f.placed[i] < mixtureLength/floorTime && f.asked[i] > mixtureLength/floorTime {
			t.Errorf("%s starves", k.request.Kind)
		}
		for j, less := range f.kinds {
			same := k.room == less.room && k.holds == less.holds && k.request.Patience == less.request.Patience
			if same && k.request.Rank < less.request.Rank && f.share(i) < f.share(j)-servedMargin {
				t.Errorf("%s: %.3f served, of %s %.3f", k.request.Kind, f.share(i), less.request.Kind, f.share(j))
			}
		}
	}
}

// checkClients checks that no client account starves.
func (f *fleet) checkClients(t *testing.T) {
	t.Helper()
	for i, c := range f.clients {
		t.Logf("%s: weight %.2f, alone at an entry %v, %.2f of %.2f s", c.name, c.weight, c.only, f.got[i], f.demand[i])
		if f.served[i] < mixtureLength/floorTime && f.demand[i] > 0 {
			t.Errorf("%s starves", c.name)
		}
	}
}

// TestEntriesCompete draws mixtures of kinds, ranks and client accounts over several
// entries, with faults of their news. No kind may be served worse than a less urgent one that
// differs from it in nothing else, no kind and no account may starve, and no room may stay
// unused while a request waits that it suffices for.
func TestEntriesCompete(t *testing.T) {
	for seed := *firstMixture; seed < *firstMixture+*mixtures; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			m := drawFleetMixture(rand.New(rand.NewPCG(seed, 32)))
			f := m.play(seed)
			t.Logf("%d entries, faults: %s, room unused for %d ms", m.entries, m.faults, f.longest)
			f.checkKinds(t)
			f.checkClients(t)
			if longest := time.Duration(f.longest) * time.Millisecond; longest > unusedBound {
				t.Errorf("room was unused for %v while a request waited", longest)
			}
		})
	}
}

// TestAccountsCompete checks that accounts of unequal demand, some at one entry alone, get
// their max-min shares over all entries, also from rebuildTime after all entries were killed.
func TestAccountsCompete(t *testing.T) {
	for seed := *firstMixture; seed < *firstMixture+min(*mixtures, 8); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 33))
			k := drawnKind{request: queuer.Request{Kind: "prompts", Size: 4096, Patience: 500 * time.Millisecond}, room: 1, holds: 160, each: 4} // 2.5 times the room
			clients := []client{{name: "large", weight: 1, only: random.IntN(2) == 0}}
			for i := range 1 + random.IntN(12) {
				clients = append(clients, client{name: fmt.Sprint("small ", i), weight: 0.02 + 0.2*random.Float64(), only: random.IntN(8) == 0})
			}
			entries := []int{4, 26}[random.IntN(2)]
			f := newFleet(seed, entries, fleetPlaces, []drawnKind{k}, clients, trouble{delay: 2 + random.IntN(20), loss: 0.02})
			const killed, back = 6_000, 100
			f.at(killed, func() {
				for i := range f.entries {
					f.kill(i, back)
				}
			})
			f.first = killed + back + rebuildTime
			f.play(f.first + 10_000)
			sum := 0.0
			for _, work := range f.got {
				sum += work
			}
			level := sharer.Level(f.demand, sum)
			for i, c := range clients {
				share := min(level, f.demand[i])
				t.Logf("%d entries, %s: alone at one %v, asked for %.2f, got %.2f of a share of %.2f", entries, c.name, c.only, f.demand[i], f.got[i], share)
				if f.got[i] < shareBound*share {
					t.Errorf("%s got %.3f of its share", c.name, f.got[i]/share)
				}
			}
		})
	}
}
