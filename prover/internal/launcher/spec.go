package launcher

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// API keys that every stack accepts: one of an operator with the role write and
// one of a client account.
const (
	OperatorKey = "proof-operator"
	CallerKey   = "proof-caller"
)

// Domains are the names of the failure domains; process N is in domain N modulo 3.
var Domains = []string{"ikeja", "lekki", "apapa"}

// Spec lists the processes of a stack and their settings. Numbers that are zero
// get the defaults of setDefaults.
type Spec struct {
	Entries          int
	Engines          int
	Services         int
	Memory           int     // tokens that fit into the memory of an engine
	PrefillRate      float64 // prompt tokens per second of an engine
	DecodeRate       float64 // output tokens per second of one stream
	Cold             bool    // engines start cold
	Warmup           int     // finished requests until an engine is warm
	ServiceTime      int     // milliseconds that a service takes for one call after its effect
	Heartbeat        int     // milliseconds between heartbeats
	PollInterval     int     // milliseconds between reads of the configuration head
	GracePeriod      int     // milliseconds that an entry keeps serving after SIGTERM
	DrainTime        int     // milliseconds that a sidecar may take to drain
	RestartTime      int     // milliseconds until a crashed engine is back
	Fencing          bool    // engines refuse orders with an outdated fencing token
	BalancerInterval int     // milliseconds between readiness checks of the balancer, 0 for no balancer
	Relays           bool    // relays between the processes, needed by SetLinkMode
	WeightStore      bool    // engines load models from the weight store
	BoundCopies      bool    // sidecars limit how many backend servers run copies of one request at the same time
	SpareSidecars    int     // engines, from engine0 on, that get settings for a second sidecar, spareN, which the scenario starts
	NoPeers          bool    // entries start without the address of another entry
	TLS              bool    // TLS between entries and sidecars
	CallerTLS        bool    // TLS towards callers too
}

// setDefaults replaces zero values by the defaults.
func (sp *Spec) setDefaults() {
	set := func(value *int, fallback int) {
		if *value == 0 {
			*value = fallback
		}
	}
	set(&sp.Entries, 1)
	set(&sp.Engines, 1)
	set(&sp.Memory, 400_000)
	set(&sp.Warmup, 8)
	set(&sp.ServiceTime, 5)
	set(&sp.Heartbeat, 100)
	set(&sp.PollInterval, 200)
	set(&sp.DrainTime, 10_000)
	set(&sp.GracePeriod, 100)
	set(&sp.RestartTime, 500)
	if sp.PrefillRate == 0 {
		sp.PrefillRate = 400_000
	}
	if sp.DecodeRate == 0 {
		sp.DecodeRate = 400
	}
}

// First ports of each kind of process on the address of the scenario; instance n
// listens on the port plus n.
const (
	tablePort           = 5001
	objectsPort         = 5002
	listPort            = 5003
	weightsPort         = 5004
	runsPort            = 5005
	balancerPort        = 5006
	balancerControlPort = 5007
	callerPort          = 5100
	internalPort        = 5200
	enginePort          = 5300
	servicePort         = 5400
	sidecarPort         = 5500
	sparePort           = 5600
)

// address returns the address of instance n of the process kind with a port.
func (s *Stack) address(port, n int) string { return fmt.Sprintf("%s:%d", s.config.Address, port+n) }

// EntryAddress returns the address of entry n for callers and operators.
func (s *Stack) EntryAddress(n int) string { return s.address(callerPort, n) }

// Balancer stands for the balancer where a function takes the number of an entry.
const Balancer = -1

// baseURL returns the URL of entry n, or of the balancer if n is Balancer.
func (s *Stack) baseURL(n int) string {
	if n == Balancer {
		return s.scheme + s.address(balancerPort, 0)
	}
	return s.scheme + s.EntryAddress(n)
}

// balancerSettings returns the settings file of the balancer.
func (s *Stack) balancerSettings(sp Spec) string {
	var targets []string
	for n := range sp.Entries {
		targets = append(targets, strconv.Quote(s.EntryAddress(n)))
	}
	return fmt.Sprintf("[balancer]\naddress = %q\ncontrol = %q\nevery = %d\ntargets = [%s]\n",
		s.address(balancerPort, 0), s.address(balancerControlPort, 0), sp.BalancerInterval, strings.Join(targets, ", "))
}

