package assigner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/loadtracker"
	"bamboohill/core/profiler"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

// derived returns the parameters for the kinds of reference, from a configuration and from
// a minute of traffic that has the sizes, and earns an engine what, reference holds.
func derived() *profiler.Parameters {
	var routes []*viewer.Route
	kinds := make([]profiler.Kind, 3)
	e := profiler.NewEstimates()
	start := time.Unix(1_000, 0)
	for i, t := range reference().Kinds {
		r := &viewer.Route{
			Host: string(rune('a' + i)), Prefix: "/", Kind: viewer.Streaming, TargetGap: t.Pause, TargetLatency: t.Target,
			Targets: []viewer.Target{{Service: "pool", Weight: 1}},
		}
		routes, kinds[i] = append(routes, r), profiler.Of(r, "pool")
		rate := []float64{24, 2, 0.7}[i]
		for at := time.Duration(0); at < time.Minute; at += time.Duration(float64(time.Second) / rate) {
			e.RecordPrompt(kinds[i], []int{5_000, 30_000, 170_000}[i], start.Add(at))
			e.RecordSlot(kinds[i], 2*time.Second, start.Add(at))
		}
	}
	c := viewer.NewConfiguration(routes, nil)
	c.Services["pool"] = &viewer.Service{Engine: &engine}
	k := profiler.NewKinds(c)
	return profiler.Derive(k, "pool", e.Traffic(k, start.Add(time.Minute)), 14, profiler.BySize)
}

// drawnCase returns a random prompt of one of the kinds of reference, and random loads.
func drawnCase(r *rand.Rand) (assigner.Prompt, []assigner.Candidate) {
	kind := r.IntN(3)
	p := assigner.Prompt{
		Tokens: int([]float64{5_000, 30_000, 170_000}[kind] * (0.2 + 2*r.Float64())), Answer: 100 + r.IntN(2_000), UpdateDelay: time.Duration(r.IntN(50)) * time.Millisecond,
		Target: reference().Kinds[kind].Target, Gap: reference().Kinds[kind].Pause, PrefillLoad: r.Float64(), CallerTimeout: 10 * time.Second,
	}
	p.Waited = time.Duration(r.Float64() * float64(p.Target))
	loads := make([]loadtracker.Load, 1+r.IntN(20))
	for i := range loads {
		l := &loads[i]
		for k := range 3 {
			l.Decoding[k], l.Prefilling[k] = int32(r.IntN(7)), int32(max(0, r.IntN(6)-3))
			l.Running += int(l.Decoding[k] + l.Prefilling[k])
		}
		l.PeerRunning = r.IntN(l.Running + 1)
		l.ContextTokens = r.IntN(1 + 20_000*l.Running)
		if l.Prefilling != (loadtracker.Counts{}) {
			l.Prefill = time.Duration(r.IntN(3_000)) * time.Millisecond
		}
	}
	return p, candidates(loads...)
}

// TestDerivedDecisions compares the decisions with derived parameters and with the fixed ones
// that were in use for the same kinds and sizes. What follows from the configuration is
// exactly as it was, so with the values of the fixed ones all decisions are equal. With
// values estimated from traffic, at most three in a hundred may differ: a difference of
// 0.03 in what is served is noise.
func TestDerivedDecisions(t *testing.T) {
	is := is.New(t)
	estimated, fixed, limits := derived(), reference(), derived()
	for i := range limits.Kinds {
		limits.Kinds[i].Value = fixed.Kinds[i].Value
	}
	limits.SlotWait, limits.AnswerTime, limits.LeastValue, limits.PrefillValue = fixed.SlotWait, fixed.AnswerTime, fixed.LeastValue, fixed.PrefillValue
	random := rand.New(rand.NewPCG(3, 4))
	const cases, tolerated = 4000, 0.03
	differ := 0
	for range cases {
		p, all := drawnCase(random)
		decide := func(terms *profiler.Parameters) (assigner.Plan, assigner.Decision) {
			p.Terms = terms
			return assigner.CostBased{}.Choose(p, all)
		}
		plan, decision := decide(fixed)
		samePlan, sameDecision := decide(limits)
		is.Equal(samePlan, plan)
		is.Equal(sameDecision, decision)
		other, otherDecision := decide(estimated)
		if otherDecision != decision || other.Server != plan.Server || len(other.Helpers) != len(plan.Helpers) {
			differ++
		}
	}
	t.Logf("%d of %d decisions differ with estimated values", differ, cases)
	is.True(float64(differ) <= tolerated*cases)
}

// TestOtherLimits checks decisions for kinds with other limits, for which the fixed
// parameters were wrong.
func TestOtherLimits(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	// Requests that bear pauses of two seconds decode on one engine, tight ones on the other.
	terms := &profiler.Parameters{
		Kinds: []profiler.Terms{{Pause: 400 * ms, Target: time.Second, Value: 1.5}, {Pause: 2 * time.Second, Target: 8 * time.Second, Value: 1.5}},
		Count: 2, TightPause: 500 * ms, SlotWait: 250 * ms, AnswerTime: 2 * time.Second, ServeReserve: 500 * ms, LeastValue: 1.5, PrefillValue: 4,
	}
	all := candidates(loadtracker.Load{Decoding: loadtracker.Counts{4, 0}, Running: 4}, loadtracker.Load{Decoding: loadtracker.Counts{0, 4}, Running: 4})
	large := assigner.Prompt{Tokens: 150_000, Answer: 800, Target: 8 * time.Second, Gap: 2 * time.Second, Terms: terms}
	plan, _ := assigner.CostBased{Disabled: assigner.Helpers}.Choose(large, all)
	is.Equal(plan.Server, viewer.ServerID("b"))
	small := assigner.Prompt{Tokens: 5_000, Answer: 800, Target: time.Second, Gap: 400 * ms, Terms: terms}
	plan, _ = assigner.Choose(small, all)
	is.Equal(plan.Server, viewer.ServerID("a")) // packed, though its pause is twice that of the fixed ones

	// Without kinds a prompt is placed and decided on all the same.
	_, decision := assigner.CostBased{}.Choose(assigner.Prompt{Tokens: 5_000, Target: time.Second}, all)
	is.Equal(decision, assigner.Serve)
}
