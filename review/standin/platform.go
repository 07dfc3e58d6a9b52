package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is how often an engine renews its entry.
const heartbeat = 1200 * time.Millisecond

// Ports of the machines of a day: the same on all of them.
type ports struct{ front, ready, control, inner int }

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// machine is a front machine with one process of the project.
type machine struct {
	name, zone, ip string
	settings       string
	log            string
	record         *record

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// deployment is the platform's part: settings, starts and ends of processes.
type deployment struct {
	root   string // of the repository
	dir    string // temporary
	ports  ports
	store  string // address
	seeds  []string
	record *record
}

// freePorts returns ports that are free on all the given addresses.
func freePorts(n int, hosts []string) ([]int, error) {
	var found []int
	for port := 20000 + os.Getpid()%9000; len(found) < n && port < 32000; port++ {
		free := true
		for _, h := range hosts {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", h, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			found = append(found, port)
		}
	}
	if len(found) < n {
		return nil, fmt.Errorf("no free ports")
	}
	return found, nil
}

// render fills in a template as DEPLOY.md tells: values, and sections over a list.
func render(text string, values map[string]string, lists map[string][]string) string {
	section := regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	text = section.ReplaceAllStringFunc(text, func(whole string) string {
		m := section.FindStringSubmatch(whole)
		var all strings.Builder
		for i, v := range lists[m[1]] {
			comma := ","
			if i == len(lists[m[1]])-1 {
				comma = ""
			}
			all.WriteString(strings.ReplaceAll(strings.ReplaceAll(m[2], "{{.}}", v), "{{,}}", comma))
		}
		return all.String()
	})
	return regexp.MustCompile(`\{\{[\w.]+\}\}`).ReplaceAllStringFunc(text, func(p string) string { return values[strings.Trim(p, "{}")] })
}

// newMachine writes the settings of a front machine.
func (d *deployment) newMachine(name, zone, ip string) (*machine, error) {
	template, err := os.ReadFile(filepath.Join(d.root, "deploy/direct.toml.tmpl"))
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"nodeName": name, "zone": zone, "region": "viti-west", "ip": ip, "limits.memoryMb": "284", "heartbeatMs": fmt.Sprint(heartbeat.Milliseconds()),
		"listen.front": fmt.Sprintf("%s:%d", ip, d.ports.front), "listen.ready": fmt.Sprintf("%s:%d", ip, d.ports.ready),
		"listen.control": fmt.Sprintf("%s:%d", ip, d.ports.control), "internalPorts.0": fmt.Sprint(d.ports.inner),
		"bounds.graceS": "8", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "100", "bounds.budgetWindowS": "10",
		"bounds.drainMs": "2000", "platform.address": d.store,
	}
	m := &machine{name: name, zone: zone, ip: ip, settings: filepath.Join(d.dir, name+".conf"), log: filepath.Join(d.dir, name+".log"), record: d.record}
	return m, os.WriteFile(m.settings, []byte(render(string(template), values, map[string][]string{"seeds": d.seeds})), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m *machine) error {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(d.root, "target/entry"), "direct", "run", m.settings)
	c.Dir, c.Stdout, c.Stderr = d.root, out, out
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	_ = out.Close()
	ended := make(chan struct{})
	go func() { _ = c.Wait(); close(ended) }()
	m.mu.Lock()
	m.command, m.ended = c, ended
	m.mu.Unlock()
	m.record.line("%s (%s, zone %s) starts", m.name, m.ip, m.zone)
	return nil
}

// kill ends the process with SIGKILL.
func (m *machine) kill(why string) {
	m.mu.Lock()
	c, ended := m.command, m.ended
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-ended
	m.record.line("%s is killed: %s", m.name, why)
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.command.Process.Signal(s)
	m.record.line("%s gets %v", m.name, s)
}

// ready reports whether the machine counts as ready.
func (m *machine) ready(p ports) bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, p.ready))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the machine is ready.
func (m *machine) awaitReady(p ports, most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.ready(p) {
			return true
		}
	}
	return false
}
