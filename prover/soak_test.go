package prover

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bamboohill/platform/rig"
	"bamboohill/standin/relayer"
)

// Flags of the soak. By hand: go test -run TestSoak ./prover -soak.seeds 50.
var (
	soakSeeds  = flag.Int("soak.seeds", 2, "seeds to play")
	soakFirst  = flag.Uint64("soak.first", 1, "first seed")
	soakSize   = flag.Int("soak.entries", 3, "entries, each a process")
	soakLength = flag.Duration("soak.length", 6*time.Second, "time in which faults come, for each seed")
)

// asked is one request of a soak and what its caller got.
type asked struct {
	id, path, body string
	status         int
	text           string
	err            error
}

// TestSoak sends requests through real entries while faults overlap, drawn from
// a seed, and checks the promises from what callers and backend servers saw.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	d := newDeployment(t, *soakSize)
	end := time.Now().Add(*soakLength)
	var callers sync.WaitGroup
	results := make(chan []asked, max(6, *soakSize/4))
	for n := range cap(results) {
		callers.Go(func() { results <- d.call(rand.New(rand.NewPCG(seed, uint64(n))), end) })
	}
	faults := d.disturb(rand.New(rand.NewPCG(seed, 1000)), end)
	callers.Wait()
	close(results)
	d.settle(t)
	var all []asked
	for r := range results {
		all = append(all, r...)
	}
	d.verify(t, all)
	answered := 0
	for _, a := range all {
		if a.err == nil && a.status == http.StatusOK {
			answered++
		}
	}
	t.Logf("seed %d: faults %d, asked %d, answered %d", seed, faults, len(all), answered)
	if answered == 0 {
		t.Error("nothing was answered")
	}
}

// call sends requests until the end, one after the other.
func (d *deployment) call(random *rand.Rand, end time.Time) []asked {
	var all []asked
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: random.IntN(2) == 0}}
	defer client.CloseIdleConnections()
	for n := 0; time.Now().Before(end); n++ {
		a := asked{id: fmt.Sprintf("s%x-%d", random.Uint32(), n), body: fmt.Sprintf("body %d", random.IntN(1000))}
		a.path = "/book/x"
		if random.IntN(2) == 0 {
			a.path = "/chat/x"
		}
		d.send(client, d.entries[random.IntN(len(d.entries))], &a)
		all = append(all, a)
		if a.err != nil {
			time.Sleep(20 * time.Millisecond) // nobody may listen just now
		}
	}
	return all
}

// send sends one request and notes what came.
func (d *deployment) send(client *http.Client, e *directEntry, a *asked) {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.callers+a.path, strings.NewReader(a.body)) //nolint:noctx // the client has a time-out
	if err != nil {
		a.err = err
		return
	}
	r.Host = "a.example"
	r.GetBody = nil // sent once, whatever becomes of the connection
	for name, value := range map[string]string{"Attempt-Id": a.id, "Authorization": "Token " + keptKey, "Deadline-Ms": "4000"} {
		r.Header.Set(name, value)
	}
	if a.path == "/chat/x" {
		r.Header.Set("Token-Usage", "2000,100")
	}
	answer, err := client.Do(r)
	if err != nil {
		a.err = err
		return
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	a.status, a.text, a.err = answer.StatusCode, string(text), err
}

