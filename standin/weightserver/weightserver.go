// Package weightserver is the stand-in of the platform's weight store, which bounds
// how many loads it serves a second.
//
// # Usage
//
//	l := weightserver.New(weightserver.Config{Rate: 2, Burst: 2})
//	http.ListenAndServe(address, l.Faults.Wrap(l.Handler()))
//
// "GET /weights/NAME" answers 429 above the rate and counts what it served,
// what it turned away and how many loads there were at once at /counts. The
// fault load is how long one load takes, in milliseconds.
package weightserver

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"bamboohill/standin/injector"

	"golang.org/x/time/rate"
)

// Config describes a weight store.
type Config struct {
	Rate  float64 // loads a second
	Burst int     // loads at once
}

// Load is the fault that makes loads take time.
const Load = "load"

// Counts is how many loads were served and turned away.
type Counts struct {
	Served  int64 `json:"served"` // begun
	Turned  int64 `json:"turned"`
	Loading int64 `json:"loading"` // now
	Most    int64 `json:"most"`    // at once
}

// Weights is the store.
type Weights struct {
	Faults *injector.Faults

	limiter *rate.Limiter
	mu      sync.Mutex
	counts  Counts
}

// New returns a store.
func New(config Config) *Weights {
	if config.Burst < 1 {
		config.Burst = 1
	}
	return &Weights{Faults: injector.New(), limiter: rate.NewLimiter(rate.Limit(config.Rate), config.Burst)}
}

// Handler returns the HTTP interface.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name}", s.get)
	mux.HandleFunc("GET /counts", s.count)
	return mux
}

func (s *Weights) get(w http.ResponseWriter, q *http.Request) {
	if !s.begin() {
		http.Error(w, "over the rate", http.StatusTooManyRequests)
		return
	}
	defer s.end()
	time.Sleep(time.Duration(s.Faults.Get(Load)) * time.Millisecond)
	w.Write([]byte(q.PathValue("name")))
}

func (s *Weights) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.Allow() {
		s.counts.Turned++
		return false
	}
	s.counts.Served++
	s.counts.Loading++
	s.counts.Most = max(s.counts.Most, s.counts.Loading)
	return true
}

func (s *Weights) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Loading--
}

func (s *Weights) count(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	json.NewEncoder(w).Encode(s.counts)
}
