package loadtracker_test

import (
	"strconv"
	"testing"
	"time"

	"bamboohill/core/loadtracker"
	"bamboohill/core/predictor"
	"bamboohill/core/profiler"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// Kinds of the tests, in the order of their indexes.
var short, medium, long = kindOf(200, 300), kindOf(500, 1500), kindOf(800, 3000)

func kindOf(pause, target time.Duration) profiler.Kind {
	return profiler.Kind{Service: "pool", Pause: pause * time.Millisecond, Target: target * time.Millisecond}
}

// configuration returns a configuration with one route for each kind.
func configuration(kinds ...profiler.Kind) *viewer.Configuration {
	var routes []*viewer.Route
	for i, k := range kinds {
		routes = append(routes, &viewer.Route{
			Host: strconv.Itoa(i), Prefix: "/", Kind: viewer.Streaming, TargetGap: k.Pause, TargetLatency: k.Target, Priority: k.Rank,
			Targets: []viewer.Target{{Service: k.Service, Weight: 1}},
		})
	}
	c := viewer.NewConfiguration(routes, nil)
	c.Services["pool"] = &viewer.Service{Name: "pool", Engine: &predictor.Engine{Slots: 16}, Usual: viewer.Size{Prompt: 13_000, Answer: 1_600}}
	return c
}

// newTracker returns a tracker of requests of the three kinds.
func newTracker() *loadtracker.Tracker {
	t := loadtracker.New()
	t.Configure(configuration(long, short, medium))
	return t
}

// TestAttemptLifecycle follows one attempt whose prefill three engines share.
func TestAttemptLifecycle(t *testing.T) {
	is := is.New(t)
	b := newTracker()
	b.RecordPlacement("a", loadtracker.Work{
		Server: "1", Helpers: []viewer.ServerID{"2", "3"}, HelperContextTokens: []int{100, 200}, Prefill: 400 * time.Millisecond, ContextTokens: 50, Kind: long,
	}, start)
	first, helper := b.Load("1", start), b.Load("3", start)
	is.Equal(first, loadtracker.Load{Prefill: 400 * time.Millisecond, ContextTokens: 50, Running: 1, Prefilling: loadtracker.Counts{0, 0, 1}})
	is.Equal(helper, loadtracker.Load{Prefill: 400 * time.Millisecond, ContextTokens: 200, HelperPrefills: 1, Prefilling: loadtracker.Counts{0, 0, 1}})

	is.Equal(b.Load("2", after(100*time.Millisecond)).Prefill, 300*time.Millisecond) // prefill has progressed

	b.RecordFirstEvent("a", after(200*time.Millisecond))
	is.Equal(b.Load("1", after(200*time.Millisecond)), loadtracker.Load{ContextTokens: 50, Running: 1, Decoding: loadtracker.Counts{0, 0, 1}})
	is.Equal(b.Load("3", after(200*time.Millisecond)), loadtracker.Load{ContextTokens: 200}) // its context is held until the end

	b.RecordEnd("a", after(time.Second))
	b.RecordEnd("a", after(time.Second)) // a second end is ignored
	for _, id := range []viewer.ServerID{"1", "2", "3"} {
		is.Equal(b.Load(id, after(time.Second)), loadtracker.Load{})
	}
	is.Equal(len(b.OwnLoads(after(time.Second))), 0)
}

// TestPeers checks that the loads of another entry are added until they time
// out.
func TestPeers(t *testing.T) {
	is := is.New(t)
	b := newTracker()
	b.ApplyPeerReport("other", loadtracker.Report{Loads: map[uint32]loadtracker.Load{loadtracker.Hash("1"): {Running: 2, ContextTokens: 7}}, Demand: 3}, start)
	is.Equal(b.Load("1", start).Running, 2)
	is.Equal(b.Load("2", start).Running, 0)
	_, all := b.PrefillDemand(start)
	is.Equal(all, 3.0)
	b.ApplyPeerReport("other", loadtracker.Report{Loads: map[uint32]loadtracker.Load{}, Demand: 0}, after(time.Second)) // replaces the earlier loads
	is.Equal(b.Load("1", after(time.Second)).Running, 0)
	b.ApplyPeerReport("other", loadtracker.Report{Loads: map[uint32]loadtracker.Load{loadtracker.Hash("1"): {Running: 2}}, Demand: 3}, after(time.Second))
	is.Equal(b.Load("1", after(10*time.Second)).Running, 0) // timed out
}

func TestPrefillDemand(t *testing.T) {
	is := is.New(t)
	b := newTracker()
	for i := range 100 { // prefill for ten engines, for ten seconds
		b.RecordPlacement(string(rune('a'+i)), loadtracker.Work{Server: "1", Prefill: time.Second}, after(time.Duration(i)*100*time.Millisecond))
	}
	own, all := b.PrefillDemand(after(10 * time.Second))
	is.True(own > 8 && own < 12)
	is.Equal(own, all)
	own, _ = b.PrefillDemand(after(time.Minute))
	is.True(own < 0.1)
}

// TestNoResidualLoad records placements, first events and ends in random order:
// no load may remain at the end, and none may be negative at any time.
func TestNoResidualLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTracker()
		now := start
		open := map[string]bool{}
		servers := []viewer.ServerID{"1", "2", "3", "4"}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			name := string(rune('a' + rapid.IntRange(0, 9).Draw(t, "attempt")))
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				if !open[name] {
					n := rapid.IntRange(1, 4).Draw(t, "engines")
					b.RecordPlacement(name, loadtracker.Work{
						Server: servers[0], Helpers: servers[1:n], Prefill: time.Duration(step) * time.Millisecond, ContextTokens: step,
						Kind: []profiler.Kind{short, medium, long}[step%3],
					}, now)
					open[name] = true
				}
			case 1:
				b.RecordFirstEvent(name, now)
			case 2:
				b.RecordEnd(name, now)
				delete(open, name)
			}
			for _, id := range servers {
				l := b.Load(id, now)
				if l.Prefill < 0 || l.Running < 0 || l.HelperPrefills < 0 || l.ContextTokens < 0 || min(l.Prefilling[0], l.Prefilling[1], l.Prefilling[2]) < 0 || l.DecodingTotal() > l.Running {
					t.Fatalf("load of %s: %+v", id, l)
				}
			}
		}
		for name := range open {
			b.RecordEnd(name, now)
		}
		if remaining := b.OwnLoads(now); len(remaining) != 0 {
			t.Fatalf("remaining loads: %+v", remaining)
		}
	})
}
