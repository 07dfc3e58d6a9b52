package assigner_test

import (
	"strconv"
	"testing"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/loadtracker"
	"bamboohill/core/predictor"
	"bamboohill/core/profiler"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

var engine = predictor.Engine{
	Slots: 16, Capacity: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, StepPerRequest: 4830 * time.Nanosecond,
	StepPerKTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, AttentionPerMPairs: 91_700 * time.Nanosecond, ChunkTokens: 2048,
}

// candidates returns one engine for each load.
func candidates(loads ...loadtracker.Load) []assigner.Candidate {
	all := make([]assigner.Candidate, len(loads))
	for i, l := range loads {
		all[i] = assigner.Candidate{ID: viewer.ServerID(rune('a' + i)), Engine: &engine, Load: l}
	}
	return all
}

func short() assigner.Prompt {
	return assigner.Prompt{Tokens: 5_000, Answer: 1_600, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Terms: reference()}
}

func long(tokens int) assigner.Prompt {
	return assigner.Prompt{Tokens: tokens, Answer: 800, Target: 3 * time.Second, Gap: 800 * time.Millisecond, Terms: reference()}
}

// reference returns the parameters for three kinds that have been in use before parameters
// were derived.
func reference() *profiler.Parameters {
	const ms = time.Millisecond
	return &profiler.Parameters{
		Kinds: []profiler.Terms{{Pause: 200 * ms, Target: 300 * ms, Value: 1.5}, {Pause: 500 * ms, Target: 1500 * ms, Value: 4}, {Pause: 800 * ms, Target: 3000 * ms, Value: 18}},
		Count: 3, TightPause: 250 * ms, SlotWait: 250 * ms, AnswerTime: 2 * time.Second, ServeReserve: 250 * ms, LeastValue: 1.5, PrefillValue: 4,
	}
}

// decoding returns the load of an engine that decodes n short requests.
func decoding(n int) loadtracker.Load {
	return loadtracker.Load{Decoding: loadtracker.Counts{int32(n), 0, 0}, Running: n, ContextTokens: 6_000 * n}
}

// repeat returns n copies of a load.
func repeat(l loadtracker.Load, n int) []loadtracker.Load {
	all := make([]loadtracker.Load, n)
	for i := range all {
		all[i] = l
	}
	return all
}

// prefilling returns the load of an engine that prefills a long prompt.
func prefilling(d time.Duration) loadtracker.Load {
	return loadtracker.Load{Prefill: d, Running: 1, Prefilling: loadtracker.Counts{0, 0, 1}, ContextTokens: 200_000}
}

func TestShortPromptsArePacked(t *testing.T) {
	tests := map[string]struct {
		loads []loadtracker.Load
		want  viewer.ServerID
	}{
		"with other short requests": {loads: []loadtracker.Load{{}, decoding(8), {}}, want: "b"},
		"not on a full engine":      {loads: []loadtracker.Load{{}, {Decoding: loadtracker.Counts{16, 0, 0}, Running: 18, ContextTokens: 100_000}, {}}, want: "a"},
		"not with a prefill":        {loads: []loadtracker.Load{prefilling(time.Second), {}, prefilling(time.Second)}, want: "b"},
		"not behind other prompts":  {loads: []loadtracker.Load{{Decoding: loadtracker.Counts{4, 0, 0}, Running: 8, Prefill: 150 * time.Millisecond, Prefilling: loadtracker.Counts{4, 0, 0}}, decoding(2)}, want: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan, found := assigner.Choose(short(), candidates(test.loads...))
			is.True(found)
			is.Equal(plan.Server, test.want)
			is.Equal(len(plan.Helpers), 0)
		})
	}
}

func TestLongPromptsAreSplit(t *testing.T) {
	is := is.New(t)
	plan, _ := assigner.Choose(long(210_000), candidates(repeat(loadtracker.Load{}, 14)...))
	is.True(len(plan.Helpers) >= 8)
	is.True(plan.Expected < 500*time.Millisecond)
	is.Equal(plan.Reserved, nil)

	// Engines that decode short requests are avoided while others are free.
	plan, _ = assigner.Choose(long(210_000), candidates(append(repeat(decoding(12), 4), repeat(loadtracker.Load{}, 4)...)...))
	for _, id := range append(plan.Helpers, plan.Server) {
		is.True(id >= "e")
	}

	// On an engine that prefills another long prompt, a part would overtake it.
	plan, _ = assigner.Choose(long(210_000), candidates(append(repeat(prefilling(time.Second), 4), repeat(loadtracker.Load{}, 4)...)...))
	for _, id := range append(plan.Helpers, plan.Server) {
		is.True(id >= "e")
	}

	_, found := assigner.Choose(long(210_000), nil)
	is.True(!found)
}

func TestReservations(t *testing.T) {
	is := is.New(t)
	plan, _ := assigner.Choose(long(700_000), candidates(repeat(loadtracker.Load{}, 14)...))
	is.Equal(len(plan.Reserved), len(plan.Helpers))
	sum := plan.Context
	for _, reserved := range plan.Reserved {
		is.True(reserved > 0 && reserved < engine.Capacity)
		sum += reserved
	}
	is.True(sum >= 700_800)
	is.True(plan.Context < engine.Capacity)

	// A prompt that fits into one engine is split only if the engine has too little
	// free memory.
	plan, _ = assigner.Choose(long(200_000), candidates(repeat(loadtracker.Load{ContextTokens: 300_000, Running: 1, Decoding: loadtracker.Counts{0, 0, 1}}, 4)...))
	is.True(len(plan.Reserved) > 0)
}

