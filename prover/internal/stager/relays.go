package stager

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
const everybody = "*"

// Modes of a cut, by their names in scripts.
var modes = map[string]relayer.Mode{
	"pass": relayer.Pass, "swallow": relayer.DropRequests, "mute": relayer.DropResponses, "reset": relayer.Reset,
}

// pair is a direction between two processes: who calls, who is called.
type pair struct{ from, to string }

// relays stand between the processes of a stack, one before each that others
// call.
type relays struct {
	mu        sync.Mutex
	cuts      map[pair]relayer.Mode
	listeners []net.Listener
}

// Cut sets what happens to the calls of one process to another; either may be
// "*". The mode is pass, swallow, mute or reset.
func (s *Stage) Cut(from, to, mode string) error {
	cut, found := modes[mode]
	if !found {
		return fmt.Errorf("stager: no mode %q", mode)
	}
	s.relays.mu.Lock()
	defer s.relays.mu.Unlock()
	s.relays.cuts[pair{from, to}] = cut
	return nil
}

// cut returns what is done now with the calls of one process to another.
func (r *relays) cut(from, to string) relayer.Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	worst := relayer.Pass
	for _, p := range []pair{{from, to}, {from, everybody}, {everybody, to}, {everybody, everybody}} {
		worst = max(worst, r.cuts[p])
	}
	return worst
}

// relay starts the relay before a process.
func (s *Stage) relay(name, address string, port, n int) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.at(port+relayOffset, n))
	if err != nil {
		return err
	}
	s.relays.mu.Lock()
	s.relays.listeners = append(s.relays.listeners, listener)
	s.relays.mu.Unlock()
	r := relayer.New(relayer.Config{
		Pick: relayer.FixedTarget(address),
		Mode: func(conn net.Conn) func() relayer.Mode {
			from := s.owner(conn.RemoteAddr(), conn.LocalAddr())
			return func() relayer.Mode { return s.relays.cut(from, name) }
		},
	})
	go r.Serve(listener)
	return nil
}

// relayAll starts the relays of a stack.
func (s *Stage) relayAll(h Shape) error {
	if !h.Relays {
		return nil
	}
	places := []struct {
		name  string
		port  int
		count int
	}{{"table", tablePort, 1}, {"objects", objectsPort, 1}, {"list", listPort, 1}, {"entry", innerPort, h.Entries}, {"sidecar", sidecarPort, h.Engines + h.Services}}
	for _, p := range places {
		for n := range p.count {
			name := p.name
			if p.port >= outerPort {
				name = fmt.Sprintf("%s%d", p.name, n)
			}
			if err := s.relay(name, s.at(p.port, n), p.port, n); err != nil {
				return err
			}
		}
	}
	return nil
}

// reach returns where other processes find the one that listens on a port.
func (s *Stage) reach(h Shape, port, n int) string {
	if h.Relays {
		port += relayOffset
	}
	return s.at(port, n)
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
func (s *Stage) owner(caller, relay net.Addr) string {
	inode, err := socket(caller, relay)
	if err != nil {
		return ""
	}
	for name, pid := range s.callers() {
		if holds(pid, inode) {
			return name
		}
	}
	return ""
}

// callers returns the ids of the processes that call others.
func (s *Stage) callers() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]int{}
	for name, p := range s.processes {
		if rank(name) > 0 {
			all[name] = p.command.Process.Pid
		}
	}
	return all
}
