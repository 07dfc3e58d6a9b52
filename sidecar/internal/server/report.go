package server

import (
	"context"
	"expvar"
	"net"
	"time"

	"bamboohill/sidecar/internal/settings"
	"bamboohill/wire"
)

// unlimitedMemory is the free memory that the report of a plain service states,
// in tokens.
const unlimitedMemory = 1 << 62

// Report returns a new report on the backend server with the next serial number.
func (s *Server) Report() *wire.Report {
	set := s.config.Settings
	state := s.keeper.State()
	r := &wire.Report{
		Server: set.Server, Vm: set.VM, Domain: set.Domain, Address: set.Advertise, Boot: s.boot, Serial: s.serial.Add(1),
		Kind: wire.Kind_KIND_MODEL, Service: set.Service, Free: unlimitedMemory, Running: int32(s.gate.Running()),
		Limit: int32(s.gate.Limit()), Sequence: state.Sequence, Cold: s.gate.Cold(),
	}
	if set.Kind == settings.KindService {
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

// addEngineState adds the last status of the engine to a report. It returns
// whether the engine responds and has been audited.
func (s *Server) addEngineState(r *wire.Report) bool {
	status, alive := s.engine.lastStatus()
	r.Memory = status.Memory
	r.Free = max(0, status.Memory-s.gate.Reserved())
	r.Queued = status.Queued
	short, long := s.attempts.waitingTokens()
	r.Long = min(r.Queued, long)
	r.Brief = min(r.Queued-r.Long, short)
	r.Prefill = status.Prefill
	r.Decode = status.Decode
	r.Role = status.Role
	for _, m := range status.Models {
		r.Offers = append(r.Offers, &wire.Offer{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return alive
}

// state returns the state to report.
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

// Interval and timeout of reading the engine's cache events.
const (
	eventsInterval = 250 * time.Millisecond
	eventsTimeout  = 2 * time.Second
)

// listenDatagrams opens a UDP port for datagrams to and from entries, at the IP
// address where entries reach the sidecar.
func listenDatagrams(address string) (net.PacketConn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	return (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", net.JoinHostPort(host, "0"))
}

// onAck handles an entry's acknowledgement of a heartbeat datagram.
func (s *Server) onAck(address string, ack *wire.BeatAck) {
	s.desired.raise(ack.GetWanted())
	if s.keeper.Observe(ack.GetSequence()) {
		s.catchUp(ack.GetSequence(), address)
	}
}

// applyPush applies changes that an entry pushed by datagram and returns the
// sequence number to acknowledge, 0 on failure.
func (s *Server) applyPush(batch *wire.Batch) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	reply, err := gateService{s}.Push(ctx, batch)
	if err != nil {
		return 0
	}
	return reply.GetSequence()
}

// reporterVars adds the counters of heartbeats.
func (s *Server) reporterVars(m *expvar.Map) {
	counts := s.reporter.Counts()
	for name, value := range map[string]func() any{
		"beats_calls":     func() any { return counts.Calls.Load() },
		"beats_datagrams": func() any { return counts.Datagrams.Load() },
		"beats_lost":      func() any { return counts.Unanswered.Load() },
		"beats_saved":     func() any { return counts.Skipped.Load() },
		"beats_bytes":     func() any { return counts.Bytes.Load() },
		"beats_every_ms":  func() any { return s.reporter.Interval().Milliseconds() },
	} {
		m.Set(name, expvar.Func(value))
	}
}

// announce sends an early heartbeat once the engine's status includes a long
// prompt that was just sent to it; until then every other entry considers this
// backend server idle. A prompt that ends before is not announced.
func (s *Server) announce(ctx context.Context) {
	t := time.NewTimer(statusInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-t.C:
	}
	if s.engine.refresh(ctx) == nil {
		s.reporter.TriggerHeartbeat()
	}
}

// readEvents reads the engine's cache events. If it can't, the next call reads
// them, and entries keep their prefix hints meanwhile.
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
