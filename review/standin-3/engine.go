package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of an engine. It registers in the store and writes there every
// heartbeat.
type engine struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration // of a plain request, and between two events
	events            int
	store             *store

	mu       sync.Mutex
	listener net.Listener
	address  string
	born     time.Time
	state    string // ready, draining, or "" if it does not register
	sequence int
	running  int
	alive    bool
	conns    map[net.Conn]bool
	fault    func(r *http.Request) string // of a request
	memory   map[string]int
}

const heartbeat = 1200 * time.Millisecond

var stamps atomic.Int64

func startEngine(s *store, id, service, zone string, slots int, work time.Duration) *engine {
	e := &engine{id: id, service: service, zone: zone, slots: slots, queue: 4, work: work, events: 12, store: s, conns: map[net.Conn]bool{}, memory: map[string]int{}}
	e.start("127.0.0.1:0")
	go e.beat()
	return e
}

// start makes the engine listen, as a new run.
func (e *engine) start(address string) {
	l, err := net.Listen("tcp4", address)
	for range 50 {
		if err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
		l, err = net.Listen("tcp4", address)
	}
	if err != nil {
		cannotRun("engine: " + err.Error())
	}
	e.mu.Lock()
	e.listener, e.address, e.born, e.alive, e.state, e.sequence, e.running = l, l.Addr().String(), time.Now(), true, "ready", 0, 0
	e.memory = map[string]int{}
	e.mu.Unlock()
	e.register()
	go e.accept(l)
}

// row returns the registration with other values for some fields; nil removes a field.
func (e *engine) row(other map[string]any) []byte {
	fields := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state,
		"coldRemainingMs": 0, "sequence": e.sequence, "born": e.born.UnixMilli(),
	}
	for k, v := range other {
		if fields[k] = v; v == nil {
			delete(fields, k)
		}
	}
	text, _ := json.Marshal(fields)
	return text
}

// register writes the registration. It returns the time of the acknowledgement.
func (e *engine) register() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive || e.state == "" {
		return time.Now()
	}
	e.sequence++
	return e.store.put("servers", e.id, e.row(nil))
}

func (e *engine) beat() {
	for range time.Tick(heartbeat) {
		e.register()
	}
}

// awaitHeartbeat waits until the engine has written its row once more.
func (e *engine) awaitHeartbeat() {
	e.mu.Lock()
	before := e.sequence
	e.mu.Unlock()
	for now := before; now == before; {
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		now = e.sequence
		e.mu.Unlock()
	}
}

// setState changes the state and tells the store. It returns the time of the
// acknowledgement.
func (e *engine) setState(state string) time.Time {
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	if state == "" {
		return e.store.remove("servers", e.id)
	}
	return e.register()
}

// stop ends the engine as an exit or crash of its process does.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.alive = false
	e.listener.Close()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			e.serve(c)
			c.Close()
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		}()
	}
}

func (e *engine) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !e.answer(c, r, string(body)) {
			return
		}
	}
}

func (e *engine) head(status int, attempt string) string {
	h := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if attempt != "" {
		h += "Attempt-Id: " + attempt + "\r\n"
	}
	return h
}

// answer answers one request and reports whether the channel stays open.
func (e *engine) answer(c net.Conn, r *http.Request, body string) bool {
	attempt := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/order" {
		return e.order(c, body)
	}
	arrived := time.Now()
	e.mu.Lock()
	fault := e.fault
	other := r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != e.id
	full := e.running >= e.slots+e.queue
	e.mu.Unlock()
	if other {
		io.WriteString(c, e.head(421, attempt)+"Instance-Id: "+e.id+"\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	journal.arrival(e, r, arrived)
	f := ""
	if fault != nil {
		f = fault(r)
	}
	if full {
		journal.rejected(e, attempt)
		io.WriteString(c, e.head(503, attempt)+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	n := journal.run(e, r, body)
	whole := e.execute(c, r, body, f)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	journal.ended(n, whole)
	return whole
}

// text is the answer to a plain request, and event the n-th event of a stream.
func text(attempt, body string) string {
	return fmt.Sprintf("answer to %s %x\n", attempt, sha256.Sum256([]byte(body)))
}

func event(n int, body string) string {
	return fmt.Sprintf("id: %d\ndata: %x\n\n", n, sha256.Sum256([]byte(strconv.Itoa(n)+body)))
}

func (e *engine) execute(c net.Conn, r *http.Request, body, f string) bool {
	attempt := r.Header.Get("Attempt-Id")
	stamp := fmt.Sprintf("Response-Stamp: %s.%d\r\n", e.id, stamps.Add(1))
	if f == "spoiled" {
		stamp = "Rfsponse-Stamp" + stamp[len("Response-Stamp"):]
	}
	if r.Header.Get("Token-Usage") == "" {
		time.Sleep(e.work)
		t := text(attempt, body)
		_, err := fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n%s", e.head(200, attempt), stamp, len(t), t)
		return err == nil
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	time.Sleep(e.work)
	if _, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s\r\n", e.head(200, attempt), stamp); err != nil {
		return false
	}
	for n := last + 1; n <= e.events; n++ {
		if _, err := io.WriteString(c, chunk(event(n, body))); err != nil {
			return false
		}
		time.Sleep(e.work)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (e *engine) order(c net.Conn, body string) bool {
	var o struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int    `json:"tokens"`
	}
	json.Unmarshal([]byte(body), &o)
	e.mu.Lock()
	if o.Operation == "reserve" {
		e.memory[o.ID] = o.Tokens
	} else {
		delete(e.memory, o.ID)
	}
	e.mu.Unlock()
	_, err := io.WriteString(c, e.head(200, "")+"Content-Type: application/json\r\nContent-Length: 14\r\n\r\n{\"free\":41200}")
	return err == nil
}
