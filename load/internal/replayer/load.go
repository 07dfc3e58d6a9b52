package replayer

import (
	"math"
	"math/rand/v2"
	"time"

	"bamboohill/core/predictor"
)

// Class is one kind of prompt.
type Class struct {
	Name   string
	Rate   float64 // requests per second, all entries together
	Tokens Size    // of the prompt
	Events Size    // of the answer
	Target time.Duration
	Gap    time.Duration
	Limit  time.Duration // that callers wait at all
	Worth  float64       // of an answer in time, of the mean size
	Late   float64       // of a late one
}

// Size is a log-normal distribution.
type Size struct {
	Mean   float64
	Spread float64 // standard deviation of the logarithm
	Most   float64
}

// draw returns a size of at least one.
func (s Size) draw(random *rand.Rand) int {
	mu := math.Log(s.Mean) - s.Spread*s.Spread/2
	return int(max(1, min(s.Most, math.Exp(mu+s.Spread*random.NormFloat64()))))
}

// Phase multiplies the rates of classes up to a time.
type Phase struct {
	Until   time.Duration
	Factors []float64
}

// Load is what a deployment has to bear.
type Load struct {
	Engines int
	Entries int
	Hearing time.Duration // from an entry's change until the others know, 10 ms if zero
	Engine  predictor.Engine
	Classes []Class
	Phases  []Phase
	Length  time.Duration // of traffic; answers may take longer
}

// sheetEngine is the engine of the users' sheets.
func sheetEngine() predictor.Engine {
	return predictor.Engine{
		Slots: 16, Capacity: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, StepPerRequest: 4830 * time.Nanosecond,
		StepPerKTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, AttentionPerMPairs: 91_700 * time.Nanosecond, ChunkTokens: 2048,
	}
}

// Waves is the quiet day of a deployment of 14 engines: floods of short
// prompts and waves of long ones by turns.
func Waves() Load {
	const scale = 0.81 // of the sheet's rates on the quiet day
	return Load{
		Engines: 14, Entries: 4, Engine: sheetEngine(), Length: 34 * time.Second,
		Classes: []Class{
			{Name: "short", Rate: 30.7 * scale, Tokens: Size{Mean: 4_960, Spread: 0.9, Most: 23_800}, Events: Size{Mean: 34.9, Spread: 0.7, Most: 87},
				Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Limit: 10 * time.Second, Worth: 1.3, Late: 0.33},
			{Name: "middle", Rate: 2.23 * scale, Tokens: Size{Mean: 45_000, Spread: 0.5, Most: 110_000}, Events: Size{Mean: 20.9, Spread: 0.6, Most: 52},
				Target: 1500 * time.Millisecond, Gap: 500 * time.Millisecond, Limit: 10 * time.Second, Worth: 3.1, Late: 0.79},
			{Name: "long", Rate: 0.923 * scale, Tokens: Size{Mean: 210_000, Spread: 0.55, Most: 1_000_000}, Events: Size{Mean: 17.4, Spread: 0.5, Most: 44},
				Target: 3 * time.Second, Gap: 800 * time.Millisecond, Limit: 15 * time.Second, Worth: 22, Late: 5.4},
		},
		Phases: []Phase{
			{Until: 2400 * time.Millisecond, Factors: []float64{1, 1, 1}},
			{Until: 11900 * time.Millisecond, Factors: []float64{0.35, 1.3, 2.7}},
			{Until: 21500 * time.Millisecond, Factors: []float64{2.4, 0.5, 0.05}},
			{Until: 23 * time.Second, Factors: []float64{1, 1, 1}},
			{Until: 32500 * time.Millisecond, Factors: []float64{0.32, 1.3, 2.9}},
			{Until: time.Hour, Factors: []float64{1, 1, 1}},
		},
	}
}

// Flood is the worst overload of a standard day: half of the engines are gone
// while short prompts come at two and a half times their rate.
func Flood() Load {
	l := Waves()
	l.Engines = 7
	l.Length = 15 * time.Second
	l.Phases = []Phase{
		{Until: 3 * time.Second, Factors: []float64{1, 0.5, 0.05}},
		{Until: 12 * time.Second, Factors: []float64{2.5, 0.5, 0.05}},
		{Until: time.Hour, Factors: []float64{0.5, 0.5, 0.05}},
	}
	return l
}

// Crowd is a flood of short prompts over many entries, each of which hears of
// the others' placements late: the first burst of a trouble day of a deployment
// of 31 entries and 69 engines.
func Crowd() Load {
	engine := sheetEngine()
	engine.Slots, engine.StepsPerPass = 12, 52
	l := Waves()
	l.Engines, l.Entries, l.Hearing, l.Engine, l.Length = 69, 31, 45*time.Millisecond, engine, 15*time.Second
	for i, rate := range []float64{118, 10.8, 2.45} {
		l.Classes[i].Rate = rate
	}
	l.Classes[2].Tokens.Mean, l.Classes[2].Target = 300_000, 4*time.Second
	l.Phases = []Phase{
		{Until: 2 * time.Second, Factors: []float64{1, 1, 1}},
		{Until: 12 * time.Second, Factors: []float64{2.5, 0.5, 0.3}},
		{Until: time.Hour, Factors: []float64{0.5, 0.5, 0.5}},
	}
	return l
}

// factor returns what a class's rate is multiplied with at a time.
func (l Load) factor(class int, at time.Duration) float64 {
	for _, p := range l.Phases {
		if at < p.Until {
			return p.Factors[class]
		}
	}
	return 1
}
