package replayer_test

import (
	"testing"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/load/internal/replayer"

	"github.com/matryer/is"
)

// TestFleets replays waves of short and of the largest prompts over fleets of several sizes. If
// entries tell placements as late as all other changes, at intervals that grow with their number,
// they choose the same engines in a large fleet. Placements that are announced at once prevent
// it, and cost smaller fleets nothing.
func TestFleets(t *testing.T) {
	tests := map[string]struct {
		entries, engines int
		least, gain      float64
	}{
		"11 entries":  {11, 54, 0.7, -0.01},
		"31 entries":  {31, 69, 0.7, -0.01},
		"103 entries": {103, 112, 0.7, 0.1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := replayer.Fleet(test.entries, test.engines, 1, 1.2)
			l.Length = 22 * time.Second
			announced := replayer.Replay(replayer.Config{Load: l, Policy: assigner.CostBased{}, Seed: 1})
			l.Announced, l.UpdateDelay = false, time.Duration(8+test.entries-1+5)*time.Millisecond
			late := replayer.Replay(replayer.Config{Load: l, Policy: assigner.CostBased{}, Seed: 1})
			t.Logf("worth %.3f announced, %.3f each %v; %d datagrams", announced.ValueShare(), late.ValueShare(), l.UpdateDelay, announced.Datagrams)
			is.True(announced.ValueShare() > test.least)
			is.True(announced.ValueShare() > late.ValueShare()+test.gain)
		})
	}
}

// TestCells replays a large fleet in two cells: no less is earned than in one, for fewer datagrams.
func TestCells(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const runs = 2
	value, datagrams := map[int]float64{}, map[int]int{}
	for _, cells := range []int{1, 2} {
		for seed := range uint64(runs) {
			l := replayer.Fleet(103, 112, cells, 1.2)
			l.Length = 22 * time.Second
			r := replayer.Replay(replayer.Config{Load: l, Policy: assigner.CostBased{}, Seed: seed})
			value[cells] += r.ValueShare() / runs
			datagrams[cells] += r.Datagrams / runs
		}
	}
	t.Logf("worth %v, datagrams %v, by cells", value, datagrams)
	is.True(value[2] > value[1]-0.03)
	is.True(10*datagrams[2] < 7*datagrams[1])
}
