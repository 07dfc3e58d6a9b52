package tokenestimator_test

import (
	"testing"

	"bamboohill/core/tokenestimator"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestTokens(t *testing.T) {
	type observation struct{ bytes, tokens int64 }
	tests := map[string]struct {
		observations []observation
		want         int64 // of 6,000 bytes
	}{
		"no observations":        {want: 1500},
		"learnt":                 {observations: []observation{{3000, 1000}}, want: 2000},
		"weighted":               {observations: []observation{{3000, 1000}, {3000, 500}}, want: 1500},
		"old observations decay": {observations: []observation{{1 << 20, 1 << 19}, {1 << 22, 1 << 20}, {1 << 22, 1 << 20}}, want: 1616},
		"zero tokens":            {observations: []observation{{3000, 0}}, want: 1500},
		"more tokens than bytes": {observations: []observation{{3000, 3001}}, want: 1500},
		"negative count":         {observations: []observation{{3000, -1}}, want: 1500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := tokenestimator.New(tokenestimator.Config{})
			for _, o := range test.observations {
				e.Observe("m", o.bytes, o.tokens)
			}
			is.Equal(e.EstimateTokens("m", 6000), test.want)
			is.Equal(e.EstimateTokens("other", 6000), int64(1500))
			is.Equal(e.EstimateTokens("m", 0), int64(1))
		})
	}
}

// TestTokensAreBounded checks that an estimate lies between one token and one
// token per byte, whatever was observed.
func TestTokensAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := tokenestimator.New(tokenestimator.Config{})
		for range rapid.IntRange(0, 20).Draw(t, "lessons") {
			e.Observe("m", rapid.Int64Range(-1, 1<<24).Draw(t, "bytes"), rapid.Int64Range(-1, 1<<24).Draw(t, "tokens"))
		}
		n := rapid.Int64Range(0, 1<<24).Draw(t, "n")
		if got := e.EstimateTokens("m", n); got < 1 || got > max(1, n) {
			t.Fatalf("%d tokens of %d bytes", got, n)
		}
	})
}
