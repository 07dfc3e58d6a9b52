package partitioner_test

import (
	"testing"
	"time"

	"bamboohill/core/partitioner"

	"github.com/matryer/is"
)

// TestDivider checks the number of cells over phases of numbers of engines before 103 entries.
func TestDivider(t *testing.T) {
	type phase struct {
		length        time.Duration
		engines, want int // cells, at all times of the phase after the first 15 s if settles
		settles       bool
	}
	tests := map[string][]phase{
		"start":            {{time.Second, 0, 1, false}, {time.Second, 30, 1, false}, {time.Minute, 112, 2, false}},
		"rolling change":   {{10 * time.Second, 112, 2, false}, {9 * time.Second, 153, 2, false}, {time.Minute, 112, 2, false}},
		"again and again":  {{10 * time.Second, 112, 2, false}, {14 * time.Second, 153, 2, false}, {time.Second, 112, 2, false}, {14 * time.Second, 153, 2, false}, {time.Second, 60, 2, false}, {14 * time.Second, 140, 2, false}},
		"more for good":    {{10 * time.Second, 112, 2, false}, {time.Minute, 300, 4, true}},
		"lost for good":    {{10 * time.Second, 112, 2, false}, {time.Minute, 40, 1, true}},
		"lost for a while": {{10 * time.Second, 112, 2, false}, {12 * time.Second, 40, 2, false}, {time.Minute, 112, 2, false}},
	}
	for name, phases := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d partitioner.Divider
			now := time.Unix(0, 0)
			for _, p := range phases {
				for began := now; now.Sub(began) < p.length; now = now.Add(100 * time.Millisecond) {
					got := d.Divide(103, p.engines, now)
					if !p.settles || now.Sub(began) >= 15*time.Second {
						is.Equal(got, p.want)
					} else {
						is.Equal(got, phases[0].want)
					}
				}
			}
		})
	}
}
