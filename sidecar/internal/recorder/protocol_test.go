package recorder

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/wire"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of the generated scripts; the flags
// -rapid.seed and -rapid.checks override them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string][2]string{"rapid.seed": {"0", "20261203"}, "rapid.checks": {"100", "2000"}} {
		if flag.Lookup(name).Value.String() == value[0] {
			flag.Set(name, value[1])
		}
	}
	os.Exit(m.Run())
}

// step is one event of a script.
type step struct {
	Kind    string // send, fault, heal, pause, resume, kill, lost, wait
	Sidecar int
	Key     string
	Body    string
	Fault   fault
	Wait    time.Duration // before the step
	Timeout time.Duration // of a send
}

func steps() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:    rapid.SampledFrom([]string{"send", "send", "send", "send", "fault", "heal", "pause", "resume", "kill", "lost", "wait"}).Draw(t, "kind"),
			Sidecar: rapid.IntRange(0, 1).Draw(t, "sidecar"),
			Key:     rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
			Body:    rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"),
			Fault:   fault(rapid.IntRange(1, int(faults)-1).Draw(t, "fault")),
			Wait:    time.Duration(rapid.SampledFrom([]int{0, 1, 4, 7, 30, 300, 2000}).Draw(t, "wait")) * time.Millisecond,
			Timeout: time.Duration(rapid.SampledFrom([]int{8, 100, 2500, 10_000}).Draw(t, "timeout")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 4, 40)
}

// send is one recorded call.
type send struct {
	attempt string
	key     string
	body    string
	result  Result
	from    time.Time
	to      time.Time
}

// world is two sidecars of one service before one table.
type world struct {
	table *fakeTable
	first time.Time
	tasks sync.WaitGroup

	mu        sync.Mutex
	processes [2]*process
	recorders [2]*Recorder
	old       []*Recorder
	boot      uint64
	loseNext  bool
	handed    map[string][]string // key to the attempts handed over
	ran       map[string]int      // attempt to hand-overs
	sends     []send
}

