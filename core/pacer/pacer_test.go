package pacer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestInterval checks the interval for several numbers of servers and samples.
func TestInterval(t *testing.T) {
	quiet := Sample{Duration: 10 * time.Second, ControlBytes: 15_000, Heartbeats: 100, HeartbeatBytes: 15_000}
	busy := Sample{Duration: 10 * time.Second, ControlBytes: 35_000, Heartbeats: 100, HeartbeatBytes: 15_000}
	flooded := Sample{Duration: 10 * time.Second, ControlBytes: 1_000_000, Heartbeats: 100, HeartbeatBytes: 15_000}
	for name, test := range map[string]struct {
		samples []Sample
		servers int
		want    time.Duration
	}{
		"no servers":                         {nil, 0, 0},
		"before any sample":                  {nil, 100, 6 * time.Second},                  // 100 x 180 / 3000
		"few":                                {[]Sample{quiet}, 5, 250 * time.Millisecond}, // 5 x 150 / 3000
		"many":                               {[]Sample{quiet}, 140, 7 * time.Second},
		"with other traffic":                 {[]Sample{busy}, 140, 21 * time.Second}, // 140 x 150 / 1000
		"a quarter stays for heartbeats":     {[]Sample{flooded}, 140, 28 * time.Second},
		"at most MaxInterval":                {[]Sample{flooded}, 4000, MaxInterval},
		"sample without duration is ignored": {[]Sample{{ControlBytes: 1 << 40}}, 100, 6 * time.Second},
		"heartbeats as calls, four times the size": {[]Sample{{Duration: 10 * time.Second, ControlBytes: 60_000, Heartbeats: 100, HeartbeatBytes: 60_000}}, 100, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New(Config{})
			for _, s := range test.samples {
				p.Record(s)
			}
			is.Equal(p.Interval(test.servers).Round(time.Millisecond), test.want)
		})
	}
}

// TestBudgetIsKept simulates an entry whose heartbeats follow the computed
// interval, and checks that its control traffic converges to the budget, for
// several numbers of servers and rates of other traffic.
func TestBudgetIsKept(t *testing.T) {
	const heartbeatBytes, budget = 170.0, 3000
	for name, test := range map[string]struct {
		servers int
		other   float64 // bytes/s
	}{
		"20 servers":              {20, 300},
		"141 servers":             {141, 630},
		"141 servers and changes": {141, 2130},
		"300 servers":             {300, 900},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{Budget: budget})
			const span = 10.0
			total := 0.0
			for range 30 {
				heartbeats := span * float64(test.servers) / p.Interval(test.servers).Seconds()
				total = test.other + heartbeats*heartbeatBytes/span
				p.Record(Sample{Duration: span * time.Second, ControlBytes: int64(total * span), Heartbeats: int64(heartbeats), HeartbeatBytes: int64(heartbeats * heartbeatBytes)})
			}
			if total > budget*1.02 {
				t.Errorf("%.0f bytes/s exceed the budget of %d", total, budget)
			}
		})
	}
}
