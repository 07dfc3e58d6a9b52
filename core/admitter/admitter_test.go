package admitter_test

import (
	"errors"
	"testing"
	"time"

	"bamboohill/core/admitter"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAdmit checks the decision and RetryAfter before any observation.
func TestAdmit(t *testing.T) {
	const s = time.Second
	tests := map[string]struct {
		request admitter.Request
		retry   time.Duration // zero if admitted
	}{
		"room":          {request: admitter.Request{FirstToken: s, LastToken: 2 * s, Remaining: 3 * s}},
		"just too late": {request: admitter.Request{FirstToken: s, LastToken: 2 * s, Remaining: 2 * s}, retry: s},
		"long queue":    {request: admitter.Request{FirstToken: 20 * s, LastToken: 21 * s, Remaining: 6 * s}, retry: 15*s + 20*time.Millisecond},
		"hopeless":      {request: admitter.Request{FirstToken: 500 * s, LastToken: 501 * s, Remaining: s}, retry: time.Minute},
		"deadline past": {request: admitter.Request{FirstToken: s, LastToken: s, Remaining: -s}, retry: 2*s + 20*time.Millisecond},
		"unknown cost":  {request: admitter.Request{Remaining: s}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := admitter.New(admitter.Config{}).Admit(test.request)
			var late *admitter.LateError
			is.Equal(errors.As(err, &late), test.retry > 0)
			if late != nil {
				is.Equal(late.RetryAfter, test.retry)
			}
		})
	}
}

// TestSlowdown checks that recorded times raise the estimates, for the first
// token only in the length class of the prompt and up to MaxSlowdown.
func TestSlowdown(t *testing.T) {
	is := is.New(t)
	a := admitter.New(admitter.Config{})
	request := admitter.Request{Prompt: 50_000, FirstToken: time.Second, LastToken: 2 * time.Second, Remaining: 3 * time.Second}
	is.NoErr(a.Admit(request))
	for range 200 {
		a.RecordFirstToken(request.Prompt, time.Second, 3*time.Second)
	}
	is.True(a.Admit(request) != nil) // estimate is about 4 s
	other := request
	other.Prompt = 1_000
	is.NoErr(a.Admit(other)) // another length class
	for range 200 {
		a.RecordLastToken(time.Second, time.Hour)
	}
	is.True(a.Admit(other) != nil)
	is.True(a.Estimate(other) < 6*time.Second) // bounded by MaxSlowdown
}

// TestAdmitIsMonotone checks that a request that is admitted with some
// remaining time is also admitted with more, and that RetryAfter stays within
// its bounds.
func TestAdmitIsMonotone(t *testing.T) {
	a := admitter.New(admitter.Config{})
	rapid.Check(t, func(t *rapid.T) {
		d := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(time.Minute), int64(time.Hour)).Draw(t, "d"))
		})
		request := admitter.Request{Prompt: rapid.Int64Range(-1, 2_000_000).Draw(t, "prompt"), FirstToken: d.Draw(t, "first"), LastToken: d.Draw(t, "whole"), Remaining: d.Draw(t, "left")}
		a.RecordFirstToken(request.Prompt, request.FirstToken, d.Draw(t, "took"))
		err := a.Admit(request)
		var late *admitter.LateError
		if errors.As(err, &late) && (late.RetryAfter < time.Second || late.RetryAfter > time.Minute) {
			t.Fatalf("RetryAfter %v is outside its bounds", late.RetryAfter)
		}
		request.Remaining += time.Second
		if err == nil && a.Admit(request) != nil {
			t.Fatalf("refused with more remaining time: %+v", request)
		}
	})
}