// InternalAddress returns the address of entry n for other processes.
func (s *Stack) InternalAddress(n int) string { return s.address(internalPort, n) }

// ControlAddress returns the address at which a stand-in takes faults and shows
// its counters. The name is table, objects, list, weights, runs, balancer, engineN
// or serviceN; for entryN it is the internal address, which has counters only.
func (s *Stack) ControlAddress(name string) (string, error) {
	var n int
	switch name {
	case "table":
		return s.address(tablePort, 0), nil
	case "objects":
		return s.address(objectsPort, 0), nil
	case "list":
		return s.address(listPort, 0), nil
	case "weights":
		return s.address(weightsPort, 0), nil
	case "balancer":
		return s.address(balancerControlPort, 0), nil
	case "runs":
		return s.address(runsPort, 0), nil
	}
	if _, err := fmt.Sscanf(name, "engine%d", &n); err == nil {
		return s.address(enginePort, n), nil
	}
	if _, err := fmt.Sscanf(name, "service%d", &n); err == nil {
		return s.address(servicePort, n), nil
	}
	if _, err := fmt.Sscanf(name, "entry%d", &n); err == nil {
		return s.InternalAddress(n), nil
	}
	return "", fmt.Errorf("launcher: unknown stand-in %q", name)
}

// domain returns the failure domain of process n.
func domain(n int) string { return Domains[n%len(Domains)] }

// platformTable returns the TOML table [platform] of an entry or sidecar.
func (s *Stack) platformTable(sp Spec) string {
	return fmt.Sprintf("[platform]\ntable = %q\nobjects = %q\nlist = %q\n", s.dialAddress(sp, tablePort, 0), s.dialAddress(sp, objectsPort, 0), s.dialAddress(sp, listPort, 0))
}

// settings returns the settings files of all processes by process name.
func (s *Stack) settings(sp Spec) map[string]string {
	files := map[string]string{
		"platform": s.platformSettings(sp),
		"runs":     fmt.Sprintf("[runs]\naddress = %q\n", s.address(runsPort, 0)),
	}
	if sp.BalancerInterval > 0 {
		files["balancer"] = s.balancerSettings(sp)
	}
	for n := range sp.Engines {
		files[fmt.Sprintf("engine%d", n)] = fmt.Sprintf(
			"[[engine]]\naddress = %q\nmemory = %d\nprefill = %g\ndecode = %g\nwarm = %t\nwarmup = %d\nrestart = %d\nfencing = %t\nstore = %q\nmodels = [\"base\", \"survey\"]\n",
			s.address(enginePort, n), sp.Memory, sp.PrefillRate, sp.DecodeRate, !sp.Cold, sp.Warmup, sp.RestartTime, sp.Fencing, s.weightStore(sp))
		files[fmt.Sprintf("sidecar%d", n)] = s.sidecarSettings(sp, n, fmt.Sprintf("engine%d", n), "model", "", s.address(enginePort, n))
	}
	for n := range sp.SpareSidecars {
		files[fmt.Sprintf("%s%d", spare, n)] = s.spareSettings(sp, n)
	}
	for n := range sp.Services {
		i := sp.Engines + n
		files[fmt.Sprintf("service%d", n)] = fmt.Sprintf("[[service]]\naddress = %q\nwork = %d\nruns = %q\n", s.address(servicePort, n), sp.ServiceTime, s.address(runsPort, 0))
		files[fmt.Sprintf("sidecar%d", i)] = s.sidecarSettings(sp, i, fmt.Sprintf("service%d", n), "service", "bookings", s.address(servicePort, n))
	}
	for n := range sp.Entries {
		files[fmt.Sprintf("entry%d", n)] = s.entrySettings(sp, n)
	}
	return files
}

