package ejector_test

import (
	"testing"
	"time"

	"bamboohill/core/ejector"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

func TestDoubts(t *testing.T) {
	is := is.New(t)
	d := ejector.New()
	now := time.Unix(1_000, 0)
	is.True(!d.Ejected("a", now))
	first := d.RecordFailure("a", now)
	is.True(d.Ejected("a", now))
	is.True(!d.Ejected("b", now))
	is.Equal(d.RecordFailure("a", now), first) // ten requests on one connection fail once
	is.True(!d.Ejected("a", now.Add(first)))
	now = now.Add(first)
	second := d.RecordFailure("a", now)
	is.Equal(second, 2*first)
	for range 20 {
		now = now.Add(d.RecordFailure("a", now))
	}
	is.Equal(d.RecordFailure("a", now), 3*time.Second) // and no longer
	d.RecordResponse("a", now)
	is.True(!d.Ejected("a", now))
	is.Equal(d.RecordFailure("a", now), first)
}

func TestHeard(t *testing.T) {
	is := is.New(t)
	d := ejector.New()
	now := time.Unix(1_000, 0)
	is.True(!d.RespondedSince("a", now.Add(-time.Hour)))
	d.RecordResponse("a", now)
	is.True(d.RespondedSince("a", now.Add(-time.Millisecond)))
	is.True(!d.RespondedSince("a", now))
	d.Expire(now.Add(time.Minute))
	is.True(!d.RespondedSince("a", now.Add(-time.Hour)))
}

// TestTrust passes over doubted servers, half of them at the most: those whose
// doubts end soonest are tried again first.
func TestTrust(t *testing.T) {
	servers := []viewer.ServerID{"a", "b", "c", "d", "e", "f"}
	tests := map[string]struct {
		failures map[viewer.ServerID]int
		want     string
	}{
		"nobody is doubted":          {want: "abcdef"},
		"two are":                    {failures: map[viewer.ServerID]int{"b": 1, "e": 3}, want: "acdf"},
		"half are":                   {failures: map[viewer.ServerID]int{"a": 1, "b": 1, "c": 1}, want: "def"},
		"more than half":             {failures: map[viewer.ServerID]int{"a": 4, "b": 3, "c": 2, "d": 1}, want: "def"},
		"all, as long as each other": {failures: map[viewer.ServerID]int{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1, "f": 1}, want: "abcdef"},
		"all, one after the other":   {failures: map[viewer.ServerID]int{"a": 1, "b": 2, "c": 3, "d": 4, "e": 4, "f": 4}, want: "abc"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := ejector.New()
			now := time.Unix(1000, 0)
			for id, n := range test.failures {
				at := now
				for range n {
					at = at.Add(d.RecordFailure(id, at) + time.Millisecond) // each doubt ends before the next failure
				}
			}
			got := ""
			for _, id := range ejector.Eligible(d, servers, func(id viewer.ServerID) viewer.ServerID { return id }, now) {
				got += string(id)
			}
			is.New(t).Equal(got, test.want)
		})
	}
}
