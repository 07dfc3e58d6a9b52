package replayer

import (
	"math"
	"math/rand/v2"
	"time"

	"bamboohill/core/predictor"
	"bamboohill/core/profiler"
	"bamboohill/core/viewer"
)

// Class describes the requests of one class of prompts.
type Class struct {
	Name          string
	Rate          float64       // requests per second over all entries
	Rank          int           // 0 is the most urgent
	Tokens        LogNormal     // of the prompt
	Events        LogNormal     // of the answer
	Target        time.Duration // longest time to the first event of an answer in time
	Gap           time.Duration // longest gap between its events
	CallerTimeout time.Duration // after which callers give up
	InTimeValue   float64       // of an answer in time to a request of mean size
	LateValue     float64       // of a late answer to a request of mean size
}

// LogNormal is a log-normal distribution with values capped at Max.
type LogNormal struct {
	Mean  float64
	Sigma float64 // standard deviation of the logarithm
	Max   float64
}

// draw returns a random value from 1 to Max.
func (d LogNormal) draw(random *rand.Rand) int {
	mu := math.Log(d.Mean) - d.Sigma*d.Sigma/2
	return int(max(1, min(d.Max, math.Exp(mu+d.Sigma*random.NormFloat64()))))
}

// Phase scales the request rates up to a time. Factors has one element per class.
type Phase struct {
	Until   time.Duration
	Factors []float64
}

// Load describes a deployment and the requests that it receives.
type Load struct {
	Engines     int
	Entries     int
	Cells       int           // among which entries and engines are divided by the hash of their names; 1 if zero
	UpdateDelay time.Duration // between two updates of the other entries, 10 ms if zero
	Announced   bool          // each entry updates the others when its announcer decides so, instead of each UpdateDelay
	Engine      predictor.Engine
	Classes     []Class
	Phases      []Phase
	Length      time.Duration                              // duration of the arrivals; answers may end later
	Slowdown    func(engine int, at time.Duration) float64 // of the work of an engine; nil if all are as described
	Outage      Outage                                     // in which no entry accepts requests; none if zero
	Domains     int                                        // failure domains among which entries and engines are divided; 0 if not divided
	DomainOf    func(engine int) int                       // failure domain of an engine; nil if they are divided evenly
	DomainRate  func(domain int, at time.Duration) float64 // factor of the request rate of a domain's callers, whose sum over the domains is constant; nil if Domains is 0
}

// service is the name of the only service.
const service viewer.ServiceName = "engines"

// routes returns a route for each class.
func (l Load) routes() []*viewer.Route {
	all := make([]*viewer.Route, len(l.Classes))
	for i, c := range l.Classes {
		all[i] = &viewer.Route{
			Name: c.Name, Host: c.Name, Prefix: "/", Kind: viewer.Streaming, Timeout: c.CallerTimeout, TargetLatency: c.Target, TargetGap: c.Gap,
			Priority: c.Rank, Targets: []viewer.Target{{Service: service, Weight: 1}},
		}
	}
	return all
}

// kinds returns the kind of each class.
func (l Load) kinds() []profiler.Kind {
	all := make([]profiler.Kind, len(l.Classes))
	for i, r := range l.routes() {
		all[i] = profiler.Of(r, service)
	}
	return all
}

// configuration returns the configuration of a deployment with the load. The usual size of
// requests is that of all classes at their rates.
func (l Load) configuration() *viewer.Configuration {
	c := viewer.NewConfiguration(l.routes(), nil)
	rate, prompt, events := 0.0, 0.0, 0.0
	for _, class := range l.Classes {
		rate += class.Rate
		prompt += class.Rate * class.Tokens.Mean
		events += class.Rate * class.Events.Mean
	}
	engine := l.Engine
	c.Services[service] = &viewer.Service{
		Name: service, Engine: &engine, Usual: viewer.Size{Prompt: int(prompt / rate), Answer: int(tokensPerEvent * events / rate)},
	}
	return c
}

// defaultEngine returns the engine parameters of the users' deployment sheets.
func defaultEngine() predictor.Engine {
	return predictor.Engine{
		Slots: 16, Capacity: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, StepPerRequest: 4830 * time.Nanosecond,
		StepPerKTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, AttentionPerMPairs: 91_700 * time.Nanosecond, ChunkTokens: 2048,
	}
}

// Waves returns the normal day of a deployment of 14 engines: bursts of short
// prompts alternate with bursts of long ones.
func Waves() Load {
	const scale = 0.81 // normal day's share of the rates in the sheet
	return Load{
		Engines: 14, Entries: 4, Engine: defaultEngine(), Length: 34 * time.Second,
		Classes: []Class{
			{Name: "short", Rate: 30.7 * scale, Tokens: LogNormal{Mean: 4_960, Sigma: 0.9, Max: 23_800}, Events: LogNormal{Mean: 34.9, Sigma: 0.7, Max: 87},
				Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond, CallerTimeout: 10 * time.Second, InTimeValue: 1.3, LateValue: 0.33},
			{Name: "middle", Rate: 2.23 * scale, Tokens: LogNormal{Mean: 45_000, Sigma: 0.5, Max: 110_000}, Events: LogNormal{Mean: 20.9, Sigma: 0.6, Max: 52},
				Target: 1500 * time.Millisecond, Gap: 500 * time.Millisecond, CallerTimeout: 10 * time.Second, InTimeValue: 3.1, LateValue: 0.79},
			{Name: "long", Rate: 0.923 * scale, Tokens: LogNormal{Mean: 210_000, Sigma: 0.55, Max: 1_000_000}, Events: LogNormal{Mean: 17.4, Sigma: 0.5, Max: 44},
				Target: 3 * time.Second, Gap: 800 * time.Millisecond, CallerTimeout: 15 * time.Second, InTimeValue: 22, LateValue: 5.4},
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

// Flood returns the worst overload of a standard day: half of the engines have
// failed while short prompts arrive at 2.5 times their normal rate.
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

// Crowd returns a burst of short prompts over many entries, each of which
// learns of the others' placements late: the first burst of a day with failures
// in a deployment of 31 entries and 69 engines.
func Crowd() Load {
	engine := defaultEngine()
	engine.Slots, engine.StepsPerPass = 12, 52
	l := Waves()
	l.Engines, l.Entries, l.UpdateDelay, l.Engine, l.Length = 69, 31, 45*time.Millisecond, engine, 15*time.Second
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

// factor returns the factor that applies to the rate of a class at a time.
func (l Load) factor(class int, at time.Duration) float64 {
	for _, p := range l.Phases {
		if at < p.Until {
			return p.Factors[class]
		}
	}
	return 1
}
