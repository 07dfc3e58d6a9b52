// Package settings holds the settings of the program sidecar.
//
// # Usage
//
//	var s settings.Settings
//	err := checker.Load(path, &s)
package settings

import (
	"slices"

	"bamboohill/core/certifier"
	"bamboohill/core/checker"
	"bamboohill/core/logger"
	"bamboohill/core/storer"
	"bamboohill/core/tracer"
)

// Kinds of backend server.
const (
	Model   = "model"
	Service = "service"
)

// Settings is what one sidecar needs to know.
type Settings struct {
	Level     string          `toml:"level"`     // of the log
	Address   string          `toml:"address"`   // for entries, IP:PORT
	Advertise string          `toml:"advertise"` // that address as entries are told it, IP:PORT
	Server    string          `toml:"server"`    // id of the backend server
	VM        string          `toml:"vm"`        // name of this VM
	Domain    string          `toml:"domain"`    // failure domain
	Kind      string          `toml:"kind"`      // model or service
	Service   string          `toml:"service"`   // name of the plain service
	Backend   string          `toml:"backend"`   // of the backend server, IP:PORT
	Entries   []string        `toml:"entries"`   // some entries to start from
	Platform  storer.Platform `toml:"platform"`  // the platform's services
	Gate      Gate            `toml:"gate"`      // limits
	Beat      int             `toml:"beat"`      // milliseconds between heartbeats
	Drain     int             `toml:"drain"`     // milliseconds to leave
	Writes    int             `toml:"writes"`    // of the table service a second, by all sidecars of plain services together
	TLS       certifier.Files `toml:"tls"`       // towards entries
	Trace     tracer.Settings `toml:"trace"`
}

// Gate bounds what a backend server is given.
type Gate struct {
	Cold   int  `toml:"cold"`   // requests at once in a cold start
	Warm   int  `toml:"warm"`   // requests at once when warm
	Copies bool `toml:"copies"` // bound the backend servers that run copies of one request at once
}

// Defaults of Settings.
const (
	defaultCold  = 2
	defaultWarm  = 64
	defaultBeat  = 500
	defaultDrain = 20_000

	defaultWrites = 250
)

// Check implements checker.Validator; it fills in the defaults first.
func (s *Settings) Check() []checker.Problem {
	s.defaults()
	var bad checker.Problems
	bad.Require(slices.Contains(logger.Levels, s.Level), "level", "must be debug, info, warn or error")
	bad.Require(checker.IsAddress(s.Address), "address", "must be IP:PORT")
	bad.Require(checker.IsAddress(s.Advertise), "advertise", "must be IP:PORT")
	bad.Require(checker.IsAddress(s.Backend), "backend", "must be IP:PORT")
	bad.Require(s.Server != "", "server", "must name the backend server")
	bad.Require(s.VM != "", "vm", "must name this VM")
	bad.Require(s.Domain != "", "domain", "must name the failure domain")
	bad.Require(s.Kind == Model || s.Kind == Service, "kind", "must be model or service")
	bad.Require(s.Kind != Service || s.Service != "", "service", "must name the plain service")
	bad.Require(len(s.Entries) > 0, "entries", "must hold at least one IP:PORT")
	bad.Require(checker.AreAddresses(s.Entries), "entries", "must hold IP:PORT")
	bad.Require(checker.IsAddress(s.Platform.Table), "platform.table", "must be IP:PORT")
	bad.Require(s.Gate.Cold > 0, "gate.cold", "must be at least 1")
	bad.Require(s.Gate.Warm >= s.Gate.Cold, "gate.warm", "must be at least gate.cold")
	bad.Require(s.TLS.Complete(), "tls", "must name certificate, key and authority, or none")
	bad.Require(s.Beat >= 10, "beat", "must be at least 10 milliseconds")
	bad.Require(s.Writes > 0, "writes", "must be above 0 writes a second")
	bad.Require(s.Drain >= 0, "drain", "must not be negative")
	s.Trace.Validate(&bad)
	return bad
}

func (s *Settings) defaults() {
	checker.Default(&s.Level, "info")
	checker.Default(&s.Advertise, s.Address)
	checker.Default(&s.Kind, Model)
	checker.Default(&s.Gate.Cold, defaultCold)
	checker.Default(&s.Gate.Warm, defaultWarm)
	checker.Default(&s.Beat, defaultBeat)
	checker.Default(&s.Drain, defaultDrain)
	checker.Default(&s.Writes, defaultWrites)
}
