package gauger_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"bamboohill/core/gauger"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

const (
	pass    = 45 * time.Millisecond
	service = "s"
)

func run(n int) gauger.Run {
	return gauger.Run{Server: viewer.ServerID("server-" + strconv.Itoa(n)), StartMillis: 1}
}

// fleet is a group of entries that send passes or calls to servers and tell each other
// speeds with a delay.
type fleet struct {
	entries []*gauger.Gauger
	random  *rand.Rand
	now     time.Time
	told    int // the most speeds in one datagram
}

func newFleet(entries int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for range entries {
		f.entries = append(f.entries, gauger.New())
	}
	return f
}

// step advances the clock by 50 ms and exchanges speeds.
func (f *fleet) step() {
	f.now = f.now.Add(50 * time.Millisecond)
	for i, from := range f.entries {
		own := from.Own(24, f.now)
		f.told = max(f.told, len(own))
		for j, to := range f.entries {
			if i != j {
				to.ApplyPeer(strconv.Itoa(i), own, f.now)
			}
		}
	}
}

// decode lets each of the entries decode on some engines for a time. A part of the passes
// is lengthened by work that the entry does not see, and all are a little wrong.
// Now and then an engine prefills a long prompt for 200 ms longer than predicted.
func (f *fleet) decode(d time.Duration, engines int, factor func(entry, engine int) float64) {
	busy := map[int]time.Time{} // until when an engine prefills a long prompt
	for end := f.now.Add(d); f.now.Before(end); f.step() {
		if n := f.random.IntN(20 * engines); n < engines {
			busy[n] = f.now.Add(200 * time.Millisecond)
		}
		for i, g := range f.entries {
			for k := range min(6, engines) { // each entry prefers some engines
				n := (3*i + k) % engines
				if f.random.Float64() > 0.5/factor(i, n) {
					continue // the pass goes on, or prefills a known prompt
				}
				took := float64(pass) * factor(i, n) * (1 + 0.1*f.random.NormFloat64())
				if f.random.Float64() < 0.3 {
					took += f.random.ExpFloat64() * float64(20*time.Millisecond) // a short prompt's prefill
				}
				if f.now.Before(busy[n]) {
					took *= 2
				}
				g.RecordPass(service, run(n), time.Duration(took), pass, f.now)
			}
		}
	}
}

// call lets the entries call plain servers, a number of times per second each.
func (f *fleet) call(d time.Duration, servers int, rate float64, factor func(server int) float64) {
	for end := f.now.Add(d); f.now.Before(end); f.step() {
		for _, g := range f.entries {
			if f.random.Float64() < rate*0.05 {
				n := f.random.IntN(servers)
				took := 30 * math.Exp(0.5*f.random.NormFloat64()) * factor(n)
				g.RecordCall(service, "route", run(n), time.Duration(took*float64(time.Millisecond)), f.now)
			}
		}
	}
}

func alike(int) float64 { return 1 }

// slowdowns returns the least and the largest slowdown of a server over the entries.
func (f *fleet) slowdowns(n int) (least, most float64) {
	least = math.Inf(1)
	for _, g := range f.entries {
		s := g.Slowdown(run(n), f.now)
		least, most = min(least, s), max(most, s)
	}
	return least, most
}

// TestAlike checks that servers that are alike have a slowdown of exactly 1 at all times, and
// that entries that are slow themselves do not take them for slow.
func TestAlike(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		f, calls := newFleet(8, seed), newFleet(26, seed)
		for range 40 {
			f.decode(250*time.Millisecond, 14, func(entry, _ int) float64 {
				if entry == 0 {
					return 2.5 // a slow processor
				}
				return 1
			})
			calls.call(250*time.Millisecond, 3, 1, alike)
			for n := range 14 {
				_, most := f.slowdowns(n)
				is.Equal(most, 1.0) // passes
				_, most = calls.slowdowns(n)
				is.Equal(most, 1.0)
			}
		}
	}
}

// TestSlow checks that a slow server is known to all entries within a second of load, also
// to those that don't use it, that others stay normal, and that it is normal again soon
// after it has recovered.
func TestSlow(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		f := newFleet(8, seed)
		slow := func(_, engine int) float64 {
			if engine < 2 {
				return 3
			}
			return 1
		}
		f.decode(2*time.Second, 14, func(int, int) float64 { return 1 })
		f.decode(time.Second, 14, slow)
		f.entries = append(f.entries, gauger.New())
		f.step()
		f.now = f.now.Add(50 * time.Millisecond)
		f.step()
		for n := range 14 {
			least, most := f.slowdowns(n)
			if n < 2 {
				is.True(least > 2.2)
				is.True(most < 3.8)
			} else {
				is.Equal(most, 1.0)
			}
		}
		is.True(f.told <= 2+12)
		f.decode(3*time.Second, 14, func(int, int) float64 { return 1 })
		_, most := f.slowdowns(0)
		is.Equal(most, 1.0)
	}
}

