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
	KindModel   = "model"
	KindService = "service"
)

// Settings is what one sidecar needs to know.
type Settings struct {
	Level           string          `toml:"level"`     // of the log
	Address         string          `toml:"address"`   // for entries, IP:PORT
	Advertise       string          `toml:"advertise"` // that address as entries are told it, IP:PORT
	Server          string          `toml:"server"`    // id of the backend server
	VM              string          `toml:"vm"`        // name of this VM
	Domain          string          `toml:"domain"`    // failure domain
	Kind            string          `toml:"kind"`      // model or service
	Service         string          `toml:"service"`   // name of the plain service
	Backend         string          `toml:"backend"`   // of the backend server, IP:PORT
	Entries         []string        `toml:"entries"`   // some entries to start from
	Platform        storer.Platform `toml:"platform"`  // the platform's services
	Limits          Limits          `toml:"gate"`      // limits
	HeartbeatMillis int             `toml:"beat"`      // milliseconds between heartbeats
	DrainMillis     int             `toml:"drain"`     // milliseconds to leave
	WritesPerSecond int             `toml:"writes"`    // of the table service a second, by all sidecars of plain services together
	TLS             certifier.Files `toml:"tls"`       // towards entries
	Trace           tracer.Settings `toml:"trace"`
}

// Limits bounds what a backend server is given.
type Limits struct {
	ColdRequests int  `toml:"cold"`   // requests at once in a cold start
	WarmRequests int  `toml:"warm"`   // requests at once when warm
	BoundCopies  bool `toml:"copies"` // bound the backend servers that run copies of one request at once
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
	bad.Require(s.Kind == KindModel || s.Kind == KindService, "kind", "must be model or service")
	bad.Require(s.Kind != KindService || s.Service != "", "service", "must name the plain service")
	bad.Require(len(s.Entries) > 0, "entries", "must hold at least one IP:PORT")
	bad.Require(checker.AreAddresses(s.Entries), "entries", "must hold IP:PORT")
	bad.Require(checker.IsAddress(s.Platform.Table), "platform.table", "must be IP:PORT")
	bad.Require(s.Limits.ColdRequests > 0, "gate.cold", "must be at least 1")
	bad.Require(s.Limits.WarmRequests >= s.Limits.ColdRequests, "gate.warm", "must be at least gate.cold")
	bad.Require(s.TLS.Complete(), "tls", "must name certificate, key and authority, or none")
	bad.Require(s.HeartbeatMillis >= 10, "beat", "must be at least 10 milliseconds")
	bad.Require(s.WritesPerSecond > 0, "writes", "must be above 0 writes a second")
	bad.Require(s.DrainMillis >= 0, "drain", "must not be negative")
	s.Trace.Validate(&bad)
	return bad
}

func (s *Settings) defaults() {
	checker.Default(&s.Level, "info")
	checker.Default(&s.Advertise, s.Address)
	checker.Default(&s.Kind, KindModel)
	checker.Default(&s.Limits.ColdRequests, defaultCold)
	checker.Default(&s.Limits.WarmRequests, defaultWarm)
	checker.Default(&s.HeartbeatMillis, defaultBeat)
	checker.Default(&s.DrainMillis, defaultDrain)
	checker.Default(&s.WritesPerSecond, defaultWrites)
}
