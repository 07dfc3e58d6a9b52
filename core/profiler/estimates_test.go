package profiler_test

import (
	"math"
	"testing"
	"time"

	"bamboohill/core/profiler"

	"github.com/matryer/is"
)

var (
	start = time.Unix(1_000, 0)
	short = kind(200, 300, 0)
	large = kind(800, 3000, 0)
	kinds = profiler.ListOf([]profiler.Kind{short, large})
)

// record records requests of a kind at a rate, from a time on for a duration.
func record(e *profiler.Estimates, k profiler.Kind, rate float64, tokens int, from time.Time, length time.Duration) {
	for at := time.Duration(0); at < length; at += time.Duration(float64(time.Second) / rate) {
		e.RecordPrompt(k, tokens, from.Add(at))
		e.RecordSlot(k, 2*time.Second, from.Add(at))
	}
}

func near(got, want, share float64) bool { return math.Abs(got-want) <= share*want }

// sound is the error of estimates that decisions tolerate: that of the predictions of
// times, a fifth.
const sound = 0.2

// TestSoundWithinTwoSeconds checks the estimates two seconds after a start, and after a
// shift of sizes and rates.
func TestSoundWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	e := profiler.NewEstimates()
	record(e, short, 60, 5_000, start, 2*time.Second)
	now := start.Add(2 * time.Second)
	s := e.Traffic(kinds, now)[short]
	is.True(near(s.Prompt(13_000), 5_000, sound))
	is.True(near(s.Held(9), 2, sound))
	is.True(near(s.Rate(), 60, sound))

	for _, shift := range []struct {
		tokens int
		rate   float64
	}{{45_000, 20}, {5_000, 150}, {45_000, 60}} {
		record(e, short, shift.rate, shift.tokens, now, 2*time.Second)
		now = now.Add(2 * time.Second)
		s = e.Traffic(kinds, now)[short]
		is.True(near(s.Prompt(13_000), float64(shift.tokens), sound))
		is.True(near(s.Rate(), shift.rate, sound))
	}
}

// TestFewSamples checks that an estimate goes back to the usual size where there are few
// samples, or only old ones.
func TestFewSamples(t *testing.T) {
	is := is.New(t)
	e := profiler.NewEstimates()
	is.Equal(e.Traffic(kinds, start)[short].Prompt(13_000), 13_000.0)
	e.RecordPrompt(short, 1_000_000, start)
	is.True(e.Traffic(kinds, start)[short].Prompt(13_000) < 1_000_000/4)
	record(e, short, 100, 5_000, start, time.Second)
	is.True(near(e.Traffic(kinds, start.Add(time.Second))[short].Prompt(13_000), 5_000, 1))
	is.True(near(e.Traffic(kinds, start.Add(5*time.Minute))[short].Prompt(13_000), 13_000, 0.01))
}

// TestPeers checks that an entry that sees one kind of caller only knows the others from
// other entries, as long as it hears from these.
func TestPeers(t *testing.T) {
	is := is.New(t)
	a, b := profiler.NewEstimates(), profiler.NewEstimates()
	record(a, short, 30, 5_000, start, 2*time.Second)
	record(b, short, 30, 15_000, start, 2*time.Second)
	record(b, large, 30, 300_000, start, 2*time.Second)
	now := start.Add(2 * time.Second)
	a.ApplyPeer("b", []profiler.Kind{short, large}, []profiler.Sample{b.Own(short, now), b.Own(large, now)}, now)
	all := a.Traffic(kinds, now)
	is.True(near(all[short].Prompt(13_000), 10_000, sound))
	is.True(near(all[short].Rate(), 60, sound))
	is.True(near(all[large].Prompt(13_000), 300_000, sound))
	is.Equal(a.Traffic(kinds, now.Add(2*time.Second))[large], profiler.Sample{}) // b is silent
}

// TestRetain checks that nothing is kept of kinds that the configuration no longer has.
func TestRetain(t *testing.T) {
	is := is.New(t)
	e := profiler.NewEstimates()
	e.RecordPrompt(short, 1, start)
	e.RecordPrompt(large, 1, start)
	e.Retain(profiler.ListOf([]profiler.Kind{short}))
	is.Equal(e.Own(large, start), profiler.Sample{})
	is.Equal(e.Own(short, start).Usual.Prompts, 1.0)
}