// TestSlowPlainServer checks the same of one of three plain servers, with few calls.
func TestSlowPlainServer(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		f := newFleet(26, seed)
		f.call(20*time.Second, 3, 1, alike)
		f.call(5*time.Second, 3, 1, func(n int) float64 { return []float64{4, 1, 1}[n] })
		least, _ := f.slowdowns(0)
		is.True(least > 2)
		for n := 1; n < 3; n++ {
			_, most := f.slowdowns(n)
			is.Equal(most, 1.0)
		}
	}
}

// TestForgotten checks that the estimate of a server ends with its run, and some seconds
// after the last answer.
func TestForgotten(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 1)
	f.decode(4*time.Second, 4, func(_, engine int) float64 { return []float64{6, 1, 1, 1}[engine] })
	least, _ := f.slowdowns(0)
	is.Equal(least, gauger.MaxSlowdown)
	restarted := run(0)
	restarted.StartMillis++
	is.Equal(f.entries[0].Slowdown(restarted, f.now), 1.0)
	for range 310 {
		f.step()
	}
	_, most := f.slowdowns(0)
	is.Equal(most, 1.0)
}

// TestFewSamples checks that neither few samples nor the samples of one entry with a slow
// path outweigh the others.
func TestFewSamples(t *testing.T) {
	is := is.New(t)
	g := gauger.New()
	for n := range 4 {
		for i := range 30 {
			g.RecordPass(service, run(n), pass, pass, start.Add(time.Duration(i)*pass))
		}
	}
	for i := range 3 {
		g.RecordPass(service, run(9), 4*pass, pass, start.Add(time.Duration(i)*pass))
	}
	now := start.Add(time.Second)
	is.Equal(g.Slowdown(run(9), now), 1.0)
	is.True(len(g.Own(24, now)) <= 1)

	f := newFleet(5, 1)
	f.decode(3*time.Second, 6, func(entry, engine int) float64 {
		if entry == 0 && engine < 2 {
			return 3 // its path to a failure domain
		}
		return 1
	})
	_, most := f.slowdowns(0)
	is.Equal(most, 1.0)
}

func TestChanges(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 1)
	servers := map[viewer.ServerID]*viewer.Server{}
	for n := range 4 {
		servers[run(n).Server] = &viewer.Server{ID: run(n).Server, StartMillis: 1}
	}
	f.decode(2*time.Second, 4, func(_, engine int) float64 { return []float64{3, 1, 1, 1}[engine] })
	changes, slow := f.entries[0].Changes(servers, f.now)
	is.Equal(slow, 1)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Run, run(0))
	is.Equal(changes[0].Entries, 3)
	changes, _ = f.entries[0].Changes(servers, f.now)
	is.Equal(len(changes), 0)
	is.Equal(len(f.entries[0].Slow()), 1)
	delete(servers, run(0).Server)
	changes, slow = f.entries[0].Changes(servers, f.now)
	is.Equal(slow, 0)
	is.Equal(changes[0].Slowdown, 1.0)
}

// TestLateRate checks that only slowness that makes calls late counts.
func TestLateRate(t *testing.T) {
	is := is.New(t)
	g := gauger.New()
	for i := range 20 {
		g.RecordCall(service, "route", run(0), 30*time.Millisecond, start.Add(time.Duration(i)*pass))
	}
	is.Equal(g.LateRate("route", 1, 150*time.Millisecond), 0.0)
	is.Equal(g.LateRate("other", 4, 150*time.Millisecond), 0.0)
	is.True(g.LateRate("route", 2, time.Second) < 0.01)
	is.True(g.LateRate("route", 4, 100*time.Millisecond) > 0.5)
}

func BenchmarkSlowdown(b *testing.B) {
	f := newFleet(26, 1)
	f.decode(time.Second, 60, func(_, engine int) float64 { return 1 + float64(engine%2)*2 })
	g := f.entries[0]
	for i := 0; b.Loop(); i++ {
		g.Slowdown(run(i%60), f.now.Add(time.Duration(i)*20*time.Microsecond))
	}
}
