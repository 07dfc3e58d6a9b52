// Package counter is the stand-in of what a plain service's calls change in
// the world: a log of bookings made, which outlives the services.
//
// # Usage
//
//	t := counter.New()
//	http.ListenAndServe(address, t.Faults.Wrap(t.Handler()))
//
// "POST /run?key=KEY" makes a booking and answers how often it was made by
// then, "GET /runs" returns the runs of every booking. A service that is killed
// before the call has not run the booking; one that is killed after it has.
package counter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"bamboohill/standin/injector"
)

// Counter counts runs by key.
type Counter struct {
	Faults *injector.Faults

	mu   sync.Mutex
	runs map[string]int
}

// New returns an empty log.
func New() *Counter { return &Counter{Faults: injector.New(), runs: map[string]int{}} }

// Handler returns the HTTP interface.
func (l *Counter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", func(w http.ResponseWriter, q *http.Request) { fmt.Fprint(w, l.Add(q.FormValue("key"))) })
	mux.HandleFunc("GET /runs", l.serveRuns)
	return mux
}

// Add counts one run and returns how many there are of the key.
func (l *Counter) Add(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
	return l.runs[key]
}

func (l *Counter) serveRuns(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	json.NewEncoder(w).Encode(l.runs)
}
