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

// spread is what the balancer counts.
type balancerCounts struct {
	Ready   []string       `json:"ready"`
	Sent    map[string]int `json:"sent"`
	Refused int            `json:"refused"`
}

func (s *Script) balancerCounts() (p balancerCounts, err error) {
	text, err := s.Stack.Counts("balancer", "/counts")
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal([]byte(text), &p)
}

// balancerReady checks how many entries the balancer holds ready.
func (s *Script) balancerReady(w []string) (string, error) {
	want, err := launcher.ParseNumber(w[0])
	if err != nil {
		return "", err
	}
	p, err := s.balancerCounts()
	if err == nil && len(p.Ready) != want {
		err = fmt.Errorf("prover: the balancer holds %d entries ready, want %d", len(p.Ready), want)
	}
	return "", err
}

// balancerRefused checks how many connections found no entry behind the balancer.
func (s *Script) balancerRefused(w []string) (string, error) {
	want, err := launcher.ParseNumber(w[0])
	if err != nil {
		return "", err
	}
	p, err := s.balancerCounts()
	if err == nil && p.Refused != want {
		err = fmt.Errorf("prover: %d connections found no entry, want %d", p.Refused, want)
	}
	return "", err
}

// connectionClose checks that an entry answers and asks its caller to close.
func (s *Script) connectionClose(w []string) (string, error) {
	n, err := launcher.ParseNumber(w[0])
	if err != nil {
		return "", err
	}
	return "", s.Stack.CheckConnectionClose(n)
}

// loadCallers is how many loadCallers of a load send one call after the other.
const loadCallers = 3

// errNoCalls is returned for a load that sent nothing.
var errNoCalls = errors.New("prover: no call was sent")

// load is loadCallers that send prompts and bookings until they are told to stop.
type load struct {
	number int // of the script's loads, for names that are not used twice
	stop   context.CancelFunc
	all    sync.WaitGroup
	sent   atomic.Int64

	mu     sync.Mutex
	failed int
	first  error // of those that failed
}

// runLoad starts a load on an entry, or ends it and checks that every
// call was answered.
func (s *Script) runLoad(w []string) (string, error) {
	n, err := parseEntry(w[0])
	if err != nil {
		return "", err
	}
	switch w[1] {
	case "start":
		ctx, stop := context.WithCancel(context.Background())
		s.loadsStarted++
		l := &load{number: s.loadsStarted, stop: stop}
		s.loads[w[0]] = l
		for i := range loadCallers {
			l.all.Go(func() { s.send(ctx, l, n, i) })
		}
		return "", nil
	case "end":
		l := s.loads[w[0]]
		if l == nil {
			return "", errNoCalls
		}
		l.stop()
		l.all.Wait()
		if l.sent.Load() == 0 {
			return "", errNoCalls
		}
		if l.failed > 0 {
			return "", fmt.Errorf("prover: %d of %d calls failed, the first: %w", l.failed, l.sent.Load(), l.first)
		}
		return fmt.Sprintf("sent=%d", l.sent.Load()), nil
	}
	return "", fmt.Errorf("%w: load %s", errUsage, w[1])
}

// send sends one call after the other, one at least: prompts, and a booking each
// third time.
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
			l.first = cmp.Or(l.first, fmt.Errorf("%s: %w", name, err))
			l.mu.Unlock()
		}
	}
}
