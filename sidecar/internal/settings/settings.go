// Package settings defines the settings of the sidecar program.
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

// Settings is the configuration of one sidecar.
type Settings struct {
	Level           string          `toml:"level"`     // log level
	Address         string          `toml:"address"`   // address that entries connect to, IP:PORT
	Advertise       string          `toml:"advertise"` // Address as announced to entries, IP:PORT
	Server          string          `toml:"server"`    // id of the backend server
	VM              string          `toml:"vm"`        // name of this VM
	Domain          string          `toml:"domain"`    // failure domain
	Kind            string          `toml:"kind"`      // KindModel or KindService
	Service         string          `toml:"service"`   // name of the plain service
	Backend         string          `toml:"backend"`   // address of the backend server, IP:PORT
	Entries         []string        `toml:"entries"`   // addresses of the initially known entries
	Platform        storer.Platform `toml:"platform"`  // addresses of the platform services
	Limits          Limits          `toml:"gate"`      // limits of the backend server
	HeartbeatMillis int             `toml:"beat"`      // milliseconds between heartbeats
	DrainMillis     int             `toml:"drain"`     // milliseconds for running requests to end or be migrated when this sidecar stops
	WritesPerSecond int             `toml:"writes"`    // writes per second to the table service by all sidecars of plain services together
	TLS             certifier.Files `toml:"tls"`       // certificates for the connections with entries
	Trace           tracer.Settings `toml:"trace"`
}

// Limits bounds the requests that a backend server gets.
type Limits struct {
	ColdRequests int  `toml:"cold"`   // concurrent requests during a cold start
	WarmRequests int  `toml:"warm"`   // concurrent requests after a cold start
	BoundCopies  bool `toml:"copies"` // limit how many backend servers run copies of one request at the same time
}

// Defaults of Settings.
const (
	defaultColdRequests    = 2
	defaultWarmRequests    = 64
	defaultHeartbeatMillis = 500
	defaultDrainMillis     = 20_000

	defaultWritesPerSecond = 250
)

// Check implements checker.Validator. It sets the defaults first.
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

// defaults sets missing values to their defaults.
func (s *Settings) defaults() {
	checker.Default(&s.Level, "info")
	checker.Default(&s.Advertise, s.Address)
	checker.Default(&s.Kind, KindModel)
	checker.Default(&s.Limits.ColdRequests, defaultColdRequests)
	checker.Default(&s.Limits.WarmRequests, defaultWarmRequests)
	checker.Default(&s.HeartbeatMillis, defaultHeartbeatMillis)
	checker.Default(&s.DrainMillis, defaultDrainMillis)
	checker.Default(&s.WritesPerSecond, defaultWritesPerSecond)
}
