package stager

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Keys that every stack knows.
const (
	OperatorKey = "proof-operator"
	CallerKey   = "proof-caller"
)

// Domains are the failure domains; process N stands in domain N modulo 3.
var Domains = []string{"ikeja", "lekki", "apapa"}

// Shape is what a stack consists of. Zero values mean the defaults of fill.
type Shape struct {
	Entries  int
	Engines  int
	Services int
	Memory   int     // tokens of an engine
	Prefill  float64 // tokens a second of an engine
	Decode   float64 // tokens a second of one stream
	Cold     bool    // engines start cold
	Warmup   int     // finished requests until an engine is warm
	Work     int     // milliseconds of one plain call
	Beat     int     // milliseconds between heartbeats
	Poll     int     // milliseconds between reads of the configuration's head
	Grace    int     // milliseconds that an entry which stops goes on
	Drain    int     // milliseconds that a sidecar may take to leave
	Restart  int     // milliseconds that a crashed engine is away
	Fencing  bool    // engines refuse orders with an old number
	Balancer int     // milliseconds between a balancer's questions, 0 for none
	Relays   bool    // relays between the processes, for cuts
	Weights  bool    // engines load from the weight store
	Copies   bool    // sidecars bound the copies of one request
	Spares   int     // first engines for which a second sidecar spareN may be started
	Alone    bool    // a process starts knowing no other entry
	TLS      bool    // between entries and sidecars
	Front    bool    // TLS towards callers too
}

func (h *Shape) fill() {
	set := func(value *int, fallback int) {
		if *value == 0 {
			*value = fallback
		}
	}
	set(&h.Entries, 1)
	set(&h.Engines, 1)
	set(&h.Memory, 400_000)
	set(&h.Warmup, 8)
	set(&h.Work, 5)
	set(&h.Beat, 100)
	set(&h.Poll, 200)
	set(&h.Drain, 10_000)
	set(&h.Grace, 100)
	set(&h.Restart, 500)
	if h.Prefill == 0 {
		h.Prefill = 400_000
	}
	if h.Decode == 0 {
		h.Decode = 400
	}
}

// Ports of a stack; every process has its own on the scenario's address.
const (
	tablePort   = 5001
	objectsPort = 5002
	listPort    = 5003
	weightsPort = 5004
	runsPort    = 5005
	balancePort = 5006
	controlPort = 5007
	outerPort   = 5100
	innerPort   = 5200
	enginePort  = 5300
	servicePort = 5400
	sidecarPort = 5500
	sparePort   = 5600
)

func (s *Stage) at(port, n int) string { return fmt.Sprintf("%s:%d", s.config.Address, port+n) }

// Entry returns the address for callers and operators of entry n.
func (s *Stage) Entry(n int) string { return s.at(outerPort, n) }

// Balancer is the number of the balancer where one of an entry is asked for.
const Balancer = -1

// front returns the base URL of entry n, or of the balancer before all.
func (s *Stage) front(n int) string {
	if n == Balancer {
		return s.scheme + s.at(balancePort, 0)
	}
	return s.scheme + s.Entry(n)
}

// balancer returns the settings of the balancer.
func (s *Stage) balancer(h Shape) string {
	var targets []string
	for n := range h.Entries {
		targets = append(targets, strconv.Quote(s.Entry(n)))
	}
	return fmt.Sprintf("[balancer]\naddress = %q\ncontrol = %q\nevery = %d\ntargets = [%s]\n",
		s.at(balancePort, 0), s.at(controlPort, 0), h.Balancer, strings.Join(targets, ", "))
}

// Inner returns the address for processes of entry n.
func (s *Stage) Inner(n int) string { return s.at(innerPort, n) }

// Fault returns the address of a process by its name: table, objects, list,
// weights, runs, balancer, engineN or serviceN, and entryN, which has counts
// alone.
func (s *Stage) Fault(name string) (string, error) {
	var n int
	switch name {
	case "table":
		return s.at(tablePort, 0), nil
	case "objects":
		return s.at(objectsPort, 0), nil
	case "list":
		return s.at(listPort, 0), nil
	case "weights":
		return s.at(weightsPort, 0), nil
	case "balancer":
		return s.at(controlPort, 0), nil
	case "runs":
		return s.at(runsPort, 0), nil
	}
	if _, err := fmt.Sscanf(name, "engine%d", &n); err == nil {
		return s.at(enginePort, n), nil
	}
	if _, err := fmt.Sscanf(name, "service%d", &n); err == nil {
		return s.at(servicePort, n), nil
	}
	if _, err := fmt.Sscanf(name, "entry%d", &n); err == nil {
		return s.Inner(n), nil
	}
	return "", fmt.Errorf("stager: no stand-in %q", name)
}

func domain(n int) string { return Domains[n%len(Domains)] }

func (s *Stage) platform(h Shape) string {
	return fmt.Sprintf("[platform]\ntable = %q\nobjects = %q\nlist = %q\n", s.reach(h, tablePort, 0), s.reach(h, objectsPort, 0), s.reach(h, listPort, 0))
}

