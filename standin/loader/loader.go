// Package loader is the stand-in of the platform's weight store, which bounds
// how many loads it serves a second.
//
// # Usage
//
//	l := loader.New(loader.Config{Rate: 2, Burst: 2})
//	http.ListenAndServe(address, l.Faults.Wrap(l.Handler()))
//
// "GET /weights/NAME" answers 429 above the rate and counts what it served and
// what it turned away at /counts.
package loader

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"bamboohill/standin/faulter"

	"golang.org/x/time/rate"
)

// Config describes a weight store.
type Config struct {
	Rate  float64 // loads a second
	Burst int     // loads at once
}

// Counts is how many loads were served and turned away.
type Counts struct {
	Served int64 `json:"served"`
	Turned int64 `json:"turned"`
}

// Weights is the store.
type Weights struct {
	Faults *faulter.Faults

	limiter *rate.Limiter
	served  atomic.Int64
	turned  atomic.Int64
}

// New returns a store.
func New(config Config) *Weights {
	if config.Burst < 1 {
		config.Burst = 1
	}
	return &Weights{Faults: faulter.New(), limiter: rate.NewLimiter(rate.Limit(config.Rate), config.Burst)}
}

// Handler returns the HTTP interface.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name}", s.get)
	mux.HandleFunc("GET /counts", s.count)
	return mux
}

func (s *Weights) get(w http.ResponseWriter, q *http.Request) {
	if !s.limiter.Allow() {
		s.turned.Add(1)
		http.Error(w, "over the rate", http.StatusTooManyRequests)
		return
	}
	s.served.Add(1)
	w.Write([]byte(q.PathValue("name")))
}

func (s *Weights) count(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(Counts{Served: s.served.Load(), Turned: s.turned.Load()})
}
