package launcher

import (
	"context"
	"fmt"
	"net"
	"sync"

	"bamboohill/standin/relayer"
)

// relayOffset is added to the port of a process for that of its relay.
const relayOffset = 1000

// everybody stands for any process in a cut.
const anyProcess = "*"

// Modes of a cut, by their names in scripts.
var linkModes = map[string]relayer.Cut{
	"pass": relayer.Pass, "drop-requests": relayer.Swallow, "drop-responses": relayer.Mute, "reset": relayer.Reset,
}

// pair is a direction between two processes: who calls, who is called.
type direction struct{ from, to string }

// relays stand between the processes of a stack, one before each that others
// call.
type relays struct {
	mu        sync.Mutex
	cuts      map[direction]relayer.Cut
	listeners []net.Listener
}

// Cut sets what happens to the calls of one process to another; either may be
// "*". The mode is pass, swallow, mute or reset.
func (s *Stack) SetLinkMode(from, to, mode string) error {
	cut, found := linkModes[mode]
	if !found {
		return fmt.Errorf("launcher: no mode %q", mode)
	}
	s.relays.mu.Lock()
	defer s.relays.mu.Unlock()
	s.relays.cuts[direction{from, to}] = cut
	return nil
}

// cut returns what is done now with the calls of one process to another.
func (r *relays) cut(from, to string) relayer.Cut {
	r.mu.Lock()
	defer r.mu.Unlock()
	worst := relayer.Pass
	for _, p := range []direction{{from, to}, {from, anyProcess}, {anyProcess, to}, {anyProcess, anyProcess}} {
		worst = max(worst, r.cuts[p])
	}
	return worst
}

// relay starts the relay before a process.
func (s *Stack) startRelay(name, address string, port, n int) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.address(port+relayOffset, n))
	if err != nil {
		return err
	}
	s.relays.mu.Lock()
	s.relays.listeners = append(s.relays.listeners, listener)
	s.relays.mu.Unlock()
	r := relayer.New(relayer.Config{
		Pick: relayer.To(address),
		Cut: func(conn net.Conn) func() relayer.Cut {
			from := s.callerName(conn.RemoteAddr(), conn.LocalAddr())
			return func() relayer.Cut { return s.relays.cut(from, name) }
		},
	})
	go r.Serve(listener)
	return nil
}

// relayAll starts the relays of a stack.
func (s *Stack) startRelays(sp Spec) error {
	if !sp.Relays {
		return nil
	}
	places := []struct {
		name  string
		port  int
		count int
	}{{"table", tablePort, 1}, {"objects", objectsPort, 1}, {"list", listPort, 1}, {"entry", internalPort, sp.Entries}, {"sidecar", sidecarPort, sp.Engines + sp.Services}}
	for _, p := range places {
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

// reach returns where other processes find the one that listens on a port.
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

// owner returns the name of the process that holds the caller's end of a
// connection, or nothing if none of the stage's does.
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

// callers returns the ids of the processes that call others.
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