// settings returns the settings files by process name.
func (s *Stage) settings(h Shape) map[string]string {
	files := map[string]string{
		"platform": s.platformFile(h),
		"runs":     fmt.Sprintf("[runs]\naddress = %q\n", s.at(runsPort, 0)),
	}
	if h.Balancer > 0 {
		files["balancer"] = s.balancer(h)
	}
	for n := range h.Engines {
		files[fmt.Sprintf("engine%d", n)] = fmt.Sprintf(
			"[[engine]]\naddress = %q\nmemory = %d\nprefill = %g\ndecode = %g\nwarm = %t\nwarmup = %d\nrestart = %d\nfencing = %t\nstore = %q\nmodels = [\"base\", \"survey\"]\n",
			s.at(enginePort, n), h.Memory, h.Prefill, h.Decode, !h.Cold, h.Warmup, h.Restart, h.Fencing, s.store(h))
		files[fmt.Sprintf("sidecar%d", n)] = s.sidecar(h, n, fmt.Sprintf("engine%d", n), "model", "", s.at(enginePort, n))
	}
	for n := range h.Spares {
		files[fmt.Sprintf("%s%d", spare, n)] = s.spare(h, n)
	}
	for n := range h.Services {
		i := h.Engines + n
		files[fmt.Sprintf("service%d", n)] = fmt.Sprintf("[[service]]\naddress = %q\nwork = %d\nruns = %q\n", s.at(servicePort, n), h.Work, s.at(runsPort, 0))
		files[fmt.Sprintf("sidecar%d", i)] = s.sidecar(h, i, fmt.Sprintf("service%d", n), "service", "bookings", s.at(servicePort, n))
	}
	for n := range h.Entries {
		files[fmt.Sprintf("entry%d", n)] = s.entry(h, n)
	}
	return files
}

// platformFile lists the first entry and every sidecar in the VM list.
func (s *Stage) platformFile(h Shape) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[table]\naddress = %q\njournal = %q\n[objects]\naddress = %q\n[weights]\naddress = %q\nrate = 2.0\nburst = 2\n[list]\naddress = %q\nlag = 500\n",
		s.at(tablePort, 0), s.file("platform", ".journal"), s.at(objectsPort, 0), s.at(weightsPort, 0), s.at(listPort, 0))
	for n := range h.Entries {
		fmt.Fprintf(&b, "[[list.vm]]\nname = \"entry%d\"\ndomain = %q\naddress = %q\nrole = \"entry\"\n", n, domain(n), s.reach(h, innerPort, n))
	}
	for n := range h.Engines + h.Services {
		fmt.Fprintf(&b, "[[list.vm]]\nname = \"vm%d\"\ndomain = %q\naddress = %q\nrole = \"sidecar\"\n", n, domain(n), s.reach(h, sidecarPort, n))
	}
	return b.String()
}

// spare is the name of a second sidecar beside an engine, with the number of
// the engine.
const spare = "spare"

// spare returns the settings of the sidecar of engine n on another VM.
func (s *Stage) spare(h Shape, n int) string {
	text := s.sidecar(h, n, fmt.Sprintf("engine%d", n), "model", "", s.at(enginePort, n))
	text = strings.ReplaceAll(text, s.at(sidecarPort, n), s.at(sparePort, n))
	return strings.Replace(text, fmt.Sprintf("vm = \"vm%d\"", n), fmt.Sprintf("vm = \"%s%d\"", spare, n), 1)
}

// store returns the address of the weight store that engines load from.
func (s *Stage) store(h Shape) string {
	if !h.Weights {
		return ""
	}
	return s.at(weightsPort, 0)
}

func (s *Stage) sidecar(h Shape, n int, server, kind, service, backend string) string {
	return fmt.Sprintf("address = %q\nadvertise = %q\nserver = %q\nvm = \"vm%d\"\ndomain = %q\nkind = %q\nservice = %q\nbackend = %q\nbeat = %d\ndrain = %d\nentries = [%q]\n%s%s[gate]\ncopies = %t\n",
		s.at(sidecarPort, n), s.reach(h, sidecarPort, n), server, n, domain(n), kind, service, backend, h.Beat, h.Drain, s.reach(h, innerPort, 0), s.platform(h), s.tlsTable(h, fmt.Sprintf("sidecar%d", n)), h.Copies)
}

func (s *Stage) entry(h Shape, n int) string {
	peers := ""
	if h.Entries > 1 && !h.Alone {
		peers = fmt.Sprintf("%q", s.reach(h, innerPort, (n+1)%h.Entries))
	}
	sum := sha256.Sum256([]byte(OperatorKey))
	return fmt.Sprintf("address = %q\ninner = %q\nadvertise = %q\nvm = \"entry%d\"\ndomain = %q\npoll = %d\ngrace = %d\nentries = [%s]\n%s%s[[operator]]\nname = \"proof\"\nhash = %q\nrole = \"write\"\n",
		s.at(outerPort, n), s.at(innerPort, n), s.reach(h, innerPort, n), n, domain(n), h.Poll, h.Grace, peers, s.platform(h), s.tlsTable(h, fmt.Sprintf("entry%d", n)), hex.EncodeToString(sum[:]))
}

// lists returns the rows that every stack starts with, by KIND/NAME.
func lists() map[string]string {
	sum := sha256.Sum256([]byte(CallerKey))
	key := base64.StdEncoding.EncodeToString(sum[:])
	return map[string]string{
		"plan/crew":       `{"plan":{"name":"crew","offers":[{"model":"base","adapters":["*"]},{"model":"survey"}],"services":["bookings"],"timeoutMs":"30000"}}`,
		"account/balloon": `{"account":{"name":"balloon","plan":"crew","keys":["` + key + `"]}}`,
	}
}
