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

// LoadTime is the fault that makes loads take time.
const LoadTime = "load"

// Counts is how many loads were served and turned away.
type Counts struct {
	Served     int64 `json:"served"` // begun
	Rejected   int64 `json:"turned"`
	Loading    int64 `json:"loading"` // now
	MaxLoading int64 `json:"most"`    // at once
}

// Server is the store.
type Server struct {
	Faults *injector.Faults

	limiter *rate.Limiter
	mu      sync.Mutex
	counts  Counts
}

// New returns a store.
func New(config Config) *Server {
	if config.Burst < 1 {
		config.Burst = 1
	}
	return &Server{Faults: injector.New(), limiter: rate.NewLimiter(rate.Limit(config.Rate), config.Burst)}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name}", s.get)
	mux.HandleFunc("GET /counts", s.count)
	return mux
}

func (s *Server) get(w http.ResponseWriter, q *http.Request) {
	if !s.begin() {
		http.Error(w, "over the rate", http.StatusTooManyRequests)
		return
	}
	defer s.end()
	time.Sleep(time.Duration(s.Faults.Get(LoadTime)) * time.Millisecond)
	w.Write([]byte(q.PathValue("name")))
}

func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.Allow() {
		s.counts.Rejected++
		return false
	}
	s.counts.Served++
	s.counts.Loading++
	s.counts.MaxLoading = max(s.counts.MaxLoading, s.counts.Loading)
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Loading--
}

func (s *Server) count(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	json.NewEncoder(w).Encode(s.counts)
}
