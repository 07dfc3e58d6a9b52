package warmer_test

import (
	"testing"
	"time"

	"bamboohill/core/viewer"
	"bamboohill/core/warmer"

	"github.com/matryer/is"
)

var (
	start   = time.Unix(1_000, 0)
	service = &viewer.Service{ColdRate: 36}
)

// TestDomainReturns guards against the overload that was found in trouble-1 of
// vtg-router on 2026-12-04: a failure domain restarts cold while four entries have
// more requests than it can handle. The rule allows 36 x 1.5 + 5 requests in any
// second.
func TestDomainReturns(t *testing.T) {
	is := is.New(t)
	s := &viewer.Server{ID: "a", ColdFor: 3 * time.Second, Observed: start}
	var sent []time.Time
	entries := []*warmer.Warmer{warmer.New(), warmer.New(), warmer.New(), warmer.New()}
	for ms := range 3000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, w := range entries {
			if w.Allow(s, service, len(entries), now) {
				w.RecordRequest("a", now)
				sent = append(sent, now)
			}
		}
	}
	for i := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(sent[i]) < time.Second {
				n++
			}
		}
		is.True(n <= 59)
	}
	is.True(len(sent) > 70) // the rate is used
}

// TestAfterFailure checks that a server counts as cold after a failure until its
// registration is newer.
func TestAfterFailure(t *testing.T) {
	is := is.New(t)
	w := warmer.New()
	s := &viewer.Server{ID: "a", Observed: start}
	is.True(!w.Cold(s, start))
	w.RecordFailure("a", start)
	is.True(w.Cold(s, start.Add(time.Second)))
	is.True(!w.Cold(s, start.Add(7*time.Second)))
	fresh := &viewer.Server{ID: "a", Observed: start.Add(4 * time.Second)}
	is.True(!w.Cold(fresh, start.Add(4*time.Second)))
}

func TestWarm(t *testing.T) {
	is := is.New(t)
	w := warmer.New()
	s := &viewer.Server{ID: "a", Observed: start}
	for range 1000 {
		is.True(w.Allow(s, service, 4, start))
		w.RecordRequest("a", start)
	}
	cold := &viewer.Server{ID: "a", ColdFor: time.Second, Observed: start}
	is.True(!w.Allow(cold, service, 4, start)) // the requests before it became cold count
	is.True(w.Allow(cold, &viewer.Service{}, 4, start))
	w.Expire(start.Add(time.Minute))
	is.True(w.Allow(cold, service, 4, start.Add(time.Minute)))
}
