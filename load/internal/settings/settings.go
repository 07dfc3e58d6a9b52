// Package settings defines the settings of a run of load.
//
// # Usage
//
//	var s settings.Settings
//	err := checker.Load(path, &s)
package settings

import (
	"fmt"

	"bamboohill/core/checker"
)

// Settings configures a run. Check replaces zero values by their defaults.
type Settings struct {
	Entries  []string  `toml:"entries"`  // callers' addresses of entries, IP:PORT
	Accounts []Account `toml:"account"`  // client accounts
	Model    string    `toml:"model"`    // MODEL[@VERSION][:ADAPTER]
	Service  string    `toml:"service"`  // plain service that accepts bookings
	Runs     []string  `toml:"runs"`     // booking services whose /runs are read at the end, IP:PORT
	Rate     float64   `toml:"rate"`     // requests per second
	Seconds  float64   `toml:"seconds"`  // duration of the arrivals
	Seed     uint64    `toml:"seed"`     // random seed of arrivals, lengths and texts
	Shortest int64     `toml:"shortest"` // tokens of the shortest prompt
	Longest  int64     `toml:"longest"`  // tokens of the longest prompt
	Long     float64   `toml:"long"`     // share of prompts with more than LongTokens tokens
	Answer   int64     `toml:"answer"`   // tokens of an answer
	Whole    float64   `toml:"whole"`    // share of prompts with an answer that is not streamed
	Chat     float64   `toml:"chat"`     // share of prompts sent as chat
	Shared   float64   `toml:"shared"`   // share of prompts with a prefix in common with others of their account
	Bookings float64   `toml:"bookings"` // share of requests that are bookings
	Resend   float64   `toml:"resend"`   // share of bookings sent twice under one key
	Retries  int       `toml:"retries"`  // most retries of a request refused as not-run, each after Retry-After
	Timeout  int       `toml:"timeout"`  // time limit of a request, in milliseconds
	Out      string    `toml:"out"`      // directory for the CSV file and the plot; not written if empty
}

// Account is a client account that sends requests.
type Account struct {
	Name   string  `toml:"name"`
	Key    string  `toml:"key"`
	Weight float64 `toml:"weight"` // relative share of the requests, 0 counts as 1
}

// LongTokens is the length in tokens above which a prompt is long.
const LongTokens = 100_000

// Defaults of Settings.
const (
	defaultModel    = "base"
	defaultService  = "bookings"
	defaultRate     = 20
	defaultSeconds  = 10
	defaultShortest = 1000
	defaultLongest  = 1_000_000
	defaultLong     = 0.02
	defaultAnswer   = 16
	defaultTimeout  = 30_000
)

// Check implements checker.Validator; it fills in the defaults first.
func (s *Settings) Check() []checker.Problem {
	s.defaults()
	var bad checker.Problems
	bad.Require(len(s.Entries) > 0 && checker.AreAddresses(s.Entries), "entries", "must hold at least one IP:PORT")
	bad.Require(checker.AreAddresses(s.Runs), "runs", "must hold IP:PORT")
	bad.Require(len(s.Accounts) > 0, "account", "at least one client account must be set")
	for i, a := range s.Accounts {
		at := fmt.Sprintf("account[%d].", i)
		bad.Require(a.Key != "", at+"key", "must be a caller's key")
		bad.Require(a.Weight >= 0, at+"weight", "must not be negative")
	}
	bad.Require(s.Rate > 0, "rate", "must be above 0 requests a second")
	bad.Require(s.Seconds > 0, "seconds", "must be above 0")
	bad.Require(s.Shortest >= minTokens, "shortest", "must be at least 32 tokens")
	bad.Require(s.Longest >= s.Shortest, "longest", "must be at least shortest")
	bad.Require(s.Answer > 0, "answer", "must be at least 1 token")
	shares := map[string]float64{
		"long": s.Long, "whole": s.Whole, "chat": s.Chat, "shared": s.Shared, "bookings": s.Bookings, "resend": s.Resend,
	}
	for key, share := range shares {
		bad.Require(share >= 0 && share <= 1, key, "must be a share from 0 to 1")
	}
	bad.Require(s.Retries >= 0, "retries", "must not be negative")
	bad.Require(s.Timeout > 0, "timeout", "must be above 0 milliseconds")
	return bad
}

// minTokens is the shortest prompt that has room for its unique part.
const minTokens = 32

func (s *Settings) defaults() {
	checker.Default(&s.Model, defaultModel)
	checker.Default(&s.Service, defaultService)
	checker.Default(&s.Rate, defaultRate)
	checker.Default(&s.Seconds, defaultSeconds)
	checker.Default(&s.Shortest, defaultShortest)
	checker.Default(&s.Longest, max(defaultLongest, s.Shortest))
	checker.Default(&s.Long, defaultLong)
	checker.Default(&s.Answer, defaultAnswer)
	checker.Default(&s.Timeout, defaultTimeout)
}
