package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// entry is one process of the project, with the settings that the template of the deploy file
// gives a small deployment.
type entry struct {
	n                              int
	callers, ready, calls, metrics string
	settings                       string
	log                            *output
	command                        *exec.Cmd
	ended                          chan struct{}
}

// output keeps the output of a process.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// bounds of the deployment, as on the users' sheets of the small sites.
const (
	drainMs, contactMs, graceS = 2000, 3000, 8
	memoryMb                   = 284
)

// newEntries writes the settings of the given number of entries, each with a loopback address
// of its own and the same ports.
func newEntries(s *store, number int, zones []string) []*entry {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		cannotRun(err.Error())
	}
	temporary = dir
	host := func(n int) string {
		return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, 1+os.Getpid()/100%200, 10+n)
	}
	ports := freePorts(number, host)
	at := func(n, port int) string { return net.JoinHostPort(host(n), fmt.Sprint(ports+port)) }
	seeds := []string{}
	for n := range min(3, number) {
		seeds = append(seeds, fmt.Sprintf("%q", at(n, 2)))
	}
	var all []*entry
	for n := range number {
		e := &entry{n: n, callers: at(n, 0), ready: at(n, 1), calls: at(n, 2), metrics: at(n, 4), log: &output{}, settings: filepath.Join(dir, fmt.Sprintf("front-%d.toml", n))}
		text := fmt.Sprintf(`level = "info"
vm = "front-%d"
domain = %q
region = "home"
memory_mb = %d
grace_s = %d
placing = "priced-domains"
entries = [%s]
[listen]
callers = %q
ready = %q
calls = %q
datagrams = %q
metrics = %q
[retry]
ratio = 0.2
slack = 100
window_s = 10
[platform]
store = %q
drain_ms = %d
heartbeat_ms = %d
`, n, zones[n%len(zones)], memoryMb, graceS, strings.Join(seeds, ","), e.callers, e.ready, e.calls, at(n, 3), e.metrics, s.address, drainMs, heartbeat.Milliseconds())
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			cannotRun(err.Error())
		}
		all = append(all, e)
	}
	return all
}

// freePorts returns the first of five ports that are free at the loopback addresses.
func freePorts(number int, host func(n int) string) int {
	for first := 21000 + os.Getpid()%20000; first < 60000; first += 10 {
		free := true
		for n := range number {
			for port := first; port < first+5; port++ {
				l, err := net.Listen("tcp4", net.JoinHostPort(host(n), fmt.Sprint(port)))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return first
		}
	}
	cannotRun("no free ports")
	return 0
}

// start starts the process, or starts it again.
func (e *entry) start() {
	e.command = exec.Command(program, "direct", "run", e.settings)
	e.command.Stdout, e.command.Stderr = e.log, e.log
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.command.Start(); err != nil {
		cannotRun(err.Error())
	}
	e.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		c.Wait()
		close(ended)
	}(e.command, e.ended)
}

func (e *entry) signal(s syscall.Signal) { e.command.Process.Signal(s) }

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.ended
}

func (e *entry) hasEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

var probe = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (e *entry) isReady() bool {
	r, err := probe.Get("http://" + e.ready + "/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (e *entry) awaitReady() {
	for range 1000 {
		if e.isReady() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	cannotRun("an entry is not ready:\n" + e.log.String())
}
