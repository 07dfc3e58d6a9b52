package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// run is a request that an engine ran.
type run struct {
	engine, service, attempt, tenant, method, target, body string
	at, end                                                time.Time
	whole                                                  bool
}

// arrival is a request that reached an engine, run or not.
type arrival struct {
	engine, attempt string
	at              time.Time
}

// record keeps what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	lines    []string
	runs     []*run
	arrivals []arrival
	refusals map[string]int
}

var journal = &record{refusals: map[string]int{}}

func since(t time.Time) float64 { return t.Sub(began).Seconds() }

func (j *record) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, fmt.Sprintf("%8.3f  ", since(time.Now()))+fmt.Sprintf(format, args...))
}

func (j *record) arrival(e *engine, r *http.Request, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, arrival{e.id, r.Header.Get("Attempt-Id"), at})
}

func (j *record) rejected(e *engine, attempt string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refusals[attempt]++
}

func (j *record) run(e *engine, r *http.Request, body string) *run {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := &run{engine: e.id, service: e.service, attempt: r.Header.Get("Attempt-Id"), tenant: r.Header.Get("Tenant"), method: r.Method, target: r.RequestURI, body: body, at: time.Now()}
	j.runs = append(j.runs, n)
	return n
}

func (j *record) ended(n *run, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n.end, n.whole = time.Now(), whole
}

// runsOf returns the runs of an attempt.
func (j *record) runsOf(attempt string) []*run {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all []*run
	for _, r := range j.runs {
		if r.attempt == attempt {
			all = append(all, r)
		}
	}
	return all
}

func (j *record) write(file string) {
	if file == "" {
		return
	}
	f, err := os.Create(file)
	if err != nil {
		return
	}
	defer f.Close()
	for _, l := range j.lines {
		fmt.Fprintln(f, l)
	}
}
