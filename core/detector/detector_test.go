package detector_test

import (
	"testing"
	"time"

	"bamboohill/core/detector"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

func TestShown(t *testing.T) {
	server := &viewer.Server{ID: "i-1", StartMillis: 7}
	reborn := &viewer.Server{ID: "i-1", StartMillis: 9}
	tests := map[string]struct {
		refused time.Duration // when it refused a connection; 0 if never
		list    *viewer.Server
		at      time.Duration
		want    int
	}{
		"answer lost, the server lives": {list: server, at: time.Second},
		"it refuses connections":        {refused: time.Second, list: server, at: time.Second, want: 1},
		"it refuses them much later":    {refused: 5 * time.Second, list: server, at: 5 * time.Second},
		"its registration expired":      {at: 4 * time.Second, want: 1},
		"it has started anew":           {list: reborn, at: 4 * time.Second, want: 1},
		"it started anew after long":    {list: server, at: 20 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := detector.New()
			start := time.Unix(1000, 0)
			a.RecordBroken(server, "f", start)
			if test.refused > 0 {
				a.RecordRefused("i-1", start.Add(test.refused))
			}
			servers := map[viewer.ServerID]*viewer.Server{}
			if test.list != nil {
				servers["i-1"] = test.list
			}
			dead := a.Confirmed(servers, start.Add(test.at))
			is.Equal(len(dead), test.want)
			for _, d := range dead {
				is.Equal(d, detector.Crash{Fingerprint: "f", Server: "i-1", StartMillis: 7, Age: test.at})
			}
			is.Equal(len(a.Confirmed(nil, start.Add(test.at))), boolTo(test.want == 0 && test.at <= 10*time.Second)) // named once, or forgotten
		})
	}
}

func boolTo(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestBound forgets the oldest beyond the bound.
func TestBound(t *testing.T) {
	is := is.New(t)
	a := detector.New()
	now := time.Unix(1000, 0)
	for range 5000 {
		a.RecordBroken(&viewer.Server{ID: "i-1"}, "f", now)
	}
	is.Equal(len(a.Confirmed(nil, now)), 4096)
}
