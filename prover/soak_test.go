package prover

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bamboohill/platform/rig"
	"bamboohill/standin/relayer"
)

// Flags of the soak test, for example:
// go test -run TestSoak ./prover -soak.seeds 50.
var (
	soakSeeds    = flag.Int("soak.seeds", 2, "number of seeds to run")
	soakFirst    = flag.Uint64("soak.first", 1, "first seed")
	soakEntries  = flag.Int("soak.entries", 3, "number of entries, each a process")
	soakDuration = flag.Duration("soak.length", 6*time.Second, "time during which faults are injected, for each seed")
)

// slowShare is the number of prompts of which one has a caller that reads slowly.
const slowShare = 5

// attempt is one request of a soak test and the answer that its caller received.
type attempt struct {
	id, path, body string
	parts          string        // of the prompt, as a header; "" for none
	pause          time.Duration // for which the caller reads nothing after the head of the answer
	status         int
	text           string
	err            error
}

// TestSoak sends requests through real entries while overlapping faults are injected
// at random from a seed. It checks the guarantees by what callers received and what
// backend servers ran.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// soak runs the test with one seed.
func soak(t *testing.T, seed uint64) {
	d := newDeployment(t, *soakEntries)
	end := time.Now().Add(*soakDuration)
	var callers sync.WaitGroup
	results := make(chan []attempt, max(6, *soakEntries/4))
	for n := range cap(results) {
		callers.Go(func() { results <- d.call(rand.New(rand.NewPCG(seed, uint64(n))), end) })
	}
	callers.Go(func() { d.slowServers(rand.New(rand.NewPCG(seed, 2000)), end) })
	faults := d.injectFaults(rand.New(rand.NewPCG(seed, 1000)), end)
	callers.Wait()
	close(results)
	d.awaitRecovery(t)
	var all []attempt
	for r := range results {
		all = append(all, r...)
	}
	d.checkGuarantees(t, all)
	answered := 0
	for _, a := range all {
		if a.err == nil && a.status == http.StatusOK {
			answered++
		}
	}
	t.Logf("seed %d: faults %d, asked %d, answered %d", seed, faults, len(all), answered)
	if answered == 0 {
		t.Error("no request was answered")
	}
}

// call sends requests one after the other until end.
func (d *deployment) call(random *rand.Rand, end time.Time) []attempt {
	var all []attempt
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: random.IntN(2) == 0}}
	defer client.CloseIdleConnections()
	for n := 0; time.Now().Before(end); n++ {
		a := attempt{id: fmt.Sprintf("s%x-%d", random.Uint32(), n), body: fmt.Sprintf("body %d", random.IntN(1000))}
		a.path = "/book/x"
		if random.IntN(2) == 0 {
			a.path = "/chat/x"
		}
		if a.path == "/chat/x" && random.IntN(slowShare) == 0 {
			a.body, a.pause = longBody+a.body, time.Duration(random.IntN(1500))*time.Millisecond
		}
		d.send(client, d.entries[random.IntN(len(d.entries))], &a)
		all = append(all, a)
		if a.err != nil {
			time.Sleep(20 * time.Millisecond) // the entry may be down
		}
	}
	return all
}

// send sends one request and records the answer in a.
func (d *deployment) send(client *http.Client, e *directEntry, a *attempt) {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.callerAddress+a.path, strings.NewReader(a.body)) //nolint:noctx // the client has a time-out
	if err != nil {
		a.err = err
		return
	}
	r.Host = "a.example"
	r.GetBody = nil // the client must not send it again on another connection
	for name, value := range map[string]string{"Attempt-Id": a.id, "Authorization": "Token " + keptKey, "Deadline-Ms": "4000"} {
		r.Header.Set(name, value)
	}
	if a.path == "/chat/x" {
		r.Header.Set("Token-Usage", "2000,100")
	}
	if a.parts != "" {
		r.Header.Set("Prompt-Prefix", a.parts)
	}
	response, err := client.Do(r)
	if err != nil {
		a.err = err
		return
	}
	defer response.Body.Close()
	time.Sleep(a.pause)
	text, err := io.ReadAll(response.Body)
	a.status, a.text, a.err = response.StatusCode, string(text), err
}

