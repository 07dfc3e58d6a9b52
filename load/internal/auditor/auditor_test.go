package auditor

import (
	"testing"

	"bamboohill/load/internal/caller"

	"github.com/matryer/is"
)

func TestCompare(t *testing.T) {
	answered := func(body string) caller.Result { return caller.Result{Outcome: caller.Answered, Body: []byte(body)} }
	refused, unknown := caller.Result{Outcome: caller.NotRun}, caller.Result{Outcome: caller.Unknown}
	cases := map[string]struct {
		tries []caller.Result
		runs  int
		want  Audit
	}{
		"answered once":           {[]caller.Result{answered("a")}, 1, Audit{Keys: 1}},
		"replayed":                {[]caller.Result{answered("a"), answered("a")}, 1, Audit{Keys: 1}},
		"refused, then answered":  {[]caller.Result{refused, answered("a")}, 1, Audit{Keys: 1}},
		"unknown and run":         {[]caller.Result{unknown}, 1, Audit{Keys: 1}},
		"run twice":               {[]caller.Result{unknown, unknown}, 2, Audit{Keys: 1, RunTwice: 1}},
		"not run, but it ran":     {[]caller.Result{refused, refused}, 1, Audit{Keys: 1, RefusedButRun: 1}},
		"answered, but never ran": {[]caller.Result{answered("a")}, 0, Audit{Keys: 1, AnsweredNotRun: 1}},
		"two answers":             {[]caller.Result{answered("a"), answered("b")}, 1, Audit{Keys: 1, ConflictingAnswers: 1}},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Compare(map[string][]caller.Result{"b": k.tries}, map[string]int{"b": k.runs}), k.want)
		})
	}
}
