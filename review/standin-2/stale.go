package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { plays["stale"] = playStale }

const drainMs = 2000

// heart writes the heartbeats of an engine.
type heart struct {
	engine *engine
	leaves chan bool

	mu       sync.Mutex
	sequence int
}

// write has the store perform a heartbeat.
func (h *heart) write(state string, sequence int) {
	e := h.engine
	id, born := e.name()
	e.store.register(id, registration(pool, e.address, e.zone, state, e.slots, 0, sequence, born))
	e.record.add("store", "performs", id, state, "sequence", sequence)
}

func (h *heart) next() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	return h.sequence
}

func (h *heart) beat() {
	for state := "ready"; ; {
		h.write(state, h.next())
		select {
		case <-h.leaves:
			state = "draining"
		case <-time.After(heartbeat):
		}
	}
}

// playStale lets the store perform a heartbeat of an engine, whose answer was lost, 6 s late.
// Meanwhile the engine has reported that it leaves.
func playStale(record *recorder, trouble bool) string {
	s := newSite(record, 1, 3, 2)
	defer s.end()
	var hearts []*heart
	for _, e := range s.engines {
		e.silent = true
		mustHave(e.start(false) == nil, "an engine does not start")
		hearts = append(hearts, &heart{engine: e, leaves: make(chan bool, 1)})
		go hearts[len(hearts)-1].beat()
	}
	s.beginEntries()
	prefix := func() string { return fmt.Sprintf("5c1e07a2:40,%08x:200", rand.Uint32()) }
	go s.play(14*time.Second, 25*time.Millisecond, func() {
		s.prompt("sound", keyOne, "/lohu930/2f", prefix(), 1000, body())
	}, 0, nil)
	time.Sleep(2 * time.Second)
	leaving := hearts[s.busiest()]
	id, _ := leaving.engine.name()
	// A heartbeat gets no answer; it is performed late.
	lost, late := time.Now(), leaving.next()
	record.add("store", "gets a heartbeat of", id, "ready sequence", late, "and does not answer")
	if trouble {
		time.AfterFunc(5900*time.Millisecond, func() { leaving.write("ready", late) })
	}
	time.Sleep(time.Until(lost.Add(3300 * time.Millisecond))) // the store is stable again
	leaving.leaves <- true
	acknowledged := time.Now()
	record.add("store", "has acknowledged that", id, "is draining")
	time.Sleep(8 * time.Second)
	record.mu.Lock()
	defer record.mu.Unlock()
	n := 0
	for _, a := range record.arrivals {
		if a.engine == leaving.engine && a.at.After(acknowledged.Add(drainMs*time.Millisecond)) {
			n++
		}
	}
	fmt.Fprintf(record.file, "requests that reached the leaving engine later than %d ms after the acknowledgement: %d\n", drainMs, n)
	if n > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached an engine later than drainMs after the acknowledgement that it is draining", n)
	}
	return ""
}

// busiest returns the place of the engine with the most requests so far.
func (s *site) busiest() int {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	best, most := 0, -1
	for i, e := range s.engines {
		n := 0
		for _, a := range s.record.arrivals {
			if a.engine == e {
				n++
			}
		}
		if n > most {
			best, most = i, n
		}
	}
	return best
}
