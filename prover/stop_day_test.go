package prover

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"bamboohill/platform/rig"
)

// Flags of the day of stops, for example:
// go test -run TestStopDay ./prover -day.seeds 10 -day.rolls 6.
var (
	daySeeds   = flag.Int("day.seeds", 1, "number of seeds to run")
	dayFirst   = flag.Uint64("day.first", 1, "first seed")
	dayRolls   = flag.Int("day.rolls", 1, "how often all entries stop and start, for each seed")
	dayCallers = flag.Int("day.callers", 90, "number of callers")
	dayOdd     = flag.Bool("day.odd", true, "callers read and send slowly, and entries get further signals")
)

// A day of stops: all entries stop one after the other, and again after a while.
const (
	dayEntries  = 4
	dayEngines  = 21
	dayServices = 3
	rollGap     = time.Second
	rollEvery   = 13 * time.Second
	dayThink    = 2400 * time.Millisecond
)

// dayKind is a kind of request of the day.
type dayKind struct {
	name      string
	method    string
	rate      float64 // a second
	stream    bool
	runs      int
	limit     time.Duration // that callers name
	timeout   time.Duration // of the route
	target    time.Duration
	body      float64 // mean size in bytes
	prompt    float64 // mean number of tokens
	spread    float64 // of the prompt, as the standard deviation of its logarithm
	events    float64 // mean number
	work      time.Duration
	targetGap time.Duration
}

// dayKinds are the kinds of request of a site with prompts of very unlike lengths.
var dayKinds = []dayKind{
	{name: "briefing", method: http.MethodPost, rate: 46.1, stream: true, runs: 2, limit: 10 * time.Second, timeout: 10 * time.Second, target: 300 * time.Millisecond, body: 1200, prompt: 4960, spread: 0.9, events: 35, targetGap: 200 * time.Millisecond},
	{name: "season-log", method: http.MethodPost, rate: 3.34, stream: true, runs: 2, limit: 10 * time.Second, timeout: 10 * time.Second, target: 1500 * time.Millisecond, body: 11000, prompt: 45000, spread: 0.7, events: 21, targetGap: 500 * time.Millisecond},
	{name: "survey-review", method: http.MethodPost, rate: 1.38, stream: true, runs: 2, limit: 15 * time.Second, timeout: 15 * time.Second, target: 3 * time.Second, body: 29000, prompt: 210000, spread: 0.55, events: 17, targetGap: 800 * time.Millisecond},
	{name: "signup", method: http.MethodPost, rate: 4.36, runs: 1, limit: 3 * time.Second, timeout: 1500 * time.Millisecond, target: 300 * time.Millisecond, body: 600, work: 60 * time.Millisecond},
	{name: "roster-read", method: http.MethodGet, rate: 3, runs: 2, limit: 3 * time.Second, timeout: 1500 * time.Millisecond, target: 300 * time.Millisecond, work: 60 * time.Millisecond},
}

// newDaySite returns the site whose kinds of request are dayKinds.
func newDaySite() stopSite {
	site := stopSite{configuration: dayConfiguration, pace: dayPace, draw: drawOfDay, think: dayThink, looks: true}
	for i := range dayEngines + dayServices {
		config := rig.ServerConfig{Service: "pool", Slots: 16, Prefill: dayPrefill, EventBytes: padding}
		if i >= dayEngines {
			config.Service, config.Slots = "plain", 6
		}
		site.servers = append(site.servers, config)
	}
	return site
}

