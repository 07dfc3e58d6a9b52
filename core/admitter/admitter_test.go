package admitter_test

import (
	"errors"
	"testing"
	"time"

	"bamboohill/core/admitter"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestAdmit(t *testing.T) {
	const s = time.Second
	tests := map[string]struct {
		ask   admitter.Request
		retry time.Duration // zero: admitted
	}{
		"room":          {ask: admitter.Request{FirstToken: s, LastToken: 2 * s, Remaining: 3 * s}},
		"just too late": {ask: admitter.Request{FirstToken: s, LastToken: 2 * s, Remaining: 2 * s}, retry: s},
		"long queue":    {ask: admitter.Request{FirstToken: 20 * s, LastToken: 21 * s, Remaining: 6 * s}, retry: 15*s + 20*time.Millisecond},
		"hopeless":      {ask: admitter.Request{FirstToken: 500 * s, LastToken: 501 * s, Remaining: s}, retry: time.Minute},
		"deadline over": {ask: admitter.Request{FirstToken: s, LastToken: s, Remaining: -s}, retry: 2*s + 20*time.Millisecond},
		"unknown cost":  {ask: admitter.Request{Remaining: s}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := admitter.New(admitter.Config{}).Admit(test.ask)
			var late *admitter.LateError
			is.Equal(errors.As(err, &late), test.retry > 0)
			if late != nil {
				is.Equal(late.Retry, test.retry)
			}
		})
	}
}

func TestLearn(t *testing.T) {
	is := is.New(t)
	a := admitter.New(admitter.Config{})
	ask := admitter.Request{Prompt: 50_000, FirstToken: time.Second, LastToken: 2 * time.Second, Remaining: 3 * time.Second}
	is.NoErr(a.Admit(ask))
	for range 200 {
		a.RecordFirstToken(ask.Prompt, time.Second, 3*time.Second)
	}
	is.True(a.Admit(ask) != nil) // needs about 4 s
	other := ask
	other.Prompt = 1_000
	is.NoErr(a.Admit(other)) // another length class
	for range 200 {
		a.RecordLastToken(time.Second, time.Hour)
	}
	is.True(a.Admit(other) != nil)
	is.True(a.Estimate(other) < 6*time.Second) // bounded by Most
}

// What is admitted with some time left is admitted with more, and the time to
// come back never lies outside its bounds.
func TestAdmitIsMonotone(t *testing.T) {
	a := admitter.New(admitter.Config{})
	rapid.Check(t, func(t *rapid.T) {
		d := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(time.Minute), int64(time.Hour)).Draw(t, "d"))
		})
		ask := admitter.Request{Prompt: rapid.Int64Range(-1, 2_000_000).Draw(t, "prompt"), FirstToken: d.Draw(t, "first"), LastToken: d.Draw(t, "whole"), Remaining: d.Draw(t, "left")}
		a.RecordFirstToken(ask.Prompt, ask.FirstToken, d.Draw(t, "took"))
		err := a.Admit(ask)
		var late *admitter.LateError
		if errors.As(err, &late) && (late.Retry < time.Second || late.Retry > time.Minute) {
			t.Fatalf("retry %v", late.Retry)
		}
		ask.Remaining += time.Second
		if err == nil && a.Admit(ask) != nil {
			t.Fatalf("refused with more time: %+v", ask)
		}
	})
}
