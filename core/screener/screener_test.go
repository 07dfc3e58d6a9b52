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

// TestUrgentRepeats checks that a new accusation is due at once and three times
// later, with its age, and that one of another process is not due.
func TestUrgentRepeats(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := screener.New(screener.Config{Now: func() time.Time { return now }})
	is.True(s.Record(accuse("f", "i-1")))
	due, next := s.Urgent(9)
	is.Equal(len(due), 0)
	is.Equal(next, time.Duration(0))
	is.True(s.Accuse(accuse("g", "i-1")))
	is.True(!s.Accuse(accuse("g", "i-1"))) // known
	<-s.Changed()
	var ages []int64
	for range 100 {
		due, next = s.Urgent(9)
		for _, a := range due {
			is.Equal(a.GetFingerprint(), "g")
			ages = append(ages, a.GetAgeMs())
		}
		is.True(next <= 250*time.Millisecond)
		now = now.Add(10 * time.Millisecond)
	}
	is.Equal(ages, []int64{0, 20, 40, 290})
	is.Equal(next, time.Duration(0))
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
		due, next := s.Urgent(4)
		is.True(next > 0)
		for _, a := range due {
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

// TestPageBlockedFirst guards against accusations that would block a request but wait
// for their turn among many that block none.
func TestPageBlockedFirst(t *testing.T) {
	is := is.New(t)
	s, other := screener.New(screener.Config{}), screener.New(screener.Config{})
	for i := range 500 {
		is.True(s.Record(accuse(fmt.Sprint("f", i), "i-0")))
	}
	is.True(s.Record(accuse("z", "i-1")))
	is.True(s.Record(accuse("z", "i-2")))
	for _, a := range s.Page(64) {
		other.Record(a)
	}
	is.Equal(other.Decide("z").Mode, quarantiner.Blocked)
	is.Equal(len(other.Accusations()), 64)
}