// dayConfiguration is the configuration of the day.
func dayConfiguration(version, longer int, _ bool) []byte {
	routes := make([]string, len(dayKinds))
	for i, k := range dayKinds {
		kind, service := "safe", "plain"
		switch {
		case k.stream:
			kind, service = "streaming", "pool"
		case k.runs == 1:
			kind = "unsafe"
		}
		routes[i] = fmt.Sprintf(`{"name":%q,"host":"a.example","pathPrefix":"/%s/","kind":%q,"timeoutMs":%d,"targetLatencyMs":%d,"targetGapMs":%d,"service":%q,"maxAttempts":%d,"resumable":%t,"sticky":%t}`,
			k.name, k.name, kind, (k.timeout + time.Duration(longer)*time.Second).Milliseconds(), k.target.Milliseconds(), k.targetGap.Milliseconds(), service, k.runs, k.stream, k.stream)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],
"services":[{"name":"pool","engine":{"slots":16,"kvCapacityTokens":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048}},{"name":"plain"}],
"limits":{"maxBodyBytes":%d,"maxHeaderBytes":%d,"idleTimeoutMs":20000},"tenants":[{"name":"of-kept","apiKeys":[%q,%q]}]}`,
		version, strings.Join(routes, ","), stopBodyLimit, stopHeaderLimit, keptKey, versionKey(version))
}

// dayPace is the pace of a server: an event of a stream holds some tens of tokens.
func dayPace(s *stopSoak, server int) rig.Pace {
	return func(r *http.Request, body string, running int) (int, time.Duration) {
		s.mu.Lock()
		slowness := s.slowness[server]
		s.mu.Unlock()
		if r.Header.Get("Token-Usage") == "" {
			return 0, time.Duration(float64(dayWork(r)) * slowness)
		}
		const eventTokens = 46
		step := 0.925 + 0.00483*float64(running)
		return answerEvents(body), time.Duration(eventTokens * step * slowness * float64(time.Millisecond))
	}
}

// dayWork returns how long a plain call takes.
func dayWork(r *http.Request) time.Duration {
	millis, _ := strconv.Atoi(r.Header.Get("Work")) // 0 for a request of no caller
	return time.Duration(millis) * time.Millisecond
}

// dayPrefill returns the time until a stream begins, by the tokens of its prompt, which
// helpers read with the engine.
func dayPrefill(r *http.Request) time.Duration {
	input, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.ParseFloat(input, 64) // 0 for a request of no caller
	readers := 1.0
	if h := r.Header.Get("Helpers"); h != "" {
		readers += float64(1 + strings.Count(h, ","))
	}
	return time.Duration((tokens/256 + tokens*tokens/2e6*0.0917) / readers * float64(time.Millisecond))
}

// logNormal draws a positive number with a mean.
func logNormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}

// drawOfDay draws a request of the day.
func drawOfDay(c *stopCaller, n int) *stopCall {
	random := c.random
	sum := 0.0
	for _, k := range dayKinds {
		sum += k.rate
	}
	point, k := random.Float64()*sum, dayKinds[0]
	for _, k = range dayKinds {
		if point -= k.rate; point < 0 {
			break
		}
	}
	a := &stopCall{id: fmt.Sprintf("d%d-%d-%d", c.soak.seed, c.name, n), number: n, process: c.process, keptOpen: c.used}
	a.method, a.path, a.stream, a.runs, a.limit = k.method, "/"+k.name+"/x", k.stream, k.runs, min(k.limit, k.timeout)
	a.lines = fmt.Sprintf("Deadline-Ms: %d\r\n", k.limit.Milliseconds())
	if k.stream {
		a.events = max(1, int(min(2.5*k.events, logNormal(random, k.events, 0.6))))
		a.body = fmt.Sprintf("%d %s", a.events, a.id)
		tokens := 40 + int(min(1e6, logNormal(random, k.prompt, k.spread)))
		a.lines += fmt.Sprintf("Model: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: sys%d:40,own%s:%d\r\n", tokens, 46*a.events, random.IntN(60), a.id, tokens-40)
	} else {
		a.lines += fmt.Sprintf("Work: %d\r\n", int(min(450, logNormal(random, float64(k.work.Milliseconds()), 0.5))))
	}
	if k.body > 0 {
		a.body += strings.Repeat(" ", max(0, int(logNormal(random, k.body, 0.5))-len(a.body)))
	}
	if *dayOdd {
		a.behaveOddly(random)
	}
	return a
}

// behaveOddly makes a few callers slow.
func (a *stopCall) behaveOddly(random *rand.Rand) {
	switch random.IntN(40) {
	case 0:
		if a.body != "" {
			a.uploadPause = time.Duration(random.IntN(4000)) * time.Millisecond
		}
	case 1:
		if len(a.body) < 100 {
			break
		}
		a.uploadPause, a.uploadParts = time.Duration(random.IntN(9000))*time.Millisecond, 2+random.IntN(6)
	case 2:
		a.readPause = time.Duration(random.IntN(3000)) * time.Millisecond
	case 3:
		a.sendsNext, a.readPause = true, time.Duration(random.IntN(1000))*time.Millisecond
	case 4:
		if a.stream {
			a.body, a.readPause = longBody+a.body, time.Duration(random.IntN(1000))*time.Millisecond
		}
	}
}

// roll stops all entries, one after the other, as often as the flags say.
func (s *stopSoak) roll(random *rand.Rand) {
	for range *dayRolls {
		next := time.Now().Add(rollEvery)
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		for _, entry := range random.Perm(len(s.entries)) {
			s.stop(entry, 0)
			if *dayOdd {
				s.signalAgain(random, entry)
			}
			time.Sleep(rollGap)
		}
		time.Sleep(time.Until(next))
	}
	s.restarts.Wait()
	time.Sleep(time.Second)
}

// signalAgain sends a further signal to a stopping entry, slows a server, changes the
// configuration or makes the store silent for some time, now and then.
func (s *stopSoak) signalAgain(random *rand.Rand, entry int) {
	after := time.Duration(random.IntN(6000)) * time.Millisecond
	server, factor := random.IntN(len(s.engines)), 1+7*random.Float64()
	if random.IntN(2) == 0 {
		factor *= 10 // its streams pause for seconds
	}
	length := time.Duration(1000+random.IntN(4000)) * time.Millisecond
	switch random.IntN(7) {
	case 6:
		s.restarts.Go(func() { s.stopAtStart(entry, after/10) })
	case 0:
		time.AfterFunc(after, func() { s.stop(entry, 0) })
	case 1:
		time.AfterFunc(after, func() { s.reload(entry) })
	case 2:
		longer := random.IntN(2)
		time.AfterFunc(after, func() { s.change(longer, false) })
	case 3:
		s.slow(server, factor)
		time.AfterFunc(length, func() { s.slow(server, 1) })
	case 4:
		s.store.SetFault([]string{rig.FaultSilent, rig.FaultBusy, rig.FaultAnswerLost}[random.IntN(3)])
		s.note("store disturbed for %v", length)
		time.AfterFunc(length, func() { s.store.SetFault("") })
	}
}

// stopAtStart sends SIGTERM to the next process of an entry some time after its start, as a
// rule before it has read the store.
func (s *stopSoak) stopAtStart(entry int, after time.Duration) {
	before := s.process(entry)
	<-before.done
	for s.process(entry) == before {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(after)
	p := s.process(entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.early = p.ready.IsZero()
	s.terminate(p, 0)
}

// TestStopDay plays a day on which all entries stop and start again in turn, with the kinds
// and rates of requests of a site, at real pace. No accepted request may be lost.
func TestStopDay(t *testing.T) {
	for i := range *daySeeds {
		seed := *dayFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newStopSoak(t, newDaySite(), seed, dayEntries)
			random := rand.New(rand.NewPCG(seed, 1000))
			s.play(*dayCallers, func() { s.roll(random) })
		})
	}
}
