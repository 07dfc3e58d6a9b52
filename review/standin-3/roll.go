package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll"] = roll }

// roll stops entries in turn under load.
func roll() []string {
	s := newStore()
	s.put("op", "config", desired(1))
	zones := []string{"nadi", "lautoka", "sigatoka"}
	for n := range 6 {
		e := startEngine(s, fmt.Sprintf("i-%d", n), "pool", zones[n%3], 16, 20*time.Millisecond)
		e.events = 12
	}
	for n := range 3 {
		startEngine(s, fmt.Sprintf("b-%d", n), "bookings", zones[n%3], 6, 10*time.Millisecond)
	}
	entries := newEntries(s, 4, zones)
	running = entries
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	var broken []string
	var mu sync.Mutex
	count := map[string]int{}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n := range 80 {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(*seed, uint64(100+n)))
			c := newClient()
			e := entries[n%len(entries)]
			for {
				select {
				case <-stop:
					return
				default:
				}
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
				q := request{method: "POST", path: "/book/x", key: "key-one", body: fmt.Sprint(random.Uint64()), kind: "unsafe", limit: 2 * time.Second}
				if n%5 == 0 {
					q.body = strings.Repeat(q.body, 800)
				}
				if n%4 == 0 {
					q.path, q.kind, q.limit = "/chat/x", "stream", 6*time.Second
					q.header = map[string]string{"Token-Usage": "2000,500", "Model": "m", "Prompt-Prefix": fmt.Sprintf("a%d:40,%x:4960", random.IntN(5), random.Uint64())}
				}
				x := c.ask(e, q)
				mu.Lock()
				count[fmt.Sprintf("%s %d %v", q.kind, x.status, x.whole)]++
				if !x.whole {
					if runs := journal.runsOf(x.attempt); len(runs) > 0 {
						broken = append(broken, fmt.Sprintf("LOST %s %s sent %.3f took %v err %v runs %d entry %d", q.kind, x.attempt, since(x.sent), x.took, x.err, len(runs), e.n))
					}
				}
				mu.Unlock()
				if x.status == 0 {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	_ = http.StatusOK
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		e := entries[i%len(entries)]
		e.signal(syscall.SIGTERM)
		<-e.ended
		e.start()
		time.Sleep(300 * time.Millisecond)
	}
	close(stop)
	wait.Wait()
	fmt.Println(count)
	return broken
}