// disturb brings faults until the end and returns their number.
func (d *deployment) disturb(random *rand.Rand, end time.Time) int {
	var back sync.WaitGroup
	defer back.Wait()
	busy := make([]sync.Mutex, len(d.entries)) // one fault of a process at a time
	span := func(least, most int) time.Duration {
		return time.Duration(least+random.IntN(most-least)) * time.Millisecond
	}
	n := 0
	for ; time.Now().Before(end); n++ {
		i := random.IntN(len(d.entries))
		e, last, kind := d.entries[i], span(100, 1500), random.IntN(11)
		if kind < 3 && !busy[i].TryLock() {
			continue
		}
		switch kind {
		case 0: // killed
			e.kill()
			back.Go(func() {
				defer busy[i].Unlock()
				time.Sleep(last / 3)
				e.start()
			})
		case 1: // paused
			_ = e.command.Process.Signal(syscall.SIGSTOP) // it may have ended
			back.Go(func() {
				defer busy[i].Unlock()
				time.Sleep(last)
				_ = e.command.Process.Signal(syscall.SIGCONT)
			})
		case 2: // stopped as planned
			_ = e.command.Process.Signal(syscall.SIGTERM)
			back.Go(func() {
				defer busy[i].Unlock()
				<-e.ended
				e.start()
			})
		case 3:
			e.gate.Shut(true)
			back.Go(func() {
				time.Sleep(last)
				e.gate.Shut(false)
			})
		case 4:
			d.store.Fault([]string{rig.FaultBusy, rig.FaultReset, rig.FaultLost}[random.IntN(3)])
			back.Go(func() {
				time.Sleep(last / 2)
				d.store.Fault("")
			})
		case 5:
			d.store.Forget()
		case 6:
			d.store.Put("op", "config", desired(10+n, keptKey))
		case 7:
			d.engines[random.IntN(len(d.engines))].Fault([]string{rig.FaultMidEvent, rig.FaultCloses, rig.FaultFull, rig.FaultHangs}[random.IntN(4)])
		case 8:
			d.plain[random.IntN(len(d.plain))].Fault([]string{
				rig.FaultSurplus, rig.FaultStray, rig.FaultUnframed, rig.FaultTorn, rig.FaultCloses, rig.FaultFull, rig.FaultFails,
			}[random.IntN(7)])
		case 9: // a link drops what goes one way or the other, or is reset
			r, cut := d.relays[random.IntN(len(d.relays))], []relayer.Mode{relayer.DropRequests, relayer.DropResponses, relayer.Reset}[random.IntN(3)]
			r.SetMode(cut)
			back.Go(func() {
				time.Sleep(last)
				r.SetMode(relayer.Pass)
			})
		case 10: // a link is slow
			r := d.relays[random.IntN(len(d.relays))]
			r.SetDelay(last / 4)
			back.Go(func() {
				time.Sleep(last)
				r.SetDelay(0)
			})
		}
		time.Sleep(span(20, 250))
	}
	return n
}

// settle ends the faults and waits until every entry serves.
func (d *deployment) settle(t *testing.T) {
	t.Helper()
	d.store.Fault("")
	for _, s := range append(d.engines, d.plain...) {
		s.ClearFaults()
	}
	for _, e := range d.entries {
		e.gate.Shut(false)
		e.until("serves again", func() bool {
			if !e.isReady() {
				return false
			}
			status, body, err := e.ask("/chat/x", keptKey, "after")
			return err == nil && status == http.StatusOK && body == chat("after")
		})
	}
}

// verify checks the promises.
func (d *deployment) verify(t *testing.T, all []asked) {
	t.Helper()
	runs := map[string][]rig.Run{}
	for _, s := range append(d.engines, d.plain...) {
		for _, r := range s.Runs() {
			runs[r.Attempt] = append(runs[r.Attempt], r)
			if r.Header.Get("Tenant") != "of-"+keptKey || r.Header.Get("Authorization") != "" {
				t.Errorf("%s ran for %q", r.Attempt, r.Header.Get("Tenant"))
			}
		}
	}
	for _, a := range all {
		for _, r := range runs[a.id] {
			if r.Body != a.body || r.Target != a.path {
				t.Errorf("%s ran with another path or body", a.id)
			}
		}
		if fault := a.fault(len(runs[a.id])); fault != "" {
			t.Errorf("%s %s: status %d, %d runs, %v: %q", a.id, fault, a.status, len(runs[a.id]), a.err, a.text)
		}
	}
	for _, s := range d.engines {
		if held := s.Held(); held != 0 {
			t.Errorf("%s holds %d tokens", s.Address(), held)
		}
	}
}

// fault returns which promise was broken to the caller of a request that ran a
// number of times.
func (a asked) fault(runs int) string {
	whole := a.err == nil && a.status == http.StatusOK
	if a.err == nil && (a.status == http.StatusNotFound || a.status == http.StatusUnauthorized || a.status == http.StatusBadRequest) {
		return "was denied"
	}
	if a.path == "/book/x" {
		switch {
		case runs > 1:
			return "ran more than once"
		case a.status == http.StatusServiceUnavailable && runs > 0:
			return "was refused and ran"
		case whole && a.text != rig.Answer("POST", a.path, a.body):
			return "got another answer"
		}
		return ""
	}
	switch {
	case runs > 2:
		return "ran on more engines than its route allows"
	case a.status == http.StatusOK && !strings.HasPrefix(chat(a.body), a.text):
		return "got a wrong stream"
	case whole && a.text != chat(a.body):
		return "got a part that looks whole"
	}
	return ""
}
