package prover

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bamboohill/platform/rig"
)

// Flags of the soak of stops, for example:
// go test -run TestStopSoak ./prover -stop.seeds 50.
var (
	stopSeeds   = flag.Int("stop.seeds", 1, "number of seeds to run")
	stopFirst   = flag.Uint64("stop.first", 2, "first seed")
	stopEntries = flag.Int("stop.entries", 3, "number of entries, each a process")
	stopLength  = flag.Duration("stop.length", 5*time.Second, "time during which entries are told to stop, for each seed")
	stopLogs    = flag.String("stop.logs", "", "folder for the logs of the entries of seeds that fail; none if empty")
)

// Limits of the configuration, and the least time limits of its routes.
const (
	stopBodyLimit     = 1 << 20
	stopHeaderLimit   = 32 << 10
	streamTimeout     = 10 * time.Second
	plainTimeout      = 3 * time.Second
	stopEngineSlots   = 6
	stopGrace         = 8 * time.Second
	stopEventInterval = 25 * time.Millisecond // of the fastest engine without load
)

// failedStopSeeds are seeds that failed, by what was seen.
var failedStopSeeds = map[string]uint64{
	"a stream is longer than expected": 1,
	"a body is sent slowly":            6,
	"half return after the grace time": 202,
}

// TestStopSoak sends requests through entries that are stopped and started again, one after
// the other or together, while engines slow down, entries are told to stop once more or to
// reload, and the configuration changes. No accepted request may be lost.
func TestStopSoak(t *testing.T) {
	seeds := maps.Clone(failedStopSeeds)
	for i := range *stopSeeds {
		seed := *stopFirst + uint64(i)
		seeds[fmt.Sprintf("seed %d", seed)] = seed
	}
	for _, name := range slices.Sorted(maps.Keys(seeds)) {
		t.Run(name, func(t *testing.T) { soakStops(t, seeds[name]) })
	}
}

// stopProcess is one run of an entry.
type stopProcess struct {
	entry   int
	command *exec.Cmd
	done    chan struct{} // closed once the process has ended

	mu    sync.Mutex
	early bool      // SIGTERM came before it was ready, perhaps before it could handle one
	ready time.Time // when it was first ready; zero if it was not
	term  time.Time // of the first SIGTERM; zero if there was none
	ended time.Time
	err   error // of its end
}

// stopSite is what the entries of a stopSoak serve.
type stopSite struct {
	servers []rig.ServerConfig // but for their Store
	// configuration returns a version of the configuration. Time limits are longer by a number
	// of seconds, and plain calls go to another service if moved is set.
	configuration func(version, longer int, moved bool) []byte
	pace          func(s *stopSoak, server int) rig.Pace
	draw          func(c *stopCaller, n int) *stopCall // draws the n-th request of a caller
	think         time.Duration                        // of a caller between two requests, at most
	looks         bool                                 // callers see whether their connection is closed before they send
}

// stopSoak is a deployment whose entries stop and start again.
type stopSoak struct {
	*deployment
	site        stopSite
	seed        uint64
	began       time.Time
	wholeRarity int // of streams that use all tokens they may: one in so many

	mu        sync.Mutex
	processes []*stopProcess // the newest one of each entry
	all       []*stopProcess
	in        []bool    // entries that a balancer uses
	slowness  []float64 // factor of the delays of each server
	events    []string  // what was done to the entries
	version   int       // of the configuration
	ended     bool
	restarts  sync.WaitGroup
}

// stopConfiguration returns a configuration. Time limits are longer by a number of seconds,
// and plain calls go to another service if moved is set.
func stopConfiguration(version, longer int, moved bool) []byte {
	service := "plain"
	if moved {
		service = "plain-2"
	}
	route := func(name, kind, service string, timeout time.Duration, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":"a.example","pathPrefix":"/%s/","kind":%q,"timeoutMs":%d,"targetLatencyMs":300,"targetGapMs":200,"service":%q,"maxAttempts":%d,"resumable":%t}`,
			name, name, kind, (timeout + time.Duration(longer)*time.Second).Milliseconds(), service, attempts, resumable)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s,%s],
