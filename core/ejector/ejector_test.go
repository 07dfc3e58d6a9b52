package ejector_test

import (
	"testing"
	"time"

	"bamboohill/core/ejector"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

func TestEjections(t *testing.T) {
	is := is.New(t)
	e := ejector.New()
	now := time.Unix(1_000, 0)
	is.True(!e.Ejected("a", now))
	first := e.RecordFailure("a", now)
	is.True(e.Ejected("a", now))
	is.True(!e.Ejected("b", now))
	is.Equal(e.RecordFailure("a", now), first) // requests that fail together on one connection count once
	is.True(!e.Ejected("a", now.Add(first)))
	now = now.Add(first)
	second := e.RecordFailure("a", now)
	is.Equal(second, 2*first)
	for range 20 {
		now = now.Add(e.RecordFailure("a", now))
	}
	is.Equal(e.RecordFailure("a", now), 3*time.Second) // the longest ejection
	e.RecordAnswer("a", now)
	is.True(!e.Ejected("a", now))
	is.Equal(e.RecordFailure("a", now), first)
}

func TestAnsweredSince(t *testing.T) {
	is := is.New(t)
	e := ejector.New()
	now := time.Unix(1_000, 0)
	is.True(!e.AnsweredSince("a", now.Add(-time.Hour)))
	e.RecordAnswer("a", now)
	is.True(e.AnsweredSince("a", now.Add(-time.Millisecond)))
	is.True(!e.AnsweredSince("a", now))
	e.Expire(now.Add(time.Minute))
	is.True(!e.AnsweredSince("a", now.Add(-time.Hour)))
}

// TestEligible checks that at most half of the servers are excluded, and that the
// servers whose ejections end first are used again first.
func TestEligible(t *testing.T) {
	servers := []viewer.ServerID{"a", "b", "c", "d", "e", "f"}
	tests := map[string]struct {
		failures map[viewer.ServerID]int
		want     string
	}{
		"none ejected":                   {want: "abcdef"},
		"two ejected":                    {failures: map[viewer.ServerID]int{"b": 1, "e": 3}, want: "acdf"},
		"half ejected":                   {failures: map[viewer.ServerID]int{"a": 1, "b": 1, "c": 1}, want: "def"},
		"more than half":                 {failures: map[viewer.ServerID]int{"a": 4, "b": 3, "c": 2, "d": 1}, want: "def"},
		"all, ending at the same time":   {failures: map[viewer.ServerID]int{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1, "f": 1}, want: "abcdef"},
		"all, ending at different times": {failures: map[viewer.ServerID]int{"a": 1, "b": 2, "c": 3, "d": 4, "e": 4, "f": 4}, want: "abc"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := ejector.New()
			now := time.Unix(1000, 0)
			for id, n := range test.failures {
				at := now
				for range n {
					at = at.Add(e.RecordFailure(id, at) + time.Millisecond) // each ejection ends before the next failure
				}
			}
			got := ""
			for _, id := range ejector.Eligible(e, servers, func(id viewer.ServerID) viewer.ServerID { return id }, now) {
				got += string(id)
			}
			is.New(t).Equal(got, test.want)
		})
	}
}
