// Package weightserver is the stand-in of the platform's weight store, which
// limits its loads per second.
//
// # Usage
//
//	s := weightserver.New(weightserver.Config{Rate: 2, Burst: 2})
//	http.ListenAndServe(address, s.Faults.Wrap(s.Handler()))
//
// "GET /weights/NAME" returns the weights of a model, or 429 above the rate.
// "GET /counts" returns the numbers of served, refused and concurrent loads.
// The fault load sets the duration of one load in milliseconds.
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
	Rate  float64 // loads per second
	Burst int     // loads that may begin at the same time
}

// LoadTime is the fault that sets the duration of a load, in milliseconds.
const LoadTime = "load"

// Counts holds the numbers of loads since the server's start.
type Counts struct {
	Served     int64 `json:"served"`  // loads begun
	Refused    int64 `json:"turned"`  // loads above the rate
	Loading    int64 `json:"loading"` // loads running now
	MaxLoading int64 `json:"most"`    // highest value of Loading
}

// Server is a weight store.
type Server struct {
	Faults *injector.Faults

	limiter *rate.Limiter
	mu      sync.Mutex
	counts  Counts
}

// New returns a weight store. A burst below 1 counts as 1.
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
		s.counts.Refused++
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
