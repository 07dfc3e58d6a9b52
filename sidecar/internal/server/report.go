package server

import (
	"context"
	"expvar"
	"net"
	"time"

	"bamboohill/sidecar/internal/settings"
	"bamboohill/wire"
)

// unlimitedMemory is the free memory of a plain service, in tokens.
const unlimitedMemory = 1 << 62

// Report returns the newest report.
func (s *Server) Report() *wire.Report {
	set := s.config.Settings
	state := s.keeper.State()
	r := &wire.Report{
		Server: set.Server, Vm: set.VM, Domain: set.Domain, Address: set.Advertise, Boot: s.boot, Serial: s.serial.Add(1),
		Kind: wire.Kind_KIND_MODEL, Service: set.Service, Free: unlimitedMemory, Running: int32(s.gate.Running()),
		Limit: int32(s.gate.Limit()), Sequence: state.Sequence, Cold: s.gate.Cold(),
	}
	if set.Kind == settings.Service {
		r.Kind = wire.Kind_KIND_SERVICE
	}
	alive := true
	if s.engine != nil {
		alive = s.addEngineState(r)
	}
	// Without a configuration the gate refuses everything.
	r.State = s.state(state.OutOfService(set.Domain, set.VM), alive && s.keeper.Ready())
	return r
}

// addEngineState adds what the engine says of itself.
func (s *Server) addEngineState(r *wire.Report) bool {
	status, alive := s.engine.lastStatus()
	r.Memory = status.Memory
	r.Free = max(0, status.Memory-s.gate.Reserved())
	r.Queued = status.Queued
	briefs, longs := s.attempts.waitingTokens()
	r.Long = min(r.Queued, longs)
	r.Brief = min(r.Queued-r.Long, briefs)
	r.Prefill = status.Prefill
	r.Decode = status.Decode
	r.Role = status.Role
	for _, m := range status.Models {
		r.Offers = append(r.Offers, &wire.Offer{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return alive
}

func (s *Server) state(out, alive bool) wire.State {
	switch {
	case s.leaving.active():
		return wire.State_STATE_LEAVING
	case out:
		return wire.State_STATE_OUT
	case !alive:
		return wire.State_STATE_DOWN
	}
	return wire.State_STATE_OPEN
}

// Bounds of reading the engine's cache events.
const (
	eventsInterval = 250 * time.Millisecond
	eventsTimeout  = 2 * time.Second
)

// listenDatagrams opens a port for datagrams to and from entries, at the IP
// address where these reach the sidecar.
func listenDatagrams(address string) (net.PacketConn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	return (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", net.JoinHostPort(host, "0"))
}

// onAck takes an entry's answer to a heartbeat as a datagram.
func (s *Server) onAck(address string, ack *wire.BeatAck) {
	s.desired.raise(ack.GetWanted())
	if s.keeper.Observe(ack.GetSequence()) {
		s.catchUp(ack.GetSequence(), address)
	}
}

// applyPush takes changes that an entry pushes by datagram.
func (s *Server) applyPush(batch *wire.Batch) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	reply, err := gateService{s}.Push(ctx, batch)
	if err != nil {
		return 0
	}
	return reply.GetSequence()
}

// reporterVars shows how heartbeats go out.
func (s *Server) reporterVars(m *expvar.Map) {
	counts := s.reporter.Counts()
	for name, value := range map[string]func() any{
		"beats_calls":     func() any { return counts.Calls.Load() },
		"beats_datagrams": func() any { return counts.Datagrams.Load() },
		"beats_lost":      func() any { return counts.Lost.Load() },
		"beats_saved":     func() any { return counts.Saved.Load() },
		"beats_bytes":     func() any { return counts.Bytes.Load() },
		"beats_every_ms":  func() any { return s.reporter.Every().Milliseconds() },
	} {
		m.Set(name, expvar.Func(value))
	}
}

// announce has a heartbeat sent once the engine's own figures show a long prompt
// that was just handed over: until then every other entry takes this backend
// server for idle. One that ends before is not announced.
func (s *Server) announce(ctx context.Context) {
	t := time.NewTimer(statusInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-t.C:
	}
	if s.engine.refresh(ctx) == nil {
		s.reporter.Soon()
	}
}

// readEvents asks the engine for its cache events. They may come late; while
// they do not come at all, entries keep the hints they have.
func (s *Server) readEvents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	status, alive := s.engine.lastStatus()
	if !alive {
		return
	}
	events, err := s.engine.Events(ctx, s.collector.LastSerial())
	if err != nil {
		return
	}
	s.collector.AddEvents(status.Boot, events)
}
