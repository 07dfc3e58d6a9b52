package tokener_test

import (
	"testing"

	"bamboohill/core/tokener"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestTokens(t *testing.T) {
	type lesson struct{ bytes, tokens int64 }
	tests := map[string]struct {
		lessons []lesson
		want    int64 // of 6,000 bytes
	}{
		"not learnt":        {want: 1500},
		"learnt":            {lessons: []lesson{{3000, 1000}}, want: 2000},
		"weighted":          {lessons: []lesson{{3000, 1000}, {3000, 500}}, want: 1500},
		"past fades":        {lessons: []lesson{{1 << 20, 1 << 19}, {1 << 22, 1 << 20}, {1 << 22, 1 << 20}}, want: 1616},
		"nothing counted":   {lessons: []lesson{{3000, 0}}, want: 1500},
		"more than it has":  {lessons: []lesson{{3000, 3001}}, want: 1500},
		"negative is false": {lessons: []lesson{{3000, -1}}, want: 1500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := tokener.New(tokener.Config{})
			for _, l := range test.lessons {
				k.Learn("m", l.bytes, l.tokens)
			}
			is.Equal(k.Tokens("m", 6000), test.want)
			is.Equal(k.Tokens("other", 6000), int64(1500))
			is.Equal(k.Tokens("m", 0), int64(1))
		})
	}
}

// An estimate lies between one token and one for each byte, whatever was
// learnt.
func TestTokensAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := tokener.New(tokener.Config{})
		for range rapid.IntRange(0, 20).Draw(t, "lessons") {
			k.Learn("m", rapid.Int64Range(-1, 1<<24).Draw(t, "bytes"), rapid.Int64Range(-1, 1<<24).Draw(t, "tokens"))
		}
		n := rapid.Int64Range(0, 1<<24).Draw(t, "n")
		if got := k.Tokens("m", n); got < 1 || got > max(1, n) {
			t.Fatalf("%d tokens of %d bytes", got, n)
		}
	})
}
