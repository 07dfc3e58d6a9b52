// Package recorder collects the results of a run: counts by outcome, histograms
// of first-token times and gaps by class, a CSV line for each request and a plot.
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

// Range of the histograms, in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Classes lists the classes in the order in which reports show them.
var Classes = []planner.Class{planner.Short, planner.Medium, planner.Long, planner.BookingClass}

// classStats holds the results of one class.
type classStats struct {
	counts map[caller.Outcome]int
	first  *hdrhistogram.Histogram // first-token times of answered requests, microseconds
	gaps   *hdrhistogram.Histogram // between the text events of a stream, microseconds
}

// Recorder collects results. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	classes  map[planner.Class]*classStats
	codes    map[string]int
	tries    int
	results  []caller.Result // without Gaps and Body
	bookings map[string][]caller.Result
}

// New returns an empty recorder.
func New() *Recorder {
	r := &Recorder{classes: map[planner.Class]*classStats{}, codes: map[string]int{}, bookings: map[string][]caller.Result{}}
	for _, c := range Classes {
		r.classes[c] = &classStats{
			counts: map[caller.Outcome]int{},
			first:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
			gaps:   hdrhistogram.New(minMicros, maxMicros, significantDigits),
		}
	}
	return r
}

// Add records a result.
func (r *Recorder) Add(result caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.classes[result.Request.Class()]
	s.counts[result.Outcome]++
	r.tries += result.Tries
	if result.Outcome == caller.Answered {
		s.first.RecordValue(result.FirstToken.Microseconds())
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

// Bookings returns the results of all calls of each booking, by idempotency key.
func (r *Recorder) Bookings() map[string][]caller.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bookings
}

// Count returns the number of requests with an outcome, and of all requests.
func (r *Recorder) Count(outcome caller.Outcome) (n, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.classes {
		n += s.counts[outcome]
	}
	return n, len(r.results)
}

// Report writes a line of key=value pairs for the run, for each class and for
// each kind of failure.
func (r *Recorder) Report(w io.Writer) {
	fmt.Fprintf(w, "result=run")
	r.writeCounts(w)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, " tries=%d\n", r.tries)
	for _, c := range Classes {
		s := r.classes[c]
		fmt.Fprintf(w, "result=class class=%s", c)
		for _, o := range caller.Outcomes {
			fmt.Fprintf(w, " %s=%d", o, s.counts[o])
		}
		writeQuantiles(w, "first", s.first)
		if c != planner.BookingClass {
			writeQuantiles(w, "gap", s.gaps)
		}
		fmt.Fprintln(w)
	}
	for _, code := range slices.Sorted(mapKeys(r.codes)) {
		fmt.Fprintf(w, "result=failure code=%s n=%d\n", code, r.codes[code])
	}
}

func (r *Recorder) writeCounts(w io.Writer) {
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

func writeQuantiles(w io.Writer, name string, h *hdrhistogram.Histogram) {
	for _, q := range []float64{50, 95, 99} {
		fmt.Fprintf(w, " %s_p%.0f_ms=%.2f", name, q, float64(h.ValueAtQuantile(q))/float64(time.Millisecond/time.Microsecond))
	}
}
