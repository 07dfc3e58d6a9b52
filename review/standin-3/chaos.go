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

func init() { cases["chaos"] = chaos }

func desired(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"chat","host":"site.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"targetGapMs":200,"service":"pool","maxAttempts":2,"resumable":true,"priority":1},
 {"name":"talk","host":"site.example","pathPrefix":"/talk/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"targetGapMs":200,"service":"pool","maxAttempts":2,"priority":1},
 {"name":"book","host":"site.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"service":"bookings","maxAttempts":1,"priority":2},
 {"name":"read","host":"site.example","pathPrefix":"/read/","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"service":"bookings","maxAttempts":2,"priority":%d}],
"services":[{"name":"pool","coldStartS":3,"coldPerS":26,"maxConns":224,"engine":{"slots":16,"kvCapacityTokens":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048,"usual":{"prompt":5000,"answer":1600}}},{"name":"bookings","maxConns":48}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":10000},"tenants":[{"name":"one","apiKeys":["key-one"]},{"name":"two","apiKeys":["key-two"],"priority":1}]}`, version, 2+version%2)
}

// chaos plays drawn disruptions and checks what holds at any time.
func chaos() []string {
	random := rand.New(rand.NewPCG(*seed, 1))
	s := newStore()
	s.put("op", "config", desired(1))
	zones := []string{"nadi", "lautoka", "sigatoka"}
	var pool, plain []*engine
	for n := range 6 {
		e := startEngine(s, fmt.Sprintf("i-%d", n), "pool", zones[n%3], 16, 20*time.Millisecond)
		pool = append(pool, e)
	}
	for n := range 3 {
		plain = append(plain, startEngine(s, fmt.Sprintf("b-%d", n), "bookings", zones[n%3], 6, 60*time.Millisecond))
	}
	all := append(pool, plain...)
	var fmu sync.Mutex
	fr := rand.New(rand.NewPCG(*seed, 2))
	rate := 0.0
	for _, e := range all {
		e.fault = func(*http.Request) string {
			fmu.Lock()
			defer fmu.Unlock()
			if fr.Float64() >= rate {
				return ""
			}
			return []string{"reject", "reset", "torn", "error", "unframed", "hang", "extra", "garbage", "endless"}[fr.IntN(9)]
		}
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
	report := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, fmt.Sprintf(format, args...))
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	count := map[string]int{}
	for n := range 60 {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(*seed, uint64(100+n)))
			c := newClient()
			for {
				select {
				case <-stop:
					return
				default:
				}
				time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
				e := entries[random.IntN(len(entries))]
				body := strings.Repeat(fmt.Sprint(random.Uint64()), 1+random.IntN(2000))
				q := request{method: "POST", path: "/book/x", key: "key-one", body: body, kind: "unsafe", limit: 2 * time.Second}
				switch random.IntN(5) {
				case 0:
					q.path, q.kind = "/read/x", "safe"
				case 1, 2:
					q.path, q.kind, q.limit = "/chat/x", "stream", 6*time.Second
					q.header = map[string]string{"Token-Usage": fmt.Sprintf("%d,500", 500+random.IntN(300000)), "Model": "m", "Prompt-Prefix": fmt.Sprintf("a%d:40,%x:4960", random.IntN(5), random.Uint64())}
				case 3:
					q.path, q.kind, q.limit = "/talk/x", "stream once", 6*time.Second
					q.header = map[string]string{"Token-Usage": "5000,500", "Model": "m", "Prompt-Prefix": fmt.Sprintf("a%d:40,%x:4960", random.IntN(5), random.Uint64())}
				}
				x := c.ask(e, q)
				mu.Lock()
				count[fmt.Sprintf("%s %d %v", q.kind, x.status, x.whole)]++
				mu.Unlock()
				runs := journal.runsOf(x.attempt)
				if (q.kind == "unsafe" || q.kind == "stream once") && len(runs) > 1 {
					report("TWICE %s %s", q.kind, x.attempt)
				}
				if (q.kind == "unsafe" || q.kind == "stream once") && (x.status == 503 || x.status == 429) && len(runs) > 0 {
					report("REFUSED %s %s", q.kind, x.attempt)
				}
				if os.Getenv("CALM") == "1" && !x.whole && len(runs) > 0 {
					report("LOST %s %s sent %.3f took %v: %v", q.kind, x.attempt, since(x.sent), x.took, x.err)
				}
				for _, r := range runs {
					if r.body != q.body || r.target != q.path || r.tenant != "one" {
						report("UNASKED %s", x.attempt)
					}
				}
				if x.status == 200 && x.whole && x.stamp != "" {
					want := text(x.attempt, q.body)
					if strings.HasPrefix(q.kind, "stream") {
						want = ""
						for n := range 12 {
							want += event(n+1, q.body)
						}
					}
					if x.body != want {
						report("MIXED/ORDER %s %s: %q", q.kind, x.attempt, x.body[:min(len(x.body), 300)])
					}
				}
				if x.took > q.limit+1900*time.Millisecond {
					report("unanswered %s %s %v %v", q.kind, x.attempt, x.took, x.err)
				}
			}
		})
	}
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	version := 1
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
		action := random.IntN(11)
		if os.Getenv("CALM") == "1" {
			action = []int{1, 3, 6, 7, 8, 10}[random.IntN(6)]
		}
		switch action {
		case 0:
			fmu.Lock()
			rate = []float64{0, 0.05, 0.3, 0.6}[random.IntN(4)]
			fmu.Unlock()
		case 1:
			version++
			s.put("op", "config", desired(version))
		case 2:
			e := all[random.IntN(len(all))]
			e.stop()
			go func() {
				time.Sleep(2 * time.Second)
				e.start(e.address)
			}()
			time.Sleep(50 * time.Millisecond)
		case 3:
			e := entries[random.IntN(len(entries))]
			if !e.hasEnded() {
				e.signal(syscall.SIGTERM)
				go func() { <-e.ended; e.start() }()
			}
		case 4:
			e := entries[random.IntN(len(entries))]
			if !e.hasEnded() {
				e.kill()
				e.start()
			}
		case 5:
			e := entries[random.IntN(len(entries))]
			e.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			e.signal(syscall.SIGCONT)
		case 6:
			s.setFault([]string{"busy", "silent"}[random.IntN(2)])
			time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
			s.setFault("")
		case 7:
			e := all[random.IntN(len(all))]
			e.setState("draining")
			go func() {
				time.Sleep(3 * time.Second)
				e.setState("ready")
			}()
		case 9:
			e := all[random.IntN(len(all))]
			line := []string{"", "Server-Limit: 3\r\n", "Server-Limit: 0.2\r\n", "Server-Limit: NaN\r\n", "Retry-After: 2\r\n", "Retry-After: -1\r\n", "Server-Limit: 1e-300\r\n"}[random.IntN(7)]
			e.mu.Lock()
			e.extra = func(int) string { return line }
			e.mu.Unlock()
		case 10:
			e := all[random.IntN(len(all))]
			e.mu.Lock()
			names := []string{"service", "address", "zone", "slots", "state", "sequence", "born", "coldRemainingMs"}
			values := []any{nil, "x", 1.5, -1, []int{1}, true, 1 << 60, ""}
			v := e.row(map[string]any{names[random.IntN(len(names))]: values[random.IntN(len(values))]})
			e.mu.Unlock()
			s.put("servers", []string{e.id, "ghost"}[random.IntN(2)], v)
		case 8:
			for _, e := range entries {
				e.signal(syscall.SIGHUP)
			}
		}
	}
	close(stop)
	wait.Wait()
	for _, e := range entries {
		if e.hasEnded() {
			time.Sleep(200 * time.Millisecond)
			if e.hasEnded() {
				report("entry %d has ended by itself: %s", e.n, e.log.String()[max(0, len(e.log.String())-3000):])
			}
		}
	}
	time.Sleep(14 * time.Second)
	for _, e := range entries {
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.command.Process.Pid))
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
		for _, l := range strings.Split(string(status), "\n") {
			if strings.HasPrefix(l, "VmHWM") || strings.HasPrefix(l, "VmRSS") {
				fmt.Println(e.n, len(files), l)
			}
		}
	}
	for _, e := range entries {
		log := e.log.String()
		for _, word := range []string{"panic", "DATA RACE", "fatal error", "goroutine "} {
			if i := strings.Index(log, word); i >= 0 {
				report("%s: %s", word, log[max(0, i-300):min(len(log), i+3000)])
			}
		}
	}
	journal.note("%v", count)
	fmt.Println(count)
	return broken
}
