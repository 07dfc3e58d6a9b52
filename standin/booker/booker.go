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
// A booking is counted before its work and its answer, so that a lost answer
// still counts. With Config.Runs set, the count is made by a counter.Log at that
// address and survives the service: the call to it is the booking's effect. The
// fault early (milliseconds) holds a booking that has arrived before its effect;
// "GET /arrivals/KEY" is 404 until the booking KEY has arrived.
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

// DelayEffect is the fault that holds bookings before their effects, in milliseconds.
const DelayEffect = "early"

// maxBody is the largest body that is taken, in bytes.
const maxBody = 1 << 20

// Config describes a service.
type Config struct {
	Work time.Duration // how long one call takes after its effect
	Runs string        // address of the log of runs; empty for a log of its own
}

// Service is the plain service.
type Service struct {
	Faults *injector.Faults

	work    time.Duration
	runs    string
	local   *counter.Counter
	arrived sync.Map // bookings that have arrived, by key
}

// New returns a service that has run nothing.
func New(config Config) *Service {
	return &Service{Faults: injector.New(), work: config.Work, runs: config.Runs, local: counter.New()}
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
	time.Sleep(s.work)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"booking":%q,"run":%d,"bytes":%d}`+"\n", key, n, len(body))
}

// run makes the booking and returns how often it has been made.
func (s *Service) run(ctx context.Context, key string) (int, error) {
	if s.runs == "" {
		return s.local.Add(key), nil
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.runs+"/run?key="+url.QueryEscape(key), nil)
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
	time.Sleep(s.work)
	w.Header().Set("Content-Type", q.Header.Get("Content-Type"))
	io.Copy(w, http.MaxBytesReader(w, q.Body, maxBody))
}