func TestDecide(t *testing.T) {
	scarce := long(210_000)
	scarce.PrefillLoad = 1
	waited := func(p assigner.Prompt, d time.Duration) assigner.Prompt {
		p.Waited = d
		return p
	}
	overloaded := repeat(loadtracker.Load{Decoding: loadtracker.Counts{16, 0, 0}, Running: 20, Prefilling: loadtracker.Counts{4, 0, 0}, Prefill: 80 * time.Millisecond, ContextTokens: 100_000}, 7)
	tests := map[string]struct {
		prompt assigner.Prompt
		loads  []loadtracker.Load
		want   assigner.Decision
	}{
		"idle engines":                            {prompt: short(), loads: repeat(loadtracker.Load{}, 3), want: assigner.Serve},
		"overload of short prompts":               {prompt: waited(short(), 30*time.Millisecond), loads: overloaded, want: assigner.Refuse},
		"short burst on idle engines":             {prompt: waited(short(), 30*time.Millisecond), loads: repeat(loadtracker.Load{Running: 5, Prefilling: loadtracker.Counts{5, 0, 0}, Prefill: 400 * time.Millisecond}, 7), want: assigner.Serve},
		"long prompt, capacity may become free":   {prompt: waited(scarce, time.Second), loads: repeat(prefilling(3*time.Second), 4), want: assigner.Wait},
		"long prompt after the maximum wait":      {prompt: waited(scarce, 2*time.Second), loads: repeat(prefilling(3*time.Second), 4), want: assigner.Refuse},
		"long prompt with a short caller timeout": {prompt: func() assigner.Prompt { p := waited(scarce, time.Second); p.CallerTimeout = 2 * time.Second; return p }(), loads: repeat(prefilling(3*time.Second), 4), want: assigner.Refuse},
		"largest prompt while engines are scarce": {prompt: func() assigner.Prompt { p := waited(long(900_000), 2*time.Second); p.PrefillLoad = 1; return p }(), loads: repeat(loadtracker.Load{}, 14), want: assigner.Refuse},
		"very long prompt on idle engines":        {prompt: waited(long(500_000), 2*time.Second), loads: repeat(loadtracker.Load{}, 14), want: assigner.Serve},
		"too little memory":                       {prompt: waited(long(500_000), 2*time.Second), loads: repeat(loadtracker.Load{}, 1), want: assigner.Refuse},
		"late even on an idle engine":             {prompt: long(300_000), loads: repeat(loadtracker.Load{}, 1), want: assigner.Wait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := candidates(test.loads...)
			plan, _ := assigner.Choose(test.prompt, all)
			is.New(t).Equal(assigner.Decide(test.prompt, plan, all), test.want)
		})
	}
}

// TestUnseenPlacements checks the choice of an engine that seems to have one free
// slot. If other entries may have taken it meanwhile, a prompt goes to an engine
// with more free slots; if no other entry sends there, the prompt takes the slot.
func TestUnseenPlacements(t *testing.T) {
	tests := map[string]struct {
		others int
		delay  time.Duration
		want   viewer.ServerID
	}{
		"others send much, updates are delayed": {others: 15, delay: 50 * time.Millisecond, want: "b"},
		"no other entry sends":                  {others: 0, delay: 50 * time.Millisecond, want: "a"},
		"updates are immediate":                 {others: 15, want: "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			last, free := decoding(15), decoding(8)
			last.PeerRunning = test.others
			all := candidates(last, free)
			all[1].EntryRank = 0.1 // slightly less preferred by this entry
			p := short()
			p.UpdateDelay = test.delay
			plan, _ := assigner.Choose(p, all)
			is.New(t).Equal(plan.Server, test.want)
		})
	}
}

// TestEntryRank checks that ranks are evenly distributed, and that different entries
// prefer different engines.
func TestEntryRank(t *testing.T) {
	is := is.New(t)
	sum, first := 0.0, map[viewer.ServerID]int{}
	const entries, engines = 31, 69
	for entry := range uint64(entries) {
		best, least := viewer.ServerID(""), 2.0
		for n := range engines {
			id := viewer.ServerID(strconv.Itoa(n))
			o := assigner.EntryRank(entry, id)
			is.True(o >= 0 && o < 1)
			is.Equal(o, assigner.EntryRank(entry, id))
			sum += o
			if o < least {
				best, least = id, o
			}
		}
		first[best]++
	}
	is.True(sum > 0.45*entries*engines && sum < 0.55*entries*engines)
	is.True(len(first) > entries/2) // 26 expected at random
}

// BenchmarkChoose places a long prompt on 69 engines.
func BenchmarkChoose(b *testing.B) {
	all := candidates(append(repeat(decoding(8), 30), repeat(prefilling(100*time.Millisecond), 39)...)...)
	for b.Loop() {
		assigner.Choose(long(300_000), all)
	}
}

func TestParsePolicy(t *testing.T) {
	tests := map[string]struct {
		want  assigner.Policy
		known bool
	}{
		"priced":                {assigner.CostBased{}, true},
		"open":                  {assigner.CostBased{Disabled: assigner.Refusing}, true},
		"least":                 {assigner.LeastLoaded{}, true},
		"random":                {assigner.Random{}, true},
		"priced-helpers-orders": {assigner.CostBased{Disabled: assigner.Helpers | assigner.EntryRanks}, true},
		"priced-refusing":       {assigner.CostBased{Disabled: assigner.Refusing}, true},
		"priced-luck":           {nil, false},
		"luck":                  {nil, false},
		"":                      {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, known := assigner.ParsePolicy(name)
			is.Equal(known, test.known)
			is.Equal(got, test.want)
		})
	}
}
