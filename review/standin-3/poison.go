package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["poison"] = poison }

// poison has requests with one part that crashes each engine that begins to write on it.
func poison() []string {
	random := rand.New(rand.NewPCG(*seed, 1))
	s := newStore()
	s.put("op", "config", desired(1))
	zones := []string{"nadi", "lautoka", "sigatoka"}
	var mu sync.Mutex
	var crashes []time.Time
	var late []string
	var pool []*engine
	variant := os.Getenv("VARIANT")
	newID := strings.Contains(variant, "newid")
	for n := range 9 {
		e := startEngine(s, fmt.Sprintf("i-%d", n), "pool", zones[n%3], 16, 15*time.Millisecond)
		e.fault = func(r *http.Request) string {
			if !strings.Contains(r.Header.Get("Prompt-Prefix"), "bad:") {
				return ""
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			if n > 5 && time.Since(crashes[4]) > contactMs*time.Millisecond {
				late = append(late, r.Header.Get("Attempt-Id"))
			}
			mu.Unlock()
			journal.note("crash %d of %s under %s", n, e.id, r.Header.Get("Prompt-Prefix"))
			time.Sleep(30 * time.Millisecond)
			go func() {
				e.stop()
				if newID {
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				if newID {
					s.remove("servers", e.id)
					e.mu.Lock()
					e.id += "x"
					e.mu.Unlock()
				}
				e.start(e.address)
			}()
			return "hang"
		}
		pool = append(pool, e)
	}
	startEngine(s, "b-0", "bookings", zones[0], 6, 30*time.Millisecond)
	_ = pool
	entries := newEntries(s, 3, zones)
	running = entries
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	type sample struct {
		at time.Time
		ok bool
	}
	var sound []sample
	stop := make(chan struct{})
	var wait sync.WaitGroup
	poisonOn := time.Now().Add(8 * time.Second)
	for n := range 24 {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(*seed, uint64(100+n)))
			c := newClient()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(300+random.IntN(300)) * time.Millisecond):
				}
				q := request{method: "POST", path: "/chat/x", key: "key-one", body: fmt.Sprint(random.Uint64()), kind: "stream", limit: 6 * time.Second}
				prefix := fmt.Sprintf("aa:40,c%d:200,%x:960", random.IntN(3), random.Uint64())
				bad := n < 3
				if bad {
					if time.Now().Before(poisonOn) {
						continue
					}
					prefix = fmt.Sprintf("aa:40,bad:300,%x:960", random.Uint64())
					if strings.Contains(variant, "first") {
						prefix = fmt.Sprintf("bad:40,c%d:200,%x:960", random.IntN(3), random.Uint64())
					}
					if strings.Contains(variant, "all") {
						prefix = fmt.Sprintf("aa:40,c%d:200,bad:300,%x:960", random.IntN(3), random.Uint64())
					}
				}
				q.header = map[string]string{"Token-Usage": "1300,600", "Model": "m", "Prompt-Prefix": prefix}
				x := c.ask(entries[random.IntN(3)], q)
				if !bad {
					mu.Lock()
					sound = append(sound, sample{x.sent, x.status == 200})
					mu.Unlock()
				}
			}
		})
	}
	go func() {
		time.Sleep(time.Until(poisonOn) + 1500*time.Millisecond)
		for n := range 30 {
			e := entries[n%3]
			switch {
			case strings.Contains(variant, "roll"):
				e.signal(syscall.SIGTERM)
				<-e.ended
				e.start()
				time.Sleep(500 * time.Millisecond)
			case strings.Contains(variant, "kill"):
				time.Sleep(time.Duration(1000+random.IntN(2000)) * time.Millisecond)
				e.kill()
				e.start()
			default:
				return
			}
			select {
			case <-stop:
				return
			default:
			}
		}
	}()
	time.Sleep(time.Until(poisonOn) + time.Duration(*seconds)*time.Second)
	close(stop)
	wait.Wait()
	var broken []string
	mu.Lock()
	defer mu.Unlock()
	fmt.Println("crashes", len(crashes), "late", len(late))
	if len(late) > 3 {
		broken = append(broken, fmt.Sprintf("BUDGET: %d requests with the part reached engines later than contactMs after the fifth crash", len(late)))
	}
	if len(crashes) > 0 {
		last := crashes[min(4, len(crashes)-1)].Add(2 * contactMs * time.Millisecond)
		rate := func(from, to time.Time) (float64, int) {
			n, ok := 0, 0
			for _, x := range sound {
				if x.at.After(from) && x.at.Before(to) {
					n++
					if x.ok {
						ok++
					}
				}
			}
			return float64(ok) / float64(max(1, n)), n
		}
		before, n := rate(began, poisonOn)
		after, m := rate(last, time.Now())
		fmt.Printf("sound before %.3f of %d, after %.3f of %d\n", before, n, after, m)
		if after < before/2 {
			broken = append(broken, fmt.Sprintf("LOST: sound requests begin %.3f, before %.3f", after, before))
		}
	}
	return broken
}
