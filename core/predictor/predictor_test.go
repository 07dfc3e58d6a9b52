package predictor_test

import (
	"testing"
	"time"

	"bamboohill/core/predictor"

	"github.com/matryer/is"
)

// engine is the one of the users' sheets.
var engine = predictor.Engine{
	Slots: 16, Capacity: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, StepPerRequest: 4830 * time.Nanosecond,
	StepPerKTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, AttentionPerMPairs: 91_700 * time.Nanosecond, ChunkTokens: 2048,
}

// TestReadTime compares with first events of single prompts at idle engines of
// the bench, journal of 2026-12-04: the model is within 5 %.
func TestReadTime(t *testing.T) {
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
	quiet := engine.PassTime(predictor.Batch{Decoding: 1, Context: 5_000})
	is.True(quiet > 42*time.Millisecond && quiet < 45*time.Millisecond)
	full := engine.PassTime(predictor.Batch{Decoding: 16, Context: 90_000})
	is.True(full > quiet && full < 60*time.Millisecond)
	reading := engine.PassTime(predictor.Batch{Decoding: 1, Context: 5_000, Prefill: 100 * time.Millisecond})
	is.Equal(reading, quiet+100*time.Millisecond)
	deep := engine.PassTime(predictor.Batch{Decoding: 1, Context: 5_000, Prefill: time.Hour})
	is.True(deep < 2*time.Second) // a pass reads no more than its steps carry
}

func TestFirstToken(t *testing.T) {
	is := is.New(t)
	read := engine.PrefillTime(5_000)
	idle := engine.FirstToken(predictor.Batch{}, read)
	beside := engine.FirstToken(predictor.Batch{Decoding: 1, Context: 5_000}, read)
	behind := engine.FirstToken(predictor.Batch{Decoding: 1, Context: 5_000, Prefill: time.Second}, read)
	is.True(idle < beside) // writers make passes long
	is.True(beside+time.Second <= behind)
	is.Equal((&predictor.Engine{}).PrefillTime(5_000), time.Duration(0)) // nothing known
}
