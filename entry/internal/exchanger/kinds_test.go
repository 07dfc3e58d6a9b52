package exchanger_test

import (
	"testing"
	"time"

	"bamboohill/core/loadtracker"
	"bamboohill/core/predictor"
	"bamboohill/core/profiler"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

// Kinds of the tests, in the order of their indexes.
var (
	short  = profiler.Kind{Service: "pool", Pause: 200 * time.Millisecond, Target: 300 * time.Millisecond}
	medium = profiler.Kind{Service: "pool", Pause: 500 * time.Millisecond, Target: 1500 * time.Millisecond}
)

// configuration returns a configuration with one route for each kind.
func configuration(kinds ...profiler.Kind) *viewer.Configuration {
	var routes []*viewer.Route
	for i, k := range kinds {
		routes = append(routes, &viewer.Route{
			Host: string(rune('a' + i)), Prefix: "/", Kind: viewer.Streaming, TargetGap: k.Pause, TargetLatency: k.Target,
			Targets: []viewer.Target{{Service: k.Service, Weight: 1}},
		})
	}
	c := viewer.NewConfiguration(routes, nil)
	c.Services["pool"] = &viewer.Service{Name: "pool", Engine: &predictor.Engine{Slots: 16}}
	return c
}

// TestKindsOfTwoConfigurations checks that an entry reads the load of another that follows
// a configuration with other kinds, in another order, and what it has seen of them.
func TestKindsOfTwoConfigurations(t *testing.T) {
	is := is.New(t)
	d := &directory{all: map[string]string{}}
	a, b := newNode(t, d), newNode(t, d)
	added, changed := short, medium
	added.Pause, added.Target = 50*time.Millisecond, 100*time.Millisecond
	changed.Pause = 450 * time.Millisecond
	a.loads.Configure(configuration(added, short, changed))
	waitFor(t, "two entries", func() bool { return a.exchanger.Entries() == 2 && b.exchanger.Entries() == 2 })
	a.loads.RecordPlacement("1", loadtracker.Work{Server: "s", Kind: changed, Prompt: 40_000}, time.Now())
	waitFor(t, "placed", func() bool { return b.loads.Load("s", time.Now()).Running == 1 })
	is.Equal(b.loads.Load("s", time.Now()).Prefilling, loadtracker.Counts{1: 1}) // as the nearest own kind
	waitFor(t, "sample", func() bool { return b.loads.Traffic(time.Now())[medium].Usual.Prompts > 0.5 })

	b.loads.Configure(configuration(added, short, changed))
	is.Equal(b.loads.Load("s", time.Now()).Prefilling, loadtracker.Counts{2: 1}) // also before the next datagram
}
