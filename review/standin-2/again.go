package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { plays["again"] = playAgain }

// Bounds of the small site.
const (
	configApplyMs = 2000
	outerBoundMs  = 5000
)

// playAgain lets the store return from a copy that is some seconds old. The operator's next
// desired state, which takes a key away, is acknowledged as soon as the store is back.
func playAgain(record *recorder, trouble bool) string {
	s := newSite(record, 1, 6, 2)
	defer s.end()
	s.begin()
	older := s.store.copy()
	for _, version := range []int{6, 7, 9} {
		time.Sleep(time.Second)
		s.store.put("op", "config", configuration(version))
		record.add("operator", "version", version, "is acknowledged")
	}
	time.Sleep(time.Second)
	returned := make(chan time.Time, 1)
	if trouble {
		record.add("store", "goes away")
		go func() {
			s.store.drill(older, time.Second)
			record.add("store", "is back from a copy 4 s old")
			returned <- time.Now()
		}()
		time.Sleep(500 * time.Millisecond)
	} else {
		returned <- time.Now()
	}
	next := configuration(12)
	next["tenants"] = next["tenants"].([]any)[:1] // the key of the second tenant is taken away
	for s.store.isAway() {                        // the operator tries again until the store takes it
		time.Sleep(50 * time.Millisecond)
	}
	s.store.put("op", "config", next)
	acknowledged := time.Now()
	record.add("operator", "version 12, without the second tenant, is acknowledged")
	results := make(chan *call, 1000)
	prefix := func() string { return fmt.Sprintf("5c1e07a2:40,%08x:200", rand.Uint32()) }
	s.play(25*time.Second, 100*time.Millisecond, func() {
		results <- s.prompt("dropped-key", keyTwo, "/lohu930/2f", prefix(), 1000, body())
	}, 500*time.Millisecond, func() { s.prompt("sound", keyOne, "/lohu930/2f", prefix(), 1000, body()) })
	close(results)
	// Calm machines are in touch contactMs after the end of the disturbance. The bound is
	// taken with outerBoundMs, by which an unstable core may stretch it.
	from := acknowledged.Add((configApplyMs + outerBoundMs) * time.Millisecond)
	if in := (<-returned).Add(contactMs * time.Millisecond); in.After(from) {
		from = in
	}
	late, last := 0, time.Time{}
	record.mu.Lock()
	defer record.mu.Unlock()
	for c := range results {
		if c.sent.After(from) && (record.runs[c.attempt] > 0 || c.status == http.StatusOK) {
			late++
			if c.sent.After(last) {
				last = c.sent
			}
		}
	}
	fmt.Fprintf(record.file, "requests with the dropped key that ran, sent later than %.1f s after the acknowledgement: %d\n", from.Sub(acknowledged).Seconds(), late)
	if late > 0 {
		return fmt.Sprintf("CONFIG: %d requests with a dropped key ran, the last one sent %.1f s after the acknowledgement", late, last.Sub(acknowledged).Seconds())
	}
	return ""
}
