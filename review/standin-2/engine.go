package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the stand-in of an engine, as the small site's.
const (
	heartbeat  = 1200 * time.Millisecond
	firstToken = 60 * time.Millisecond // until a request begins to be written
	eventGap   = 40 * time.Millisecond
	coldTime   = 3 * time.Second // coldStartS
	downTime   = 3 * time.Second // "the engine is back after some seconds"
)

// engine is a stand-in of a server: a model engine, or one of a plain service. Each start is
// a new boot with a new id at the same address.
type engine struct {
	record  *recorder
	store   *store
	service string
	zone    string
	address string
	slots   int
	plain   bool
	work    time.Duration // of a call of a plain service
	// poison reports whether a request crashes the engine as it begins to run it.
	poison func(*http.Request, []byte) bool
	// header adds to the head of an answer.
	header func(e *engine, h http.Header)
	silent bool // its heartbeats are written by the case itself

	mu       sync.Mutex
	id       string
	born     time.Time
	sequence int
	state    string
	up       bool
	boots    int
	listener net.Listener
	conns    map[net.Conn]bool
	stop     context.CancelFunc
}

func (e *engine) name() (id string, born time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id, e.born
}

// start begins a boot.
func (e *engine) start(cold bool) error {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	e.address, e.listener, e.conns, e.stop = l.Addr().String(), l, map[net.Conn]bool{}, cancel
	e.id, e.born, e.sequence, e.state, e.up = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now(), 0, "ready", true
	e.boots++
	e.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch {
		case s == http.StateNew && e.up:
			e.conns[c] = true
		case s == http.StateNew:
			reset(c)
		case s == http.StateClosed:
			delete(e.conns, c)
		}
	}}
	go server.Serve(l)
	coldUntil := time.Now()
	if cold {
		coldUntil = coldUntil.Add(coldTime)
	}
	if !e.silent {
		go e.beat(ctx, coldUntil)
	}
	return nil
}

// beat writes the registration at each heartbeat, until the boot ends.
func (e *engine) beat(ctx context.Context, coldUntil time.Time) {
	for ctx.Err() == nil {
		e.register(coldUntil)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (e *engine) register(coldUntil time.Time) {
	e.mu.Lock()
	e.sequence++
	value := registration(e.service, e.address, e.zone, e.state, e.slots, max(0, time.Until(coldUntil)).Truncate(time.Millisecond), e.sequence, e.born)
	id, up := e.id, e.up
	e.mu.Unlock()
	if up {
		e.store.register(id, value)
	}
}

// crash ends the boot: connections are reset and new ones refused. The registration is
// removed after three heartbeats of silence. The engine is back after downTime.
func (e *engine) crash(cause string) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	e.stop()
	e.listener.Close()
	for c := range e.conns {
		reset(c)
	}
	id := e.id
	e.mu.Unlock()
	e.record.add("crash", id, cause)
	time.AfterFunc(3*heartbeat, func() { e.store.remove("servers", id) })
	time.AfterFunc(downTime, func() {
		for e.start(true) != nil { // the port may still be held for a moment
			time.Sleep(50 * time.Millisecond)
		}
	})
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	id, up := e.id, e.up
	e.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get("Attempt-Id")
	h := w.Header()
	h["Date"] = nil
	if attempt != "" {
		h.Set("Attempt-Id", attempt)
	}
	h.Set("Instance-Id", id)
	if e.header != nil {
		e.header(e, h)
	}
	switch {
	case r.URL.Path == "/health" && attempt == "":
		return
	case r.URL.Path == "/order":
		io.WriteString(w, `{"free":400000}`)
		return
	case r.URL.Path == "/report":
		io.WriteString(w, `{"stage":"combined","models":[],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":450000,"handles":0}`)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.record.arrive(arrival{at: arrived, attempt: attempt, engine: e, id: id, prefix: r.Header.Get("Prompt-Prefix"), path: r.URL.Path})
	if e.plain {
		e.record.add("run", attempt, id)
		time.Sleep(e.work)
		h.Set("Response-Stamp", "s."+attempt)
		fmt.Fprintf(w, "filed %s by %s\n", attempt, id)
		return
	}
	select {
	case <-time.After(firstToken):
	case <-r.Context().Done():
		e.record.add("dropped", attempt, id)
		return
	}
	e.record.run(attempt)
	e.record.add("run", attempt, id)
	if e.poison != nil && e.poison(r, body) {
		e.crash(attempt)
		panic(http.ErrAbortHandler)
	}
	h.Set("Response-Stamp", "s."+attempt)
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flusher := http.NewResponseController(w)
	for n := last + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, attempt, n); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
		if n < events {
			time.Sleep(eventGap)
		}
	}
}

// events is the number of events of a stream.
const events = 10

// parts returns the ids of the parts of a prompt but for the last, which is its own.
func parts(prefix string) []string {
	var ids []string
	for entry := range strings.SplitSeq(prefix, ",") {
		id, _, _ := strings.Cut(entry, ":")
		ids = append(ids, id)
	}
	return ids[:len(ids)-1]
}
