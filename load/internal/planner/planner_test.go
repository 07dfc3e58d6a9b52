package planner

import (
	"bytes"
	"testing"

	"bamboohill/load/internal/settings"
	"bamboohill/standin/modelserver"

	"github.com/matryer/is"
)

func plan(t *testing.T, seed uint64) (*Planner, []Request) {
	t.Helper()
	s := settings.Settings{
		Entries: []string{"127.0.0.1:1", "127.0.0.1:2"}, Rate: 100, Seconds: 100, Seed: seed, Bookings: 0.25, Resend: 0.5, Shared: 0.5,
		Accounts: []settings.Account{{Name: "large", Key: "a", Weight: 9}, {Name: "small", Key: "b"}},
	}
	is.New(t).Equal(len(s.Check()), 0)
	p := New(Config{Settings: s})
	var all []Request
	for r, more := p.Next(); more; r, more = p.Next() {
		all = append(all, r)
	}
	return p, all
}

func TestSameSeedSamePlan(t *testing.T) {
	is := is.New(t)
	_, a := plan(t, 1)
	_, b := plan(t, 1)
	_, c := plan(t, 2)
	is.Equal(a, b)
	is.True(len(a) != len(c) || a[0] != c[0])
}

func TestMix(t *testing.T) {
	is := is.New(t)
	_, all := plan(t, 3)
	counts := map[Class]int{}
	var large, prompts int
	for _, r := range all {
		counts[r.Class()]++
		if r.Account == 0 {
			large++
		}
		if r.Kind == Prompt {
			prompts++
			is.True(r.Tokens >= 1000 && r.Tokens <= 1_000_000)
		}
	}
	near := func(got, of int, want float64) bool {
		share := float64(got) / float64(of)
		return share > want*0.8 && share < want*1.2
	}
	is.True(near(len(all), 10_000, 1))                  // Rate * Seconds
	is.True(near(counts[BookingClass], len(all), 0.25)) // bookings
	is.True(near(counts[Long], prompts, 0.02))          // one prompt in fifty
	is.True(near(large, len(all), 0.9))                 // 9 of 10 by weight
}

func TestPromptsAreUnique(t *testing.T) {
	is := is.New(t)
	p, _ := plan(t, 4)
	a := p.Prompt(Request{Serial: 1, Tokens: 1000, Shared: true})
	b := p.Prompt(Request{Serial: 2, Tokens: 1000, Shared: true})
	c := p.Prompt(Request{Serial: 3, Tokens: 1000})
	is.Equal(len(a), 1000*modelserver.TokenBytes)
	is.True(!bytes.Equal(a, b))
	is.True(bytes.Equal(a[:len(a)-uniqueBytes], b[:len(b)-uniqueBytes]))
	is.True(!bytes.Equal(a[:16], c[:16]))
}
