package profiler_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"bamboohill/core/predictor"
	"bamboohill/core/profiler"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var engine = predictor.Engine{
	Slots: 16, Capacity: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, StepPerRequest: 4830 * time.Nanosecond,
	StepPerKTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, AttentionPerMPairs: 91_700 * time.Nanosecond, ChunkTokens: 2048,
}

func kind(pause, target time.Duration, rank int) profiler.Kind {
	return profiler.Kind{Service: "pool", Pause: pause * ms, Target: target * ms, Timeout: 10 * time.Second, Rank: rank}
}

// route returns a route with the limits of a kind.
func route(i int, k profiler.Kind) *viewer.Route {
	return &viewer.Route{
		Host: strconv.Itoa(i), Prefix: "/", Kind: viewer.Streaming, TargetGap: k.Pause, TargetLatency: k.Target, Timeout: k.Timeout,
		Priority: k.Rank, Targets: []viewer.Target{{Service: k.Service, Weight: 1}},
	}
}

// configuration returns a configuration with one route for each kind.
func configuration(kinds ...profiler.Kind) *viewer.Configuration {
	var routes []*viewer.Route
	for i, k := range kinds {
		routes = append(routes, route(i, k))
	}
	c := viewer.NewConfiguration(routes, nil)
	c.Services["pool"] = &viewer.Service{Name: "pool", Engine: &engine, Usual: viewer.Size{Prompt: 13_000, Answer: 1_500}}
	c.Services["plain"] = &viewer.Service{Name: "plain"}
	return c
}

func TestKinds(t *testing.T) {
	plain, other := kind(100, 100, 0), kind(200, 300, 0)
	plain.Service, other.Service = "plain", "other"
	tests := map[string]struct {
		kinds []profiler.Kind
		want  []profiler.Kind
	}{
		"none":                        {want: []profiler.Kind{{}}},
		"ordered by pause and target": {kinds: []profiler.Kind{kind(800, 3000, 0), kind(200, 300, 0), kind(200, 120, 0)}, want: []profiler.Kind{kind(200, 120, 0), kind(200, 300, 0), kind(800, 3000, 0)}},
		"once for equal routes":       {kinds: []profiler.Kind{kind(200, 300, 0), kind(200, 300, 0)}, want: []profiler.Kind{kind(200, 300, 0)}},
		"by rank":                     {kinds: []profiler.Kind{kind(200, 300, 1), kind(200, 300, 0)}, want: []profiler.Kind{kind(200, 300, 0), kind(200, 300, 1)}},
		"without limit is last":       {kinds: []profiler.Kind{kind(0, 0, 0), kind(200, 300, 0)}, want: []profiler.Kind{kind(200, 300, 0), kind(0, 0, 0)}},
		"not of plain services":       {kinds: []profiler.Kind{plain, kind(200, 300, 0)}, want: []profiler.Kind{kind(200, 300, 0)}},
		"not of unknown services":     {kinds: []profiler.Kind{other, kind(200, 300, 0)}, want: []profiler.Kind{kind(200, 300, 0)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(profiler.NewKinds(configuration(test.kinds...)).All(), test.want)
		})
	}
}

// TestMerge checks the bound of the number of kinds: a merged kind is at least as strict as
// each of those that count as it, and does not depend on their order.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		all := make([]profiler.Kind, rapid.IntRange(1, 60).Draw(t, "kinds"))
		for i := range all {
			all[i] = kind(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")), time.Duration(rapid.IntRange(0, 9000).Draw(t, "target")), rapid.IntRange(0, 3).Draw(t, "rank"))
		}
		kinds := profiler.ListOf(all)
		is.True(kinds.Len() <= profiler.MaxKinds)
		if len(all) <= profiler.MaxKinds {
			for _, k := range all {
				is.Equal(kinds.At(kinds.Index(k)), k)
			}
		}
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		is.True(kinds.Equal(profiler.ListOf(all)))
	})
}

// TestMergedKindIsStrict checks that the stricter limits of two merged kinds hold.
func TestMergedKindIsStrict(t *testing.T) {
	is := is.New(t)
	all := []profiler.Kind{kind(1000, 5000, 1), kind(1010, 4900, 0)}
	for i := range profiler.MaxKinds - 1 {
		all = append(all, kind(time.Duration(10<<i), 100, 0))
	}
	kinds := profiler.ListOf(all)
	is.Equal(kinds.Len(), profiler.MaxKinds)
	is.Equal(kinds.At(kinds.Index(kind(1010, 4900, 0))), kind(1000, 4900, 0))
	is.Equal(kinds.Index(kind(1000, 5000, 1)), kinds.Index(kind(1010, 4900, 0)))
}

// TestManyRoutes checks that a configuration with 1,400 more routes, each with limits of
// its own, costs a small part of the time in which an entry must apply it.
func TestManyRoutes(t *testing.T) {
	is := is.New(t)
	var all []profiler.Kind
	for i := range 1400 {
		all = append(all, kind(time.Duration(200+i), time.Duration(300+2*i), i%3))
	}
	c := configuration(all...)
	started := time.Now()
	kinds := profiler.NewKinds(c)
	took := time.Since(started)
	t.Logf("%v", took)
	is.True(took < 300*ms) // a tenth of the three seconds in which operators expect a configuration to apply
	is.Equal(kinds.Len(), profiler.MaxKinds)
}

func BenchmarkNewKinds(b *testing.B) {
	var all []profiler.Kind
	for i := range 1400 {
		all = append(all, kind(time.Duration(200+i), time.Duration(300+2*i), i%3))
	}
	c := configuration(all...)
	for b.Loop() {
		profiler.NewKinds(c)
	}
}
