package director

import (
	"slices"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/budgeter"
	"bamboohill/core/checker"
	"bamboohill/core/logger"
	"bamboohill/core/profiler"
	"bamboohill/core/queuer"
	"bamboohill/core/viewer"
	"bamboohill/platform"
)

// Settings are the settings of an entry that calls backend servers itself.
// docs/SETTINGS.md explains each key.
type Settings struct {
	Level    string            `toml:"level"`     // log level
	VM       string            `toml:"vm"`        // name of this VM
	Domain   viewer.Domain     `toml:"domain"`    // failure domain
	Region   viewer.Region     `toml:"region"`    // region of the failure domain
	Memory   int64             `toml:"memory_mb"` // memory that the process may use, in MiB
	Grace    float64           `toml:"grace_s"`   // from the stop signal until the process is killed, in seconds
	Placing  string            `toml:"placing"`   // placement policy for prompts, see assigner.ParsePolicy
	Valuing  string            `toml:"valuing"`   // what the value of an answer depends on, see profiler.ParseValuing
	Entries  []string          `toml:"entries"`   // listen.calls of some other entries, possibly outdated
	Offset   float64           `toml:"offset_s"`  // added to the time of day, in seconds, for tests of clocks that step
	Listen   Listen            `toml:"listen"`
	Retry    Retry             `toml:"retry"`
	Waiting  Waiting           `toml:"waiting"`
	Platform platform.Settings `toml:"platform"`
}

// Listen holds the addresses that the entry serves, each IP:PORT.
type Listen struct {
	Callers   string `toml:"callers"`
	Ready     string `toml:"ready"`     // health checks of the load balancer
	Calls     string `toml:"calls"`     // HTTP calls of other entries
	Datagrams string `toml:"datagrams"` // datagrams of other entries; all entries use the same port
	Metrics   string `toml:"metrics"`
}

// Retry is the retry budget of each service, for all entries together. In each
// window the number of retries is at most Ratio times the number of requests, plus
// Slack.
type Retry struct {
	Ratio  float64 `toml:"ratio"`    // retries per request
	Slack  float64 `toml:"slack"`    // retries in addition
	Window float64 `toml:"window_s"` // length of the window in seconds
}

func (r Retry) budget() budgeter.Config {
	return budgeter.Config{Ratio: r.Ratio, Slack: r.Slack, Window: seconds(r.Window)}
}

// Waiting bounds the requests that wait at this entry for each service.
type Waiting struct {
	Requests  int     `toml:"requests"`   // number of requests
	Megabytes float64 `toml:"megabytes"`  // of their bodies, in MiB
	Longest   float64 `toml:"longest_s"`  // that a request waits, in seconds
	HideRanks bool    `toml:"hide_ranks"` // model engines are not told the ranks of requests
}

func (w Waiting) limits() queuer.Limits {
	return queuer.Limits{Requests: w.Requests, Bytes: int(w.Megabytes * (1 << 20)), Wait: seconds(w.Longest)}
}

// wall returns the time of day with the offset of the settings. Everything whose result
// depends on the time of day reads it here; intervals are measured with the steady clock.
func (s *Settings) wall() time.Time { return time.Now().Add(seconds(s.Offset)) }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Defaults of Settings, for a small VM. The grace period is long enough for the
// longest prompts to end.
const (
	defaultMemory = 256 // MiB
	defaultGrace  = 8   // seconds
	defaultRatio  = 0.2
	defaultSlack  = 10
	defaultWindow = 10   // seconds
	defaultDrain  = 1200 // milliseconds, the heartbeat interval of a backend server

	defaultHeartbeat = 1200 // milliseconds

	// Defaults of Waiting. A caller that has waited for longer than the longest target
	// of an answer is better told to come back.
	defaultWaiting      = 512 // requests
	defaultWaitingBytes = 16  // MiB
	defaultLongestWait  = 10  // seconds
)

// Check implements checker.Validator. It fills in the defaults first.
func (s *Settings) Check() []checker.Problem {
	checker.Default(&s.Level, "info")
	checker.Default(&s.Placing, "priced")
	checker.Default(&s.Valuing, "size-rank")
	checker.Default(&s.Memory, defaultMemory)
	checker.Default(&s.Grace, defaultGrace)
	checker.Default(&s.Retry.Ratio, defaultRatio)
	checker.Default(&s.Retry.Slack, defaultSlack)
	checker.Default(&s.Retry.Window, defaultWindow)
	checker.Default(&s.Waiting.Requests, defaultWaiting)
	checker.Default(&s.Waiting.Megabytes, defaultWaitingBytes)
	checker.Default(&s.Waiting.Longest, defaultLongestWait)
	checker.Default(&s.Platform.Drain, defaultDrain)
	checker.Default(&s.Platform.Heartbeat, defaultHeartbeat)
	var bad checker.Problems
	bad.Require(slices.Contains(logger.Levels, s.Level), "level", "must be debug, info, warn or error")
	bad.Require(s.VM != "", "vm", "must name this VM")
	bad.Require(s.Domain != "", "domain", "must name the failure domain")
	bad.Require(s.Memory >= 32, "memory_mb", "must be at least 32 megabytes")
	bad.Require(s.Grace > 0, "grace_s", "must be above 0 seconds")
	_, known := assigner.ParsePolicy(s.Placing)
	bad.Require(known, "placing", "must be "+assigner.PolicyUsage)
	_, known = profiler.ParseValuing(s.Valuing)
	bad.Require(known, "valuing", "must be "+profiler.ValuingUsage)
	bad.Require(checker.AreAddresses(s.Entries), "entries", "must hold IP:PORT")
	bad.Require(checker.IsAddress(s.Listen.Callers), "listen.callers", "must be IP:PORT")
	bad.Require(checker.IsAddress(s.Listen.Ready), "listen.ready", "must be IP:PORT")
	bad.Require(checker.IsAddress(s.Listen.Calls), "listen.calls", "must be IP:PORT")
	bad.Require(checker.IsAddress(s.Listen.Datagrams), "listen.datagrams", "must be IP:PORT")
	bad.Require(checker.IsAddress(s.Listen.Metrics), "listen.metrics", "must be IP:PORT")
	bad.Require(s.Retry.Ratio > 0, "retry.ratio", "must be above 0")
	bad.Require(s.Retry.Slack > 0, "retry.slack", "must be above 0")
	bad.Require(s.Retry.Window > 0, "retry.window_s", "must be above 0 seconds")
	bad.Require(s.Waiting.Requests > 0, "waiting.requests", "must be above 0")
	bad.Require(s.Waiting.Megabytes > 0, "waiting.megabytes", "must be above 0")
	bad.Require(s.Waiting.Longest > 0, "waiting.longest_s", "must be above 0 seconds")
	bad.Require(checker.IsAddress(s.Platform.Store), "platform.store", "must be IP:PORT")
	bad.Require(s.Platform.Drain > 0, "platform.drain_ms", "must be above 0 milliseconds")
	bad.Require(s.Platform.Heartbeat > 0, "platform.heartbeat_ms", "must be above 0 milliseconds")
	return bad
}