"services":[{"name":"pool","engine":{"slots":%d,"kvCapacityTokens":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048}},{"name":"plain"},{"name":"plain-2"}],
"limits":{"maxBodyBytes":%d,"maxHeaderBytes":%d},"tenants":[{"name":"of-kept","apiKeys":[%q,%q]}]}`, version,
		route("chat", "streaming", "pool", streamTimeout, 2, true), route("tale", "streaming", "pool", streamTimeout, 1, false),
		route("book", "unsafe", service, plainTimeout, 1, false), route("read", "safe", service, plainTimeout, 2, false),
		stopEngineSlots, stopBodyLimit, stopHeaderLimit, keptKey, versionKey(version))
}

// newMixedSite returns a site of a few slow servers, whose callers draw from all kinds of
// requests alike.
func newMixedSite() stopSite {
	site := stopSite{configuration: stopConfiguration, pace: (*stopSoak).pace, draw: (*stopCaller).next, think: 60 * time.Millisecond}
	for _, service := range []string{"pool", "pool", "pool", "plain", "plain-2"} {
		config := rig.ServerConfig{Service: service, Slots: stopEngineSlots, Prefill: prefill, EventBytes: padding}
		if service != "pool" {
			config.Slots = 32
		}
		site.servers = append(site.servers, config)
	}
	return site
}

// newStopSoak starts servers and entries, and waits until the entries are ready.
func newStopSoak(t *testing.T, site stopSite, seed uint64, entries int) *stopSoak {
	t.Helper()
	s := &stopSoak{deployment: &deployment{t: t, store: rig.NewStore()}, site: site, seed: seed, version: 1, in: make([]bool, entries)}
	s.store.Put("op", "config", site.configuration(1, 0, false))
	for i, config := range site.servers {
		s.slowness = append(s.slowness, 1)
		config.ID, config.Store, config.Pace = fmt.Sprintf("%s-%d", config.Service, i), s.store, site.pace(s, i)
		server, err := rig.StartServer(config)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() }) // errors on closing don't affect the test
		s.engines = append(s.engines, server)
	}
	for n := range entries {
		e := s.newEntry(n, entries)
		text, err := os.ReadFile(e.settings)
		if err != nil {
			t.Fatal(err)
		}
		changed := strings.Replace(string(text), "grace_s = 6\n", fmt.Sprintf("grace_s = %d\n", int(stopGrace.Seconds())), 1)
		if err := os.WriteFile(e.settings, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		s.entries, s.processes = append(s.entries, e), append(s.processes, nil)
	}
	for i, e := range s.entries {
		s.start(i)
		t.Cleanup(e.kill)
	}
	for i, e := range s.entries {
		e.until("ready", e.isReady)
		s.processes[i].ready, s.in[i] = time.Now(), true
	}
	s.began = time.Now()
	return s
}

// pace returns the pace of a server: it takes longer with more requests, and by a factor
// that changes. Plain calls take their part of plainTimeout at most.
func (s *stopSoak) pace(server int) rig.Pace {
	return func(r *http.Request, body string, running int) (int, time.Duration) {
		s.mu.Lock()
		slowness := s.slowness[server]
		s.mu.Unlock()
		events := answerEvents(body)
		if r.Header.Get("Token-Usage") == "" {
			return 0, min(time.Duration(float64(events)*slowness)*5*time.Millisecond, plainTimeout/2)
		}
		each := float64(stopEventInterval) * (1 + 0.4*float64(server)) * (1 + float64(running)/20) * slowness
		return events, time.Duration(each)
	}
}

// prefill returns the time until a stream begins, by the tokens of its prompt.
func prefill(r *http.Request) time.Duration {
	input, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(input) // 0 for a request of no caller
	return time.Duration(tokens) * 100 * time.Microsecond
}

// answerEvents returns the number of events of the stream that answers a request.
func answerEvents(body string) int {
	text, _, _ := strings.Cut(strings.TrimPrefix(body, longBody), " ")
	n, _ := strconv.Atoi(text) // 0 for a request of no caller
	return n
}

// start starts the process of an entry, again if it has ended.
func (s *stopSoak) start(entry int) {
	e := s.entries[entry]
	e.start()
	p := &stopProcess{entry: entry, command: e.command, done: make(chan struct{})}
	ended := e.ended
	go func() {
		err := <-ended
		p.mu.Lock()
		p.ended, p.err = time.Now(), err
		p.mu.Unlock()
		ended <- err // for the clean-up
		close(p.done)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[entry] = p
	s.all = append(s.all, p)
}

// process returns the newest process of an entry.
func (s *stopSoak) process(entry int) *stopProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[entry]
}

// note records what is done to the entries.
func (s *stopSoak) note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds())+fmt.Sprintf(format, values...))
}

// stop sends SIGTERM to an entry that is ready or stops already, and starts it again some
// time after its end.
func (s *stopSoak) stop(entry int, restartAfter time.Duration) {
	p := s.process(entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready.IsZero() {
		s.terminate(p, restartAfter)
	}
}

// terminate sends SIGTERM to a process, and starts its entry again some time after its end. The
// caller holds the lock of the process.
func (s *stopSoak) terminate(p *stopProcess, restartAfter time.Duration) {
	if !p.ended.IsZero() {
		return
	}
	entry, first := p.entry, p.term.IsZero()
	if first {
		p.term = time.Now()
	}
	_ = p.command.Process.Signal(syscall.SIGTERM) // fails if the process has ended
	s.note("SIGTERM to entry %d, first %t", entry, first)
	if first {
		s.restarts.Go(func() {
			<-p.done
			s.note("entry %d has ended", entry)
			time.Sleep(restartAfter)
			s.start(entry)
			e, next := s.entries[entry], s.process(entry)
			e.until("ready", e.isReady)
			next.mu.Lock()
			defer next.mu.Unlock()
			next.ready = time.Now()
		})
	}
}

// reload sends SIGHUP to an entry that is ready or stops.
func (s *stopSoak) reload(entry int) {
	p := s.process(entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready.IsZero() && p.ended.IsZero() {
		_ = p.command.Process.Signal(syscall.SIGHUP) // fails if the process has ended
		s.note("SIGHUP to entry %d", entry)
	}
}

// change writes another configuration.
func (s *stopSoak) change(longer int, moved bool) {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	s.store.Put("op", "config", s.site.configuration(version, longer, moved))
	s.note("configuration %d, time limits longer by %d s, route moved %t", version, longer, moved)
}

// slow makes one server several times slower, or as fast as at first.
func (s *stopSoak) slow(server int, factor float64) {
	s.mu.Lock()
	s.slowness[server] = factor
	s.mu.Unlock()
	s.note("server %d is %.1f times slower", server, factor)
}

// disturb stops entries in series, which may overlap, until end, and returns once all
// entries are ready again.
func (s *stopSoak) disturb(random *rand.Rand, end time.Time) {
	var beside sync.WaitGroup
	between := func(least, most int) time.Duration {
		return time.Duration(least+random.IntN(most-least)) * time.Millisecond
	}
	later := func(after time.Duration, do func()) {
		beside.Go(func() { time.Sleep(after); do() })
	}
	time.Sleep(between(500, 1500)) // requests run
	for time.Now().Before(end) {
		gap := []time.Duration{0, 250 * time.Millisecond, between(250, 2000), 2 * time.Second}[random.IntN(4)]
		restartAfter := between(0, 700)
		for range 1 + random.IntN(3) {
			server, factor, entry, longer, moved := random.IntN(len(s.engines)), 1+3*random.Float64(), random.IntN(len(s.entries)), random.IntN(4), random.IntN(2) == 0
			after := between(0, 5000)
			switch random.IntN(4) {
			case 0:
				later(after, func() { s.slow(server, factor) })
				later(after+between(1000, 4000), func() { s.slow(server, 1) })
			case 1:
				later(after, func() { s.stop(entry, restartAfter) }) // again, as a rule
			case 2:
				later(after, func() { s.reload(entry) })
			case 3:
				later(after, func() { s.change(longer, moved) })
			}
		}
		for _, entry := range random.Perm(len(s.entries)) {
			s.stop(entry, restartAfter)
			time.Sleep(gap)
			if !time.Now().Before(end) {
				break
			}
		}
		if random.IntN(3) == 0 {
			time.Sleep(between(500, 4000)) // the next series overlaps this one
			continue
		}
		beside.Wait()
		s.restarts.Wait()
		time.Sleep(between(200, 800))
	}
	beside.Wait()
	s.restarts.Wait()
}

// soakStops runs the test with one seed.
func soakStops(t *testing.T, seed uint64) {
	s := newStopSoak(t, newMixedSite(), seed, *stopEntries)
	random := rand.New(rand.NewPCG(seed, 1000))
	s.wholeRarity = []int{4, 12, 40}[random.IntN(3)]
	s.play((4+random.IntN(9))**stopEntries, func() { s.disturb(random, s.began.Add(*stopLength)) })
}

// play sends the requests of a number of callers while disturb runs, and checks what they saw.
func (s *stopSoak) play(count int, disturb func()) {
	t := s.t
	var callers, checks sync.WaitGroup
	checks.Go(s.balance)
	results := make(chan []*stopCall, count)
	for n := range count {
		c := &stopCaller{soak: s, random: rand.New(rand.NewPCG(s.seed, uint64(n))), name: n}
		callers.Go(func() { results <- c.callUntilEnded() })
	}
	disturb()
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	callers.Wait()
	checks.Wait()
	close(results)
	var all []*stopCall
	for r := range results {
		all = append(all, r...)
	}
	time.Sleep(time.Second) // requests that were refused would run now
	s.checkProcesses(t)
	s.checkLogs(t)
	s.checkCalls(t, all)
	if t.Failed() {
		t.Log(strings.Join(s.events, "\n"))
		s.saveLogs()
	}
}

// saveLogs writes the logs of the entries to the folder that a flag names.
func (s *stopSoak) saveLogs() {
	for i, e := range s.entries {
		if *stopLogs == "" {
			break
		}
		path := filepath.Join(*stopLogs, fmt.Sprintf("stop-%d-%d.log", s.seed, i))
		if err := os.WriteFile(path, []byte(e.log.String()), 0o600); err != nil {
			s.t.Error(err)
		}
	}
}
