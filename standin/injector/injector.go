// Package injector injects faults into a stand-in and lets tests switch them
// over HTTP.
//
// # Usage
//
//	f := injector.New()
//	http.ListenAndServe(address, f.Wrap(handler))
//
// "POST /fault?name=down&value=1" turns a fault on, value=0 turns it off, and
// "GET /fault" lists the active faults. Every stand-in has the faults slow
// (delay of each call in milliseconds), down (each call is refused without
// effect), lose (each writing call takes effect and its answer is lost), freeze
// (calls hang until the fault is turned off), limit (answers name a limit, in
// thousandths of a request per second), leaving (answers say that the stand-in
// leaves) and rest (each writing call is refused without effect, and asks for rest,
// in milliseconds).
package injector

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// Names of the faults that every stand-in has.
const (
	Slow         = "slow"
	Down         = "down"
	LoseResponse = "lose"
	Freeze       = "freeze"
	Limit        = "limit"
	Leaving      = "leaving"
	Rest         = "rest"
)

// retryAfter is the Retry-After header of a stand-in that is down, in seconds.
const retryAfter = "1"

// frozenPoll is the interval at which a frozen call checks whether the fault is
// still on.
const frozenPoll = 10 * time.Millisecond

// Faults holds the faults of one stand-in. It is safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	values map[string]int
	hooks  map[string]func(int)
}

// New returns faults that are all off.
func New() *Faults {
	return &Faults{values: map[string]int{}, hooks: map[string]func(int){}}
}

// OnSet registers hook, which Set calls with the new value of the named fault.
// It replaces an earlier hook of that fault.
func (f *Faults) OnSet(name string, hook func(value int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hooks[name] = hook
}

// Set sets a fault. The value 0 turns it off.
func (f *Faults) Set(name string, value int) {
	f.mu.Lock()
	f.values[name] = value
	hook := f.hooks[name]
	f.mu.Unlock()
	if hook != nil {
		hook(value)
	}
}

// Get returns a fault's value, or 0 if it is off.
func (f *Faults) Get(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values[name]
}

func (f *Faults) list() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	on := map[string]int{}
	for name, value := range f.values {
		if value != 0 {
			on[name] = value
		}
	}
	return on
}

// Wrap returns a handler that serves /fault and applies the common faults to
// every other path before it calls next.
func (f *Faults) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/fault" {
			f.serveFaults(w, q)
			return
		}
		if !f.delay(q) {
			return
		}
		f.addStatements(w.Header())
		if rest := f.Get(Rest); rest != 0 && q.Method != http.MethodGet {
			w.Header().Set("Retry-After", strconv.FormatFloat(float64(rest)/1000, 'f', -1, 64))
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		if f.Get(Down) != 0 {
			w.Header().Set("Retry-After", retryAfter)
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if f.Get(LoseResponse) != 0 && q.Method != http.MethodGet {
			next.ServeHTTP(httptest.NewRecorder(), q)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, q)
	})
}

// addStatements adds to the header of an answer what the stand-in says that it takes.
func (f *Faults) addStatements(h http.Header) {
	if limit := f.Get(Limit); limit != 0 {
		h.Set("Server-Limit", strconv.FormatFloat(float64(limit)/1000, 'f', -1, 64))
	}
	if f.Get(Leaving) != 0 {
		h.Set("Server-Leaving", "1")
	}
}

// delay waits while the faults slow and freeze require it. It returns false if
// the caller disconnects meanwhile.
func (f *Faults) delay(q *http.Request) bool {
	if n := f.Get(Slow); n > 0 && !wait(q, time.Duration(n)*time.Millisecond) {
		return false
	}
	for f.Get(Freeze) != 0 {
		if !wait(q, frozenPoll) {
			return false
		}
	}
	return true
}

// wait sleeps for d. It returns false if the caller disconnects first.
func wait(q *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.Context().Done():
		return false
	}
}

func (f *Faults) serveFaults(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodPost {
		value, err := strconv.Atoi(q.FormValue("value"))
		if err != nil || q.FormValue("name") == "" {
			http.Error(w, "want name and a whole value", http.StatusBadRequest)
			return
		}
		f.Set(q.FormValue("name"), value)
	}
	json.NewEncoder(w).Encode(f.list())
}
