package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreign lets an engine drain. Another writer writes a row under its id from which one field
// is missing. The engine goes on writing its own row every heartbeat, serves for drainMs and a
// little longer, and exits.
func foreign() []string {
	s := newStore()
	s.put("op", "config", []byte(desiredState))
	zones := []string{"nadi", "lautoka", "sigatoka"}
	startEngine(s, "i-0", "pool", zones[0], 16, 20*time.Millisecond)
	var plain []*engine
	for n := range 3 {
		plain = append(plain, startEngine(s, fmt.Sprintf("b-%d", n), "bookings", zones[n], 6, 60*time.Millisecond))
	}
	entries := newEntries(s, 3, zones)
	running = entries
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	var mu sync.Mutex
	var results []result
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n := range 12 {
		wait.Go(func() {
			c := newClient()
			for {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
				x := c.ask(entries[n%3], request{method: "POST", path: "/book/x", key: "key-one", body: "seat", kind: "unsafe", limit: 3 * time.Second})
				mu.Lock()
				results = append(results, x)
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second)
	leaving := plain[0]
	old := leaving.row(map[string]any{"born": nil}) // as it was while ready
	acknowledged := leaving.setState("draining")
	journal.note("the store has acknowledged that %s is draining", leaving.id)
	time.Sleep(2500 * time.Millisecond)
	leaving.awaitHeartbeat()
	time.Sleep(50 * time.Millisecond)
	if trouble {
		s.put("servers", leaving.id, old)
		journal.note("another writer has written servers/%s without born: %s", leaving.id, old)
	}
	time.Sleep(1100 * time.Millisecond)
	leaving.stop()
	s.remove("servers", leaving.id)
	journal.note("%s has exited", leaving.id)
	time.Sleep(2 * time.Second)
	close(stop)
	wait.Wait()
	var broken []string
	sent := map[string]result{}
	lost := 0
	for _, x := range results {
		sent[x.attempt] = x
		journal.note("sent %.3f %s to the system: %d in %v", since(x.sent), x.attempt, x.status, x.took.Round(time.Millisecond))
	}
	bound := acknowledged.Add(drainMs * time.Millisecond)
	for _, r := range journal.runs {
		journal.note("ran %.3f %s at %s, whole %v", since(r.at), r.attempt, r.engine, r.whole)
	}
	for _, a := range journal.arrivals {
		x, found := sent[a.attempt]
		if a.engine == leaving.id && found && x.sent.After(bound) {
			broken = append(broken, fmt.Sprintf("DRAIN: %s, sent at %.3f, reached %s at %.3f, %.3f s after its draining was acknowledged; answered %d", a.attempt, since(x.sent), a.engine, since(a.at), a.at.Sub(acknowledged).Seconds(), x.status))
			if x.status != 200 {
				lost++
			}
		}
	}
	if len(broken) > 0 {
		journal.note("of %d such requests %d got no answer of the engine", len(broken), lost)
		fmt.Println(len(broken), "late requests,", lost, "without the engine's answer")
	}
	return broken
}
