package replayer_test

import (
	"testing"

	"bamboohill/core/assigner"
	"bamboohill/load/internal/replayer"
)

// BenchmarkOff reports the value share of each load with one feature of the
// policy disabled: go test -bench Off -benchtime 1x ./load/internal/replayer.
func BenchmarkOff(b *testing.B) {
	loads := map[string]func() replayer.Load{"waves": replayer.Waves, "flood": replayer.Flood, "crowd": replayer.Crowd}
	for load, play := range loads {
		for _, name := range []string{
			"priced", "priced-helpers", "priced-orders", "priced-unheard", "priced-opening", "priced-ahead",
			"priced-scarcity", "priced-waiting", "priced-refusing", "priced-urgency", "least", "random",
		} {
			b.Run(load+"/"+name, func(b *testing.B) {
				policy, known := assigner.ParsePolicy(name)
				if !known {
					b.Fatal(name)
				}
				runs := uint64(seeds)
				if load == "crowd" {
					runs = crowdSeeds
				}
				for b.Loop() {
					value := 0.0
					for seed := range runs {
						value += replayer.Replay(replayer.Config{Load: play(), Policy: policy, Seed: seed}).ValueShare() / float64(runs)
					}
					b.ReportMetric(value, "worth")
				}
			})
		}
	}
}
