package replayer

import (
	"math"
	"time"

	"bamboohill/core/predictor"
)

// Factors on the mean rates in a wave, and what is left of the other kind.
const (
	shortWave, largeWave = 2.5, 2.8
	shortRest, largeRest = 0.35, 0.05
	middleRest           = 0.5
)

// KindWaves returns waves of short prompts that alternate with waves of the largest over
// few entries, with scale times the usual rates.
func KindWaves(scale float64) Load {
	l := Waves()
	for i := range l.Classes {
		l.Classes[i].Rate *= scale
	}
	return l.alternating()
}

// KindWavesWide returns alternating waves over eleven entries and engines that prefill
// slowly: one of the largest prompts takes the time of ten engines. All ranks are equal.
func KindWavesWide(scale float64) Load {
	l := Load{
		Engines: 54, Entries: 11, UpdateDelay: 30 * time.Millisecond,
		Engine: predictor.Engine{
			Slots: 12, Capacity: 405_000, StepsPerPass: 38, StepTime: 1310 * time.Microsecond, StepPerRequest: 917 * time.Nanosecond,
			StepPerKTokens: 2130 * time.Nanosecond, PrefillRate: 154_000, AttentionPerMPairs: 162 * time.Microsecond, ChunkTokens: 2048,
		},
		Classes: []Class{
			{Name: "short", Rate: 75.3 * scale, Tokens: LogNormal{Mean: 4_960, Sigma: 0.9, Max: 23_800}, Events: LogNormal{Mean: 35.7, Sigma: 0.7, Max: 89},
				Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, CallerTimeout: 10 * time.Second, InTimeValue: 1.3, LateValue: 0.34},
			{Name: "middle", Rate: 5.29 * scale, Tokens: LogNormal{Mean: 45_000, Sigma: 0.5, Max: 110_000}, Events: LogNormal{Mean: 21.4, Sigma: 0.6, Max: 53},
				Target: 1500 * time.Millisecond, Gap: 600 * time.Millisecond, CallerTimeout: 10 * time.Second, InTimeValue: 3.3, LateValue: 0.82},
			{Name: "large", Rate: 1.32 * scale, Tokens: LogNormal{Mean: 260_000, Sigma: 0.55, Max: 900_000}, Events: LogNormal{Mean: 17.8, Sigma: 0.5, Max: 45},
				Target: 4 * time.Second, Gap: time.Second, CallerTimeout: 15 * time.Second, InTimeValue: 34, LateValue: 8.6},
		},
	}
	return l.alternating()
}

// KindWavesMany returns alternating waves over 26 entries, in which the largest prompts
// are the least urgent.
func KindWavesMany(scale float64) Load {
	l := Urgent()
	l.Engines = 60
	for i, rate := range []float64{76.5, 12.2, 2.08} {
		l.Classes[i].Rate = rate * scale
	}
	return l.alternating()
}

// alternating sets the phases of a load of three classes: short, middle and large prompts.
func (l Load) alternating() Load {
	const wave, start, waves = 10 * time.Second, 2 * time.Second, 4
	l.Length, l.Phases = start+waves*wave, []Phase{{Until: start, Factors: []float64{1, 1, 1}}}
	for at := start; at < l.Length; at += 2 * wave {
		l.Phases = append(l.Phases,
			Phase{Until: at + wave, Factors: []float64{shortWave, middleRest, largeRest}},
			Phase{Until: at + 2*wave, Factors: []float64{shortRest, middleRest, largeWave}})
	}
	l.Phases = append(l.Phases, Phase{Until: math.MaxInt64, Factors: []float64{1, 1, 1}})
	return l
}
