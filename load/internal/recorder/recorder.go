// Package recorder gathers the results of a run: counts by outcome, histograms
// of first tokens and gaps by class, a CSV line for each request and a plot.
//
// # Usage
//
//	r := recorder.New()
//	r.Add(result)
//	r.Report(os.Stdout)
//	err := r.Plot(path)
package recorder

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"bamboohill/load/internal/caller"
	"bamboohill/load/internal/planner"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds.
const (
	leastMicros = 1
	mostMicros  = int64(time.Hour / time.Microsecond)
	digits      = 3
)

// Classes lists the classes in the order of reports.
var Classes = []planner.Class{planner.Short, planner.Middle, planner.Long, planner.Booked}

// series is what is known of one class.
type series struct {
	counts map[caller.Outcome]int
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
}

// Recorder gathers results. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	classes  map[planner.Class]*series
	codes    map[string]int
	tries    int
	results  []caller.Result // without gaps and bodies of prompts
	bookings map[string][]caller.Result
}

// New returns an empty recorder.
func New() *Recorder {
	r := &Recorder{classes: map[planner.Class]*series{}, codes: map[string]int{}, bookings: map[string][]caller.Result{}}
	for _, c := range Classes {
		r.classes[c] = &series{
			counts: map[caller.Outcome]int{},
			first:  hdrhistogram.New(leastMicros, mostMicros, digits),
			gaps:   hdrhistogram.New(leastMicros, mostMicros, digits),
		}
	}
	return r
}

// Add takes one result.
func (r *Recorder) Add(result caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.classes[result.Request.Class()]
	s.counts[result.Outcome]++
	r.tries += result.Tries
	if result.Outcome == caller.Answered {
		s.first.RecordValue(result.First.Microseconds())
	} else {
		r.codes[string(result.Outcome)+"/"+strconv.Itoa(result.Status)+"/"+result.Code]++
	}
	for _, g := range result.Gaps {
		s.gaps.RecordValue(g.Microseconds())
	}
	if result.Request.Kind == planner.Booking {
		r.bookings[result.Request.Key] = append(r.bookings[result.Request.Key], result)
	}
	result.Gaps, result.Body = nil, nil
	r.results = append(r.results, result)
}

// Bookings returns the results of all tries of each booking.
func (r *Recorder) Bookings() map[string][]caller.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bookings
}

// Count returns how many requests ended with an outcome, and how many in all.
func (r *Recorder) Count(outcome caller.Outcome) (n, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.classes {
		n += s.counts[outcome]
	}
	return n, len(r.results)
}

// Report writes one line of key=value pairs for the run, for each class and
// for each kind of failure.
func (r *Recorder) Report(w io.Writer) {
	fmt.Fprintf(w, "result=run")
	r.count(w)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, " tries=%d\n", r.tries)
	for _, c := range Classes {
		s := r.classes[c]
		fmt.Fprintf(w, "result=class class=%s", c)
		for _, o := range caller.Outcomes {
			fmt.Fprintf(w, " %s=%d", o, s.counts[o])
		}
		quantiles(w, "first", s.first)
		if c != planner.Booked {
			quantiles(w, "gap", s.gaps)
		}
		fmt.Fprintln(w)
	}
	for _, code := range slices.Sorted(mapKeys(r.codes)) {
		fmt.Fprintf(w, "result=failure code=%s n=%d\n", code, r.codes[code])
	}
}

func (r *Recorder) count(w io.Writer) {
	_, all := r.Count(caller.Answered)
	fmt.Fprintf(w, " sent=%d", all)
	for _, o := range caller.Outcomes {
		n, _ := r.Count(o)
		fmt.Fprintf(w, " %s=%d", o, n)
	}
}

func mapKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func quantiles(w io.Writer, name string, h *hdrhistogram.Histogram) {
	for _, q := range []float64{50, 95, 99} {
		fmt.Fprintf(w, " %s_p%.0f_ms=%.2f", name, q, float64(h.ValueAtQuantile(q))/float64(time.Millisecond/time.Microsecond))
	}
}
