package emulator_test

import (
	"testing"
	"time"

	"bamboohill/core/emulator"
	"bamboohill/core/predictor"

	"github.com/matryer/is"
)

func engine() predictor.Engine {
	return predictor.Engine{
		Slots: 16, Capacity: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, StepPerRequest: 4830 * time.Nanosecond,
		StepPerKTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, AttentionPerMPairs: 91_700 * time.Nanosecond, ChunkTokens: 2048,
	}
}

// firstEvents submits each job at its key and returns, by the same key, the time
// from there to the job's first event.
func firstEvents(jobs map[time.Duration]emulator.Job) map[time.Duration]time.Duration {
	e := emulator.New(emulator.Config{Engines: 8, Engine: engine()})
	got := map[time.Duration]time.Duration{}
	for at, j := range jobs {
		j.OnFirst = func(now time.Duration) { got[at] = now - at }
		e.Schedule(at, func() { e.Submit(j) })
	}
	e.Run(time.Minute)
	return got
}

// TestMeasured compares the emulator with single prompts on idle engines, measured
// with 3 and 16 helpers (journal of 2026-12-04).
func TestMeasured(t *testing.T) {
	tests := map[string]struct {
		tokens   int
		helpers  []int
		measured time.Duration
	}{
		"alone":         {tokens: 98_072, measured: 873 * time.Millisecond},
		"long, alone":   {tokens: 209_601, measured: 2936 * time.Millisecond},
		"three helpers": {tokens: 120_144, helpers: []int{1, 2, 3}, measured: 302 * time.Millisecond},
		"long, three":   {tokens: 246_425, helpers: []int{1, 2, 3}, measured: 975 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := firstEvents(map[time.Duration]emulator.Job{0: {Tokens: test.tokens, Helpers: test.helpers, Events: 10}})[0]
			is.True(float64(got) > 0.93*float64(test.measured))
			is.True(float64(got) < 1.07*float64(test.measured))
		})
	}
}

// TestNewestFirst checks that a later prompt overtakes an earlier one at its
// helpers, as on real engines.
func TestNewestFirst(t *testing.T) {
	is := is.New(t)
	const later = 100 * time.Millisecond
	got := firstEvents(map[time.Duration]emulator.Job{
		0:     {Engine: 0, Helpers: []int{1, 2}, Tokens: 300_000, Events: 1},
		later: {Engine: 3, Helpers: []int{1, 2}, Tokens: 100_000, Events: 1},
	})
	small, alone := got[later], engine()
	is.True(small < alone.PrefillTime(100_000)/3+100*time.Millisecond)
	is.True(got[0] > alone.PrefillTime(300_000)/3+alone.PrefillTime(100_000)/3)
}

// TestPause checks the pause between events of a request that is decoded while a
// long prompt is prefilled: one pass processes a large part of the prompt.
func TestPause(t *testing.T) {
	is := is.New(t)
	e := emulator.New(emulator.Config{Engines: 1, Engine: engine()})
	var last, longest time.Duration
	e.Schedule(0, func() {
		e.Submit(emulator.Job{Tokens: 5_000, Events: 60, OnFirst: func(now time.Duration) { last = now }, OnNext: func(now time.Duration) {
			longest = max(longest, now-last)
			last = now
		}})
	})
	e.Schedule(500*time.Millisecond, func() { e.Submit(emulator.Job{Tokens: 50_000, Events: 1}) })
	e.Run(time.Minute)
	is.True(longest > 300*time.Millisecond)
	is.True(longest < 500*time.Millisecond)
}

// TestTooLarge checks that a prompt that can never fit is refused, unless helpers
// hold enough of it.
func TestTooLarge(t *testing.T) {
	is := is.New(t)
	e := emulator.New(emulator.Config{Engines: 2, Engine: engine()})
	is.True(!e.Submit(emulator.Job{Tokens: 451_000, Events: 1}))
	is.True(e.Submit(emulator.Job{Tokens: 451_000, Helpers: []int{1}, Reserved: []int{100_000}, Events: 1}))
}

// TestSlotsAndMemory checks that jobs wait while slots or memory are full, and that
// all of them end.
func TestSlotsAndMemory(t *testing.T) {
	tests := map[string]emulator.Job{
		"slots":  {Tokens: 1_000, Events: 20},
		"memory": {Tokens: 200_000, Events: 3},
	}
	for name, job := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := emulator.New(emulator.Config{Engines: 1, Engine: engine()})
			running, most, ended := 0, 0, 0
			job.OnFirst = func(time.Duration) {
				running++
				most = max(most, running)
			}
			job.OnEnd = func(time.Duration) {
				running--
				ended++
			}
			for range 40 {
				e.Submit(job)
			}
			e.Run(5 * time.Minute)
			is.Equal(ended, 40)
			is.True(most <= 16)
			is.True(name != "memory" || most <= 2)
		})
	}
}

// TestSlowdown checks that an engine may be slow for a while, and others are not affected.
func TestSlowdown(t *testing.T) {
	is := is.New(t)
	slow := func(engine int, at time.Duration) float64 {
		if engine == 1 && at < 10*time.Second {
			return 3
		}
		return 1
	}
	first := func(config emulator.Config, engine int, at time.Duration) time.Duration {
		e := emulator.New(config)
		var got time.Duration
		e.Schedule(at, func() {
			e.Submit(emulator.Job{Engine: engine, Tokens: 50_000, Events: 2, OnFirst: func(now time.Duration) { got = now - at }})
		})
		e.Run(time.Minute)
		return got
	}
	alike, unlike := emulator.Config{Engines: 2, Engine: engine()}, emulator.Config{Engines: 2, Engine: engine(), Slowdown: slow}
	normal := first(alike, 1, 0)
	is.Equal(first(unlike, 0, 0), normal)
	is.Equal(first(unlike, 1, 0), 3*normal)
	is.Equal(first(unlike, 1, 11*time.Second), normal)
}