// platformSettings returns the settings file of the stand-ins of the platform; its
// VM list holds every entry and sidecar.
func (s *Stack) platformSettings(sp Spec) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[table]\naddress = %q\njournal = %q\n[objects]\naddress = %q\n[weights]\naddress = %q\nrate = 2.0\nburst = 2\n[list]\naddress = %q\nlag = 500\n",
		s.address(tablePort, 0), s.file("platform", ".journal"), s.address(objectsPort, 0), s.address(weightsPort, 0), s.address(listPort, 0))
	for n := range sp.Entries {
		fmt.Fprintf(&b, "[[list.vm]]\nname = \"entry%d\"\ndomain = %q\naddress = %q\nrole = \"entry\"\n", n, domain(n), s.dialAddress(sp, internalPort, n))
	}
	for n := range sp.Engines + sp.Services {
		fmt.Fprintf(&b, "[[list.vm]]\nname = \"vm%d\"\ndomain = %q\naddress = %q\nrole = \"sidecar\"\n", n, domain(n), s.dialAddress(sp, sidecarPort, n))
	}
	return b.String()
}

// spare is the name of the second sidecar of an engine, without the number of the
// engine.
const spare = "spare"

// spareSettings returns the settings file of the second sidecar of engine n: those
// of the first one with another port and VM.
func (s *Stack) spareSettings(sp Spec, n int) string {
	text := s.sidecarSettings(sp, n, fmt.Sprintf("engine%d", n), "model", "", s.address(enginePort, n))
	text = strings.ReplaceAll(text, s.address(sidecarPort, n), s.address(sparePort, n))
	return strings.Replace(text, fmt.Sprintf("vm = \"vm%d\"", n), fmt.Sprintf("vm = \"%s%d\"", spare, n), 1)
}

// weightStore returns the address of the weight store that engines load from, or
// an empty string if they load without one.
func (s *Stack) weightStore(sp Spec) string {
	if !sp.WeightStore {
		return ""
	}
	return s.address(weightsPort, 0)
}

// sidecarSettings returns the settings file of sidecar n. server is the name of its
// backend server, backend the address.
func (s *Stack) sidecarSettings(sp Spec, n int, server, kind, service, backend string) string {
	return fmt.Sprintf("address = %q\nadvertise = %q\nserver = %q\nvm = \"vm%d\"\ndomain = %q\nkind = %q\nservice = %q\nbackend = %q\nbeat = %d\ndrain = %d\nentries = [%q]\n%s%s[gate]\ncopies = %t\n",
		s.address(sidecarPort, n), s.dialAddress(sp, sidecarPort, n), server, n, domain(n), kind, service, backend, sp.Heartbeat, sp.DrainTime, s.dialAddress(sp, internalPort, 0), s.platformTable(sp), s.tlsTable(sp, fmt.Sprintf("sidecar%d", n)), sp.BoundCopies)
}

// entrySettings returns the settings file of entry n.
func (s *Stack) entrySettings(sp Spec, n int) string {
	peers := ""
	if sp.Entries > 1 && !sp.NoPeers {
		peers = fmt.Sprintf("%q", s.dialAddress(sp, internalPort, (n+1)%sp.Entries))
	}
	sum := sha256.Sum256([]byte(OperatorKey))
	return fmt.Sprintf("address = %q\ninner = %q\nadvertise = %q\nvm = \"entry%d\"\ndomain = %q\npoll = %d\ngrace = %d\nentries = [%s]\n%s%s[[operator]]\nname = \"proof\"\nhash = %q\nrole = \"write\"\n",
		s.address(callerPort, n), s.address(internalPort, n), s.dialAddress(sp, internalPort, n), n, domain(n), sp.PollInterval, sp.GracePeriod, peers, s.platformTable(sp), s.tlsTable(sp, fmt.Sprintf("entry%d", n)), hex.EncodeToString(sum[:]))
}

// initialRows returns the configuration rows that every stack starts with, by
// KIND/NAME.
func initialRows() map[string]string {
	sum := sha256.Sum256([]byte(CallerKey))
	key := base64.StdEncoding.EncodeToString(sum[:])
	return map[string]string{
		"plan/crew":       `{"plan":{"name":"crew","offers":[{"model":"base","adapters":["*"]},{"model":"survey"}],"services":["bookings"],"timeoutMs":"30000"}}`,
		"account/balloon": `{"account":{"name":"balloon","plan":"crew","keys":["` + key + `"]}}`,
	}
}
