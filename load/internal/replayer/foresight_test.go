package replayer_test

import (
	"math"
	"testing"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/profiler"
	"bamboohill/load/internal/replayer"

	"github.com/matryer/is"
)

// highLoad is the factor on the usual rates at which the waves need more than all engines.
const highLoad = 1.3

// TestForesightGainsLittle replays alternating waves with entries that know the true rates
// of the next two seconds, and without. The difference bounds what a forecast could gain; it
// is below noise, so that none is built. If it is not any more, one may pay.
func TestForesightGainsLittle(t *testing.T) {
	tests := map[string]struct {
		load  replayer.Load
		seeds uint64
	}{
		"four entries":   {replayer.KindWaves(highLoad), 4},
		"eleven entries": {replayer.KindWavesWide(highLoad), 2},
		"26 entries":     {replayer.KindWavesMany(highLoad), 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sum, squares, n := 0.0, 0.0, float64(test.seeds)
			for seed := range test.seeds {
				c := replayer.Config{Load: test.load, Policy: assigner.CostBased{}, Valuing: profiler.BySizeAndRank, Seed: seed}
				today := replayer.Replay(c)
				c.Foresight = &replayer.Foresight{Horizon: 2 * time.Second, Keep: 1}
				known := replayer.Replay(c)
				gain := known.ValueShare() - today.ValueShare()
				sum, squares = sum+gain, squares+gain*gain
				t.Logf("seed %d: worth %.3f, with foresight %.3f", seed, today.ValueShare(), known.ValueShare())
				for i, class := range today.Classes {
					t.Logf("  class %d: %.3f (%d of %d unserved), with foresight %.3f (%d)", i,
						class.ValueShare(), class.Refused, class.Requests, known.Classes[i].ValueShare(), known.Classes[i].Refused)
				}
			}
			mean := sum / n
			t.Logf("gain %+.3f, standard error %.3f", mean, math.Sqrt(max(0, squares/n-mean*mean)/(n-1)))
			is.New(t).True(mean <= noise)
		})
	}
}
