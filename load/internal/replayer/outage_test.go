package replayer_test

import (
	"testing"

	"bamboohill/core/assigner"
	"bamboohill/load/internal/replayer"

	"github.com/matryer/is"
)

// TestPowerLoss checks that serving all prompts while slots are free, however busy engines
// are with prefill, serves the callers of a loss of power no better by more than noise.
func TestPowerLoss(t *testing.T) {
	is := is.New(t)
	const runs = 2
	share := func(idlePrefill float64) (worth float64, returned, again int) {
		tuning := assigner.DefaultTuning()
		tuning.IdlePrefill = idlePrefill
		var earned, possible float64
		for seed := range uint64(runs) {
			l := replayer.PowerLoss()
			for i := range l.Classes {
				l.Classes[i].Rate *= 2
			}
			r := replayer.Replay(replayer.Config{Load: l, Policy: assigner.CostBased{Tuning: &tuning}, Seed: seed})
			for _, c := range r.Seconds[5:10] {
				earned, possible = earned+c.EarnedValue, possible+c.PossibleValue
				returned, again = returned+c.Returned, again+c.Again
			}
		}
		return earned / possible, returned, again
	}
	refusing, returned, again := share(assigner.DefaultTuning().IdlePrefill)
	serving, returnedServing, againServing := share(2)
	t.Logf("refusing: worth %.3f, %d returned, %d refused again; serving: %.3f, %d, %d", refusing, returned, again, serving, returnedServing, againServing)
	is.True(serving <= refusing+noise)
}
