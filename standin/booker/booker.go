// Package booker is the stand-in of a plain service whose calls may not be
// repeated: it counts how often it ran each booking.
//
// # Usage
//
//	b := booker.New(booker.Config{})
//	http.ListenAndServe(address, b.Faults.Wrap(b.Handler()))
//
// "POST /book" runs the booking that the Idempotency-Key header names,
// "GET /runs" returns the runs of every booking, and any other call is echoed.
// A booking is counted before its answer is written, so that a lost answer
// still counts.
package booker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"bamboohill/standin/faulter"
)

// maxBody is the largest body that is taken, in bytes.
const maxBody = 1 << 20

// Config describes a service.
type Config struct {
	Work time.Duration // how long one call takes
}

// Service is the plain service.
type Service struct {
	Faults *faulter.Faults

	work time.Duration
	mu   sync.Mutex
	runs map[string]int
}

// New returns a service that has run nothing.
func New(config Config) *Service {
	return &Service{Faults: faulter.New(), work: config.Work, runs: map[string]int{}}
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.list)
	mux.HandleFunc("POST /book", s.book)
	mux.HandleFunc("/", s.echo)
	return mux
}

func (s *Service) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	json.NewEncoder(w).Encode(s.runs)
}

func (s *Service) book(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := q.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"booking":%q,"run":%d,"bytes":%d}`+"\n", key, n, len(body))
}

func (s *Service) echo(w http.ResponseWriter, q *http.Request) {
	time.Sleep(s.work)
	w.Header().Set("Content-Type", q.Header.Get("Content-Type"))
	io.Copy(w, http.MaxBytesReader(w, q.Body, maxBody))
}
