package server

import (
	"expvar"
	"time"
)

// publish shows the configuration and the membership of this entry at
// /debug/vars. In a process with several entries the first is shown.
func (s *Server) publish() {
	for name, value := range map[string]func() any{
		"configuration_sequence": func() any { return s.keeper.State().Sequence },
		"configuration_known":    func() any { return s.keeper.Known() },
		"configuration_age_ms":   func() any { return time.Since(s.keeper.Confirmed()).Milliseconds() },
		"configuration_ready":    func() any { return s.keeper.Ready() },
		"entries_live":           func() any { return len(s.gossiper.Live()) },
		"entries_known":          func() any { return len(s.gossiper.Known()) },
		"servers_offered":        func() any { return len(s.watcher.View().Servers) },
		"servers_gone":           func() any { return len(s.watcher.View().Gone) },
	} {
		if expvar.Get(name) == nil {
			expvar.Publish(name, expvar.Func(value))
		}
	}
}
