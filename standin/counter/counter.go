// Package counter is the stand-in of the external effects of a plain service's
// calls: it counts the bookings made and outlives the services.
//
// # Usage
//
//	c := counter.New()
//	http.ListenAndServe(address, c.Faults.Wrap(c.Handler()))
//
// "POST /run?key=KEY" makes a booking and returns how often it has been made so
// far. "GET /runs" returns the number of runs of every booking. A service that
// is killed before the call has not run the booking; one that is killed after
// the call has run it.
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

// New returns a counter without runs.
func New() *Counter { return &Counter{Faults: injector.New(), runs: map[string]int{}} }

// Handler returns the HTTP interface.
func (c *Counter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", func(w http.ResponseWriter, q *http.Request) { fmt.Fprint(w, c.Add(q.FormValue("key"))) })
	mux.HandleFunc("GET /runs", c.serveRuns)
	return mux
}

// Add counts one run of key and returns the number of its runs so far.
func (c *Counter) Add(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
	return c.runs[key]
}

func (c *Counter) serveRuns(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	json.NewEncoder(w).Encode(c.runs)
}
