package assigner_test

import (
	"testing"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/loadtracker"

	"github.com/matryer/is"
)

// TestOwnDomain checks which of the engines a to d a short prompt gets, if c and d are in
// the own failure domain and a and b come first in the entry's order.
func TestOwnDomain(t *testing.T) {
	idle, full := loadtracker.Load{}, decoding(16)
	tests := map[string]struct {
		policy assigner.CostBased
		loads  []loadtracker.Load
		own    bool
	}{
		"own domain is idle":          {loads: []loadtracker.Load{idle, idle, idle, idle}, own: true},
		"all decode alike":            {loads: []loadtracker.Load{decoding(4), decoding(4), decoding(4), decoding(4)}, own: true},
		"own domain is full":          {loads: []loadtracker.Load{decoding(4), decoding(4), full, full}},
		"own domain prefills":         {loads: []loadtracker.Load{decoding(4), decoding(4), prefilling(time.Second), prefilling(time.Second)}},
		"own domain is half as empty": {loads: []loadtracker.Load{decoding(4), decoding(4), decoding(12), decoding(12)}},
		"switched off":                {policy: assigner.CostBased{Disabled: assigner.OwnDomain}, loads: []loadtracker.Load{idle, idle, idle, idle}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := candidates(test.loads...)
			for i := range all {
				all[i].EntryRank, all[i].Remote = float64(i)/4, i < 2
			}
			plan, _ := test.policy.Choose(short(), all)
			is.New(t).Equal(plan.Server >= "c", test.own)
		})
	}
}