// injectFaults injects faults at random until end and returns their number. It
// returns after every fault with a duration has ended.
func (d *deployment) injectFaults(random *rand.Rand, end time.Time) int {
	var recoveries sync.WaitGroup
	defer recoveries.Wait()
	disrupted := make([]sync.Mutex, len(d.entries)) // so that a process is killed, paused or stopped once at a time
	randomDuration := func(least, most int) time.Duration {
		return time.Duration(least+random.IntN(most-least)) * time.Millisecond
	}
	n := 0
	for ; time.Now().Before(end); n++ {
		i := random.IntN(len(d.entries))
		e, duration, kind := d.entries[i], randomDuration(100, 1500), random.IntN(11)
		if kind < 3 && !disrupted[i].TryLock() {
			continue
		}
		switch kind {
		case 0: // killed
			e.kill()
			recoveries.Go(func() {
				defer disrupted[i].Unlock()
				time.Sleep(duration / 3)
				e.start()
			})
		case 1: // paused
			_ = e.command.Process.Signal(syscall.SIGSTOP) // fails if the process has ended
			recoveries.Go(func() {
				defer disrupted[i].Unlock()
				time.Sleep(duration)
				_ = e.command.Process.Signal(syscall.SIGCONT)
			})
		case 2: // stopped by SIGTERM
			_ = e.command.Process.Signal(syscall.SIGTERM)
			recoveries.Go(func() {
				defer disrupted[i].Unlock()
				<-e.ended
				e.start()
			})
		case 3: // the store refuses the entry
			e.storeLink.SetDown(true)
			recoveries.Go(func() {
				time.Sleep(duration)
				e.storeLink.SetDown(false)
			})
		case 4: // the store fails
			d.store.SetFault([]string{rig.FaultBusy, rig.FaultReset, rig.FaultAnswerLost}[random.IntN(3)])
			recoveries.Go(func() {
				time.Sleep(duration / 2)
				d.store.SetFault("")
			})
		case 5: // the store drops its history
			d.store.DropHistory()
		case 6: // the configuration changes
			d.store.Put("op", "config", desired(10+n, keptKey))
		case 7: // an engine fails
			d.engines[random.IntN(len(d.engines))].AddFaults([]string{rig.FaultMidEvent, rig.FaultClosed, rig.FaultRefused, rig.FaultNoAnswer}[random.IntN(4)])
		case 8: // a plain server fails
			d.plain[random.IntN(len(d.plain))].AddFaults([]string{
				rig.FaultTrailingBytes, rig.FaultOtherAttempt, rig.FaultNoLength, rig.FaultTruncated, rig.FaultClosed, rig.FaultRefused, rig.FaultServerError,
			}[random.IntN(7)])
		case 9: // a link drops requests or answers, or is reset
			r, cut := d.relays[random.IntN(len(d.relays))], []relayer.Mode{relayer.DropRequests, relayer.DropResponses, relayer.Reset}[random.IntN(3)]
			r.SetMode(cut)
			recoveries.Go(func() {
				time.Sleep(duration)
				r.SetMode(relayer.Pass)
			})
		case 10: // a link is slow
			r := d.relays[random.IntN(len(d.relays))]
			r.SetDelay(duration / 4)
			recoveries.Go(func() {
				time.Sleep(duration)
				r.SetDelay(0)
			})
		}
		time.Sleep(randomDuration(20, 250))
	}
	return n
}

// slowServers makes one backend server after the other several times slower for a while,
// until end.
func (d *deployment) slowServers(random *rand.Rand, end time.Time) {
	all := append(slices.Clone(d.engines), d.plain...)
	for time.Now().Before(end) {
		s := all[random.IntN(len(all))]
		s.Slow(time.Duration(10+random.IntN(40)) * time.Millisecond)
		time.Sleep(time.Duration(200+random.IntN(1300)) * time.Millisecond)
		s.Slow(0)
	}
}

// awaitRecovery ends the remaining faults and waits until every entry serves again.
func (d *deployment) awaitRecovery(t *testing.T) {
	t.Helper()
	d.store.SetFault("")
	for _, s := range append(d.engines, d.plain...) {
		s.ClearFaults()
	}
	for _, e := range d.entries {
		e.storeLink.SetDown(false)
		e.until("the entry serves again", func() bool {
			if !e.isReady() {
				return false
			}
			status, body, err := e.ask("/chat/x", keptKey, "after")
			return err == nil && status == http.StatusOK && body == chat("after")
		})
	}
}

// checkGuarantees checks that each request ran with its own path, body and tenant,
// that no attempt violates a guarantee, and that engines hold no memory.
func (d *deployment) checkGuarantees(t *testing.T, all []attempt) {
	t.Helper()
	runs := map[string][]rig.Run{}
	for _, s := range append(d.engines, d.plain...) {
		for _, r := range s.Runs() {
			runs[r.Attempt] = append(runs[r.Attempt], r)
			if r.Header.Get("Tenant") != "of-"+keptKey || r.Header.Get("Authorization") != "" {
				t.Errorf("%s ran for tenant %q", r.Attempt, r.Header.Get("Tenant"))
			}
		}
	}
	for _, a := range all {
		for _, r := range runs[a.id] {
			if r.Body != a.body || r.Target != a.path {
				t.Errorf("%s ran with another path or body", a.id)
			}
		}
		if violation := a.violation(len(runs[a.id])); violation != "" {
			t.Errorf("%s %s: status %d, %d runs, %v: %q", a.id, violation, a.status, len(runs[a.id]), a.err, a.text)
		}
	}
	for _, s := range d.engines {
		if held := s.ReservedTokens(); held != 0 {
			t.Errorf("%s holds %d tokens", s.Address(), held)
		}
	}
}

// violation returns which guarantee was violated for a request that ran the given
// number of times, or an empty string.
func (a attempt) violation(runs int) string {
	complete := a.err == nil && a.status == http.StatusOK
	if a.err == nil && (a.status == http.StatusNotFound || a.status == http.StatusUnauthorized || a.status == http.StatusBadRequest) {
		return "was refused as not found, unauthorized or invalid"
	}
	if a.path == "/book/x" {
		switch {
		case runs > 1:
			return "ran more than once"
		case a.status == http.StatusServiceUnavailable && runs > 0:
			return "was refused and ran"
		case complete && a.text != rig.Answer("POST", a.path, a.body):
			return "got another answer"
		}
		return ""
	}
	switch {
	case runs > 2:
		return "ran on more engines than its route allows"
	case a.status == http.StatusOK && !strings.HasPrefix(chat(a.body), a.text):
		return "got a wrong stream"
	case complete && a.text != chat(a.body):
		return "got a partial stream that looks complete"
	}
	return ""
}
