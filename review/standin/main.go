// Command standin plays the platform, the engines and the clients of the review's scripts.
// It uses the standard library only. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
//
//	standin SCENARIO ROOT RECORD
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

var scenarios = map[string]func(*play) error{"recover": recoverWithLimits, "crash": crashAfterKill, "silent": removedAfterSilence, "same-id": sameID}

// play is what a scenario plays with.
type play struct {
	*deployment
	store    *store
	client   *client
	balancer *balancer
	machines []*machine // that run, or ran
	trouble  bool
	prefix   string // of the loopback addresses of this run
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(scenario func(*play) error, root, path string) int {
	p, err := newPlay(root, path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(p.dir)
	err = scenario(p)
	for _, m := range p.machines {
		m.kill("the end")
	}
	if os.Getenv("KEEP_LOGS") != "" {
		_ = os.CopyFS(os.Getenv("KEEP_LOGS"), os.DirFS(p.dir))
	}
	switch {
	case errors.Is(err, errBroken):
		p.record.line("result: %v", err)
		fmt.Println(err)
		return 1
	case err != nil:
		p.record.line("result: could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	p.record.line("result: the rule held")
	fmt.Println("the rule held")
	return 0
}

func newPlay(root, path string) (*play, error) {
	r, err := openRecord(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	prefix := fmt.Sprintf("127.%d.%d", 64+pid%128, 1+(pid/128)%250)
	found, err := freePorts(4, []string{prefix + ".1", prefix + ".2"})
	if err != nil {
		return nil, err
	}
	s := newStore()
	l, err := net.Listen("tcp4", prefix+".200:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, s) }()
	root, err = filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, ports: ports{found[0], found[1], found[2], found[3]}, store: l.Addr().String(), record: r}
	b := newBalancer(d.ports)
	return &play{
		deployment: d, store: s, balancer: b, client: &client{balancer: b, record: r, key: "n2ctnfzs989anu6wsjnb"},
		trouble: os.Getenv("TROUBLE") != "0", prefix: prefix,
	}, nil
}

// ip returns the address of machine n.
func (p *play) ip(n int) string { return fmt.Sprintf("%s.%d", p.prefix, n) }

// add starts a machine and brings it into rotation.
func (p *play) add(name, zone string, n int) (*machine, error) {
	m, err := p.newMachine(name, zone, p.ip(n))
	if err != nil {
		return nil, err
	}
	if err := p.start(m); err != nil {
		return nil, err
	}
	p.machines = append(p.machines, m)
	p.balancer.add(m)
	return m, nil
}

// desired is the desired state: one plain service with a safe route.
const desired = `{"version":7,"routes":[
{"name":"roster-read","host":"` + host + `","pathPrefix":"/roster/","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"bookings","maxAttempts":2}],
"services":[{"name":"bookings","healthPath":"/health","maxConns":48,"coldStartS":0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":30000},
"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}`

// traffic sends requests at a rate until stop is closed.
func (p *play) traffic(rate int, stop chan struct{}) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
			p.client.send(fmt.Sprintf("/roster/%x", n))
		}
	}
}
