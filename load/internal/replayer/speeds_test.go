package replayer_test

import (
	"testing"

	"bamboohill/core/assigner"
	"bamboohill/load/internal/replayer"

	"github.com/matryer/is"
)

// replaySpeeds returns the mean value share over the seeds, for what entries know of speeds.
func replaySpeeds(t *testing.T, l replayer.Load, speeds replayer.Speeds) float64 {
	t.Helper()
	value := 0.0
	classes := make([]float64, len(l.Classes))
	for seed := range uint64(seeds) {
		r := replayer.Replay(replayer.Config{Load: l, Policy: assigner.CostBased{}, Seed: seed, Speeds: speeds})
		value += r.ValueShare() / seeds
		for i, c := range r.Classes {
			classes[i] += c.ValueShare() / seeds
		}
	}
	t.Logf("speeds %d worth %.3f by class %.3f", speeds, value, classes)
	return value
}

// TestUnlike compares estimated speeds with no knowledge of them and with the bound.
func TestUnlike(t *testing.T) {
	is := is.New(t)
	unknown := replaySpeeds(t, replayer.Unlike(), replayer.Unknown)
	estimated := replaySpeeds(t, replayer.Unlike(), replayer.Estimated)
	known := replaySpeeds(t, replayer.Unlike(), replayer.Known)
	is.True(estimated > unknown)
	is.True(estimated > unknown+(known-unknown)/2)
}

// TestAlike checks that decisions are the same with estimated speeds if engines are alike.
func TestAlike(t *testing.T) {
	is := is.New(t)
	for _, load := range []replayer.Load{replayer.Waves(), replayer.Flood()} {
		for seed := range uint64(3) {
			without := replayer.Replay(replayer.Config{Load: load, Policy: assigner.CostBased{}, Seed: seed})
			with := replayer.Replay(replayer.Config{Load: load, Policy: assigner.CostBased{}, Seed: seed, Speeds: replayer.Estimated})
			is.Equal(with.Classes, without.Classes)
			is.Equal(with.Seconds, without.Seconds)
		}
	}
}
