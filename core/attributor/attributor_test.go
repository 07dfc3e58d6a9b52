package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"bamboohill/core/attributor"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// crash is a crash of a server of its own, under requests with the given parts.
type crash struct {
	at    time.Duration
	parts []attributor.Part
}

// serve is a request with a part that was served.
type serve struct {
	began, at time.Duration
	part      attributor.Part
}

func none(attributor.Part) bool { return false }

func TestCulprits(t *testing.T) {
	parts := func(ids ...attributor.Part) []attributor.Part { return ids }
	const s, ms = time.Second, time.Millisecond
	tests := map[string]struct {
		serves  []serve
		crashes []crash
		blocked attributor.Part
		answers int // that the process has seen
		want    []attributor.Part
	}{
		"three crashes of a part never served":    {crashes: []crash{{10 * s, parts("x", "a")}, {11 * s, parts("x", "b")}, {12 * s, parts("x", "c")}}, want: parts("x")},
		"two crashes":                             {crashes: []crash{{10 * s, parts("x")}, {11 * s, parts("x")}}},
		"three crashes at one moment":             {crashes: []crash{{10 * s, parts("x")}, {10*s + 40*ms, parts("x")}, {10*s + 80*ms, parts("x")}}},
		"served since the first crash":            {serves: []serve{{10*s + 500*ms, 12 * s, "x"}}, crashes: []crash{{10 * s, parts("x")}, {11 * s, parts("x")}, {13 * s, parts("x")}}},
		"beside a common part":                    {serves: []serve{{9 * s, 10 * s, "sys"}}, crashes: []crash{{10 * s, parts("sys", "x")}, {11 * s, parts("sys", "x")}, {12 * s, parts("sys", "x")}}, want: parts("x")},
		"a common part, five crashes in a second": {serves: []serve{{9 * s, 10 * s, "sys"}}, crashes: []crash{{10 * s, parts("sys")}, {10200 * ms, parts("sys")}, {10400 * ms, parts("sys")}, {10600 * ms, parts("sys")}, {11 * s, parts("sys")}}},
		"a part that was served before":           {serves: []serve{{9 * s, 10 * s, "x"}}, crashes: []crash{{10 * s, parts("x")}, {10500 * ms, parts("x")}, {11 * s, parts("x")}, {11200 * ms, parts("x")}, {15100 * ms, parts("x")}}, want: parts("x")},
		"the part with more crashes explains":     {crashes: []crash{{9 * s, parts("x")}, {10 * s, parts("x", "y")}, {11 * s, parts("x", "y")}, {12 * s, parts("x", "y")}}, want: parts("x")},
		"crashes explained by a blocked part":     {blocked: "x", crashes: []crash{{10 * s, parts("x", "y")}, {11 * s, parts("x", "y")}, {12 * s, parts("x", "y")}}},
		"two that can't be told apart":            {crashes: []crash{{10 * s, parts("x", "y")}, {11 * s, parts("x", "y")}, {12 * s, parts("x", "y")}}, want: parts("x", "y")},
		"a process that has seen no answer":       {crashes: []crash{{10 * s, parts("x")}, {11 * s, parts("x")}, {12 * s, parts("x")}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := attributor.New()
			if name != "a process that has seen no answer" {
				test.answers = 10
			}
			for range test.answers {
				a.RecordAnswer([]attributor.Part{"other"}, start)
			}
			blocked := func(p attributor.Part) bool { return p == test.blocked }
			var got []attributor.Part
			for i, c := range test.crashes {
				now := start.Add(c.at)
				for _, v := range test.serves {
					if !start.Add(v.at).After(now) {
						a.RecordServed(v.part, start.Add(v.began))
					}
				}
				run := attributor.Run{Server: fmt.Sprint("i-", i), Boot: 1}
				a.RecordCrash(attributor.Crash{Run: run, At: now}, "r", c.parts, now)
				got = nil
				for _, culprit := range a.Culprits(run, blocked) {
					got = append(got, culprit.Part)
				}
			}
			is.Equal(got, test.want)
		})
	}
}

