package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	extra    func(status int) string          // header lines of answers
	fault    func(r *http.Request) string     // of a request
	hook     func(e *engine, r *http.Request) // called when a request arrives
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
	e.mu.Lock()
	extra := e.extra
	e.mu.Unlock()
	lines := ""
	if extra != nil {
		lines = extra(status)
	}
	h := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), lines)
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
	hook, fault := e.hook, e.fault
	other := r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != e.id
	full := e.running >= e.slots+e.queue
	e.mu.Unlock()
	if other {
		io.WriteString(c, e.head(421, attempt)+"Instance-Id: "+e.id+"\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	journal.arrival(e, r, arrived)
	if hook != nil {
		hook(e, r)
	}
	f := ""
	if fault != nil {
		f = fault(r)
	}
	if full || f == "reject" {
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
	reset := func() bool {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		return false
	}
	switch f {
	case "spoiled":
		stamp = "Rfsponse-Stamp" + stamp[len("Response-Stamp"):]
	case "garbage":
		b := make([]byte, 1+rand.IntN(3000))
		for i := range b {
			b[i] = byte(rand.IntN(256))
		}
		starts := []string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: x\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 100 x\r\n\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"}
		io.WriteString(c, starts[rand.IntN(len(starts))])
		c.Write(b)
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
		return rand.IntN(2) == 0
	case "endless":
		starts := []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: x\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "HTTP/1.1 500 No\r\nAttempt-Id: " + attempt + "\r\n\r\n"}
		io.WriteString(c, starts[rand.IntN(len(starts))])
		for {
			if _, err := io.WriteString(c, "x: "+strings.Repeat("y", 1000)+"\r\n"); err != nil {
				return false
			}
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		}
	case "hang":
		io.Copy(io.Discard, c)
		return false
	case "reset":
		time.Sleep(e.work)
		return reset()
	case "error":
		io.WriteString(c, e.head(500, attempt)+stamp+"Content-Length: 5\r\n\r\nerror")
		return true
	}
	if r.Header.Get("Token-Usage") == "" {
		time.Sleep(e.work)
		t := text(attempt, body)
		switch f {
		case "torn":
			fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n%s", e.head(200, attempt), stamp, len(t), t[:len(t)/2])
			return reset()
		case "unframed":
			fmt.Fprintf(c, "%s%s\r\n%s", e.head(200, attempt), stamp, t)
			return false
		case "extra":
			fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n%s%s%sContent-Length: %d\r\n\r\n%s", e.head(200, attempt), stamp, len(t), t, e.head(200, attempt), stamp, len(t), t)
			return true
		}
		_, err := fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n%s", e.head(200, attempt), stamp, len(t), t)
		return err == nil
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	framing, open, end := "Transfer-Encoding: chunked\r\n", func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }, "0\r\n\r\n"
	if f == "unframed" {
		framing, open, end = "", func(s string) string { return s }, ""
	}
	time.Sleep(e.work)
	if _, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\n%s%s\r\n", e.head(200, attempt), stamp, framing); err != nil {
		return false
	}
	for n := last + 1; n <= e.events; n++ {
		ev := event(n, body)
		if f == "wrong id" && n == last+7 {
			ev = "id: 3" + ev[len("id: 7"):]
		}
		if f == "torn" && n == last+3 {
			io.WriteString(c, open(ev[:len(ev)/2]))
			return reset()
		}
		if _, err := io.WriteString(c, open(ev)); err != nil {
			return false
		}
		time.Sleep(e.work)
	}
	_, err := io.WriteString(c, end)
	return err == nil && f != "unframed"
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
