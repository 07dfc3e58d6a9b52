package prover

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"bamboohill/prover/internal/stager"
)

// Script is the state of one scenario.
type Script struct {
	Stage *stager.Stage

	services int
	engines  int
	entries  int
	mu       sync.Mutex
	calls    map[string]chan error
	jobs     map[string]int // started by an engine, as last stored
	loads    map[string]*load
	begun    int // loads
}

// NewScript returns a scenario on a stage.
func NewScript(stage *stager.Stage) *Script {
	return &Script{Stage: stage, calls: map[string]chan error{}, jobs: map[string]int{}, loads: map[string]*load{}}
}

// errUsage is returned for a command with the wrong words.
var errUsage = errors.New("prover: wrong words for this command")

// Run runs one command of the scenario language and returns what it prints.
func (s *Script) Run(name string, words []string) (string, error) {
	commands := map[string]struct {
		least int
		run   func([]string) (string, error)
	}{
		"stack":    {0, s.stack},
		"signal":   {2, s.signal},
		"start":    {1, func(w []string) (string, error) { return "", s.Stage.Start(w[0]) }},
		"issue":    {1, func(w []string) (string, error) { return "", s.Stage.Issue(w[0]) }},
		"grep-log": {2, s.grepLog},
		"exited":   {2, s.exited},
		"fault":    {3, func(w []string) (string, error) { return "", s.Stage.SetFault(w[0], w[1], w[2]) }},
		"put":      {3, s.put},
		"admin":    {3, s.admin},
		"ask":      {4, s.ask},
		"book":     {4, s.book},
		"join":     {1, s.join},
		"runs":     {2, s.runs},
		"open":     {2, s.open},
		"busy":     {2, s.busy},
		"crashes":  {1, s.crashes},
		"held":     {2, s.held},
		"down":     {2, s.down},
		"started":  {2, s.started},
		"sequence": {2, s.sequence},
		"halves":   {1, s.halves},
		"changes":  {2, s.changes},
		"listed":   {2, s.listed},
		"borne":    {1, s.borne},
		"balanced": {1, s.balanced},
		"refused":  {1, s.refused},
		"polite":   {1, s.polite},
		"calls":    {2, s.callsUnderWay},
		"cut":      {3, func(w []string) (string, error) { return "", s.Stage.Cut(w[0], w[1], w[2]) }},
		"counted":  {3, s.counted},
		"counts":   {2, func(w []string) (string, error) { return s.Stage.Counts(w[0], w[1]) }},
	}
	if name == "until" && len(words) > 0 {
		return s.until(words)
	}
	c, found := commands[name]
	if !found || len(words) < c.least {
		return "", fmt.Errorf("%w: %s %s", errUsage, name, strings.Join(words, " "))
	}
	return c.run(words)
}

func (s *Script) until(words []string) (string, error) {
	var out string
	err := s.Stage.Until(func() error {
		var err error
		out, err = s.Run(words[0], words[1:])
		return err
	})
	return out, err
}

func (s *Script) stack(words []string) (string, error) {
	var h stager.Shape
	numbers := map[string]*int{
		"entries": &h.Entries, "engines": &h.Engines, "services": &h.Services, "memory": &h.Memory, "warmup": &h.Warmup,
		"work": &h.Work, "beat": &h.Beat, "poll": &h.Poll, "drain": &h.Drain, "grace": &h.Grace, "restart": &h.Restart,
		"balancer": &h.Balancer, "spares": &h.Spares,
	}
	speeds := map[string]*float64{"prefill": &h.Prefill, "decode": &h.Decode}
	flags := map[string]*bool{
		"cold": &h.Cold, "fencing": &h.Fencing, "copies": &h.Copies, "weights": &h.Weights, "tls": &h.TLS, "front": &h.Front,
		"relays": &h.Relays, "alone": &h.Alone,
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
	h.TLS = h.TLS || h.Front
	s.services = h.Services
	s.entries = max(1, h.Entries)
	s.engines = max(1, h.Engines)
	return "", s.Stage.Up(h)
}

func (s *Script) signal(w []string) (string, error) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	number, found := signals[w[1]]
	if !found {
		return "", fmt.Errorf("%w: signal %s", errUsage, w[1])
	}
	return "", s.Stage.Signal(w[0], number)
}

// grepLog checks that a process's log holds a text.
func (s *Script) grepLog(w []string) (string, error) {
	text, err := s.Stage.Log(w[0])
	if err == nil && !strings.Contains(text, w[1]) {
		err = fmt.Errorf("prover: log of %s lacks %q", w[0], w[1])
	}
	return "", err
}

func (s *Script) exited(w []string) (string, error) {
	want, err := stager.Number(w[1])
	if err != nil {
		return "", err
	}
	got, err := s.Stage.Exited(w[0])
	if err == nil && got != want {
		err = fmt.Errorf("prover: %s ended with status %d, want %d", w[0], got, want)
	}
	return "", err
}

func (s *Script) put(w []string) (string, error) {
	n, err := stager.Number(w[0])
	if err != nil {
		return "", err
	}
	return "", s.Stage.Put(n, w[1], w[2])
}

func (s *Script) admin(w []string) (string, error) {
	n, err := stager.Number(w[0])
	if err != nil {
		return "", err
	}
	return s.Stage.Admin(n, w[1], w[2], strings.Join(w[3:], " "))
}
