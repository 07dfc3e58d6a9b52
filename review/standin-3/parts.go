package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["parts"] = parts }

// number returns the value of a variable, or a default.
func number(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// parts has sound prompts of long sessions with many parts each, and beside them one prompt a
// second with a part that crashes each engine that begins to write on it.
func parts() []string {
	parts, callers := number("PARTS", 1730), 230
	s := newStore()
	s.put("op", "config", []byte(desiredState))
	zones := []string{"nadi", "lautoka", "sigatoka"}
	var mu sync.Mutex
	var crashes []time.Time
	var late []string
	for n := range 14 {
		e := startEngine(s, fmt.Sprintf("i-%d", n), "pool", zones[n%3], 16, 100*time.Millisecond)
		e.fault = func(r *http.Request) string {
			if !strings.Contains(r.Header.Get("Prompt-Prefix"), "bad0ba:") {
				return ""
			}
			now := time.Now()
			mu.Lock()
			crashes = append(crashes, now)
			number := len(crashes)
			if number > 5 && now.Sub(crashes[4]) > contactMs*time.Millisecond {
				late = append(late, r.Header.Get("Attempt-Id"))
			}
			mu.Unlock()
			e.mu.Lock()
			running := e.running
			e.mu.Unlock()
			journal.note("crash %d: %s ends as it begins to write on %s, beside %d others", number, e.id, r.Header.Get("Attempt-Id"), running)
			go func() {
				time.Sleep(20 * time.Millisecond)
				e.stop()
				time.Sleep(3 * time.Second)
				s.remove("servers", e.id)
				e.mu.Lock()
				e.id = fmt.Sprintf("i-%d-%d", n, number)
				e.mu.Unlock()
				e.start(e.address)
			}()
			time.Sleep(time.Second)
			return ""
		}
	}
	startEngine(s, "b-0", "bookings", zones[0], 6, 30*time.Millisecond)
	entries := newEntries(s, number("ENTRIES", 1), zones)
	running = entries
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	prefix := func(session int, bad bool, own uint64) string {
		var b strings.Builder
		b.WriteString("aa0000:40,")
		for i := range parts - 2 {
			if bad && i == parts/2 {
				b.WriteString("bad0ba:5,")
			}
			fmt.Fprintf(&b, "%03x%03x:5,", session, i)
		}
		fmt.Fprintf(&b, "%08x:960", uint32(own))
		return b.String()
	}
	counts := map[string]int{}
	poisonOn := time.Now().Add(8 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	ask := func(random *rand.Rand, c *client, session int, bad bool) {
		q := request{method: "POST", path: "/chat/x", key: "key-one", body: fmt.Sprint(random.Uint64()), kind: "stream", limit: 10 * time.Second}
		q.header = map[string]string{"Token-Usage": fmt.Sprintf("%d,600", 40+5*(parts-2)+960), "Model": "m", "Prompt-Prefix": prefix(session, bad, random.Uint64())}
		x := c.ask(entries[random.IntN(len(entries))], q)
		journal.note("sent %.3f %s, with the part %v: %d in %v", since(x.sent), x.attempt, bad, x.status, x.took.Round(time.Millisecond))
		mu.Lock()
		counts[fmt.Sprintf("bad %v: %d", bad, x.status)]++
		mu.Unlock()
	}
	for n := range callers {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(*seed, uint64(100+n)))
			c := newClient()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(random.IntN(400)) * time.Millisecond):
				}
				ask(random, c, n, false)
			}
		})
	}
	wait.Go(func() {
		if !trouble {
			return
		}
		random := rand.New(rand.NewPCG(*seed, 7))
		time.Sleep(time.Until(poisonOn))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			wait.Go(func() { ask(random, newClient(), random.IntN(callers), true) })
		}
	})
	time.Sleep(time.Until(poisonOn) + 30*time.Second)
	close(stop)
	wait.Wait()
	fmt.Println(counts, "crashes", len(crashes), "late", len(late))
	for _, r := range journal.runs {
		journal.note("ran %.3f %s at %s, whole %v", since(r.at), r.attempt, r.engine, r.whole)
	}
	journal.note("%v; %d crashes", counts, len(crashes))
	for _, id := range late {
		journal.note("later than contactMs after the fifth crash: %s", id)
	}
	if len(late) > 3 {
		return []string{fmt.Sprintf("BUDGET: %d requests with the part reached engines later than contactMs after the fifth crash; 3 are allowed", len(late))}
	}
	return nil
}
