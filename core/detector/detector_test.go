package detector_test

import (
	"testing"
	"time"

	"bamboohill/core/detector"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

func TestExamine(t *testing.T) {
	server := &viewer.Server{ID: "i-1", StartMillis: 7}
	restarted := &viewer.Server{ID: "i-1", StartMillis: 9}
	tests := map[string]struct {
		refused time.Duration // when it refused a connection; 0 if never
		list    *viewer.Server
		at      time.Duration
		want    detector.Evidence // "" for no verdict
	}{
		"answer lost, server alive":     {list: server, at: time.Second},
		"connection refused":            {refused: time.Second, list: server, at: time.Second, want: detector.Refused},
		"connection refused much later": {refused: 5 * time.Second, list: server, at: 5 * time.Second},
		"registration expired":          {at: 4 * time.Second, want: detector.Expired},
		"restarted":                     {list: restarted, at: 4 * time.Second, want: detector.Restarted},
		"no crash within the retention": {list: server, at: 20 * time.Second, want: detector.Unconfirmed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := detector.New()
			start := time.Unix(1000, 0)
			b := detector.Break{Attempt: "a", Fingerprint: "f", Server: "i-1", StartMillis: 7, At: start}
			d.RecordBreak(b)
			if test.refused > 0 {
				d.RecordRefused("i-1", start.Add(test.refused))
			}
			servers := map[viewer.ServerID]*viewer.Server{}
			if test.list != nil {
				servers["i-1"] = test.list
			}
			verdicts := d.Examine(servers, start.Add(test.at))
			is.Equal(len(verdicts) == 1, test.want != "")
			for _, v := range verdicts {
				is.Equal(v, detector.Verdict{Break: b, Evidence: test.want, Age: test.at})
				is.Equal(v.Crashed(), test.want != detector.Unconfirmed)
			}
			is.Equal(len(d.Examine(nil, start.Add(test.at))) == 0, test.want != "") // one verdict for each break
		})
	}
}

// TestMaxBroken checks that the oldest broken sends are dropped beyond the limit,
// each with a verdict.
func TestMaxBroken(t *testing.T) {
	is := is.New(t)
	d := detector.New()
	now := time.Unix(1000, 0)
	for range 5000 {
		d.RecordBreak(detector.Break{Fingerprint: "f", Server: "i-1", At: now})
	}
	count := map[detector.Evidence]int{}
	for _, v := range d.Examine(nil, now) {
		count[v.Evidence]++
	}
	is.Equal(count[detector.Expired], 4096)
	is.Equal(count[detector.Overflow], 5000-4096)
}
