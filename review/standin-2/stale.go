package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { plays["stale"] = playStale }

const drainMs = 2000

// playStale lets the store perform a heartbeat of an engine, whose answer was lost, 6 s late.
// Meanwhile the engine has reported that it leaves.
func playStale(record *recorder, trouble bool) string {
	s := newSite(record, 1, 3, 2)
	defer s.end()
	leaving := s.engines[0]
	leaving.silent = true
	write := func(state string, sequence int) {
		id, born := leaving.name()
		s.store.put("servers", id, registration(pool, leaving.address, leaving.zone, state, 16, 0, sequence, born))
		record.add("store", "performs", id, state, "sequence", sequence)
	}
	stop := make(chan bool)
	state := make(chan string, 1)
	go func() {
		// The heartbeats. The first ones say ready.
		for leaving.address == "" {
			time.Sleep(10 * time.Millisecond)
		}
		now := "ready"
		for sequence := 1; ; sequence++ {
			write(now, sequence)
			select {
			case now = <-state:
			case <-time.After(heartbeat):
			case <-stop:
				return
			}
		}
	}()
	defer close(stop)
	s.begin()
	prefix := func() string { return fmt.Sprintf("5c1e07a2:40,%08x:200", rand.Uint32()) }
	go s.play(14*time.Second, 25*time.Millisecond, func() {
		s.prompt("sound", keyOne, "/lohu930/2f", prefix(), 1000, body())
	}, 0, nil)
	time.Sleep(2 * time.Second)
	// A heartbeat gets no answer; it is performed late.
	lost := time.Now()
	record.add("store", "loses the answer to a heartbeat of", leaving.id, "and performs it later")
	if trouble {
		time.AfterFunc(5900*time.Millisecond, func() { write("ready", 3) })
	}
	time.Sleep(time.Until(lost.Add(3300 * time.Millisecond))) // the store is stable again
	state <- "draining"
	acknowledged := time.Now()
	record.add("store", "has acknowledged that", leaving.id, "is draining")
	time.Sleep(8 * time.Second)
	record.mu.Lock()
	defer record.mu.Unlock()
	late := 0
	for _, a := range record.arrivals {
		if a.engine == leaving && a.at.After(acknowledged.Add(drainMs*time.Millisecond)) {
			late++
		}
	}
	fmt.Fprintf(record.file, "requests that reached the leaving engine later than %d ms after the acknowledgement: %d\n", drainMs, late)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached an engine later than drainMs after the acknowledgement that it is draining", late)
	}
	return ""
}