// TestReportsOfOneCrash checks that several reports of one crash count once, with the
// parts of all.
func TestReportsOfOneCrash(t *testing.T) {
	is := is.New(t)
	a := attributor.New()
	run := attributor.Run{Server: "i-1", Boot: 7}
	a.RecordCrash(attributor.Crash{Run: run, At: start}, "r1", []attributor.Part{"x"}, start)
	a.RecordCrash(attributor.Crash{Run: run, At: start.Add(-time.Millisecond)}, "r2", []attributor.Part{"x", "y"}, start)
	is.Equal(a.Against("x", none), []attributor.Crash{{Run: run, At: start.Add(-time.Millisecond)}})
	is.Equal(len(a.Against("y", none)), 1)
}

// TestBounds checks that neither crashes nor parts are kept without limit.
func TestBounds(t *testing.T) {
	is := is.New(t)
	a := attributor.New()
	for i := range 9_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		a.RecordCrash(attributor.Crash{Run: attributor.Run{Server: fmt.Sprint(i)}, At: now}, "r", []attributor.Part{"x"}, now)
		a.RecordServed(attributor.Part(fmt.Sprint(i)), now)
	}
	is.Equal(len(a.Against("x", none)), 1024)
	_, found := a.Served("0")
	is.True(!found)
	_, found = a.Served("8999")
	is.True(found)
}

// TestListsOfOneRequest checks that the parts of a request that come in several lists count
// once each, in whatever order and how often the lists come.
func TestListsOfOneRequest(t *testing.T) {
	is := is.New(t)
	a := attributor.New()
	crash := attributor.Crash{Run: attributor.Run{Server: "i-1"}, At: start}
	for range 3 {
		a.RecordCrash(crash, "r", []attributor.Part{"x", "y"}, start)
		a.RecordCrash(crash, "r", []attributor.Part{"z"}, start)
	}
	is.Equal(a.CountAgainst([]attributor.Part{"x", "y", "z", "other"}, none), []int{1, 1, 1, 0})
}

// TestPartBounds checks that the parts of prompts with very many of them are not kept without
// limit, and that the newest crash is.
func TestPartBounds(t *testing.T) {
	const prompt, bound = 4000, 32 << 10
	is := is.New(t)
	a := attributor.New()
	var last, all []attributor.Part
	for i := range 100 {
		last = nil
		for k := range prompt {
			last = append(last, attributor.Part(fmt.Sprint(i, "-", k)))
		}
		all = append(all, last...)
		now := start.Add(time.Duration(i) * time.Millisecond)
		a.RecordCrash(attributor.Crash{Run: attributor.Run{Server: fmt.Sprint(i)}, At: now}, "r", last, now)
	}
	held := 0
	for _, n := range a.CountAgainst(all, none) {
		held += n
	}
	t.Logf("%d parts are held", held)
	is.True(held <= bound)
	is.True(held > bound-prompt)
	is.Equal(a.CountAgainst(last[:1], none), []int{1})
}

// BenchmarkParts measures the check of a served prompt, and the search after a crash, after 64
// crashes under prompts of one session with many parts.
func BenchmarkParts(b *testing.B) {
	for _, count := range []int{16, 150, 1000, 2000} {
		a := attributor.New()
		var parts []attributor.Part
		for k := range count {
			parts = append(parts, attributor.Part(fmt.Sprint("part", k)))
		}
		for i := range 64 {
			at := start.Add(time.Duration(i) * 10 * time.Millisecond)
			a.RecordCrash(attributor.Crash{Run: attributor.Run{Server: fmt.Sprint(i)}, At: at}, fmt.Sprint("r", i), parts, at)
		}
		b.Run(fmt.Sprint("served/", count), func(b *testing.B) {
			for b.Loop() {
				a.CountAgainst(parts, none)
			}
		})
		b.Run(fmt.Sprint("culprits/", count), func(b *testing.B) {
			for b.Loop() {
				a.Culprits(attributor.Run{Server: "63"}, none)
			}
		})
	}
}

// BenchmarkCulprits measures the search after a crash under 16 requests among 64 others.
func BenchmarkCulprits(b *testing.B) {
	a := attributor.New()
	a.RecordAnswer([]attributor.Part{"sys"}, start)
	now := start.Add(10 * time.Second)
	for i := range 64 {
		var parts []attributor.Part
		for k := range 16 {
			parts = append(parts, "sys", attributor.Part(fmt.Sprint("doc", (i+k)%40)))
		}
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		a.RecordCrash(attributor.Crash{Run: attributor.Run{Server: fmt.Sprint(i)}, At: at}, "r", parts, at)
	}
	for b.Loop() {
		a.Culprits(attributor.Run{Server: "63"}, none)
	}
}
