package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a model engine.
const (
	events      = 10
	eventTime   = 40 * time.Millisecond
	firstTime   = 60 * time.Millisecond
	restartTime = 3 * time.Second // "the engine is back after some seconds"
)

// arrival is a request with the bad part that reached an engine.
type arrival struct {
	at      time.Time
	attempt string
	engine  string
}

// pool is a service of model engines. One part of prompts crashes each engine that begins to
// write an answer on it.
type pool struct {
	store   *store
	record  *record
	host    func(n int) string
	badPart string

	mu       sync.Mutex
	boots    int
	arrivals []arrival
	crashes  []time.Time
}

// modelEngine is one boot of an engine.
type modelEngine struct {
	pool     *pool
	id, zone string
	slot     int
	address  string
	born     int64
	server   *http.Server
	listener net.Listener

	mu      sync.Mutex
	conns   map[net.Conn]bool
	crashed bool
}

// boot starts an engine: each start has a new id.
func (p *pool) boot(slot int, zone string) error {
	l, err := net.Listen("tcp4", p.host(100+slot)+":0")
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.boots++
	id := fmt.Sprintf("i-%d-%d", slot, p.boots)
	p.mu.Unlock()
	e := &modelEngine{pool: p, id: id, zone: zone, slot: slot, address: l.Addr().String(), born: time.Now().UnixMilli(), listener: l, conns: map[net.Conn]bool{}}
	e.server = &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(e.conns, c)
			return
		}
		e.conns[c] = true
	}}
	go func() { _ = e.server.Serve(l) }()
	go e.beats()
	p.record.line("%s starts", id)
	return nil
}

// beats registers the engine and renews its entry every heartbeat, which the store's feed does
// not show. The platform removes the entry after three heartbeats of silence.
func (e *modelEngine) beats() {
	value, _ := json.Marshal(map[string]any{
		"service": "pool", "address": e.address, "zone": e.zone, "version": "v1", "slots": 16, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": e.born,
	})
	e.pool.store.put("servers", e.id, value)
	beat := time.Now()
	for {
		time.Sleep(heartbeat)
		e.mu.Lock()
		crashed := e.crashed
		e.mu.Unlock()
		if crashed {
			break
		}
		beat = time.Now()
	}
	time.Sleep(time.Until(beat.Add(3 * heartbeat)))
	e.pool.store.remove("servers", e.id)
}

// crash ends the process of the engine: its channels are reset and its port is closed. It is
// back after some seconds.
func (e *modelEngine) crash(attempt string) {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	conns := e.conns
	e.conns = map[net.Conn]bool{}
	e.mu.Unlock()
	_ = e.listener.Close()
	e.pool.mu.Lock()
	e.pool.crashes = append(e.pool.crashes, time.Now())
	n := len(e.pool.crashes)
	e.pool.mu.Unlock()
	e.pool.record.line("%s crashes under %s: crash %d", e.id, attempt, n)
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	time.AfterFunc(restartTime, func() { _ = e.pool.boot(e.slot, e.zone) })
}

// ServeHTTP runs one prompt.
func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Attempt-Id", attempt)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	bad := false
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		bad = bad || id == e.pool.badPart
	}
	if bad {
		e.pool.mu.Lock()
		e.pool.arrivals = append(e.pool.arrivals, arrival{time.Now(), attempt, e.id})
		e.pool.mu.Unlock()
		e.pool.record.line("%s reaches %s, with the bad part", attempt, e.id)
	} else {
		e.pool.record.line("%s reaches %s", attempt, e.id)
	}
	time.Sleep(firstTime)
	if bad {
		e.crash(attempt)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	h.Set("Response-Stamp", "stamp-"+attempt)
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := last + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, attempt, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventTime)
	}
}
