package reporter

import (
	"testing"
	"time"

	"bamboohill/wire"

	"github.com/matryer/is"
)

// steps lets a plan look each half second for a while and returns what it asked
// for at each look.
func steps(p *plan, start time.Time, span time.Duration, at func(time.Duration) look) []todo {
	var all []todo
	for d := time.Duration(0); d < span; d += 500 * time.Millisecond {
		l := at(d)
		l.now = start.Add(d)
		l.jitter = 0.5
		all = append(all, p.next(l))
	}
	return all
}

func TestPlan(t *testing.T) {
	picked := []string{"a", "b", "c", "d"}
	type wanted struct{ whole, bare, saved int }
	for name, test := range map[string]struct {
		at   func(time.Duration) look
		want wanted
	}{
		"at the floor": {func(time.Duration) look { return look{every: 500 * time.Millisecond, picked: picked} }, wanted{whole: 200}},
		"20 s apart":   {func(time.Duration) look { return look{every: 20 * time.Second, picked: picked} }, wanted{whole: 5}},
		"all told": {func(time.Duration) look {
			return look{every: 10 * time.Second, picked: picked, told: picked}
		}, wanted{whole: 3, saved: 28}}, // every third of ten
		"one told": {func(time.Duration) look {
			return look{every: 10 * time.Second, picked: picked, told: picked[:1]}
		}, wanted{whole: 3, bare: 7, saved: 7}},
		"one state change": {func(d time.Duration) look {
			l := look{every: 50 * time.Second, picked: picked}
			if d > 20*time.Second {
				l.essence = "leaving"
			}
			return l
		}, wanted{whole: 3}}, // at 0, 20.5 and 70.5 s
		"flapping at each look": {func(d time.Duration) look {
			l := look{every: 20 * time.Second, picked: picked}
			if d%time.Second == 0 {
				l.essence = "down"
			}
			return l
		}, wanted{whole: 10}}, // five ahead of time, then at the pace
		"one fails": {func(time.Duration) look {
			return look{every: 50 * time.Second, picked: picked, failing: picked[:1]}
		}, wanted{whole: 2, bare: 98}}, // asked each second, by itself
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &plan{floor: 500 * time.Millisecond}
			got := wanted{}
			for _, d := range steps(p, time.Unix(1000, 0), 100*time.Second, test.at) {
				switch {
				case d.whole:
					got.whole++
				case len(d.to) > 0:
					got.bare++
				}
				got.saved += d.saved
			}
			is.Equal(got, test.want)
		})
	}
}

func TestEssence(t *testing.T) {
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
			if same := essenceOf(r) == essenceOf(base()); same != test.same {
				t.Errorf("same = %v, want %v", same, test.same)
			}
		})
	}
}
