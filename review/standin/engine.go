package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// engine is a stand-in of a server of a plain service. It registers itself in the store and
// answers each request that names it. That it renews its entry every heartbeat is not seen in
// the store's feed, as the entry changes only when more than sequence changes.
type engine struct {
	id, service, zone string
	store             *store
	born              int64
	work              time.Duration
	record            *record
	address           string
	listener          net.Listener

	mu    sync.Mutex
	limit string // what it says in Server-Limit; empty if it is not in need
	runs  []time.Time
}

func startEngine(id, service, zone, host string, s *store, work time.Duration, r *record) (*engine, error) {
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, store: s, born: time.Now().UnixMilli(), work: work, record: r, address: l.Addr().String(), listener: l}
	go func() { _ = http.Serve(l, e) }()
	e.register()
	return e, nil
}

func (e *engine) register() {
	value, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": e.born,
	})
	e.store.put("servers", e.id, value)
}

// need makes the engine name a limit in all its answers from now on, or none if empty.
func (e *engine) need(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// ServeHTTP runs one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	e.mu.Lock()
	if e.limit != "" {
		h.Set("Server-Limit", e.limit)
	}
	e.mu.Unlock()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	e.mu.Lock()
	e.runs = append(e.runs, time.Now())
	e.mu.Unlock()
	e.record.line("%s runs %s", e.id, r.Header.Get("Attempt-Id"))
	time.Sleep(e.work)
	text := fmt.Sprintf("%s %s", e.id, r.Header.Get("Attempt-Id"))
	h.Set("Response-Stamp", "stamp-"+r.Header.Get("Attempt-Id"))
	h.Set("Content-Length", fmt.Sprint(len(text)))
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, text)
}
