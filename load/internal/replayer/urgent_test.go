package replayer_test

import (
	"bytes"
	"testing"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/profiler"
	"bamboohill/load/internal/replayer"

	"github.com/matryer/is"
)

// TestNoShortageNoDifference checks that the queue changes no decision while there is room
// and all requests have one rank.
func TestNoShortageNoDifference(t *testing.T) {
	is := is.New(t)
	l := replayer.Urgent()
	for i := range l.Classes {
		l.Classes[i].Rank = 0
		l.Classes[i].Rate /= 5
	}
	l.Phases = []replayer.Phase{{Until: time.Hour, Factors: []float64{1, 1, 1}}}
	for seed := range uint64(4) {
		var queued, unordered bytes.Buffer
		is.NoErr(replayer.Replay(replayer.Config{Load: l, Policy: assigner.CostBased{}, Seed: seed}).Write(&queued))
		is.NoErr(replayer.Replay(replayer.Config{Load: l, Policy: assigner.CostBased{}, Seed: seed, Unordered: true}).Write(&unordered))
		is.Equal(queued.String(), unordered.String())
	}
}

// TestUrgent replays a burst of urgent short prompts beside less urgent large ones, over 26
// entries. No class may be served worse than by entries without a queue by more than the
// difference between single runs.
func TestUrgent(t *testing.T) {
	is := is.New(t)
	const runs, tolerance = 8, 0.03
	share := func(unordered bool) (worth float64, classes [3]float64) {
		for seed := range uint64(runs) {
			r := replayer.Replay(replayer.Config{Load: replayer.Urgent(), Policy: assigner.CostBased{}, Seed: seed, Unordered: unordered})
			worth += r.ValueShare() / runs
			for i, c := range r.Classes {
				classes[i] += c.ValueShare() / runs
			}
		}
		return worth, classes
	}
	queued, classes := share(false)
	before, classesBefore := share(true)
	t.Logf("worth %.3f, by class %.3f; without a queue %.3f, %.3f", queued, classes, before, classesBefore)
	is.True(queued > before-tolerance)
	for i := range classes {
		is.True(classes[i] > classesBefore[i]-tolerance)
	}
}

// TestUrgentDoNotPay replays the same burst with values that depend on ranks, with and
// without regard for the ranks of the requests that a prompt makes late. Over all seeds the
// urgent classes must be served no worse, and all together within noise.
func TestUrgentDoNotPay(t *testing.T) {
	is := is.New(t)
	const runs, tolerance = 4, 0.03
	share := func(disabled assigner.Features) (worth float64, classes [3]float64) {
		for seed := range uint64(runs) {
			c := replayer.Config{Load: replayer.Urgent(), Policy: assigner.CostBased{Disabled: disabled}, Valuing: profiler.BySizeAndRank, Seed: seed}
			r := replayer.Replay(c)
			worth += r.ValueShare() / runs
			for i, class := range r.Classes {
				classes[i] += class.ValueShare() / runs
			}
		}
		return worth, classes
	}
	worth, classes := share(0)
	before, classesBefore := share(assigner.Urgency)
	t.Logf("worth %.3f, by class %.3f; without regard for ranks %.3f, %.3f", worth, classes, before, classesBefore)
	is.True(worth > before-tolerance)
	is.True(classes[0] >= classesBefore[0])
	is.True(classes[1] >= classesBefore[1])
}
