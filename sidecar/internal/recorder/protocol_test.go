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

// TestMain sets the seed and the number of generated scripts, unless the flags
// -rapid.seed and -rapid.checks are given.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string][2]string{"rapid.seed": {"0", "20261203"}, "rapid.checks": {"100", "2000"}} {
		if flag.Lookup(name).Value.String() == value[0] {
			flag.Set(name, value[1])
		}
	}
	os.Exit(m.Run())
}

// step is one step of a script.
type step struct {
	Kind    string // send, fault, heal, pause, resume, kill, lost, wait
	Sidecar int
	Key     string
	Body    string
	Fault   fault
	Wait    time.Duration // delay before the step
	Timeout time.Duration // timeout of a send
}

func steps() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:    rapid.SampledFrom([]string{"send", "send", "send", "send", "fault", "heal", "pause", "resume", "kill", "lost", "wait"}).Draw(t, "kind"),
			Sidecar: rapid.IntRange(0, 1).Draw(t, "sidecar"),
			Key:     rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
			Body:    rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"),
			Fault:   fault(rapid.IntRange(1, int(faultCount)-1).Draw(t, "fault")),
			Wait:    time.Duration(rapid.SampledFrom([]int{0, 1, 4, 7, 30, 300, 2000}).Draw(t, "wait")) * time.Millisecond,
			Timeout: time.Duration(rapid.SampledFrom([]int{8, 100, 2500, 10_000}).Draw(t, "timeout")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 4, 40)
}

// send is one call and its result.
type send struct {
	attempt string
	key     string
	body    string
	result  Result
	start   time.Time
	end     time.Time
}

// cluster is two sidecars of one service that share a table.
type cluster struct {
	table     *fakeTable
	startTime time.Time
	tasks     sync.WaitGroup

	mu        sync.Mutex
	processes [2]*process
	recorders [2]*Recorder
	killed    []*Recorder
	boot      uint64
	loseNext  bool
	sent      map[string][]string // attempts that were sent to the service, by key
	runs      map[string]int      // number of times the service received it, by attempt
	sends     []send
}

func newCluster() *cluster {
	c := &cluster{table: newFakeTable(), sent: map[string][]string{}, runs: map[string]int{}, startTime: time.Now()}
	for i := range c.recorders {
		c.start(i)
	}
	return c
}

func (c *cluster) start(i int) {
	c.boot++
	c.processes[i] = &process{fakeTable: c.table}
	c.recorders[i] = New(Config{Table: c.processes[i], VM: fmt.Sprint("vm", i), Boot: c.boot})
}

func (c *cluster) apply(s step) {
	time.Sleep(s.Wait)
	switch s.Kind {
	case "send":
		c.send(s)
	case "fault":
		c.table.set(s.Fault)
	case "heal":
		c.table.set(healthy)
	case "pause":
		c.processes[s.Sidecar].pause()
	case "resume":
		c.processes[s.Sidecar].resume()
	case "lost":
		c.mu.Lock()
		c.loseNext = true
		c.mu.Unlock()
	case "kill":
		c.processes[s.Sidecar].kill()
		c.processes[s.Sidecar].resume()
		c.killed = append(c.killed, c.recorders[s.Sidecar])
		c.start(s.Sidecar)
	}
}

func (c *cluster) send(s step) {
	c.mu.Lock()
	n := len(c.sends)
	attempt := fmt.Sprint("a", n)
	c.sends = append(c.sends, send{attempt: attempt, key: s.Key, body: s.Body, start: time.Now()})
	c.mu.Unlock()
	r, p := c.recorders[s.Sidecar], c.processes[s.Sidecar]
	c.tasks.Go(func() {
		result := r.Do(context.Background(), Call{
			Account: "balloon", Key: s.Key, Attempt: attempt, Hash: []byte(s.Body), Deadline: time.Now().Add(s.Timeout),
		}, func(ctx context.Context) (*Answer, error) { return c.serve(ctx, p, s, attempt) })
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sends[n].result = result
		c.sends[n].end = time.Now()
	})
}

var errService = errors.New("service lost the answer")

