package prover

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"bamboohill/prover/internal/launcher"
)

// balancerCounts holds the counters of the balancer.
type balancerCounts struct {
	Ready   []string       `json:"ready"`
	Sent    map[string]int `json:"sent"`
	Refused int            `json:"refused"`
}

// balancerCounts reads the counters of the balancer.
func (s *Script) balancerCounts() (counts balancerCounts, err error) {
	text, err := s.Stack.Counts("balancer", "/counts")
	if err != nil {
		return counts, err
	}
	return counts, json.Unmarshal([]byte(text), &counts)
}

// balancerReady checks how many entries the balancer considers ready.
func (s *Script) balancerReady(args []string) (string, error) {
	want, err := launcher.ParseNumber(args[0])
	if err != nil {
		return "", err
	}
	counts, err := s.balancerCounts()
	if err == nil && len(counts.Ready) != want {
		err = fmt.Errorf("prover: the balancer considers %d entries ready, want %d", len(counts.Ready), want)
	}
	return "", err
}

// balancerRefused checks how many connections the balancer refused because it
// reached no entry.
func (s *Script) balancerRefused(args []string) (string, error) {
	want, err := launcher.ParseNumber(args[0])
	if err != nil {
		return "", err
	}
	counts, err := s.balancerCounts()
	if err == nil && counts.Refused != want {
		err = fmt.Errorf("prover: %d connections found no entry, want %d", counts.Refused, want)
	}
	return "", err
}

// connectionClose checks that an entry answers and asks the caller to close the
// connection.
func (s *Script) connectionClose(args []string) (string, error) {
	n, err := launcher.ParseNumber(args[0])
	if err != nil {
		return "", err
	}
	return "", s.Stack.CheckConnectionClose(n)
}

// loadCallers is the number of concurrent callers of a load. Each sends one call
// after the other.
const loadCallers = 3

// errNoCalls is returned for a load that has sent no call.
var errNoCalls = errors.New("prover: no call was sent")

// load is a group of callers that send prompts and bookings until stop is called.
type load struct {
	number  int // of this load in the scenario, makes the names of its calls unique
	stop    context.CancelFunc
	callers sync.WaitGroup
	sent    atomic.Int64

	mu       sync.Mutex
	failed   int
	firstErr error // of the first failed call
}

// runLoad starts a load on an entry, or ends it and checks that every call was
// answered.
func (s *Script) runLoad(args []string) (string, error) {
	n, err := parseEntry(args[0])
	if err != nil {
		return "", err
	}
	switch args[1] {
	case "start":
		ctx, stop := context.WithCancel(context.Background())
		s.loadsStarted++
		l := &load{number: s.loadsStarted, stop: stop}
		s.loads[args[0]] = l
		for i := range loadCallers {
			l.callers.Go(func() { s.send(ctx, l, n, i) })
		}
		return "", nil
	case "end":
		l := s.loads[args[0]]
		if l == nil {
			return "", errNoCalls
		}
		l.stop()
		l.callers.Wait()
		if l.sent.Load() == 0 {
			return "", errNoCalls
		}
		if l.failed > 0 {
			return "", fmt.Errorf("prover: %d of %d calls failed, the first: %w", l.failed, l.sent.Load(), l.firstErr)
		}
		return fmt.Sprintf("sent=%d", l.sent.Load()), nil
	}
	return "", fmt.Errorf("%w: load %s", errUsage, args[1])
}

// send sends calls until ctx is done, but at least one. Each third call is a
// booking, the others are prompts.
func (s *Script) send(ctx context.Context, l *load, n, caller int) {
	for i := 0; i == 0 || ctx.Err() == nil; i++ {
		name := fmt.Sprintf("load-%d-%d-%d", l.number, caller, i)
		var err error
		if i%3 == 2 {
			_, err = s.Stack.Book(n, name, "{}", "")
		} else {
			err = s.Stack.SendPrompt(context.Background(), launcher.PromptRequest{Entry: n, Prompt: Prompt(100, name), Tokens: 8})
		}
		l.sent.Add(1)
		if err != nil {
			l.mu.Lock()
			l.failed++
			l.firstErr = cmp.Or(l.firstErr, fmt.Errorf("%s: %w", name, err))
			l.mu.Unlock()
		}
	}
}
