package assigner_test

import (
	"strconv"
	"testing"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/bookkeeper"
	"bamboohill/core/predictor"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

var engine = predictor.Engine{
	Slots: 16, Capacity: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, StepPerRequest: 4830 * time.Nanosecond,
	StepPerKTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, AttentionPerMPairs: 91_700 * time.Nanosecond, ChunkTokens: 2048,
}

// candidates returns engines with the loads.
func candidates(loads ...bookkeeper.Load) []assigner.Candidate {
	all := make([]assigner.Candidate, len(loads))
	for i, l := range loads {
		all[i] = assigner.Candidate{ID: viewer.ServerID(rune('a' + i)), Engine: &engine, Load: l}
	}
	return all
}

func short() assigner.Prompt {
	return assigner.Prompt{Tokens: 5_000, Answer: 1_600, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond}
}

func long(tokens int) assigner.Prompt {
	return assigner.Prompt{Tokens: tokens, Answer: 800, Target: 3 * time.Second, Gap: 800 * time.Millisecond}
}

// writers returns the load of an engine with short writers.
func writers(n int) bookkeeper.Load {
	return bookkeeper.Load{Writers: [3]int{n, 0, 0}, Running: n, Context: 6_000 * n}
}

// repeat returns a load several times.
func repeat(l bookkeeper.Load, n int) []bookkeeper.Load {
	all := make([]bookkeeper.Load, n)
	for i := range all {
		all[i] = l
	}
	return all
}

// reading returns the load of an engine that reads for a long prompt's writer.
func reading(d time.Duration) bookkeeper.Load {
	return bookkeeper.Load{Reading: d, Running: 1, Waiting: [3]int{0, 0, 1}, Context: 200_000}
}

func TestShortsPack(t *testing.T) {
	tests := map[string]struct {
		loads []bookkeeper.Load
		want  viewer.ServerID
	}{
		"beside other shorts":     {loads: []bookkeeper.Load{{}, writers(8), {}}, want: "b"},
		"not on a full engine":    {loads: []bookkeeper.Load{{}, {Writers: [3]int{16, 0, 0}, Running: 18, Context: 100_000}, {}}, want: "a"},
		"not beside a reader":     {loads: []bookkeeper.Load{reading(time.Second), {}, reading(time.Second)}, want: "b"},
		"not where much is ahead": {loads: []bookkeeper.Load{{Writers: [3]int{4, 0, 0}, Running: 8, Reading: 150 * time.Millisecond, Waiting: [3]int{4, 0, 0}}, writers(2)}, want: "b"},
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

func TestLongsSpread(t *testing.T) {
	is := is.New(t)
	plan, _ := assigner.Choose(long(210_000), candidates(repeat(bookkeeper.Load{}, 14)...))
	is.True(len(plan.Helpers) >= 8)
	is.True(plan.Expected < 500*time.Millisecond)
	is.Equal(plan.Reserved, nil)

	// Engines of short writers are spared while others are free.
	plan, _ = assigner.Choose(long(210_000), candidates(append(repeat(writers(12), 4), repeat(bookkeeper.Load{}, 4)...)...))
	for _, id := range append(plan.Helpers, plan.Server) {
		is.True(id >= "e")
	}

	// Where another long prompt is read, a part would go ahead of it.
	plan, _ = assigner.Choose(long(210_000), candidates(append(repeat(reading(time.Second), 4), repeat(bookkeeper.Load{}, 4)...)...))
	for _, id := range append(plan.Helpers, plan.Server) {
		is.True(id >= "e")
	}

	_, found := assigner.Choose(long(210_000), nil)
	is.True(!found)
}

func TestReservations(t *testing.T) {
	is := is.New(t)
	plan, _ := assigner.Choose(long(700_000), candidates(repeat(bookkeeper.Load{}, 14)...))
	is.Equal(len(plan.Reserved), len(plan.Helpers))
	sum := plan.Context
	for _, held := range plan.Reserved {
		is.True(held > 0 && held < engine.Capacity)
		sum += held
	}
	is.True(sum >= 700_800)
	is.True(plan.Context < engine.Capacity)

	// One that fits is spread only if its engine has too little free.
	plan, _ = assigner.Choose(long(200_000), candidates(repeat(bookkeeper.Load{Context: 300_000, Running: 1, Writers: [3]int{0, 0, 1}}, 4)...))
	is.True(len(plan.Reserved) > 0)
}

func TestDecide(t *testing.T) {
	busy := long(210_000)
	busy.PrefillLoad = 1
	waited := func(p assigner.Prompt, d time.Duration) assigner.Prompt {
		p.Waited = d
		return p
	}
	flooded := repeat(bookkeeper.Load{Writers: [3]int{16, 0, 0}, Running: 20, Waiting: [3]int{4, 0, 0}, Reading: 80 * time.Millisecond, Context: 100_000}, 7)
	tests := map[string]struct {
		prompt assigner.Prompt
		loads  []bookkeeper.Load
		want   assigner.Decision
	}{
		"idle engines":                         {prompt: short(), loads: repeat(bookkeeper.Load{}, 3), want: assigner.Serve},
		"a flood of shorts":                    {prompt: waited(short(), 30*time.Millisecond), loads: flooded, want: assigner.Reject},
		"a herd of a moment, engines idle":     {prompt: waited(short(), 30*time.Millisecond), loads: repeat(bookkeeper.Load{Running: 5, Waiting: [3]int{5, 0, 0}, Reading: 400 * time.Millisecond}, 7), want: assigner.Serve},
		"a long prompt, room may come":         {prompt: waited(busy, time.Second), loads: repeat(reading(3*time.Second), 4), want: assigner.Wait},
		"a long prompt that has waited enough": {prompt: waited(busy, 2*time.Second), loads: repeat(reading(3*time.Second), 4), want: assigner.Reject},
		"a long prompt of a caller in a hurry": {prompt: func() assigner.Prompt { p := waited(busy, time.Second); p.CallerTimeout = 2 * time.Second; return p }(), loads: repeat(reading(3*time.Second), 4), want: assigner.Reject},
		"a giant while engines are scarce":     {prompt: func() assigner.Prompt { p := waited(long(900_000), 2*time.Second); p.PrefillLoad = 1; return p }(), loads: repeat(bookkeeper.Load{}, 14), want: assigner.Reject},
		"a giant while engines are idle":       {prompt: waited(long(500_000), 2*time.Second), loads: repeat(bookkeeper.Load{}, 14), want: assigner.Serve},
		"more than there is memory":            {prompt: waited(long(500_000), 2*time.Second), loads: repeat(bookkeeper.Load{}, 1), want: assigner.Reject},
		"late even alone, but not by others":   {prompt: long(300_000), loads: repeat(bookkeeper.Load{}, 1), want: assigner.Wait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := candidates(test.loads...)
			plan, _ := assigner.Choose(test.prompt, all)
			is.New(t).Equal(assigner.Decide(test.prompt, plan, all), test.want)
		})
	}
}

// TestUnheard fills engines that seem to have one slot left: a prompt goes to one
// with more room where other entries may have taken it meanwhile, and takes the
// last slot where nobody else sends.
func TestUnheard(t *testing.T) {
	tests := map[string]struct {
		others int
		lag    time.Duration
		want   viewer.ServerID
	}{
		"others send much, word is late": {others: 15, lag: 50 * time.Millisecond, want: "b"},
		"nobody else sends":              {others: 0, lag: 50 * time.Millisecond, want: "a"},
		"word is at once":                {others: 15, want: "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			last, room := writers(15), writers(8)
			last.Others = test.others
			all := candidates(last, room)
			all[1].EntryRank = 0.1 // a little further down this entry's order
			p := short()
			p.UpdateDelay = test.lag
			plan, _ := assigner.Choose(p, all)
			is.New(t).Equal(plan.Server, test.want)
		})
	}
}

// TestOrder checks that entries like engines in orders of their own, evenly.
func TestOrder(t *testing.T) {
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
	is.True(len(first) > entries/2) // 26 at random
}

// BenchmarkChoose places a long prompt on the largest sheet's engines.
func BenchmarkChoose(b *testing.B) {
	all := candidates(append(repeat(writers(8), 30), repeat(reading(100*time.Millisecond), 39)...)...)
	for b.Loop() {
		assigner.Choose(long(300_000), all)
	}
}

func TestNamed(t *testing.T) {
	tests := map[string]struct {
		want  assigner.Policy
		known bool
	}{
		"priced":                {assigner.CostBased{}, true},
		"open":                  {assigner.CostBased{Disabled: assigner.Rejecting}, true},
		"least":                 {assigner.LeastLoaded{}, true},
		"random":                {assigner.Random{}, true},
		"priced-helpers-orders": {assigner.CostBased{Disabled: assigner.Helpers | assigner.EntryRanks}, true},
		"priced-refusing":       {assigner.CostBased{Disabled: assigner.Rejecting}, true},
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
