package stager

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bamboohill/standin/relayer"
)

// Bounds of a scenario's waits.
const (
	readyLimit = 20 * time.Second
	pollEvery  = 50 * time.Millisecond
	callLimit  = 40 * time.Second
)

// Config describes a Stage.
type Config struct {
	Programs string // folder with the programs entry, sidecar and standin
	Work     string // folder for settings and logs
	Address  string // loopback IP of the scenario
}

// Stage is one stack.
type Stage struct {
	config    Config
	client    *http.Client
	authority *authority
	scheme    string // of the entries' callers

	relays relays

	mu        sync.Mutex
	processes map[string]*process
}

type process struct {
	command *exec.Cmd
	exited  chan struct{}
	err     error
}

// New returns a stage with nothing on it.
func New(config Config) *Stage {
	return &Stage{
		relays: relays{cuts: map[pair]relayer.Mode{}}, config: config, scheme: "http://", client: &http.Client{Timeout: callLimit}, processes: map[string]*process{},
	}
}

// Up writes the settings, starts every process, waits until each entry is
// ready and hears every sidecar, and puts the lists.
func (s *Stage) Up(h Shape) error {
	h.fill()
	if err := s.issueAll(h); err != nil {
		return err
	}
	if err := s.relayAll(h); err != nil {
		return err
	}
	files := s.settings(h)
	for name, text := range files {
		if err := os.WriteFile(s.file(name, ".toml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	for _, name := range slices.SortedFunc(maps.Keys(files), func(a, b string) int { return rank(a) - rank(b) }) {
		if strings.HasPrefix(name, spare) {
			continue // for the script to start
		}
		if err := s.Start(name); err != nil {
			return err
		}
	}
	for n := range h.Entries {
		if err := s.Until(func() error { return s.ready(n) }); err != nil {
			return err
		}
	}
	rows := lists()
	// Plans go before the accounts that name them.
	for _, key := range slices.Backward(slices.Sorted(maps.Keys(rows))) {
		if err := s.Put(0, key, rows[key]); err != nil {
			return err
		}
	}
	for n := range h.Entries {
		if err := s.Until(func() error { return s.heard(n, h.Engines+h.Services) }); err != nil {
			return err
		}
	}
	return nil
}

// rank orders the start: stand-ins, entries, sidecars.
func rank(name string) int {
	switch {
	case strings.HasPrefix(name, "sidecar"):
		return 2
	case strings.HasPrefix(name, "entry"):
		return 1
	}
	return 0
}

func (s *Stage) file(name, suffix string) string { return filepath.Join(s.config.Work, name+suffix) }

func (s *Stage) ready(n int) error {
	_, err := s.call(http.MethodGet, s.front(n)+"/readyz", "", "", nil)
	return err
}

// heard asks whether entry n has the lists in force and hears every server.
func (s *Stage) heard(n, servers int) error {
	text, err := s.Admin(n, http.MethodGet, "status", "")
	if err != nil {
		return err
	}
	var status struct {
		Sequence int `json:"sequence"`
	}
	if err := json.Unmarshal([]byte(text), &status); err != nil {
		return err
	}
	if status.Sequence < len(lists()) {
		return fmt.Errorf("stager: entry %d is at sequence %d", n, status.Sequence)
	}
	if got := strings.Count(text, "STATE_OPEN"); got < servers {
		return fmt.Errorf("stager: entry %d hears %d of %d servers", n, got, servers)
	}
	return nil
}

// Log returns what a process has logged.
func (s *Stage) Log(name string) (string, error) {
	text, err := os.ReadFile(s.file(name, ".log"))
	return string(text), err
}

// Start starts a process, also again after it has ended.
func (s *Stage) Start(name string) error {
	program := strings.TrimRight(name, "0123456789")
	switch program {
	case "entry", "sidecar":
	case spare:
		program = "sidecar"
	default:
		program = "standin"
	}
	log, err := os.OpenFile(s.file(name, ".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.CommandContext(context.Background(), filepath.Join(s.config.Programs, program), "run", s.file(name, ".toml"))
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{command: command, exited: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		log.Close()
		close(p.exited)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = p
	return nil
}

func (s *Stage) process(name string) (*process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.processes[name]
	if !found {
		return nil, fmt.Errorf("stager: no process %q", name)
	}
	return p, nil
}

// Signal sends a signal to a process; after SIGKILL it waits for its end.
func (s *Stage) Signal(name string, signal syscall.Signal) error {
	p, err := s.process(name)
	if err != nil {
		return err
	}
	if err := p.command.Process.Signal(signal); err != nil {
		return err
	}
	if signal == syscall.SIGKILL {
		<-p.exited
	}
	return nil
}

// Exited waits for a process to end by itself and returns its exit status.
func (s *Stage) Exited(name string) (int, error) {
	p, err := s.process(name)
	if err != nil {
		return 0, err
	}
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(callLimit):
		return 0, fmt.Errorf("stager: %s has not ended", name)
	}
}

// Close kills every process that still runs.
func (s *Stage) Close() {
	defer s.relays.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.command.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		<-p.exited
	}
}

// Until repeats try until it succeeds or the limit passes, and returns its
// last error.
func (s *Stage) Until(try func() error) error {
	end := time.Now().Add(readyLimit)
	for {
		err := try()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(pollEvery)
	}
}

// SetFault sets a fault of a stand-in; value 0 turns it off.
func (s *Stage) SetFault(name, fault, value string) error {
	address, err := s.Fault(name)
	if err != nil {
		return err
	}
	form := url.Values{"name": {fault}, "value": {value}}
	_, err = s.call(http.MethodPost, "http://"+address+"/fault?"+form.Encode(), "", "", nil)
	return err
}

// Counts returns what a stand-in counts at a path such as /counts or /runs.
func (s *Stage) Counts(name, path string) (string, error) {
	address, err := s.Fault(name)
	if err != nil {
		return "", err
	}
	return s.call(http.MethodGet, "http://"+address+path, "", "", nil)
}

// Replace puts a body to a path of a stand-in.
func (s *Stage) Replace(name, path, body string) error {
	address, err := s.Fault(name)
	if err != nil {
		return err
	}
	_, err = s.call(http.MethodPut, "http://"+address+path, "", body, nil)
	return err
}

// Put writes a configuration row through entry n.
func (s *Stage) Put(n int, key, record string) error {
	_, err := s.Admin(n, http.MethodPut, "rows/"+key, record)
	return err
}

// Admin calls the administration API of entry n.
func (s *Stage) Admin(n int, method, path, body string) (string, error) {
	return s.call(method, s.front(n)+"/admin/"+path, OperatorKey, body, nil)
}

// CallError is an answer with another status than 2xx.
type CallError struct {
	Status  int
	Outcome string // of the header Bamboohill-Outcome
	Body    string
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("status %d outcome %q: %s", e.Status, e.Outcome, strings.TrimSpace(e.Body))
}

func (s *Stage) call(method, target, key, body string, header map[string]string) (string, error) {
	q, err := http.NewRequestWithContext(context.Background(), method, target, bytes.NewReader([]byte(body)))
	if err != nil {
		return "", err
	}
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		q.Header.Set(name, value)
	}
	r, err := s.client.Do(q)
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return string(text), err
	}
	if r.StatusCode/100 != 2 {
		return string(text), &CallError{Status: r.StatusCode, Outcome: r.Header.Get("Bamboohill-Outcome"), Body: string(text)}
	}
	return string(text), nil
}

// Book makes a booking through entry n, with a timeout in seconds if one is
// given.
func (s *Stage) Book(n int, key, body, timeout string) (string, error) {
	headers := map[string]string{"Idempotency-Key": key}
	if timeout != "" {
		headers["Bamboohill-Timeout"] = timeout
	}
	return s.call(http.MethodPost, s.front(n)+"/services/bookings/book", CallerKey, body, headers)
}

// errStays is returned for an answer that does not ask to close.
var errStays = errors.New("stager: the answer does not ask the caller to close the connection")

// Polite checks that entry n answers and asks its caller to close the
// connection.
func (s *Stage) Polite(n int) error {
	q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, s.front(n)+"/healthz", nil)
	if err != nil {
		return err
	}
	r, err := s.client.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK || !r.Close {
		return errStays
	}
	return nil
}

// Outcome names what became of a call: answered, not-run or unknown; a call
// that got no answer at all is unknown.
func Outcome(err error) string {
	if err == nil {
		return "answered"
	}
	var failed *CallError
	if errors.As(err, &failed) && failed.Outcome != "" {
		return failed.Outcome
	}
	return "unknown"
}

// Number parses a script's number.
func Number(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("stager: %q is no number", text)
	}
	return n, nil
}
