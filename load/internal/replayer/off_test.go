package replayer_test

import (
	"testing"

	"bamboohill/core/assigner"
	"bamboohill/load/internal/replayer"
)

// BenchmarkOff reports what each load earns with one part of the policy switched
// off: go test -bench Off -benchtime 1x ./load/internal/replayer.
func BenchmarkOff(b *testing.B) {
	loads := map[string]func() replayer.Load{"waves": replayer.Waves, "flood": replayer.Flood, "crowd": replayer.Crowd}
	for load, play := range loads {
		for _, name := range []string{
			"priced", "priced-helpers", "priced-orders", "priced-unheard", "priced-opening", "priced-ahead",
			"priced-scarcity", "priced-waiting", "priced-refusing", "least", "random",
		} {
			b.Run(load+"/"+name, func(b *testing.B) {
				policy, known := assigner.ParsePolicy(name)
				if !known {
					b.Fatal(name)
				}
				days := uint64(seeds)
				if load == "crowd" {
					days = crowdSeeds
				}
				for b.Loop() {
					worth := 0.0
					for seed := range days {
						worth += replayer.Replay(replayer.Config{Load: play(), Policy: policy, Seed: seed}).Worth() / float64(days)
					}
					b.ReportMetric(worth, "worth")
				}
			})
		}
	}
}
