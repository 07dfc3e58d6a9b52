package predictor_test

import (
	"testing"
	"time"

	"bamboohill/core/predictor"

	"github.com/matryer/is"
)

// engine has the parameters of the engines in the users' deployments.
var engine = predictor.Engine{
	Slots: 16, Capacity: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, StepPerRequest: 4830 * time.Nanosecond,
	StepPerKTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, AttentionPerMPairs: 91_700 * time.Nanosecond, ChunkTokens: 2048,
}

// TestPrefillTime compares predictions with the first events of single prompts on
// idle engines, as measured in the journal of 2026-12-04. The error must be below
// 5 %.
func TestPrefillTime(t *testing.T) {
	tests := map[string]struct {
		tokens   int
		measured time.Duration
	}{
		"middle": {tokens: 45_300, measured: 299 * time.Millisecond},
		"long":   {tokens: 98_072, measured: 873 * time.Millisecond},
		"longer": {tokens: 152_388, measured: 1735 * time.Millisecond},
		"deep":   {tokens: 209_601, measured: 2936 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := engine.FirstToken(predictor.Batch{}, engine.PrefillTime(test.tokens))
			is.True(float64(got-test.measured) < 0.05*float64(test.measured))
			is.True(float64(test.measured-got) < 0.05*float64(test.measured))
		})
	}
}

func TestPassTime(t *testing.T) {
	is := is.New(t)
	light := engine.PassTime(predictor.Batch{Decoding: 1, Context: 5_000})
	is.True(light > 42*time.Millisecond && light < 45*time.Millisecond)
	full := engine.PassTime(predictor.Batch{Decoding: 16, Context: 90_000})
	is.True(full > light && full < 60*time.Millisecond)
	prefilling := engine.PassTime(predictor.Batch{Decoding: 1, Context: 5_000, Prefill: 100 * time.Millisecond})
	is.Equal(prefilling, light+100*time.Millisecond)
	deep := engine.PassTime(predictor.Batch{Decoding: 1, Context: 5_000, Prefill: time.Hour})
	is.True(deep < 2*time.Second) // the prefill of a pass is limited by its steps
}

func TestFirstToken(t *testing.T) {
	is := is.New(t)
	prefill := engine.PrefillTime(5_000)
	alone := engine.FirstToken(predictor.Batch{}, prefill)
	beside := engine.FirstToken(predictor.Batch{Decoding: 1, Context: 5_000}, prefill)
	behind := engine.FirstToken(predictor.Batch{Decoding: 1, Context: 5_000, Prefill: time.Second}, prefill)
	is.True(alone < beside) // decoding makes passes longer
	is.True(beside+time.Second <= behind)
	is.Equal((&predictor.Engine{}).PrefillTime(5_000), time.Duration(0)) // no parameters are known
}
