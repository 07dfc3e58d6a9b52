package prover

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"bamboohill/prover/internal/launcher"
)

// Script is the state of one scenario.
type Script struct {
	Stack *launcher.Stack

	services     int
	engines      int
	entries      int
	mu           sync.Mutex
	calls        map[string]chan error
	startedJobs  map[string]int // started by an engine, as last stored
	loads        map[string]*load
	loadsStarted int // loads
}

// NewScript returns a scenario on a stack.
func NewScript(stack *launcher.Stack) *Script {
	return &Script{Stack: stack, calls: map[string]chan error{}, startedJobs: map[string]int{}, loads: map[string]*load{}}
}

// errUsage is returned for a command with the wrong words.
var errUsage = errors.New("prover: wrong words for this command")

// Run runs one command of the scenario language and returns what it prints.
func (s *Script) Run(name string, words []string) (string, error) {
	commands := map[string]struct {
		minWords int
		run      func([]string) (string, error)
	}{
		"stack":            {0, s.stack},
		"signal":           {2, s.signal},
		"start":            {1, func(w []string) (string, error) { return "", s.Stack.Start(w[0]) }},
		"issue":            {1, func(w []string) (string, error) { return "", s.Stack.IssueCertificate(w[0]) }},
		"grep-log":         {2, s.grepLog},
		"exited":           {2, s.exited},
		"fault":            {3, func(w []string) (string, error) { return "", s.Stack.SetFault(w[0], w[1], w[2]) }},
		"put":              {3, s.put},
		"admin":            {3, s.admin},
		"ask":              {4, s.ask},
		"book":             {4, s.book},
		"join":             {1, s.join},
		"runs":             {2, s.runs},
		"open":             {2, s.open},
		"running":          {2, s.running},
		"crashes":          {1, s.crashes},
		"memory":           {2, s.memory},
		"unavailable":      {2, s.unavailable},
		"jobs":             {2, s.jobs},
		"sequence":         {2, s.sequence},
		"partition":        {1, s.partition},
		"write-rows":       {2, s.writeRows},
		"list-vm":          {2, s.listVM},
		"within-capacity":  {1, s.withinCapacity},
		"balancer-ready":   {1, s.balancerReady},
		"balancer-refused": {1, s.balancerRefused},
		"connection-close": {1, s.connectionClose},
		"load":             {2, s.runLoad},
		"cut":              {3, func(w []string) (string, error) { return "", s.Stack.SetLinkMode(w[0], w[1], w[2]) }},
		"check-counts":     {3, s.counted},
		"counts":           {2, func(w []string) (string, error) { return s.Stack.Counts(w[0], w[1]) }},
	}
	if name == "until" && len(words) > 0 {
		return s.until(words)
	}
	c, found := commands[name]
	if !found || len(words) < c.minWords {
		return "", fmt.Errorf("%w: %s %s", errUsage, name, strings.Join(words, " "))
	}
	return c.run(words)
}

func (s *Script) until(words []string) (string, error) {
	var out string
	err := s.Stack.Until(func() error {
		var err error
		out, err = s.Run(words[0], words[1:])
		return err
	})
	return out, err
}

func (s *Script) stack(words []string) (string, error) {
	var sp launcher.Spec
	numbers := map[string]*int{
		"entries": &sp.Entries, "engines": &sp.Engines, "services": &sp.Services, "memory": &sp.Memory, "warmup": &sp.Warmup,
		"work": &sp.ServiceTime, "beat": &sp.Heartbeat, "poll": &sp.PollInterval, "drain": &sp.DrainTime, "grace": &sp.GracePeriod, "restart": &sp.RestartTime,
		"balancer": &sp.BalancerInterval, "spares": &sp.SpareSidecars,
	}
	speeds := map[string]*float64{"prefill": &sp.PrefillRate, "decode": &sp.DecodeRate}
	flags := map[string]*bool{
		"cold": &sp.Cold, "fencing": &sp.Fencing, "copies": &sp.BoundCopies, "weights": &sp.WeightStore, "tls": &sp.TLS, "front": &sp.CallerTLS,
		"relays": &sp.Relays, "alone": &sp.NoPeers,
	}
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		n, err := strconv.ParseFloat(value, 64)
		switch {
		case flags[key] != nil && value == "true":
			*flags[key] = true
		case numbers[key] != nil && err == nil:
			*numbers[key] = int(n)
		case speeds[key] != nil && err == nil:
			*speeds[key] = n
		default:
			return "", fmt.Errorf("%w: %s", errUsage, word)
		}
	}
	sp.TLS = sp.TLS || sp.CallerTLS
	s.services = sp.Services
	s.entries = max(1, sp.Entries)
	s.engines = max(1, sp.Engines)
	return "", s.Stack.Up(sp)
}

func (s *Script) signal(w []string) (string, error) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	number, found := signals[w[1]]
	if !found {
		return "", fmt.Errorf("%w: signal %s", errUsage, w[1])
	}
	return "", s.Stack.Signal(w[0], number)
}

// grepLog checks that a process's log holds a text.
func (s *Script) grepLog(w []string) (string, error) {
	text, err := s.Stack.Log(w[0])
	if err == nil && !strings.Contains(text, w[1]) {
		err = fmt.Errorf("prover: log of %s lacks %q", w[0], w[1])
	}
	return "", err
}

func (s *Script) exited(w []string) (string, error) {
	want, err := launcher.ParseNumber(w[1])
	if err != nil {
		return "", err
	}
	got, err := s.Stack.WaitExit(w[0])
	if err == nil && got != want {
		err = fmt.Errorf("prover: %s ended with status %d, want %d", w[0], got, want)
	}
	return "", err
}

func (s *Script) put(w []string) (string, error) {
	n, err := launcher.ParseNumber(w[0])
	if err != nil {
		return "", err
	}
	return "", s.Stack.PutRow(n, w[1], w[2])
}

func (s *Script) admin(w []string) (string, error) {
	n, err := launcher.ParseNumber(w[0])
	if err != nil {
		return "", err
	}
	return s.Stack.Admin(n, w[1], w[2], strings.Join(w[3:], " "))
}
