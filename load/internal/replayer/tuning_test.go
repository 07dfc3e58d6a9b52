package replayer_test

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/profiler"
	"bamboohill/load/internal/replayer"

	"github.com/matryer/is"
)

// tuningLoads are the loads over which weights are varied: of the first customers, and
// two with other limits. One run of each, since all weights are compared on equal arrivals.
func tuningLoads() []replayer.Load {
	return []replayer.Load{replayer.Waves(), replayer.Flood(), replayer.Mixed(1), replayer.Mixed(2)}
}

// meanWorth returns the mean worth over the loads.
func meanWorth(c replayer.Config) float64 {
	sum, loads := 0.0, tuningLoads()
	for i, l := range loads {
		c.Load, c.Seed = l, uint64(i)
		sum += replayer.Replay(c).ValueShare() / float64(len(loads))
	}
	return sum
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

// TestTuning halves and doubles each weight of the cost model, and each parameter that is
// derived with a factor: none of these serves the loads together better by more than noise,
// so that the weights in use are not those of one load.
func TestTuning(t *testing.T) {
	is := is.New(t)
	base := meanWorth(replayer.Config{Policy: assigner.CostBased{}})
	t.Logf("default: worth %.3f", base)
	compare := func(name string, factor float64, c replayer.Config) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := meanWorth(c)
			t.Logf("%s x %g: worth %+.3f", name, factor, got-base)
			is.True(got <= base+noise)
		})
	}
	for i := range reflect.TypeFor[assigner.Tuning]().NumField() {
		for _, factor := range []float64{0.5, 2} {
			tuning := assigner.DefaultTuning()
			f := reflect.ValueOf(&tuning).Elem().Field(i)
			f.SetFloat(factor * f.Float())
			compare(reflect.TypeFor[assigner.Tuning]().Field(i).Name, factor, replayer.Config{Policy: assigner.CostBased{Tuning: &tuning}})
		}
	}
	adjust := map[string]func(p *profiler.Parameters, factor float64){
		"TightPause":   func(p *profiler.Parameters, f float64) { p.TightPause = scale(p.TightPause, f) },
		"SlotWait":     func(p *profiler.Parameters, f float64) { p.SlotWait = scale(p.SlotWait, f) },
		"AnswerTime":   func(p *profiler.Parameters, f float64) { p.AnswerTime = scale(p.AnswerTime, f) },
		"ServeReserve": func(p *profiler.Parameters, f float64) { p.ServeReserve = scale(p.ServeReserve, f) },
		"LeastValue":   func(p *profiler.Parameters, f float64) { p.LeastValue *= f },
		"PerValue": func(p *profiler.Parameters, f float64) {
			p.PerValue = f * profiler.TokensPerValue
			p.Kinds = slices.Clone(p.Kinds)
			for i := range p.Kinds {
				p.Kinds[i].Value = 1 + (p.Kinds[i].Value-1)/f
			}
			p.LeastValue = 1 + (p.LeastValue-1)/f
		},
		"PrefillValue": func(p *profiler.Parameters, f float64) { p.PrefillValue *= f },
	}
	for name, change := range adjust {
		for _, factor := range []float64{0.5, 2} {
			terms := func(_ *profiler.Kinds, derived *profiler.Parameters) *profiler.Parameters {
				p := *derived
				change(&p, factor)
				return &p
			}
			compare(name, factor, replayer.Config{Policy: assigner.CostBased{}, Terms: terms})
		}
	}
}
