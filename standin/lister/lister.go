// Package lister is the stand-in of the platform's list of live and leaving
// VMs, which is eventually consistent: readers see each change after a lag.
//
// # Usage
//
//	l := lister.New(lister.Config{Lag: time.Second, VMs: vms})
//	http.ListenAndServe(address, l.Faults.Wrap(l.Handler()))
//
// "GET /vms" returns the list. "PUT /vms" replaces it after the lag.
package lister

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"bamboohill/core/storer"
	"bamboohill/standin/injector"
)

// Config describes a list.
type Config struct {
	Lag time.Duration // from a change until readers see it
	VMs []storer.VM   // content at the start
}

// List is the platform's list.
type List struct {
	Faults *injector.Faults

	lag     time.Duration
	mu      sync.Mutex
	visible []storer.VM
}

// New returns a list that holds the VMs of config.
func New(config Config) *List {
	if config.VMs == nil {
		config.VMs = []storer.VM{}
	}
	return &List{Faults: injector.New(), lag: config.Lag, visible: config.VMs}
}

// Handler returns the HTTP interface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", l.get)
	mux.HandleFunc("PUT /vms", l.put)
	return mux
}

func (l *List) get(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	json.NewEncoder(w).Encode(l.visible)
}

func (l *List) put(w http.ResponseWriter, q *http.Request) {
	var next []storer.VM
	if err := json.NewDecoder(q.Body).Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.visible = next
	})
}
