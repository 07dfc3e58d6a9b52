package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// recorder writes record.txt and keeps what the checks need.
type recorder struct {
	start time.Time
	file  *os.File

	mu       sync.Mutex
	arrivals []arrival
	runs     map[string]int // by attempt id
	crashes  []time.Time
}

// arrival is a request that has reached an engine.
type arrival struct {
	at           time.Time
	attempt      string
	engine       *engine
	id           string // of the engine's boot
	prefix, path string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, runs: map[string]int{}}, nil
}

func (r *recorder) add(what string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if what == "crash" {
		r.crashes = append(r.crashes, time.Now())
	}
	fmt.Fprintf(r.file, "%8.3f %s %s", time.Since(r.start).Seconds(), what, fmt.Sprintln(fields...))
}

func (r *recorder) arrive(a arrival) {
	r.add("arrived", a.attempt, "at", a.id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

func (r *recorder) run(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt]++
}

// site is a small deployment: a store, engines, entries and clients.
type site struct {
	record  *recorder
	store   *store
	engines []*engine
	entries []*entry
	dir     string // for settings and logs
	next    atomic.Int64
}

// entry is one process of the project.
type entry struct {
	site    *site
	name    string
	zone    string
	ip      string
	callers string
	ready   string
	calls   string
	config  string
	command *exec.Cmd
	done    chan struct{}
}

// Services, the host and keys of the site.
const (
	pool  = "huvo11a"
	plain = "wuno96b"
	host  = "ficu95.example"
)

// newSite starts a store in an era, engines of the pool, and entries.
func newSite(record *recorder, era int64, engines, entries int) *site {
	dir, err := os.MkdirTemp("", "review-2-")
	mustHave(err == nil, "%v", err)
	s := &site{record: record, dir: dir}
	s.store, err = newStore(era)
	mustHave(err == nil, "%v", err)
	s.store.put("op", "config", configuration(4))
	zones := []string{"ikeja", "lekki", "apapa"}
	for i := range engines {
		s.engines = append(s.engines, &engine{record: record, store: s.store, service: pool, zone: zones[i%len(zones)], slots: 16})
	}
	// Addresses of this run alone, so that runs beside each other don't take each other's ports.
	network := fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, 1+os.Getpid()/200%250)
	datagrams := freePort("udp4", network+".1")
	for i := range entries {
		e := &entry{site: s, name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", network, i+1)}
		e.callers, e.ready, e.calls = e.free(), e.free(), e.free()
		s.entries = append(s.entries, e)
	}
	seeds := make([]string, 0, len(s.entries))
	for _, e := range s.entries {
		seeds = append(seeds, e.calls)
	}
	for _, e := range s.entries {
		e.config = filepath.Join(dir, e.name+".conf")
		mustHave(os.WriteFile(e.config, []byte(e.settings(datagrams, seeds)), 0o600) == nil, "settings")
	}
	return s
}

func freePort(network, ip string) string {
	if network == "udp4" {
		c, err := net.ListenPacket(network, ip+":0")
		mustHave(err == nil, "%v", err)
		defer c.Close()
		_, port, _ := net.SplitHostPort(c.LocalAddr().String())
		return port
	}
	l, err := net.Listen(network, ip+":0")
	mustHave(err == nil, "%v", err)
	defer l.Close()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

func (e *entry) free() string { return e.ip + ":" + freePort("tcp4", e.ip) }

// settings fills in the template of the deploy file as the platform does, with the figures of
// the small site.
func (e *entry) settings(datagrams string, seeds []string) string {
	text, err := os.ReadFile("deploy/direct.toml.tmpl")
	mustHave(err == nil, "%v", err)
	t := string(text)
	begin, end := strings.Index(t, "{{#seeds}}"), strings.Index(t, "{{/seeds}}")
	mustHave(begin >= 0 && end > begin, "the template has no seeds")
	t = t[:begin] + `"` + strings.Join(seeds, `","`) + `"` + t[end+len("{{/seeds}}"):]
	for name, value := range map[string]string{
		"nodeName": e.name, "zone": e.zone, "region": "lagos", "limits.memoryMb": "284", "bounds.graceS": "8",
		"listen.front": e.callers, "listen.ready": e.ready, "listen.control": e.calls, "ip": e.ip, "internalPorts.0": datagrams,
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "100", "bounds.budgetWindowS": "10",
		"platform.address": e.site.store.address, "bounds.drainMs": "2000", "heartbeatMs": "1200",
	} {
		t = strings.ReplaceAll(t, "{{"+name+"}}", value)
	}
	mustHave(!strings.Contains(t, "{{"), "a placeholder of the template is not known:\n%s", t)
	return t
}

// start starts the process with the command of the deploy file.
func (e *entry) start() {
	log, err := os.OpenFile(filepath.Join(e.site.dir, e.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	mustHave(err == nil, "%v", err)
	defer log.Close()
	e.command = exec.Command("target/entry", "direct", "run", e.config)
	e.command.Stdout, e.command.Stderr = log, log
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BAMBOOHILL_CONFIG=" + e.config}
	mustHave(e.command.Start() == nil, "target/entry does not start: build it first")
	processes.Store(e.command.Process.Pid, e.command.Process)
	e.site.record.add("started", e.name)
	e.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		c.Wait()
		processes.Delete(c.Process.Pid)
		close(done)
	}(e.command, e.done)
}

// processes are those that run, by their ids.
var processes sync.Map

// kill ends the process with SIGKILL.
func (e *entry) kill() {
	if e.command != nil {
		e.command.Process.Kill()
		<-e.done
		e.site.record.add("killed", e.name)
	}
}

// awaitReady waits until the process is ready.
func (e *entry) awaitReady() {
	for end := time.Now().Add(15 * time.Second); ; {
		c := http.Client{Timeout: time.Second}
		answer, err := c.Get("http://" + e.ready + "/readiness")
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return
			}
		}
		mustHave(time.Now().Before(end), "%s is not ready", e.name)
		time.Sleep(50 * time.Millisecond)
	}
}

// begin starts engines and entries, and waits until they can serve.
func (s *site) begin() {
	for _, e := range s.engines {
		mustHave(e.start(false) == nil, "an engine does not start")
	}
	s.beginEntries()
}

// beginEntries starts the entries and waits until they can serve and are in touch.
func (s *site) beginEntries() {
	for _, e := range s.entries {
		e.start()
	}
	for _, e := range s.entries {
		e.awaitReady()
	}
	time.Sleep(4 * time.Second) // contactMs: the machines are in touch then
}

// end ends all processes and removes the settings.
func (s *site) end() {
	for _, e := range s.entries {
		e.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
}

// configuration is a desired state as fleetbench wire shows it.
func configuration(version int) map[string]any {
	engine := map[string]any{
		"slots": 16, "kvCapacityTokens": 450000, "kvTokenBytes": 327680, "linkMbps": 400000.0, "stride": 46, "models": []any{map[string]any{"name": "m"}},
		"step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048,
		"report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8, "delays": []any{}, "usual": map[string]any{"prompt": 13227, "answer": 1541}, "hopMs": 0.1,
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-chat", "host": host, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 1, "service": pool, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 200},
			map[string]any{"name": "r-book", "host": host, "pathPrefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 600, "targetLatencyMs": 100, "priority": 2, "service": plain, "maxAttempts": 1, "public": false},
			map[string]any{"name": "r-look", "host": host, "pathPrefix": "/cufi504/", "kind": "safe", "timeoutMs": 600, "targetLatencyMs": 100, "priority": 2, "service": plain, "maxAttempts": 2, "public": false},
		},
		"services": []any{
			map[string]any{"name": pool, "healthPath": "/health", "maxConns": 424, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 36.0, "engine": engine},
			map[string]any{"name": plain, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "hule930", "apiKeys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1},
			map[string]any{"name": "tabi552", "apiKeys": []string{"anfqasnmgkcuyj8pjbvk"}, "priority": 1},
		},
	}
}

// Keys of the two tenants.
const (
	keyOne = "n2ctnfzs989anu6wsjnb"
	keyTwo = "anfqasnmgkcuyj8pjbvk"
)

// call is one attempt of a client.
type call struct {
	attempt  string
	sent     time.Time
	status   int // 0 if there was no answer
	body     string
	whole    bool
	entry    string
	kind     string
	returnIn string
}

// newID returns an attempt id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// prompt sends a prompt on a new channel, as a client does.
func (s *site) prompt(kind, key, path, prefix string, tokens int, body []byte) *call {
	h := http.Header{
		"Model": {"m"}, "Token-Usage": {fmt.Sprintf("%d,400", tokens)}, "Prompt-Prefix": {prefix}, "Deadline-Ms": {"10000"},
		"Authorization": {"Token " + key},
	}
	return s.send(kind, s.entries[int(s.next.Add(1))%len(s.entries)], http.MethodPost, path, h, body, 10*time.Second)
}

func (s *site) send(kind string, e *entry, method, path string, h http.Header, body []byte, limit time.Duration) *call {
	c := &call{attempt: newID(), sent: time.Now(), entry: e.name, kind: kind}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, bytes.NewReader(body))
	mustHave(err == nil, "%v", err)
	r.Host = host
	r.Header = h.Clone()
	r.Header.Set("Attempt-Id", c.attempt)
	s.record.add("sent", c.attempt, kind, "to", e.name, path, "prefix", h.Get("Prompt-Prefix"))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	answer, err := client.Do(r)
	if err != nil {
		s.record.add("answered", c.attempt, kind, "none", err)
		return c
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	c.status, c.body, c.whole, c.returnIn = answer.StatusCode, string(text), err == nil, answer.Header.Get("Retry-After")
	s.record.add("answered", c.attempt, kind, c.status, "whole", c.whole, "bytes", len(text), "return in", c.returnIn)
	return c
}
