// Package settings holds the settings of the program sidecar.
//
// # Usage
//
//	var s settings.Settings
//	err := checker.Load(path, &s)
package settings

import (
	"net/netip"
	"slices"

	"bamboohill/core/certifier"
	"bamboohill/core/checker"
	"bamboohill/core/logger"
	"bamboohill/core/tracer"
)

// Kinds of backend server.
const (
	Model   = "model"
	Service = "service"
)

// Settings is what one sidecar needs to know.
type Settings struct {
	Level    string          `toml:"level"`    // of the log
	Address  string          `toml:"address"`  // where entries reach it, IP:PORT
	Server   string          `toml:"server"`   // id of the backend server
	VM       string          `toml:"vm"`       // name of this VM
	Domain   string          `toml:"domain"`   // failure domain
	Kind     string          `toml:"kind"`     // model or service
	Service  string          `toml:"service"`  // name of the plain service
	Backend  string          `toml:"backend"`  // of the backend server, IP:PORT
	Entries  []string        `toml:"entries"`  // some entries to start from
	Platform Platform        `toml:"platform"` // the platform's services
	Gate     Gate            `toml:"gate"`     // limits
	Beat     int             `toml:"beat"`     // milliseconds between heartbeats
	Drain    int             `toml:"drain"`    // milliseconds to leave
	TLS      certifier.Files `toml:"tls"`      // towards entries
	Trace    Trace           `toml:"trace"`
}

// Platform names the platform's services.
type Platform struct {
	Table   string `toml:"table"`
	Objects string `toml:"objects"`
	List    string `toml:"list"`
}

// Gate bounds what a backend server is given.
type Gate struct {
	Cold int `toml:"cold"` // requests at once in a cold start
	Warm int `toml:"warm"` // requests at once when warm
}

// Trace says where spans go.
type Trace struct {
	Exporter string `toml:"exporter"` // none, stdout or otlp; none if empty
	Endpoint string `toml:"endpoint"` // for otlp
}

// Defaults of Settings.
const (
	defaultCold  = 2
	defaultWarm  = 64
	defaultBeat  = 500
	defaultDrain = 20_000
)

// Check implements checker.Checked; it fills in the defaults first.
func (s *Settings) Check() []checker.Problem {
	s.defaults()
	var bad []checker.Problem
	add := func(ok bool, key, allowed string) {
		if !ok {
			bad = append(bad, checker.Problem{Key: key, Allowed: allowed})
		}
	}
	add(slices.Contains(logger.Levels, s.Level), "level", "must be debug, info, warn or error")
	add(isAddress(s.Address), "address", "must be IP:PORT")
	add(isAddress(s.Backend), "backend", "must be IP:PORT")
	add(s.Server != "", "server", "must name the backend server")
	add(s.VM != "", "vm", "must name this VM")
	add(s.Domain != "", "domain", "must name the failure domain")
	add(s.Kind == Model || s.Kind == Service, "kind", "must be model or service")
	add(s.Kind != Service || s.Service != "", "service", "must name the plain service")
	add(len(s.Entries) > 0, "entries", "must hold at least one IP:PORT")
	for _, e := range s.Entries {
		add(isAddress(e), "entries", "must hold IP:PORT")
	}
	add(isAddress(s.Platform.Table), "platform.table", "must be IP:PORT")
	add(s.Gate.Cold > 0, "gate.cold", "must be at least 1")
	add(s.Gate.Warm >= s.Gate.Cold, "gate.warm", "must be at least gate.cold")
	add(s.TLS.Whole(), "tls", "must name certificate, key and authority, or none")
	add(s.Beat >= 10, "beat", "must be at least 10 milliseconds")
	add(s.Drain >= 0, "drain", "must not be negative")
	add(tracer.Known(s.Trace.Exporter), "trace.exporter", "must be none, stdout or otlp")
	add(s.Trace.Exporter != tracer.OTLP || isAddress(s.Trace.Endpoint), "trace.endpoint", "must be IP:PORT for otlp")
	return bad
}

func (s *Settings) defaults() {
	if s.Level == "" {
		s.Level = "info"
	}
	if s.Kind == "" {
		s.Kind = Model
	}
	if s.Gate.Cold == 0 {
		s.Gate.Cold = defaultCold
	}
	if s.Gate.Warm == 0 {
		s.Gate.Warm = defaultWarm
	}
	if s.Beat == 0 {
		s.Beat = defaultBeat
	}
	if s.Drain == 0 {
		s.Drain = defaultDrain
	}
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