// serve is the service: it counts a call and answers with the attempt that ran
// and the body.
func (c *cluster) serve(ctx context.Context, p *process, s step, attempt string) (*Answer, error) {
	p.mu.Lock()
	killed := p.killed
	p.mu.Unlock()
	if killed {
		return nil, errService
	}
	c.mu.Lock()
	c.sent[s.Key] = append(c.sent[s.Key], attempt)
	c.runs[attempt]++
	lost := c.loseNext
	c.loseNext = false
	c.mu.Unlock()
	wait(ctx, 20*time.Millisecond)
	if lost || !p.waitResumed() {
		return nil, errService
	}
	return &Answer{Status: 200, Body: []byte(attempt + s.Body)}, nil
}

// finish ends all faults and waits until nothing is running.
func (c *cluster) finish() {
	c.table.set(healthy)
	for _, p := range c.processes {
		p.resume()
	}
	c.tasks.Wait()
	c.table.lateCommits.Wait()
	for _, r := range append(c.killed, c.recorders[:]...) {
		r.Close()
	}
}

// violations returns a description of every violated guarantee.
func (c *cluster) violations() []string {
	var violations []string
	for key, attempts := range c.sent {
		if len(attempts) > 1 {
			violations = append(violations, fmt.Sprintf("key %s was handed over by %v", key, attempts))
		}
	}
	for _, s := range c.sends {
		got := s.result.Refused
		switch {
		case got.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN && c.runs[s.attempt] > 0:
			violations = append(violations, fmt.Sprintf("%s got the outcome not run but ran", s.attempt))
		case got == nil && (len(c.sent[s.key]) != 1 || string(s.result.Answer.Body) != c.sent[s.key][0]+s.body):
			violations = append(violations, fmt.Sprintf("%s got the wrong answer %q", s.attempt, s.result.Answer.Body))
		case got == nil && !s.result.Replayed && c.runs[s.attempt] != 1:
			violations = append(violations, fmt.Sprintf("%s got a fresh answer but did not run", s.attempt))
		}
	}
	return violations
}

// runScript runs a script and returns the cluster in its final state.
func runScript(t *testing.T, script []step) *cluster {
	var c *cluster
	synctest.Test(t, func(*testing.T) {
		c = newCluster()
		for _, s := range script {
			c.apply(s)
		}
		c.finish()
	})
	return c
}

// TestProtocol runs generated scripts of sends, resends, table faults, pauses,
// kills, restarts and lost answers on two sidecars, and checks that each call
// runs at most once and that the history is linearizable.
func TestProtocol(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := runScript(t, steps().Draw(rt, "script"))
		if violations := c.violations(); len(violations) > 0 {
			rt.Fatal(violations)
		}
		if !porcupine.CheckOperations(onceModel, c.history()) {
			rt.Fatal("history is not linearizable")
		}
	})
}

// history returns the calls as operations. A call with an unknown outcome may
// take effect at any later time, so its operation does not end.
func (c *cluster) history() []porcupine.Operation {
	var all []porcupine.Operation
	for i, s := range c.sends {
		end := s.end.Sub(c.startTime).Nanoseconds()
		if s.result.Refused.GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN {
			end = int64(1) << 60
		}
		all = append(all, porcupine.Operation{ClientId: i, Input: s, Output: s.result, Call: s.start.Sub(c.startTime).Nanoseconds(), Return: end})
	}
	return all
}

// ranBy is the state of one key: the attempt that ran and its body, or empty if
// none has run.
type ranBy string

// onceModel is the specification: the state of a key changes from "not run" to
// "run by one attempt" at most once, and every answer names that attempt.
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
	Step: func(state, input, output any) []any {
		s, result := input.(send), output.(Result)
		own := ranBy(s.attempt + s.body)
		switch {
		case result.Refused.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN:
			return []any{state}
		case result.Refused != nil && state == ranBy(""):
			return []any{state, own}
		case result.Refused != nil:
			return []any{state}
		case state == ranBy("") && string(result.Answer.Body) == string(own):
			return []any{own}
		case state == ranBy(result.Answer.Body):
			return []any{state}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()
