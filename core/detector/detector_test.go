package detector_test

import (
	"testing"
	"time"

	"bamboohill/core/detector"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

func TestExamine(t *testing.T) {
	start := time.Unix(1000, 0)
	server := func(id viewer.ServerID, startMillis int64, observed time.Duration) *viewer.Server {
		return &viewer.Server{ID: id, StartMillis: startMillis, Observed: start.Add(observed)}
	}
	first, helper := detector.Run{Server: "i-1", StartMillis: 7}, detector.Run{Server: "i-2", StartMillis: 8}
	tests := map[string]struct {
		helped   bool          // the request had a helper, i-2
		ended    bool          // the caller left
		refused  time.Duration // when i-1 refused a connection; 0 if never
		answered time.Duration // when i-1 last sent a part of an answer; 0 if never
		list     []*viewer.Server
		at       time.Duration
		want     detector.Evidence // "" for no verdict
		crashed  detector.Run
	}{
		"no evidence yet":                  {list: []*viewer.Server{server("i-1", 7, 0)}, at: time.Second},
		"connection refused":               {refused: time.Second, list: []*viewer.Server{server("i-1", 7, 0)}, at: time.Second, want: detector.Refused, crashed: first},
		"connection refused much later":    {refused: 5 * time.Second, list: []*viewer.Server{server("i-1", 7, 0)}, at: 5 * time.Second},
		"registration expired":             {at: 4 * time.Second, want: detector.Expired, crashed: first},
		"restarted":                        {list: []*viewer.Server{server("i-1", 9, 4*time.Second)}, at: 4 * time.Second, want: detector.Restarted, crashed: first},
		"registration renewed, then gone":  {list: []*viewer.Server{server("i-1", 7, 3*time.Second)}, at: 3 * time.Second, want: detector.Alive},
		"renewal under way at the break":   {list: []*viewer.Server{server("i-1", 7, time.Second)}, at: 3 * time.Second},
		"answers others, then refuses":     {answered: time.Second, refused: 1500 * time.Millisecond, at: 2 * time.Second, want: detector.Alive},
		"answer under way at the break":    {answered: 100 * time.Millisecond, at: 4 * time.Second, want: detector.Expired, crashed: first},
		"answers, then caller leaves":      {ended: true, answered: -50 * time.Millisecond, at: 4 * time.Second, want: detector.Alive},
		"answers, then connection breaks":  {answered: -50 * time.Millisecond, at: 4 * time.Second, want: detector.Expired, crashed: first},
		"silent, then caller leaves":       {ended: true, answered: -time.Second, at: 4 * time.Second, want: detector.Expired, crashed: first},
		"list not renewed for 20 s":        {list: []*viewer.Server{server("i-1", 7, 0)}, at: 20 * time.Second},
		"list not renewed, retention over": {list: []*viewer.Server{server("i-1", 7, 0)}, at: 40 * time.Second, want: detector.Unconfirmed},
		"helper expired":                   {helped: true, list: []*viewer.Server{server("i-1", 7, 3*time.Second)}, at: 4 * time.Second, want: detector.Expired, crashed: helper},
		"helper alive, server expired":     {helped: true, list: []*viewer.Server{server("i-2", 8, 3*time.Second)}, at: 4 * time.Second, want: detector.Expired, crashed: first},
		"helper without evidence":          {helped: true, list: []*viewer.Server{server("i-1", 7, 3*time.Second), server("i-2", 8, 0)}, at: 4 * time.Second},
		"server and helper alive": {helped: true, list: []*viewer.Server{server("i-1", 7, 3*time.Second), server("i-2", 8, 3*time.Second)},
			at: 4 * time.Second, want: detector.Alive},
		"server and helper expired are one crash": {helped: true, at: 4 * time.Second, want: detector.Expired, crashed: first},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := detector.New()
			b := detector.Break{Attempt: "a", Fingerprint: "f", Runs: []detector.Run{first}, At: start, Ended: test.ended}
			if test.helped {
				b.Runs = append(b.Runs, helper)
			}
			d.RecordBreak(b)
			if test.refused > 0 {
				d.RecordRefused("i-1", start.Add(test.refused))
			}
			o := detector.Observations{Servers: map[viewer.ServerID]*viewer.Server{}, AnsweredSince: func(id viewer.ServerID, at time.Time) bool {
				return id == "i-1" && test.answered != 0 && start.Add(test.answered).After(at)
			}}
			for _, s := range test.list {
				o.Servers[s.ID] = s
			}
			verdicts := d.Examine(o, start.Add(test.at))
			is.Equal(len(verdicts) == 1, test.want != "")
			for _, v := range verdicts {
				is.Equal(v, detector.Verdict{Break: b, Evidence: test.want, Crashed: test.crashed, Age: test.at})
				is.Equal(v.Confirmed(), test.crashed != detector.Run{})
			}
			o.Servers, o.AnsweredSince = nil, never
			is.Equal(len(d.Examine(o, start.Add(test.at))) == 0, test.want != "") // one verdict for each break
		})
	}
}

