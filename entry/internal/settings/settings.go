// Package settings holds the settings of the program entry.
//
// # Usage
//
//	var s settings.Settings
//	err := checker.Load(path, &s)
package settings

import (
	"encoding/hex"
	"fmt"
	"slices"

	"bamboohill/core/certifier"
	"bamboohill/core/checker"
	"bamboohill/core/logger"
	"bamboohill/core/storer"
	"bamboohill/core/tracer"
)

// Settings is the configuration of one entry.
type Settings struct {
	Level     string          `toml:"level"`     // of the log
	Address   string          `toml:"address"`   // for callers and operators, IP:PORT
	Inner     string          `toml:"inner"`     // for entries and sidecars, IP:PORT
	Advertise string          `toml:"advertise"` // the address at which other processes reach inner, IP:PORT
	VM        string          `toml:"vm"`        // name of this VM
	Domain    string          `toml:"domain"`    // failure domain
	Entries   []string        `toml:"entries"`   // internal addresses of some other entries
	Platform  storer.Platform `toml:"platform"`
	Bounds    Bounds          `toml:"bounds"`
	Operators []Operator      `toml:"operator"`
	Poll      int             `toml:"poll"`    // milliseconds between reads of the configuration's last sequence number
	Grace     int             `toml:"grace"`   // milliseconds for which new connections are accepted after a stop signal
	Control   int             `toml:"control"` // bytes per second, sent and received, for all traffic but callers' requests
	TLS       certifier.Files `toml:"tls"`     // for entries and sidecars
	Front     certifier.Files `toml:"front"`   // for callers and operators; without an authority
	Trace     tracer.Settings `toml:"trace"`
}

// Bounds limits what callers may send.
type Bounds struct {
	Body    int64 `toml:"body"`    // bytes of one request
	Memory  int64 `toml:"memory"`  // bytes of the process, of which request bodies may take three quarters
	Timeout int   `toml:"timeout"` // milliseconds, if neither the caller nor its plan sets a timeout
	// Connections is the maximum number of open connections from callers.
	Connections int `toml:"connections"`
}

// Operator is an account of the administration API, identified by its key.
type Operator struct {
	Name string `toml:"name"`
	Hash string `toml:"hash"` // SHA-256 of the key in hexadecimal
	Role string `toml:"role"` // read or write
}

// Roles of operators.
const (
	Read  = "read"
	Write = "write"
)

// Defaults of Settings.
const (
	defaultBody    = 16 << 20
	defaultMemory  = 512 << 20
	defaultTimeout = 60_000
	defaultPoll    = 1000
	defaultGrace   = 3000
	defaultControl = 3000

	defaultConnections = 4096
)

// hashDigits is the length of the hash of an operator's key in hexadecimal
// digits.
const hashDigits = 64

// Check implements checker.Validator. It first sets unset fields to their
// defaults.
func (s *Settings) Check() []checker.Problem {
	s.defaults()
	var problems checker.Problems
	problems.Require(slices.Contains(logger.Levels, s.Level), "level", "must be debug, info, warn or error")
	problems.Require(checker.IsAddress(s.Address), "address", "must be IP:PORT")
	problems.Require(checker.IsAddress(s.Inner), "inner", "must be IP:PORT")
	problems.Require(checker.IsAddress(s.Advertise), "advertise", "must be IP:PORT")
	problems.Require(s.VM != "", "vm", "must name this VM")
	problems.Require(s.Domain != "", "domain", "must name the failure domain")
	problems.Require(checker.AreAddresses(s.Entries), "entries", "must hold IP:PORT")
	problems.Require(checker.IsAddress(s.Platform.Table), "platform.table", "must be IP:PORT")
	problems.Require(s.Bounds.Body > 0, "bounds.body", "must be a number of bytes above 0")
	problems.Require(s.Bounds.Memory >= 2*s.Bounds.Body, "bounds.memory", "must be at least twice bounds.body")
	problems.Require(s.Bounds.Timeout > 0, "bounds.timeout", "must be above 0 milliseconds")
	problems.Require(s.Bounds.Connections > 0, "bounds.connections", "must be at least 1")
	problems.Require(s.TLS.Complete(), "tls", "must name certificate, key and authority, or none")
	problems.Require((s.Front.Certificate == "") == (s.Front.Key == ""), "front", "must name certificate and key, or none")
	problems.Require(s.Grace >= 0, "grace", "must not be negative")
	problems.Require(s.Control >= 100, "control", "must be at least 100 bytes a second")
	problems.Require(s.Poll >= 10, "poll", "must be at least 10 milliseconds")
	for i, o := range s.Operators {
		at := fmt.Sprintf("operator[%d].", i)
		problems.Require(o.Name != "", at+"name", "must name the operator")
		problems.Require(isHash(o.Hash), at+"hash", "must be a SHA-256 of 64 hexadecimal digits")
		problems.Require(o.Role == Read || o.Role == Write, at+"role", "must be read or write")
	}
	s.Trace.Validate(&problems)
	return problems
}

func (s *Settings) defaults() {
	checker.Default(&s.Level, "info")
	checker.Default(&s.Advertise, s.Inner)
	checker.Default(&s.Bounds.Body, defaultBody)
	checker.Default(&s.Bounds.Memory, defaultMemory)
	checker.Default(&s.Bounds.Timeout, defaultTimeout)
	checker.Default(&s.Bounds.Connections, defaultConnections)
	checker.Default(&s.Poll, defaultPoll)
	checker.Default(&s.Grace, defaultGrace)
	checker.Default(&s.Control, defaultControl)
}

func isHash(text string) bool {
	_, err := hex.DecodeString(text)
	return err == nil && len(text) == hashDigits
}
