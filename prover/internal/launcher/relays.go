package launcher

import (
	"context"
	"fmt"
	"net"
	"sync"

	"bamboohill/standin/relayer"
)

// relayOffset is the distance from the port of a process to the port of its relay.
const relayOffset = 1000

// anyProcess matches every process in SetLinkMode.
const anyProcess = "*"

// linkModes are the modes of a link by their names in scenarios.
var linkModes = map[string]relayer.Mode{
	"pass": relayer.Pass, "drop-requests": relayer.DropRequests, "drop-responses": relayer.DropResponses, "reset": relayer.Reset,
}

// direction is the direction of calls from one process to another.
type direction struct{ from, to string }

// relays holds the relays of a stack, one in front of each process that others
// call, and the modes set for them.
type relays struct {
	mu        sync.Mutex
	modes     map[direction]relayer.Mode
	listeners []net.Listener
}

// SetLinkMode sets how relays treat the calls of one process to another; either
// name may be "*" for every process. The mode is pass, drop-requests,
// drop-responses or reset. An unknown mode is an error.
func (s *Stack) SetLinkMode(from, to, mode string) error {
	value, found := linkModes[mode]
	if !found {
		return fmt.Errorf("launcher: unknown link mode %q", mode)
	}
	s.relays.mu.Lock()
	defer s.relays.mu.Unlock()
	s.relays.modes[direction{from, to}] = value
	return nil
}

// mode returns the current mode for the calls of one process to another: the most
// severe one that is set for the direction or a wildcard that matches it.
func (r *relays) mode(from, to string) relayer.Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	worst := relayer.Pass
	for _, p := range []direction{{from, to}, {from, anyProcess}, {anyProcess, to}, {anyProcess, anyProcess}} {
		worst = max(worst, r.modes[p])
	}
	return worst
}

// startRelay starts the relay in front of instance n of the process kind with the
// given port. name and address are those of the process.
func (s *Stack) startRelay(name, address string, port, n int) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.address(port+relayOffset, n))
	if err != nil {
		return err
	}
	s.relays.mu.Lock()
	s.relays.listeners = append(s.relays.listeners, listener)
	s.relays.mu.Unlock()
	r := relayer.New(relayer.Config{
		Pick: relayer.FixedTarget(address),
		Mode: func(conn net.Conn) func() relayer.Mode {
			from := s.callerName(conn.RemoteAddr(), conn.LocalAddr())
			return func() relayer.Mode { return s.relays.mode(from, name) }
		},
	})
	go r.Serve(listener)
	return nil
}

// startRelays starts the relays of a stack if it has any.
func (s *Stack) startRelays(sp Spec) error {
	if !sp.Relays {
		return nil
	}
	targets := []struct {
		name  string
		port  int
		count int
	}{{"table", tablePort, 1}, {"objects", objectsPort, 1}, {"list", listPort, 1}, {"entry", internalPort, sp.Entries}, {"sidecar", sidecarPort, sp.Engines + sp.Services}}
	for _, p := range targets {
		for n := range p.count {
			name := p.name
			if p.port >= callerPort {
				name = fmt.Sprintf("%s%d", p.name, n)
			}
			if err := s.startRelay(name, s.address(p.port, n), p.port, n); err != nil {
				return err
			}
		}
	}
	return nil
}

// dialAddress returns the address at which other processes call instance n of the
// process kind with the given port: that of its relay if the stack has relays.
func (s *Stack) dialAddress(sp Spec, port, n int) string {
	if sp.Relays {
		port += relayOffset
	}
	return s.address(port, n)
}

func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.listeners {
		l.Close()
	}
}

// callerName returns the name of the process that has the caller's end of a
// connection open, or an empty string if no process of the stack does.
func (s *Stack) callerName(caller, relay net.Addr) string {
	inode, err := socketInode(caller, relay)
	if err != nil {
		return ""
	}
	for name, pid := range s.callerPIDs() {
		if hasSocket(pid, inode) {
			return name
		}
	}
	return ""
}

// callerPIDs returns the process IDs of the entries and sidecars by name; the
// stand-ins call none of the relayed processes.
func (s *Stack) callerPIDs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]int{}
	for name, p := range s.processes {
		if startOrder(name) > 0 {
			all[name] = p.command.Process.Pid
		}
	}
	return all
}
