package server

import (
	"bamboohill/sidecar/internal/settings"
	"bamboohill/wire"
)

// unbounded is the free memory of a plain service, in tokens.
const unbounded = 1 << 62

// Report returns the newest report.
func (s *Server) Report() *wire.Report {
	set := s.config.Settings
	state := s.keeper.State()
	r := &wire.Report{
		Server: set.Server, Vm: set.VM, Domain: set.Domain, Address: set.Address, Boot: s.boot, Serial: s.serial.Add(1),
		Kind: wire.Kind_KIND_MODEL, Service: set.Service, Free: unbounded, Running: int32(s.gate.Running()),
		Limit: int32(s.gate.Limit()), Sequence: state.Sequence, Cold: s.gate.Cold(),
	}
	if set.Kind == settings.Service {
		r.Kind = wire.Kind_KIND_SERVICE
	}
	alive := true
	if s.engine != nil {
		alive = s.describe(r)
	}
	r.State = s.state(state.Out(set.Domain, set.VM), alive)
	return r
}

// describe adds what the engine says of itself.
func (s *Server) describe(r *wire.Report) bool {
	status, alive := s.engine.known()
	r.Memory = status.Memory
	r.Free = max(0, status.Memory-s.gate.Reserved())
	r.Queued = status.Queued
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
	case s.leaving.now():
		return wire.State_STATE_LEAVING
	case out:
		return wire.State_STATE_OUT
	case !alive:
		return wire.State_STATE_DOWN
	}
	return wire.State_STATE_OPEN
}
