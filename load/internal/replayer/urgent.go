package replayer

import "time"

// Urgent returns a load of three ranks over many entries: a burst of urgent short prompts
// in the middle of a wave of the largest prompts, which are the least urgent and have the
// longest target.
func Urgent() Load {
	engine := defaultEngine()
	engine.Slots, engine.StepsPerPass, engine.Capacity = 12, 52, 382_500
	return Load{
		Engines: 30, Entries: 26, UpdateDelay: 40 * time.Millisecond, Engine: engine, Length: 20 * time.Second,
		Classes: []Class{
			{Name: "urgent", Rank: 0, Rate: 40, Tokens: LogNormal{Mean: 4_960, Sigma: 0.9, Max: 23_800}, Events: LogNormal{Mean: 33, Sigma: 0.7, Max: 82},
				Target: 250 * time.Millisecond, Gap: 200 * time.Millisecond, CallerTimeout: 10 * time.Second, InTimeValue: 1.9, LateValue: 0.19},
			{Name: "reports", Rank: 1, Rate: 6, Tokens: LogNormal{Mean: 45_000, Sigma: 0.5, Max: 110_000}, Events: LogNormal{Mean: 20, Sigma: 0.6, Max: 50},
				Target: 1500 * time.Millisecond, Gap: 500 * time.Millisecond, CallerTimeout: 10 * time.Second, InTimeValue: 1.9, LateValue: 0.48},
			{Name: "archives", Rank: 2, Rate: 1.1, Tokens: LogNormal{Mean: 300_000, Sigma: 0.55, Max: 1_000_000}, Events: LogNormal{Mean: 16.5, Sigma: 0.5, Max: 41},
				Target: 8 * time.Second, Gap: 800 * time.Millisecond, CallerTimeout: 15 * time.Second, InTimeValue: 11, LateValue: 4.1},
		},
		Phases: []Phase{
			{Until: 3 * time.Second, Factors: []float64{1, 1, 1}},
			{Until: 7 * time.Second, Factors: []float64{0.5, 1, 3.5}},
			{Until: 12 * time.Second, Factors: []float64{3, 2.5, 1}},
			{Until: time.Hour, Factors: []float64{1, 1, 1}},
		},
	}
}
