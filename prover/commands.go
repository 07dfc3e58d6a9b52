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

// Script is the state of one scenario. Its methods are the commands.
type Script struct {
	Stack *launcher.Stack

	services     int
	engines      int
	entries      int
	mu           sync.Mutex
	calls        map[string]chan error // results of background calls by name
	startedJobs  map[string]int        // by engine, as last stored by the command jobs
	loads        map[string]*load      // by entry, as named in the command load
	loadsStarted int
}

// NewScript returns the state of a scenario that uses a stack.
func NewScript(stack *launcher.Stack) *Script {
	return &Script{Stack: stack, calls: map[string]chan error{}, startedJobs: map[string]int{}, loads: map[string]*load{}}
}

// errUsage is returned for an unknown command or wrong arguments.
var errUsage = errors.New("prover: unknown command or wrong arguments")

// Run runs one command of the scenario language and returns its output.
func (s *Script) Run(name string, args []string) (string, error) {
	commands := map[string]struct {
		minArgs int
		run     func([]string) (string, error)
	}{
		"stack":            {0, s.stack},
		"signal":           {2, s.signal},
		"start":            {1, func(args []string) (string, error) { return "", s.Stack.Start(args[0]) }},
		"issue":            {1, func(args []string) (string, error) { return "", s.Stack.IssueCertificate(args[0]) }},
		"grep-log":         {2, s.grepLog},
		"exited":           {2, s.exited},
		"fault":            {3, func(args []string) (string, error) { return "", s.Stack.SetFault(args[0], args[1], args[2]) }},
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
		"cut":              {3, func(args []string) (string, error) { return "", s.Stack.SetLinkMode(args[0], args[1], args[2]) }},
		"check-counts":     {3, s.checkCounts},
		"counts":           {2, func(args []string) (string, error) { return s.Stack.Counts(args[0], args[1]) }},
	}
	if name == "until" && len(args) > 0 {
		return s.until(args)
	}
	c, found := commands[name]
	if !found || len(args) < c.minArgs {
		return "", fmt.Errorf("%w: %s %s", errUsage, name, strings.Join(args, " "))
	}
	return c.run(args)
}

// until repeats a command until it succeeds and returns its last output.
func (s *Script) until(args []string) (string, error) {
	var out string
	err := s.Stack.Until(func() error {
		var err error
		out, err = s.Run(args[0], args[1:])
		return err
	})
	return out, err
}

// stack starts the processes of the scenario.
func (s *Script) stack(args []string) (string, error) {
	var sp launcher.Spec
	numbers := map[string]*int{
		"entries": &sp.Entries, "engines": &sp.Engines, "services": &sp.Services, "memory": &sp.Memory, "warmup": &sp.Warmup,
		"work": &sp.ServiceTime, "beat": &sp.Heartbeat, "poll": &sp.PollInterval, "drain": &sp.DrainTime, "grace": &sp.GracePeriod, "restart": &sp.RestartTime,
		"balancer": &sp.BalancerInterval, "spares": &sp.SpareSidecars,
	}
	rates := map[string]*float64{"prefill": &sp.PrefillRate, "decode": &sp.DecodeRate}
	flags := map[string]*bool{
		"cold": &sp.Cold, "fencing": &sp.Fencing, "copies": &sp.BoundCopies, "weights": &sp.WeightStore, "tls": &sp.TLS, "front": &sp.CallerTLS,
		"relays": &sp.Relays, "alone": &sp.NoPeers,
	}
	for _, arg := range args {
		key, value, _ := strings.Cut(arg, "=")
		n, err := strconv.ParseFloat(value, 64)
		switch {
		case flags[key] != nil && value == "true":
			*flags[key] = true
		case numbers[key] != nil && err == nil:
			*numbers[key] = int(n)
		case rates[key] != nil && err == nil:
			*rates[key] = n
		default:
			return "", fmt.Errorf("%w: %s", errUsage, arg)
		}
	}
	sp.TLS = sp.TLS || sp.CallerTLS
	s.services = sp.Services
	s.entries = max(1, sp.Entries)
	s.engines = max(1, sp.Engines)
	return "", s.Stack.Up(sp)
}

func (s *Script) signal(args []string) (string, error) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	number, found := signals[args[1]]
	if !found {
		return "", fmt.Errorf("%w: signal %s", errUsage, args[1])
	}
	return "", s.Stack.Signal(args[0], number)
}

// grepLog checks that the log of a process contains a text.
func (s *Script) grepLog(args []string) (string, error) {
	text, err := s.Stack.Log(args[0])
	if err == nil && !strings.Contains(text, args[1]) {
		err = fmt.Errorf("prover: log of %s does not contain %q", args[0], args[1])
	}
	return "", err
}

// exited waits for a process to end and checks its exit status.
func (s *Script) exited(args []string) (string, error) {
	want, err := launcher.ParseNumber(args[1])
	if err != nil {
		return "", err
	}
	got, err := s.Stack.WaitExit(args[0])
	if err == nil && got != want {
		err = fmt.Errorf("prover: %s ended with status %d, want %d", args[0], got, want)
	}
	return "", err
}

func (s *Script) put(args []string) (string, error) {
	n, err := launcher.ParseNumber(args[0])
	if err != nil {
		return "", err
	}
	return "", s.Stack.PutRow(n, args[1], args[2])
}

func (s *Script) admin(args []string) (string, error) {
	n, err := launcher.ParseNumber(args[0])
	if err != nil {
		return "", err
	}
	return s.Stack.Admin(n, args[1], args[2], strings.Join(args[3:], " "))
}
