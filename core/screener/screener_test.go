package screener_test

import (
	"fmt"
	"testing"
	"time"

	"bamboohill/core/quarantiner"
	"bamboohill/core/screener"
	"bamboohill/wire"

	"github.com/matryer/is"
)

func accuse(fingerprint, server string) *wire.Accusation {
	return &wire.Accusation{Fingerprint: fingerprint, Server: server, Boot: 1}
}

// TestUrgentRepeats checks that a new accusation is due at once and twice later,
// with its age, and that one of another process is not due.
func TestUrgentRepeats(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := screener.New(screener.Config{Now: func() time.Time { return now }})
	is.True(s.Record(accuse("f", "i-1")))
	is.Equal(len(s.Urgent(9)), 0)
	is.True(s.Accuse(accuse("g", "i-1")))
	is.True(!s.Accuse(accuse("g", "i-1"))) // known
	<-s.Changed()
	var ages []int64
	for range 100 {
		for _, a := range s.Urgent(9) {
			is.Equal(a.GetFingerprint(), "g")
			ages = append(ages, a.GetAgeMs())
		}
		now = now.Add(50 * time.Millisecond)
	}
	is.Equal(ages, []int64{0, 250, 500})
}

// TestUrgentBeyondLimit queues more accusations than one call returns.
func TestUrgentBeyondLimit(t *testing.T) {
	is := is.New(t)
	s := screener.New(screener.Config{})
	for i := range 10 {
		is.True(s.Accuse(accuse(fmt.Sprint(i), "i-1")))
	}
	known := map[string]bool{}
	for range 3 {
		<-s.Changed()
		for _, a := range s.Urgent(4) {
			known[a.GetFingerprint()] = true
		}
	}
	is.Equal(len(known), 10)
}

// TestPageReturnsAll guards against accusations that no page ever contains.
func TestPageReturnsAll(t *testing.T) {
	for name, test := range map[string]struct{ accusations, size, pages int }{
		"one page":     {accusations: 5, size: 8, pages: 1},
		"full page":    {accusations: 8, size: 8, pages: 1},
		"several":      {accusations: 30, size: 8, pages: 4},
		"of one entry": {accusations: 4, size: 1, pages: 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, other := screener.New(screener.Config{}), screener.New(screener.Config{})
			for i := range test.accusations {
				is.True(s.Record(accuse(fmt.Sprint("f", i/2), fmt.Sprint("i-", i)))) // two crashes of each
			}
			for range test.pages {
				page := s.Page(test.size)
				is.True(len(page) <= test.size)
				for _, a := range page {
					other.Record(a)
				}
			}
			is.Equal(len(other.Accusations()), test.accusations)
			is.Equal(other.Decide("f0").Mode, quarantiner.Blocked)
		})
	}
}