func newWorld() *world {
	w := &world{table: newFakeTable(), handed: map[string][]string{}, ran: map[string]int{}, first: time.Now()}
	for i := range w.recorders {
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	w.boot++
	w.processes[i] = &process{fakeTable: w.table}
	w.recorders[i] = New(Config{Table: w.processes[i], VM: fmt.Sprint("vm", i), Boot: w.boot})
}

func (w *world) do(s step) {
	time.Sleep(s.Wait)
	switch s.Kind {
	case "send":
		w.send(s)
	case "fault":
		w.table.set(s.Fault)
	case "heal":
		w.table.set(healthy)
	case "pause":
		w.processes[s.Sidecar].pause()
	case "resume":
		w.processes[s.Sidecar].resume()
	case "lost":
		w.mu.Lock()
		w.loseNext = true
		w.mu.Unlock()
	case "kill":
		w.processes[s.Sidecar].kill()
		w.processes[s.Sidecar].resume()
		w.old = append(w.old, w.recorders[s.Sidecar])
		w.start(s.Sidecar)
	}
}

func (w *world) send(s step) {
	w.mu.Lock()
	n := len(w.sends)
	attempt := fmt.Sprint("a", n)
	w.sends = append(w.sends, send{attempt: attempt, key: s.Key, body: s.Body, from: time.Now()})
	w.mu.Unlock()
	r, p := w.recorders[s.Sidecar], w.processes[s.Sidecar]
	w.tasks.Go(func() {
		result := r.Do(context.Background(), Call{
			Account: "balloon", Key: s.Key, Attempt: attempt, Hash: []byte(s.Body), Deadline: time.Now().Add(s.Timeout),
		}, func(ctx context.Context) (*Answer, error) { return w.hand(ctx, p, s, attempt) })
		w.mu.Lock()
		defer w.mu.Unlock()
		w.sends[n].result = result
		w.sends[n].to = time.Now()
	})
}

var errService = errors.New("service lost the answer")

// hand is the service: it counts a call, works, and answers with who ran it.
func (w *world) hand(ctx context.Context, p *process, s step, attempt string) (*Answer, error) {
	p.mu.Lock()
	killed := p.killed
	p.mu.Unlock()
	if killed {
		return nil, errService
	}
	w.mu.Lock()
	w.handed[s.Key] = append(w.handed[s.Key], attempt)
	w.ran[attempt]++
	lost := w.loseNext
	w.loseNext = false
	w.mu.Unlock()
	wait(ctx, 20*time.Millisecond)
	if lost || !p.hold() {
		return nil, errService
	}
	return &Answer{Status: 200, Body: []byte(attempt + s.Body)}, nil
}

// finish heals everything and waits until nothing runs.
func (w *world) finish() {
	w.table.set(healthy)
	for _, p := range w.processes {
		p.resume()
	}
	w.tasks.Wait()
	w.table.ghosts.Wait()
	for _, r := range append(w.old, w.recorders[:]...) {
		r.Close()
	}
}

// broken returns which promises were broken.
func (w *world) broken() []string {
	var bad []string
	for key, attempts := range w.handed {
		if len(attempts) > 1 {
			bad = append(bad, fmt.Sprintf("key %s was handed over by %v", key, attempts))
		}
	}
	for _, s := range w.sends {
		got := s.result.Refused
		switch {
		case got.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN && w.ran[s.attempt] > 0:
			bad = append(bad, fmt.Sprintf("%s was told not run, and ran", s.attempt))
		case got == nil && (len(w.handed[s.key]) != 1 || string(s.result.Answer.Body) != w.handed[s.key][0]+s.body):
			bad = append(bad, fmt.Sprintf("%s got the answer %q", s.attempt, s.result.Answer.Body))
		case got == nil && !s.result.Replayed && w.ran[s.attempt] != 1:
			bad = append(bad, fmt.Sprintf("%s was answered afresh and did not run", s.attempt))
		}
	}
	return bad
}

// play runs a script and returns the world at its end.
func play(t *testing.T, script []step) *world {
	var w *world
	synctest.Test(t, func(*testing.T) {
		w = newWorld()
		for _, s := range script {
			w.do(s)
		}
		w.finish()
	})
	return w
}

// TestProtocol drives two sidecars through generated scripts: sends and
// resends, table faults, pauses, kills and restarts, lost answers.
func TestProtocol(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := play(t, steps().Draw(rt, "script"))
		if bad := w.broken(); len(bad) > 0 {
			rt.Fatal(bad)
		}
		if !porcupine.CheckOperations(onceModel, w.history()) {
			rt.Fatal("history is not linearizable")
		}
	})
}

// history returns the calls as operations. A call with the outcome unknown may
// take effect at any later time.
func (w *world) history() []porcupine.Operation {
	var all []porcupine.Operation
	for i, s := range w.sends {
		end := s.to.Sub(w.first).Nanoseconds()
		if s.result.Refused.GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN {
			end = int64(1) << 60
		}
		all = append(all, porcupine.Operation{ClientId: i, Input: s, Output: s.result, Call: s.from.Sub(w.first).Nanoseconds(), Return: end})
	}
	return all
}

// ranBy is the state of one key: who ran it, nobody if empty.
type ranBy string

// onceModel is the specification: a key goes from "not run" to "run by one
// attempt" and stays there; answers name that attempt.
var onceModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(send).key
			keys[key] = append(keys[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range keys {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{ranBy("")} },
	Step: func(now, input, output any) []any {
		s, result := input.(send), output.(Result)
		mine := ranBy(s.attempt + s.body)
		switch {
		case result.Refused.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN:
			return []any{now}
		case result.Refused != nil && now == ranBy(""):
			return []any{now, mine}
		case result.Refused != nil:
			return []any{now}
		case now == ranBy("") && string(result.Answer.Body) == string(mine):
			return []any{mine}
		case now == ranBy(result.Answer.Body):
			return []any{now}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()
