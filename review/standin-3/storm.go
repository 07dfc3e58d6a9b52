package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["storm"] = storm }

// drawn returns a drawn desired state.
func drawn(version int, r *rand.Rand) []byte {
	pick := func(values ...any) any { return values[r.IntN(len(values))] }
	routes := []any{}
	add := func(name, kind, service string, resumable bool) {
		if r.IntN(8) == 0 {
			return
		}
		route := map[string]any{"name": name, "host": "site.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": pick(300, 1500, 10000, 0), "targetLatencyMs": pick(0, 10, 300, 3000), "targetGapMs": pick(0, 200, 800),
			"service": service, "maxAttempts": pick(0, 1, 2, 3), "resumable": resumable, "priority": r.IntN(12), "public": r.IntN(4) == 0}
		if r.IntN(4) == 0 {
			route["trafficSplit"] = []any{map[string]any{"service": "pool", "weight": r.IntN(3)}, map[string]any{"service": pick("bookings", "gone", "pool"), "weight": r.IntN(3)}}
		}
		routes = append(routes, route)
	}
	add("chat", "streaming", "pool", r.IntN(2) == 0)
	add("talk", "streaming", "pool", false)
	add("book", "unsafe", "bookings", false)
	add("read", "safe", "bookings", false)
	for n := range r.IntN(40) {
		add(fmt.Sprint("x", n), "streaming", "pool", n%2 == 0)
	}
	services := []any{}
	engine := map[string]any{"slots": pick(16, 1, 0), "kvCapacityTokens": pick(450000, 1000, 0), "stride": pick(46, 1, 0), "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": pick(256000, 0, 1), "pairs_per_m": 0.0917, "chunk": pick(2048, 0, 1)}
	if r.IntN(6) > 0 {
		pool := map[string]any{"name": "pool", "coldPerS": pick(26, 0, 1), "maxConns": pick(224, 0, 1)}
		if r.IntN(5) > 0 {
			pool["engine"] = engine
		}
		services = append(services, pool)
	}
	if r.IntN(6) > 0 {
		services = append(services, map[string]any{"name": "bookings"})
	}
	tenants := []any{map[string]any{"name": pick("one", "uno"), "apiKeys": []any{"key-one"}, "priority": r.IntN(5)}}
	if r.IntN(6) == 0 {
		tenants = []any{}
	}
	state := map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"maxHeaderBytes": pick(16384, 300), "maxBodyBytes": pick(4194304, 100), "idleTimeoutMs": pick(10000, 100)}, "tenants": tenants}
	text, _ := json.Marshal(state)
	return text
}

// storm plays drawn desired states in quick succession.
func storm() []string {
	random := rand.New(rand.NewPCG(*seed, 1))
	s := newStore()
	s.put("op", "config", desired(1))
	zones := []string{"nadi", "lautoka", "sigatoka"}
	for n := range 6 {
		startEngine(s, fmt.Sprintf("i-%d", n), "pool", zones[n%3], 2, 20*time.Millisecond)
	}
	for n := range 3 {
		startEngine(s, fmt.Sprintf("b-%d", n), "bookings", zones[n%3], 2, 30*time.Millisecond)
	}
	entries := newEntries(s, 2, zones)
	running = entries
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	var mu sync.Mutex
	var broken []string
	count := map[string]int{}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n := range 80 {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(*seed, uint64(100+n)))
			c := newClient()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(random.IntN(30)) * time.Millisecond):
				}
				q := request{method: "POST", path: "/" + []string{"book", "read", "chat", "talk", "x1", "x7"}[random.IntN(6)] + "/x", key: "key-one", body: strings.Repeat("b", 1+random.IntN(20000)), limit: 3 * time.Second}
				q.kind = q.path
				if q.path != "/book/x" && q.path != "/read/x" {
					q.header = map[string]string{"Token-Usage": fmt.Sprintf("%d,500", []int{0, 100, 5000, 400000, 5000000}[random.IntN(5)]), "Model": "m", "Prompt-Prefix": fmt.Sprintf("a%d:40,%x:4960", random.IntN(5), random.Uint64())}
				}
				x := c.ask(entries[n%2], q)
				runs := journal.runsOf(x.attempt)
				mu.Lock()
				count[fmt.Sprintf("%s %d %v", q.kind, x.status, x.whole)]++
				if (q.path == "/book/x" || q.path == "/talk/x") && (len(runs) > 1 || len(runs) > 0 && (x.status == 503 || x.status == 429)) {
					broken = append(broken, fmt.Sprintf("TWICE or REFUSED %s %s %d runs %d", q.kind, x.attempt, x.status, len(runs)))
				}
				if x.took > q.limit+1500*time.Millisecond {
					broken = append(broken, fmt.Sprintf("unanswered %s %v", q.path, x.took))
				}
				mu.Unlock()
			}
		})
	}
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	for version := 2; time.Now().Before(end); version++ {
		time.Sleep(time.Duration(5+random.IntN(120)) * time.Millisecond)
		s.put("op", "config", drawn(version, random))
	}
	for _, e := range entries {
		if e.hasEnded() {
			broken = append(broken, "an entry has ended by itself")
		}
	}
	close(stop)
	wait.Wait()
	for _, e := range entries {
		log := e.log.String()
		for _, word := range []string{"panic", "DATA RACE", "fatal error", "goroutine "} {
			if i := strings.Index(log, word); i >= 0 {
				broken = append(broken, log[max(0, i-500):min(len(log), i+4000)])
			}
		}
	}
	fmt.Println(count)
	return broken
}
