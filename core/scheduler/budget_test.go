package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Parameters of the tests of the load rate.
const (
	trialRate  = 1.0 // loads/s
	trialBurst = 2.0
	trialLead  = 500 * time.Millisecond // maximum by which a sidecar's clock is ahead
)

// call is one call of Take by a sidecar.
type call struct {
	Sidecar int
	Wait    int // ms since the call before
}

// maxExcess returns the maximum, over all intervals of time, of the loads above
// the rate; it is at most 0 if the rate was kept. Tables holds one table for the
// fleet, or one for each sidecar.
func maxExcess(t *rapid.T, sidecars int, leads []int, calls []call, tables []*memory) float64 {
	now := time.Unix(1_000_000, 0)
	var loads []time.Time
	worst := 0.0
	for _, c := range calls {
		now = now.Add(time.Duration(c.Wait) * time.Millisecond)
		s := c.Sidecar % sidecars
		clock := now.Add(time.Duration(leads[s]) * time.Millisecond)
		taken, err := LoadBudget{
			Table: tables[s%len(tables)], Rate: trialRate, Burst: trialBurst, Now: func() time.Time { return clock },
		}.Take(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if taken {
			loads = append(loads, now)
		}
	}
	for i := range loads {
		for j := i; j < len(loads); j++ {
			window := loads[j].Sub(loads[i]) + trialLead
			worst = max(worst, float64(j-i+1)-trialBurst-trialRate*window.Seconds())
		}
	}
	return worst
}

// excess draws sidecars and calls and returns the loads above the rate, with one
// budget for the fleet or, if each is set, one for each sidecar.
func excess(t *rapid.T, each bool) float64 {
	sidecars := rapid.IntRange(2, 8).Draw(t, "sidecars")
	leads := rapid.SliceOfN(rapid.IntRange(0, int(trialLead.Milliseconds())), sidecars, sidecars).Draw(t, "leads")
	calls := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) call {
		return call{rapid.IntRange(0, 7).Draw(t, "sidecar"), rapid.IntRange(0, 300).Draw(t, "wait")}
	}), 1, 60).Draw(t, "calls")
	tables := []*memory{newMemory()}
	for each && len(tables) < sidecars {
		tables = append(tables, newMemory())
	}
	return maxExcess(t, sidecars, leads, calls, tables)
}

// TestRate checks that sidecars with different clocks keep the rate of the fleet
// together, whenever they call Take.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if worst := excess(t, false); worst > 1e-9 {
			t.Fatalf("%.2f loads above the rate", worst)
		}
	})
}

// TestRateEach checks that a separate budget for each sidecar does not keep the
// rate; TestRate would detect it.
func TestRateEach(t *testing.T) {
	over := rapid.Custom(func(t *rapid.T) float64 { return excess(t, true) })
	worst := 0.0
	for seed := range 50 {
		worst = max(worst, over.Example(seed))
	}
	is.New(t).True(worst > 1)
}