func never(viewer.ServerID, time.Time) bool { return false }

// TestRunning examines a send that is under way: it must be reported once if its
// server has ended, and not while the server lives, though it may be off the list.
func TestRunning(t *testing.T) {
	start := time.Unix(1000, 0)
	run := detector.Run{Server: "i-1", StartMillis: 7}
	list := func(startMillis int64) map[viewer.ServerID]*viewer.Server {
		return map[viewer.ServerID]*viewer.Server{"i-1": {ID: "i-1", StartMillis: startMillis}}
	}
	tests := map[string]struct {
		servers  map[viewer.ServerID]*viewer.Server
		refused  time.Duration // before the examination; 0 if never
		answered time.Duration // before the examination; 0 if never
		want     detector.Evidence
	}{
		"on the list":               {servers: list(7)},
		"expired":                   {want: detector.Expired},
		"expired, still answers":    {answered: 100 * time.Millisecond},
		"expired, was answering":    {answered: 2 * time.Second, want: detector.Expired},
		"restarted":                 {servers: list(8), want: detector.Restarted},
		"refuses":                   {servers: list(7), refused: time.Second, want: detector.Refused},
		"refuses, still answers":    {servers: list(7), refused: time.Second, answered: 100 * time.Millisecond},
		"refused long ago, is back": {servers: list(7), refused: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := detector.New()
			r := &detector.Running{Attempt: "a", Fingerprint: func() string { return "f" }, Runs: []detector.Run{run}}
			d.RecordStart(r)
			if test.refused > 0 {
				d.RecordRefused("i-1", start.Add(-test.refused))
			}
			o := detector.Observations{Servers: test.servers, AnsweredSince: func(_ viewer.ServerID, at time.Time) bool {
				return test.answered > 0 && start.Add(-test.answered).After(at)
			}}
			verdicts := d.Examine(o, start)
			is.Equal(len(verdicts) == 1, test.want != "")
			for _, v := range verdicts {
				is.Equal(v.Crashed, run)
				is.Equal(v.Evidence, test.want)
				is.Equal(v.Fingerprint, "f")
			}
			is.Equal(len(d.Examine(o, start)), 0)
			is.Equal(d.RecordEnd(r), test.want == "") // the end needs no report if there was one
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
		d.RecordBreak(detector.Break{Fingerprint: "f", Runs: []detector.Run{{Server: "i-1"}}, At: now})
	}
	count := map[detector.Evidence]int{}
	for _, v := range d.Examine(detector.Observations{AnsweredSince: never}, now) {
		count[v.Evidence]++
	}
	is.Equal(count[detector.Expired], 4096)
	is.Equal(count[detector.Overflow], 5000-4096)
}

func TestBeginProbe(t *testing.T) {
	is := is.New(t)
	d := detector.New()
	now := time.Unix(1000, 0)
	is.True(d.BeginProbe("i-1", now))
	is.True(!d.BeginProbe("i-1", now.Add(100*time.Millisecond)))
	is.True(d.BeginProbe("i-2", now.Add(100*time.Millisecond)))
	is.True(d.BeginProbe("i-1", now.Add(time.Second)))
}
