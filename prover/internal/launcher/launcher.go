package launcher

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

// Limits of the waits of a scenario, and the interval between attempts.
const (
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	callTimeout  = 40 * time.Second
)

// Config is the configuration of a Stack.
type Config struct {
	Programs string // folder with the programs entry, sidecar and standin
	Work     string // folder for settings and logs
	Address  string // loopback IP of the scenario
}

// Stack is a set of processes on one loopback address. Requests to entries may be
// sent from several goroutines once Up has returned.
type Stack struct {
	config    Config
	client    *http.Client
	authority *authority
	scheme    string // of calls to entries, with ://

	relays relays

	mu        sync.Mutex
	processes map[string]*process
}

// process is a process that was started.
type process struct {
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
	err     error         // of its end, valid once exited is closed
}

// New returns a stack without processes.
func New(config Config) *Stack {
	return &Stack{
		relays: relays{modes: map[direction]relayer.Mode{}}, config: config, scheme: "http://", client: &http.Client{Timeout: callTimeout}, processes: map[string]*process{},
	}
}

// Up writes the settings, starts every process, waits until each entry is ready,
// writes the initial rows, and waits until each entry has them and sees every
// backend server open. It returns the first error, also that of a wait which takes
// longer than readyTimeout.
func (s *Stack) Up(sp Spec) error {
	sp.setDefaults()
	if err := s.issueCertificates(sp); err != nil {
		return err
	}
	if err := s.startRelays(sp); err != nil {
		return err
	}
	files := s.settings(sp)
	for name, text := range files {
		if err := os.WriteFile(s.file(name, ".toml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	for _, name := range slices.SortedFunc(maps.Keys(files), func(a, b string) int { return startOrder(a) - startOrder(b) }) {
		if strings.HasPrefix(name, spare) {
			continue // the scenario starts it
		}
		if err := s.Start(name); err != nil {
			return err
		}
	}
	for n := range sp.Entries {
		if err := s.Until(func() error { return s.ready(n) }); err != nil {
			return err
		}
	}
	rows := initialRows()
	// Plans must exist before the accounts that refer to them.
	for _, key := range slices.Backward(slices.Sorted(maps.Keys(rows))) {
		if err := s.PutRow(0, key, rows[key]); err != nil {
			return err
		}
	}
	for n := range sp.Entries {
		if err := s.Until(func() error { return s.synced(n, sp.Engines+sp.Services) }); err != nil {
			return err
		}
	}
	return nil
}

// startOrder returns the position of a process in the order of the start:
// stand-ins, entries, sidecars.
func startOrder(name string) int {
	switch {
	case strings.HasPrefix(name, "sidecar"):
		return 2
	case strings.HasPrefix(name, "entry"):
		return 1
	}
	return 0
}

// file returns the path of a file of a process.
func (s *Stack) file(name, suffix string) string { return filepath.Join(s.config.Work, name+suffix) }

// ready returns nil if entry n answers its readiness check.
func (s *Stack) ready(n int) error {
	_, err := s.call(http.MethodGet, s.baseURL(n)+"/readyz", "", "", nil)
	return err
}

// synced returns nil if entry n has the initial rows and sees the given number of
// backend servers open.
func (s *Stack) synced(n, servers int) error {
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
	if status.Sequence < len(initialRows()) {
		return fmt.Errorf("launcher: entry %d is at configuration sequence %d", n, status.Sequence)
	}
	if got := strings.Count(text, "STATE_OPEN"); got < servers {
		return fmt.Errorf("launcher: entry %d sees %d of %d servers open", n, got, servers)
	}
	return nil
}

// Log returns the log of a process, with that of its earlier runs.
func (s *Stack) Log(name string) (string, error) {
	text, err := os.ReadFile(s.file(name, ".log"))
	return string(text), err
}

// Start starts a process, or starts it again after it has ended. Its output is
// appended to its log.
func (s *Stack) Start(name string) error {
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

// process returns a process that was started.
func (s *Stack) process(name string) (*process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.processes[name]
	if !found {
		return nil, fmt.Errorf("launcher: process %q was not started", name)
	}
	return p, nil
}

// Signal sends a signal to a process. After SIGKILL it waits until the process has
// ended.
func (s *Stack) Signal(name string, signal syscall.Signal) error {
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

// WaitExit waits for a process to end and returns its exit status, -1 if a signal
// ended it. It is an error if that takes longer than callTimeout.
func (s *Stack) WaitExit(name string) (int, error) {
	p, err := s.process(name)
	if err != nil {
		return 0, err
	}
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(callTimeout):
		return 0, fmt.Errorf("launcher: %s has not ended in time", name)
	}
}

// Close kills the processes that still run and closes the relays.
func (s *Stack) Close() {
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

// Until calls try until it succeeds, for at most readyTimeout, and returns the last
// error of try.
func (s *Stack) Until(try func() error) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := try()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// SetFault sets a fault of a stand-in; value 0 turns it off.
func (s *Stack) SetFault(name, fault, value string) error {
	address, err := s.ControlAddress(name)
	if err != nil {
		return err
	}
	form := url.Values{"name": {fault}, "value": {value}}
	_, err = s.call(http.MethodPost, "http://"+address+"/fault?"+form.Encode(), "", "", nil)
	return err
}

// Counts returns the counters of a stand-in or entry at a path such as /counts or
// /runs, as JSON.
func (s *Stack) Counts(name, path string) (string, error) {
	address, err := s.ControlAddress(name)
	if err != nil {
		return "", err
	}
	return s.call(http.MethodGet, "http://"+address+path, "", "", nil)
}

// PutBody sends a body to a path of a stand-in with the method PUT.
func (s *Stack) PutBody(name, path, body string) error {
	address, err := s.ControlAddress(name)
	if err != nil {
		return err
	}
	_, err = s.call(http.MethodPut, "http://"+address+path, "", body, nil)
	return err
}

// PutRow writes a configuration row, KIND/NAME, through entry n.
func (s *Stack) PutRow(n int, key, record string) error {
	_, err := s.Admin(n, http.MethodPut, "rows/"+key, record)
	return err
}

// Admin calls the administration API of entry n as an operator and returns the
// response body, also with an error.
func (s *Stack) Admin(n int, method, path, body string) (string, error) {
	return s.call(method, s.baseURL(n)+"/admin/"+path, OperatorKey, body, nil)
}

// CallError is a response with a status other than 2xx.
type CallError struct {
	Status  int
	Outcome string // of the header Bamboohill-Outcome
	Body    string
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("status %d outcome %q: %s", e.Status, e.Outcome, strings.TrimSpace(e.Body))
}

// call sends a request and returns the response body. key is the API key, none if
// empty. A status other than 2xx is a *CallError.
func (s *Stack) call(method, target, key, body string, header map[string]string) (string, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, target, bytes.NewReader([]byte(body)))
	if err != nil {
		return "", err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return string(text), err
	}
	if response.StatusCode/100 != 2 {
		return string(text), &CallError{Status: response.StatusCode, Outcome: response.Header.Get("Bamboohill-Outcome"), Body: string(text)}
	}
	return string(text), nil
}

// Book makes a booking through entry n and returns the response body. key is its
// idempotency key, timeout a number of seconds or empty for none.
func (s *Stack) Book(n int, key, body, timeout string) (string, error) {
	headers := map[string]string{"Idempotency-Key": key}
	if timeout != "" {
		headers["Bamboohill-Timeout"] = timeout
	}
	return s.call(http.MethodPost, s.baseURL(n)+"/services/bookings/book", CallerKey, body, headers)
}

// errNoClose is returned for a response that does not ask the caller to close the
// connection.
var errNoClose = errors.New("launcher: the response does not ask the caller to close the connection")

// CheckConnectionClose checks that entry n answers and asks the caller to close the
// connection; if not, it returns an error.
func (s *Stack) CheckConnectionClose(n int) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, s.baseURL(n)+"/healthz", nil)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || !response.Close {
		return errNoClose
	}
	return nil
}

// Outcome returns the outcome of a call by its error: answered, not-run or unknown.
// A call without an answer is unknown.
func Outcome(err error) string {
	if err == nil {
		return "answered"
	}
	var callErr *CallError
	if errors.As(err, &callErr) && callErr.Outcome != "" {
		return callErr.Outcome
	}
	return "unknown"
}

// ParseNumber parses a number of a scenario command.
func ParseNumber(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("launcher: %q is not a number", text)
	}
	return n, nil
}
