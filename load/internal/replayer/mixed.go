package replayer

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"bamboohill/core/predictor"
)

// Ranges of the kinds that Mixed draws, evenly by their logarithms.
const (
	mixedKinds             = 5
	minPrompt, maxPrompt   = 2_000.0, 250_000.0 // mean tokens
	minPause, maxPause     = 0.12, 1.5          // seconds
	minTarget, maxTarget   = 0.25, 10.0         // seconds
	minSlack, maxSlack     = 1.0, 5.0           // target relative to the prefill time on one engine
	minEvents, maxEvents   = 10.0, 60.0
	mixedLoad              = 0.65 // mean share of the engines' time that the requests need
	highFactor, lowFactor  = 2.0, 0.4
	waveLength             = 8 * time.Second
	patience, minPatience  = 5, 10 * time.Second // of callers, relative to the target
	lateShare              = 0.25                // value of a late answer
	tokensPerValue         = 10_000.0            // prompt tokens that add one to the value of an answer
	mixedEngines, mixedLen = 20, 40 * time.Second
)

// Mixed returns alternating waves of five kinds of prompts with limits, sizes and rates that
// are drawn by a seed: while some of the kinds come at twice their rate, the others come at
// less than half of theirs.
func Mixed(seed uint64) Load {
	random := rand.New(rand.NewPCG(seed, 11))
	draw := func(least, most float64) float64 { return least * math.Pow(most/least, random.Float64()) }
	seconds := func(s float64) time.Duration {
		return time.Duration(s * float64(time.Second)).Round(10 * time.Millisecond)
	}
	l := Load{Engines: mixedEngines, Entries: 6, Engine: defaultEngine(), Length: mixedLen}
	high := make([]bool, mixedKinds)
	shares, sum := make([]float64, mixedKinds), 0.0
	for i := range mixedKinds {
		prompt, events := draw(minPrompt, maxPrompt), draw(minEvents, maxEvents)
		alone := l.Engine.PrefillTime(int(prompt)).Seconds()
		target := min(maxTarget, max(minTarget, alone*draw(minSlack, maxSlack)))
		c := Class{
			Name: "kind-" + strconv.Itoa(i+1), Tokens: LogNormal{Mean: prompt, Sigma: 0.6, Max: 4 * prompt}, Events: LogNormal{Mean: events, Sigma: 0.6, Max: 3 * events},
			Target: seconds(target), Gap: seconds(draw(minPause, maxPause)), InTimeValue: 1 + prompt/tokensPerValue,
		}
		c.CallerTimeout = max(minPatience, patience*c.Target)
		c.LateValue = lateShare * c.InTimeValue
		l.Classes = append(l.Classes, c)
		high[i] = i%2 == 0
		shares[i] = 0.5 + random.Float64()
		sum += shares[i]
	}
	for i := range l.Classes {
		l.Classes[i].Rate = mixedLoad * mixedEngines * shares[i] / sum / work(&l.Engine, l.Classes[i])
	}
	for until := waveLength; until <= l.Length; until += waveLength {
		p := Phase{Until: until}
		for i := range high {
			factor := lowFactor
			if high[i] {
				factor = highFactor
			}
			high[i] = !high[i]
			p.Factors = append(p.Factors, factor)
		}
		l.Phases = append(l.Phases, p)
	}
	return l
}

// work returns the time of an engine that a mean request takes, in seconds: its prefill,
// and its share of the passes in which the engine decodes as many requests as it has slots.
func work(e *predictor.Engine, c Class) float64 {
	pass := e.DecodeTime(e.Slots, e.Slots*int(c.Tokens.Mean)).Seconds()
	return e.PrefillTime(int(c.Tokens.Mean)).Seconds() + c.Events.Mean*pass/float64(e.Slots)
}
