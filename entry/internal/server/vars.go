package server

import (
	"expvar"
	"io"
	"net/http"
	"runtime"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/limiter"
)

// serveVars writes the entry's counters and the state of its configuration and
// membership, together with expvar's memstats. It does not use the global page of
// expvar, which would mix the variables of several entries in one test process.
func (s *Server) serveVars(w http.ResponseWriter, _ *http.Request) {
	m := new(expvar.Map).Init()
	for name, v := range s.callers.Vars() {
		m.Set(name, v)
	}
	for name, value := range map[string]func() any{
		"configuration_sequence": func() any { return s.keeper.State().Sequence },
		"configuration_known":    func() any { return s.keeper.HighestObserved() },
		"configuration_age_ms":   func() any { return time.Since(s.keeper.Confirmed()).Milliseconds() },
		"configuration_ready":    func() any { return s.keeper.Ready() },
		"entries_live":           func() any { return len(s.gossiper.Live()) },
		"entries_known":          func() any { return len(s.gossiper.Known()) },
		"servers_offered":        func() any { return len(s.watcher.View().Servers) },
		"servers_gone":           func() any { return len(s.watcher.View().Unavailable) },
		"backlog_ms":             func() any { return limiter.Backlog(s.watcher.View().Servers).Milliseconds() },
		"limits_refused":         func() any { return s.borrower.Counts().Refused },
		"limits_shares":          func() any { return s.borrower.Counts().Shares },
		"limits_sharing":         func() any { return s.borrower.Counts().Sharing },
		"requests_claimed":       func() any { return s.registrar.Len() },
		"demand_tokens":          func() any { return s.demand.Total() },
		"leases_held":            func() any { return s.placer.LeasesHeld() },
		"goroutines":             func() any { return runtime.NumGoroutine() },
		"inner_bytes":            func() any { return certifier.InternalBytes() },
		"control_bytes":          func() any { return s.controlBytes() },
		"beats_calls":            func() any { return s.listener.Counts().Calls.Load() },
		"beats_datagrams":        func() any { return s.listener.Counts().Datagrams.Load() },
		"beats_forged":           func() any { return s.listener.Counts().Forged.Load() },
		"beats_unknown":          func() any { return s.listener.Counts().Unknown.Load() },
		"beats_late":             func() any { return s.listener.Counts().Late.Load() },
		"pushes_datagrams":       func() any { return s.listener.Counts().Pushes.Load() },
		"pushes_unheard":         func() any { return s.listener.Counts().Unanswered.Load() },
		"beats_bytes":            func() any { return s.listener.Counts().Bytes.Load() },
		"beats_every_ms":         func() any { return s.pacer.Interval(s.listener.Sessions()).Milliseconds() },
		"beats_heard":            func() any { return s.listener.Sessions() },
	} {
		m.Set(name, expvar.Func(value))
	}
	m.Set("memstats", expvar.Get("memstats"))
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, m.String()+"\n")
}

// newPollLogger returns a function to call with the result of each attempt to
// confirm the configuration. It logs the first failure of a series and the first
// success after it.
func (s *Server) newPollLogger() func(error) {
	failing := false
	return func(err error) {
		if (err != nil) == failing {
			return
		}
		failing = err != nil
		event := "configuration_confirmed"
		if failing {
			event = "configuration_unconfirmed"
		}
		s.config.Log.Warn().Str("event", event).Bool("ready", s.keeper.Ready()).Err(err).Msg("")
	}
}
