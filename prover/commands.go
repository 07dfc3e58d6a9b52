package prover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
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
		"balancer": &h.Balancer,
		"spares":   &h.Spares,
	}
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil && value != "true" {
			return "", fmt.Errorf("%w: %s", errUsage, word)
		}
		switch {
		case numbers[key] != nil:
			*numbers[key] = int(n)
		case key == "prefill":
			h.Prefill = n
		case key == "decode":
			h.Decode = n
		case key == "cold":
			h.Cold = true
		case key == "fencing":
			h.Fencing = true
		case key == "copies":
			h.Copies = true
		case key == "weights":
			h.Weights = true
		case key == "tls":
			h.TLS = true
		case key == "front":
			h.TLS = true
			h.Front = true
		case key == "relays":
			h.Relays = true
		case key == "alone":
			h.Alone = true
		default:
			return "", fmt.Errorf("%w: %s", errUsage, word)
		}
	}
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

// Prompt returns a prompt of the given number of words of 8 bytes each.
func Prompt(words int, name string) string {
	var b strings.Builder
	b.WriteString(name)
	for i := range words {
		fmt.Fprintf(&b, " %07d", i)
	}
	return b.String()
}

func (s *Script) ask(w []string) (string, error) {
	var numbers [3]int
	for i, text := range []string{w[0], w[2], w[3]} {
		n, err := entry(text)
		if err != nil {
			return "", err
		}
		numbers[i] = n
	}
	u := stager.Question{Entry: numbers[0], Tokens: int64(numbers[2])}
	as, start, same, again := "", "", false, false
	for _, word := range w[4:] {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "whole":
			u.Whole = true
		case "same":
			same = true
		case "again":
			again = true
		case "timeout":
			u.Timeout = value
		case "model":
			u.Model = value
		case "key":
			u.Key = value
		case "text":
			start = value
		case "as":
			as = value
		default:
			return "", fmt.Errorf("%w: %s", errUsage, word)
		}
	}
	if !same {
		start += as
	}
	u.Prompt = Prompt(numbers[1], start)
	send := func() error { return s.Stage.Ask(context.Background(), u) }
	if again {
		once := send
		send = func() error { return s.resend(once) }
	}
	return "", s.call(as, func() error { return expect(w[1], send()) })
}

// resend calls again while the outcome is not run, as a caller does.
func (s *Script) resend(send func() error) error {
	var last error
	s.Stage.Until(func() error {
		if last = send(); stager.Outcome(last) == "not-run" {
			return last
		}
		return nil
	})
	return last
}

// entry returns the number of an entry, or that of the balancer.
func entry(word string) (int, error) {
	if word == "balancer" {
		return stager.Balancer, nil
	}
	return stager.Number(word)
}

func (s *Script) book(w []string) (string, error) {
	n, err := entry(w[0])
	if err != nil {
		return "", err
	}
	as, timeout := "", ""
	for _, word := range w[4:] {
		switch key, value, _ := strings.Cut(word, "="); key {
		case "as":
			as = value
		case "timeout":
			timeout = value
		default:
			return "", fmt.Errorf("%w: %s", errUsage, word)
		}
	}
	return "", s.call(as, func() error {
		_, err := s.Stage.Book(n, w[2], w[3], timeout)
		return expect(w[1], err)
	})
}

// call runs a call now, or beside the script if it has a name.
func (s *Script) call(as string, do func() error) error {
	if as == "" {
		return do()
	}
	done := make(chan error, 1)
	s.mu.Lock()
	s.calls[as] = done
	s.mu.Unlock()
	go func() { done <- do() }()
	return nil
}

func (s *Script) join(w []string) (string, error) {
	s.mu.Lock()
	done, found := s.calls[w[0]]
	s.mu.Unlock()
	if !found {
		return "", fmt.Errorf("%w: no call %s", errUsage, w[0])
	}
	return "", <-done
}

// expect checks a call's outcome. A wrong or silently cut text fails always.
func expect(want string, err error) error {
	if errors.Is(err, stager.ErrWrong) || errors.Is(err, stager.ErrShort) || errors.Is(err, stager.ErrLate) {
		return err
	}
	got := stager.Outcome(err)
	var stream *stager.StreamError
	if errors.As(err, &stream) {
		got = stream.Outcome
	}
	if want == "any" || slices.Contains(strings.Split(want, "|"), got) {
		return nil
	}
	return fmt.Errorf("prover: outcome %s, want %s: %w", got, want, errors.Join(err, errOutcome))
}

var errOutcome = errors.New("prover: another outcome")

