package detector_test

import (
	"testing"
	"time"

	"bamboohill/core/detector"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

func TestConfirmed(t *testing.T) {
	server := &viewer.Server{ID: "i-1", StartMillis: 7}
	restarted := &viewer.Server{ID: "i-1", StartMillis: 9}
	tests := map[string]struct {
		refused time.Duration // when it refused a connection; 0 if never
		list    *viewer.Server
		at      time.Duration
		want    int
	}{
		"answer lost, server alive":     {list: server, at: time.Second},
		"connection refused":            {refused: time.Second, list: server, at: time.Second, want: 1},
		"connection refused much later": {refused: 5 * time.Second, list: server, at: 5 * time.Second},
		"registration expired":          {at: 4 * time.Second, want: 1},
		"restarted":                     {list: restarted, at: 4 * time.Second, want: 1},
		"no crash within the retention": {list: server, at: 20 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := detector.New()
			start := time.Unix(1000, 0)
			d.RecordBroken(server, "f", start)
			if test.refused > 0 {
				d.RecordRefused("i-1", start.Add(test.refused))
			}
			servers := map[viewer.ServerID]*viewer.Server{}
			if test.list != nil {
				servers["i-1"] = test.list
			}
			crashes := d.Confirmed(servers, start.Add(test.at))
			is.Equal(len(crashes), test.want)
			for _, c := range crashes {
				is.Equal(c, detector.Crash{Fingerprint: "f", Server: "i-1", StartMillis: 7, Age: test.at})
			}
			is.Equal(len(d.Confirmed(nil, start.Add(test.at))), boolTo(test.want == 0 && test.at <= 10*time.Second)) // reported once, or dropped
		})
	}
}

func boolTo(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestMaxBroken checks that the oldest broken requests are dropped beyond the limit.
func TestMaxBroken(t *testing.T) {
	is := is.New(t)
	d := detector.New()
	now := time.Unix(1000, 0)
	for range 5000 {
		d.RecordBroken(&viewer.Server{ID: "i-1"}, "f", now)
	}
	is.Equal(len(d.Confirmed(nil, now)), 4096)
}
