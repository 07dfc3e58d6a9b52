package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stamp"] = stamp }

// shares of the servers that hand out wrong bytes, and of their answers, as kinds names them
// for garble: share .5, x .02.
const spoiledAnswers = 0.02

// garbleTime is how long they do so at a time, as in the site file.
const garbleTime = 5500 * time.Millisecond

// stamp lets one of three engines of the plain service, and two of four model engines, hand
// out wrong bytes: in two of a hundred answers one byte in the name of the field Response-Stamp
// is wrong, so that the answer comes without the engine's MAC.
func stamp() []string {
	s := newStore()
	s.put("op", "config", []byte(desiredState))
	zones := []string{"nadi", "lautoka", "sigatoka"}
	var faulty []*engine
	for n := range 4 {
		e := startEngine(s, fmt.Sprintf("i-%d", n), "pool", zones[n%3], 16, 20*time.Millisecond)
		if n < 2 {
			faulty = append(faulty, e)
		}
	}
	for n := range 3 {
		e := startEngine(s, fmt.Sprintf("b-%d", n), "bookings", zones[n], 6, 30*time.Millisecond)
		if n == 0 {
			faulty = append(faulty, e)
		}
	}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(*seed, 5))
	spoiled := map[string]string{}
	on := false // the disruption
	if trouble {
		for _, e := range faulty {
			e.fault = func(r *http.Request) string {
				mu.Lock()
				defer mu.Unlock()
				if !on || random.Float64() >= spoiledAnswers {
					return ""
				}
				id := r.Header.Get("Attempt-Id")
				spoiled[id] = e.id
				journal.note("%s hands out a wrong byte in the head of its answer to %s", e.id, id)
				return "spoiled"
			}
		}
	}
	entries := newEntries(s, 3, zones)
	running = entries
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	var results []result
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n := range 30 {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(*seed, uint64(100+n)))
			c := newClient()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+random.IntN(150)) * time.Millisecond):
				}
				q := request{method: "POST", path: "/book/x", key: "key-one", body: "seat", kind: "unsafe", limit: 3 * time.Second}
				switch n / 3 % 3 {
				case 1:
					q.path, q.kind = "/read/x", "safe"
				case 2:
					q.path, q.kind, q.limit = "/chat/x", "stream", 6*time.Second
					q.header = map[string]string{"Token-Usage": "2000,500", "Model": "m", "Prompt-Prefix": fmt.Sprintf("a%d:40,%x:1960", random.IntN(5), random.Uint64())}
				}
				x := c.ask(entries[n%len(entries)], q)
				mu.Lock()
				results = append(results, x)
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	for range 4 {
		mu.Lock()
		on = true
		mu.Unlock()
		time.Sleep(garbleTime)
		mu.Lock()
		on = false
		mu.Unlock()
		time.Sleep(3 * time.Second)
	}
	close(stop)
	wait.Wait()
	var broken []string
	counts := map[string]int{}
	for _, x := range results {
		journal.note("sent %.3f %s %s: %d, stamp %q, whole %v", since(x.sent), x.kind, x.attempt, x.status, x.stamp, x.whole)
		counts[fmt.Sprintf("%s %d, stamp %v", x.kind, x.status, x.stamp != "")]++
		if x.status/100 == 2 && x.whole && x.stamp == "" {
			broken = append(broken, fmt.Sprintf("MIXED: the client of %s %s got %d without Response-Stamp; the engine was %s", x.kind, x.attempt, x.status, spoiled[x.attempt]))
		}
	}
	for _, r := range journal.runs {
		journal.note("ran %.3f %s at %s", since(r.at), r.attempt, r.engine)
	}
	journal.note("%v, %d answers spoiled", counts, len(spoiled))
	fmt.Println(counts, len(spoiled), "answers spoiled")
	return broken
}
