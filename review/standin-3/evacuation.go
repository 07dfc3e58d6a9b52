package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["evacuation"] = evacuation }

const (
	evacuateMs, outerBoundMs = 5000, 5000
	copyAge                  = 4 * time.Second  // of the copy from which the store comes back
	operatorDelay            = 12 * time.Second // from the return until the operator has written again
)

// evacuation has a zone evacuated. Then the store is away for a second and comes back from a
// copy of before that. The engines write again within a heartbeat, the operator later.
func evacuation() []string {
	s := newStore()
	s.put("op", "config", []byte(desiredState))
	zones := []string{"nadi", "lautoka", "sigatoka"}
	startEngine(s, "i-0", "pool", zones[0], 16, 20*time.Millisecond)
	for n := range 3 {
		startEngine(s, fmt.Sprintf("b-%d", n), "bookings", zones[n], 6, 30*time.Millisecond)
	}
	entries := newEntries(s, 3, zones)
	running = entries
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]result{}
	for n := range 12 {
		wait.Go(func() {
			c := newClient()
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				x := c.ask(entries[n%3], request{method: "POST", path: "/book/x", key: "key-one", body: "seat", kind: "unsafe", limit: 3 * time.Second})
				mu.Lock()
				sent[x.attempt] = x
				mu.Unlock()
			}
		})
	}
	time.Sleep(5 * time.Second)
	older := s.copy()
	time.Sleep(time.Second)
	acknowledged := s.put("op", "evacuate/nadi", []byte("{}"))
	journal.note("the store has acknowledged op/evacuate/nadi")
	time.Sleep(copyAge - 2*time.Second)
	back := time.Now()
	if trouble {
		s.setFault("busy")
		journal.note("the store is away")
		time.Sleep(time.Second)
		s.restore(older)
		back = time.Now()
		journal.note("the store is back from a copy that is %.1f s old", copyAge.Seconds())
	}
	time.Sleep(operatorDelay)
	again := s.put("op", "evacuate/nadi", []byte("{}"))
	journal.note("the operator has written op/evacuate/nadi again, %.1f s after the return", again.Sub(back).Seconds())
	time.Sleep(2 * time.Second)
	close(stop)
	wait.Wait()
	var broken []string
	from := acknowledged.Add((evacuateMs + outerBoundMs) * time.Millisecond)
	if stable := back.Add(contactMs * time.Millisecond); stable.After(from) {
		from = stable
	}
	for _, a := range journal.arrivals {
		x := sent[a.attempt]
		journal.note("sent %.3f %s, reached %s at %.3f, answered %d", since(x.sent), a.attempt, a.engine, since(a.at), x.status)
		if a.engine == "b-0" && x.sent.After(from) {
			broken = append(broken, fmt.Sprintf("EVAC: %s, sent at %.3f, reached b-0 in nadi %.1f s after the acknowledgement and %.1f s after the store was back", a.attempt, since(x.sent), a.at.Sub(acknowledged).Seconds(), a.at.Sub(back).Seconds()))
		}
	}
	fmt.Println(len(broken), "late requests")
	return broken
}
