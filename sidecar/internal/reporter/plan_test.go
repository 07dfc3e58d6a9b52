package reporter

import (
	"testing"
	"time"

	"bamboohill/wire"

	"github.com/matryer/is"
)

// steps calls next of a plan every half second for a duration and returns all
// its actions.
func steps(p *plan, start time.Time, duration time.Duration, at func(time.Duration) snapshot) []action {
	var all []action
	for d := time.Duration(0); d < duration; d += 500 * time.Millisecond {
		s := at(d)
		s.now = start.Add(d)
		s.jitter = 0.5
		all = append(all, p.next(s))
	}
	return all
}

func TestPlan(t *testing.T) {
	selected := []string{"a", "b", "c", "d"}
	type counts struct{ full, partial, skipped int }
	for name, test := range map[string]struct {
		at   func(time.Duration) snapshot
		want counts
	}{
		"shortest interval": {func(time.Duration) snapshot { return snapshot{interval: 500 * time.Millisecond, selected: selected} }, counts{full: 200}},
		"20 s interval":     {func(time.Duration) snapshot { return snapshot{interval: 20 * time.Second, selected: selected} }, counts{full: 5}},
		"all informed": {func(time.Duration) snapshot {
			return snapshot{interval: 10 * time.Second, selected: selected, informed: selected}
		}, counts{full: 3, skipped: 28}}, // every third of ten rounds is full
		"one informed": {func(time.Duration) snapshot {
			return snapshot{interval: 10 * time.Second, selected: selected, informed: selected[:1]}
		}, counts{full: 3, partial: 7, skipped: 7}},
		"one state change": {func(d time.Duration) snapshot {
			s := snapshot{interval: 50 * time.Second, selected: selected}
			if d > 20*time.Second {
				s.availability = "leaving"
			}
			return s
		}, counts{full: 3}}, // at 0, 20.5 and 70.5 s
		"state changes at each step": {func(d time.Duration) snapshot {
			s := snapshot{interval: 20 * time.Second, selected: selected}
			if d%time.Second == 0 {
				s.availability = "down"
			}
			return s
		}, counts{full: 10}}, // five before their time, then one per interval
		"one fails": {func(time.Duration) snapshot {
			return snapshot{interval: 50 * time.Second, selected: selected, failing: selected[:1]}
		}, counts{full: 2, partial: 98}}, // the failing one alone is retried each second
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &plan{minInterval: 500 * time.Millisecond}
			got := counts{}
			for _, a := range steps(p, time.Unix(1000, 0), 100*time.Second, test.at) {
				switch {
				case a.full:
					got.full++
				case len(a.to) > 0:
					got.partial++
				}
				got.skipped += a.skipped
			}
			is.Equal(got, test.want)
		})
	}
}

func TestAvailability(t *testing.T) {
	base := func() *wire.Report {
		return &wire.Report{State: wire.State_STATE_OPEN, Role: "both", Offers: []*wire.Offer{{Model: "base", Version: "1"}}}
	}
	for name, test := range map[string]struct {
		change func(*wire.Report)
		same   bool
	}{
		"serial number and load": {func(r *wire.Report) { r.Serial, r.Running, r.Free, r.Sequence = 9, 9, 9, 9 }, true},
		"state":                  {func(r *wire.Report) { r.State = wire.State_STATE_LEAVING }, false},
		"cold":                   {func(r *wire.Report) { r.Cold = true }, false},
		"model":                  {func(r *wire.Report) { r.Offers = nil }, false},
		"adapter":                {func(r *wire.Report) { r.Offers[0].Adapters = []string{"x"} }, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := base()
			test.change(r)
			if same := availabilityOf(r) == availabilityOf(base()); same != test.same {
				t.Errorf("same = %v, want %v", same, test.same)
			}
		})
	}
}
