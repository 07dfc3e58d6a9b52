// Package booker is the stand-in of a plain service whose calls are not
// idempotent: it counts how often it ran each booking.
//
// # Usage
//
//	b := booker.New(booker.Config{})
//	http.ListenAndServe(address, b.Faults.Wrap(b.Handler()))
//
// "POST /book" runs the booking that the Idempotency-Key header names,
// "GET /runs" returns the number of runs of every booking, and the answer to any
// other call is its own body. A booking is counted before its work and its
// answer, so that a run whose answer is lost counts too. With Config.Counter set,
// a counter.Counter at that address counts the runs and keeps them when the
// service is killed: the call to it is the booking's effect. The fault early
// (milliseconds) delays a booking between its arrival and its effect.
// "GET /arrivals/KEY" returns 404 until the booking KEY has arrived.
package booker

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"bamboohill/standin/counter"
	"bamboohill/standin/injector"
)

// DelayEffect is the fault that delays bookings between their arrival and their
// effect, in milliseconds.
const DelayEffect = "early"

// maxBody is the largest accepted body, in bytes.
const maxBody = 1 << 20

// Config describes a service.
type Config struct {
	WorkTime time.Duration // time that one call takes after its effect
	Counter  string        // address of the run counter; the service's own if empty
}

// Service is a plain service.
type Service struct {
	Faults *injector.Faults

	workTime time.Duration
	counter  string
	local    *counter.Counter
	arrived  sync.Map // keys of the bookings that have arrived
}

// New returns a service without bookings.
func New(config Config) *Service {
	return &Service{Faults: injector.New(), workTime: config.WorkTime, counter: config.Counter, local: counter.New()}
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /runs", s.local.Handler())
	mux.HandleFunc("GET /arrivals/{key}", s.serveArrival)
	mux.HandleFunc("POST /book", s.serveBook)
	mux.HandleFunc("/", s.serveEcho)
	return mux
}

func (s *Service) serveArrival(w http.ResponseWriter, q *http.Request) {
	if _, found := s.arrived.Load(q.PathValue("key")); !found {
		http.NotFound(w, q)
	}
}

func (s *Service) serveBook(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := q.Header.Get("Idempotency-Key")
	s.arrived.Store(key, true)
	time.Sleep(time.Duration(s.Faults.Get(DelayEffect)) * time.Millisecond)
	n, err := s.run(context.WithoutCancel(q.Context()), key)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.workTime)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"booking":%q,"run":%d,"bytes":%d}`+"\n", key, n, len(body))
}

// run makes the booking and returns how often it has been made so far.
func (s *Service) run(ctx context.Context, key string) (int, error) {
	if s.counter == "" {
		return s.local.Add(key), nil
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.counter+"/run?key="+url.QueryEscape(key), nil)
	if err != nil {
		return 0, err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	var n int
	_, err = fmt.Fscan(r.Body, &n)
	return n, err
}

func (s *Service) serveEcho(w http.ResponseWriter, q *http.Request) {
	time.Sleep(s.workTime)
	w.Header().Set("Content-Type", q.Header.Get("Content-Type"))
	io.Copy(w, http.MaxBytesReader(w, q.Body, maxBody))
}