// servers reads what an entry sees of the backend servers.
func (s *Script) servers(entry string) (v view, err error) {
	n, err := stager.Number(entry)
	if err != nil {
		return v, err
	}
	text, err := s.Stage.Admin(n, "GET", "status", "")
	if err != nil {
		return v, err
	}
	var status struct {
		Servers []struct {
			State   string `json:"state"`
			Health  string `json:"health"`
			Running int    `json:"running"`
		} `json:"servers"`
	}
	if err := json.Unmarshal([]byte(text), &status); err != nil {
		return v, err
	}
	for _, r := range status.Servers {
		v.running += r.Running
		if r.State == "STATE_OPEN" {
			v.open++
		}
		if r.Health != "alive" {
			v.down++
		}
	}
	return v, nil
}

// view is what an entry sees of the backend servers.
type view struct {
	open, running int
	down          int // suspected or gone
}

// open checks that an entry sees so many backend servers open.
func (s *Script) open(w []string) (string, error) {
	want, err := stager.Number(w[1])
	if err != nil {
		return "", err
	}
	got, err := s.servers(w[0])
	if err == nil && got.open != want {
		err = fmt.Errorf("prover: entry sees %d open servers, want %d", got.open, want)
	}
	return "", err
}

// busy checks that an entry sees at least so many requests running.
func (s *Script) busy(w []string) (string, error) {
	want, err := stager.Number(w[1])
	if err != nil {
		return "", err
	}
	got, err := s.servers(w[0])
	if err == nil && got.running < want {
		err = fmt.Errorf("prover: entry sees %d requests running, want %d", got.running, want)
	}
	return "", err
}

// crashes checks how often the engines have crashed, all together, at most.
func (s *Script) crashes(w []string) (string, error) {
	most, err := stager.Number(w[0])
	if err != nil {
		return "", err
	}
	total := 0
	for n := range s.engines {
		text, err := s.Stage.Counts(fmt.Sprintf("engine%d", n), "/counts")
		if err != nil {
			return "", err
		}
		var counts struct {
			Crashes int `json:"crashes"`
		}
		if err := json.Unmarshal([]byte(text), &counts); err != nil {
			return "", err
		}
		total += counts.Crashes
	}
	if total > most {
		return "", fmt.Errorf("prover: engines crashed %d times, want at most %d", total, most)
	}
	return "", nil
}

// held checks how many tokens of memory an engine holds: N, or from N to M as
// N..M.
func (s *Script) held(w []string) (string, error) {
	low, high, ranged := strings.Cut(w[1], "..")
	if !ranged {
		high = low
	}
	least, err := stager.Number(low)
	if err != nil {
		return "", err
	}
	most, err := stager.Number(high)
	if err != nil {
		return "", err
	}
	text, err := s.Stage.Counts(w[0], "/counts")
	if err != nil {
		return "", err
	}
	var counts struct {
		Used int `json:"used"`
	}
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		return "", err
	}
	if counts.Used < least || counts.Used > most {
		return "", fmt.Errorf("prover: %s holds %d tokens, want %s", w[0], counts.Used, w[1])
	}
	return "", nil
}

// counted checks numbers that a process counts, as KEY=N, or KEY=N.. for at
// least N.
func (s *Script) counted(w []string) (string, error) {
	text, err := s.Stage.Counts(w[0], w[1])
	if err != nil {
		return "", err
	}
	counts := map[string]any{}
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		return "", err
	}
	for _, word := range w[2:] {
		key, value, _ := strings.Cut(word, "=")
		value, open := strings.CutSuffix(value, "..")
		want, err := stager.Number(value)
		if err != nil {
			return "", err
		}
		got, ok := counts[key].(float64)
		if !ok || got < float64(want) || got > float64(want) && !open {
			return "", fmt.Errorf("prover: %s counts %s=%v, want %s", w[0], key, counts[key], word)
		}
	}
	return "", nil
}

// runs checks how often a booking ran, by the log that outlives the services.
func (s *Script) runs(w []string) (string, error) {
	want, err := stager.Number(w[1])
	if err != nil {
		return "", err
	}
	text, err := s.Stage.Counts("runs", "/runs")
	if err != nil {
		return "", err
	}
	counts := map[string]int{}
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		return "", err
	}
	total := 0
	for key, count := range counts {
		if key == w[0] || strings.HasSuffix(key, "/"+w[0]) {
			total += count
		}
	}
	if total != want {
		return "", fmt.Errorf("prover: booking %s ran %d times, want %d", w[0], total, want)
	}
	return "", nil
}
