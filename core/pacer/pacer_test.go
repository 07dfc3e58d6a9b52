package pacer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEvery(t *testing.T) {
	quiet := Sample{Duration: 10 * time.Second, ControlBytes: 15_000, Heartbeats: 100, HeartbeatBytes: 15_000}
	busy := Sample{Duration: 10 * time.Second, ControlBytes: 35_000, Heartbeats: 100, HeartbeatBytes: 15_000}
	flooded := Sample{Duration: 10 * time.Second, ControlBytes: 1_000_000, Heartbeats: 100, HeartbeatBytes: 15_000}
	for name, test := range map[string]struct {
		samples []Sample
		heard   int
		want    time.Duration
	}{
		"nobody is heard":                  {nil, 0, 0},
		"before any sample":                {nil, 100, 6 * time.Second},                  // 100 x 180 / 3000
		"few":                              {[]Sample{quiet}, 5, 250 * time.Millisecond}, // 5 x 150 / 3000
		"many":                             {[]Sample{quiet}, 140, 7 * time.Second},
		"beside other traffic":             {[]Sample{busy}, 140, 21 * time.Second}, // 140 x 150 / 1000
		"a quarter is left to heartbeats":  {[]Sample{flooded}, 140, 28 * time.Second},
		"never further apart":              {[]Sample{flooded}, 4000, MaxInterval},
		"no span says nothing":             {[]Sample{{ControlBytes: 1 << 40}}, 100, 6 * time.Second},
		"calls alone, four times the size": {[]Sample{{Duration: 10 * time.Second, ControlBytes: 60_000, Heartbeats: 100, HeartbeatBytes: 60_000}}, 100, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New(Config{})
			for _, s := range test.samples {
				p.Record(s)
			}
			is.Equal(p.Interval(test.heard).Round(time.Millisecond), test.want)
		})
	}
}

// TestBudgetIsKept follows an entry whose heartbeats come as it says, for
// several sizes and loads of other traffic.
func TestBudgetIsKept(t *testing.T) {
	const beat, budget = 170.0, 3000
	for name, test := range map[string]struct {
		heard int
		other float64 // bytes a second
	}{
		"20 heard":              {20, 300},
		"141 heard":             {141, 630},
		"141 heard and changes": {141, 2130},
		"300 heard":             {300, 900},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{Budget: budget})
			const span = 10.0
			total := 0.0
			for range 30 {
				beats := span * float64(test.heard) / p.Interval(test.heard).Seconds()
				total = test.other + beats*beat/span
				p.Record(Sample{Duration: span * time.Second, ControlBytes: int64(total * span), Heartbeats: int64(beats), HeartbeatBytes: int64(beats * beat)})
			}
			if total > budget*1.02 {
				t.Errorf("%.0f bytes a second, budget %d", total, budget)
			}
		})
	}
}
