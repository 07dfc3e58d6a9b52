package profiler_test

import (
	"testing"
	"time"

	"bamboohill/core/profiler"

	"github.com/matryer/is"
)

// first are three kinds and their traffic for which parameters were in use before they
// were derived.
var first = []struct {
	kind   profiler.Kind
	rate   float64 // requests per second
	tokens int
	value  float64
}{
	{kind: kind(200, 300, 0), rate: 25, tokens: 5_000, value: 1.5},
	{kind: kind(500, 1500, 0), rate: 1.8, tokens: 30_000, value: 4},
	{kind: kind(800, 3000, 0), rate: 0.75, tokens: 170_000, value: 18},
}

// TestFirstParameters checks that the parameters derived for kinds and traffic for which
// fixed ones were in use are these: what follows from the configuration exactly, what
// follows from traffic about.
func TestFirstParameters(t *testing.T) {
	is := is.New(t)
	var kinds []profiler.Kind
	e := profiler.NewEstimates()
	for _, f := range first {
		kinds = append(kinds, f.kind)
		record(e, f.kind, f.rate, f.tokens, start, time.Minute)
	}
	k := profiler.NewKinds(configuration(kinds...))
	const engines = 14
	p := profiler.Derive(k, "pool", e.Traffic(k, start.Add(time.Minute)), engines, profiler.BySize)
	is.Equal(p.Count, 3)
	is.Equal(p.TightPause, 250*ms)
	is.Equal(p.ServeReserve, 250*ms)
	for i, f := range first {
		is.Equal(p.Kinds[i].Pause, f.kind.Pause)
		is.Equal(p.Kinds[i].Target, f.kind.Target)
		is.True(near(p.Kinds[i].Value, f.value, sound))
	}
	is.True(near(p.SlotWait.Seconds(), 0.25, sound))
	is.True(near(p.AnswerTime.Seconds(), 2, sound))
	is.True(near(p.LeastValue, 1.5, sound))
	is.True(near(p.PrefillValue, 4, sound))
	is.Equal(p.Value(0, 0, 5_000), 1.5)
}

// TestWithoutTraffic checks the parameters that follow from the configuration alone.
func TestWithoutTraffic(t *testing.T) {
	tests := map[string]struct {
		kinds          []profiler.Kind
		tight, reserve time.Duration
	}{
		"no kind":            {},
		"one kind":           {kinds: []profiler.Kind{kind(1000, 4000, 0)}, reserve: 1250 * ms},
		"similar kinds":      {kinds: []profiler.Kind{kind(600, 4000, 0), kind(1000, 8000, 0)}, reserve: 750 * ms},
		"unlike kinds":       {kinds: []profiler.Kind{kind(250, 300, 0), kind(600, 4000, 0), kind(1000, 8000, 0)}, tight: 312500 * time.Microsecond, reserve: 312500 * time.Microsecond},
		"one without limits": {kinds: []profiler.Kind{kind(400, 300, 0), kind(0, 0, 0)}, tight: 500 * ms, reserve: 500 * ms},
		"no limits":          {kinds: []profiler.Kind{kind(0, 0, 0)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := profiler.Derive(profiler.NewKinds(configuration(test.kinds...)), "pool", nil, 14, profiler.BySize)
			is.Equal(p.TightPause, test.tight)
			is.Equal(p.ServeReserve, test.reserve)
			is.True(p.AnswerTime > time.Second && p.AnswerTime < 4*time.Second) // 1,500 tokens on the engine of the tests
			is.Equal(p.SlotWait, 2*p.AnswerTime/16)
			is.True(p.LeastValue >= 1)
			is.True(p.PrefillValue > 0)
		})
	}
	p := profiler.Derive(profiler.NewKinds(configuration()), "unknown", nil, 0, profiler.BySize)
	is.New(t).True(p.AnswerTime >= 0)
}

// TestValuing checks which of two answers is worth more under each way to value them.
func TestValuing(t *testing.T) {
	urgent, other := kind(200, 300, 0), kind(800, 3000, 1)
	e := profiler.NewEstimates()
	record(e, urgent, 60, 5_000, start, 10*time.Second)
	record(e, other, 60, 200_000, start, 10*time.Second)
	k := profiler.NewKinds(configuration(urgent, other))
	tests := map[string]struct {
		valuing      string
		small, large float64 // mean answers of the two kinds
		twice        float64 // an answer to twice the mean prompt of the second kind
	}{
		"size":          {valuing: "size", small: 1.5, large: 21, twice: 41},
		"kind":          {valuing: "kind", small: 1, large: 1, twice: 1.5},
		"rank":          {valuing: "rank", small: 2, large: 1, twice: 1},
		"size and rank": {valuing: "size-rank", small: 3, large: 21, twice: 41},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v, known := profiler.ParseValuing(test.valuing)
			is.True(known)
			p := profiler.Derive(k, "pool", e.Traffic(k, start.Add(10*time.Second)), 14, v)
			is.True(near(p.Value(0, 0, 5_000), test.small, 0.01))
			is.True(near(p.Kinds[0].Value, test.small, 0.01))
			is.True(near(p.Value(1, 1, 200_000), test.large, 0.01))
			is.True(near(p.Value(1, 1, 400_000), test.twice, 0.01))
		})
	}
	_, known := profiler.ParseValuing("luck")
	is.New(t).True(!known)
}
