package server

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bamboohill/core/generator"
	"bamboohill/wire"
)

// Times of leaving.
const (
	exportTimeout = 2 * time.Second // to export one stream
	exportLease   = 3 * time.Second // until an exported cache is dropped
	shutdownPoll  = 20 * time.Millisecond
	minShutdown   = time.Second // for entries to hear of it before the port closes
	listTimeout   = time.Second
	finishTimeout = time.Second // for the last answers to get out
	drainDivisor  = 2           // streams are handed over after 1/2 of the drain time
)

// leaving is whether, and since when, the backend server leaves: its sidecar
// was told to stop, or the platform's list says that its VM goes.
type leaving struct {
	stopping atomic.Bool // for good
	listed   atomic.Bool // until the list takes it back
	stopped  atomic.Bool

	mu       sync.Mutex
	since    time.Time // of leaving or of being taken out; zero if neither
	migrated bool      // the streams were handed over
}

func (l *leaving) active() bool { return l.stopping.Load() || l.listed.Load() }

// done reports whether the process ends.
func (l *leaving) done() bool { return l.stopped.Load() }

// migrationDue takes note of whether the backend server goes at a moment and reports
// whether its streams are to be handed over: once for each time it goes.
func (l *leaving) migrationDue(goes bool, now time.Time, drain time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !goes {
		l.since = time.Time{}
		l.migrated = false
		return false
	}
	if l.since.IsZero() {
		l.since = now
	}
	if l.migrated || now.Sub(l.since) < drain/drainDivisor {
		return false
	}
	l.migrated = true
	return true
}

func (s *Server) drain() time.Duration {
	return time.Duration(s.config.Settings.Drain) * time.Millisecond
}

// checkLeaving hands the long streams over in time when the backend server
// leaves or is taken out.
func (s *Server) checkLeaving(ctx context.Context) {
	set := s.config.Settings
	goes := s.leaving.active() || s.keeper.State().OutOfService(set.Domain, set.VM)
	if s.leaving.migrationDue(goes, time.Now(), s.drain()) && s.engine != nil {
		s.migrateStreams(ctx)
	}
}

// readList reads the platform's word on this VM. It comes late and may be
// taken back.
func (s *Server) readList(ctx context.Context) {
	if s.list == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := s.list.List(ctx)
	if err != nil {
		return
	}
	leaves := false
	for _, v := range vms {
		leaves = leaves || v.Name == s.config.Settings.VM && v.Leaving
	}
	if s.leaving.listed.Swap(leaves) != leaves {
		s.config.Log.Info().Str("event", "listed").Bool("leaving", leaves).Msg("")
		s.reporter.Beat(ctx)
	}
}

// migrateStreams exports every stream that still runs, so that its entry resumes it
// elsewhere. A stream that can't be exported goes on here.
func (s *Server) migrateStreams(ctx context.Context) {
	var all sync.WaitGroup
	for _, id := range s.attempts.exportable() {
		all.Go(func() { s.export(ctx, id) })
	}
	all.Wait()
}

func (s *Server) export(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	cache, err := s.engine.Export(ctx, id)
	if err != nil {
		return
	}
	s.counts.migrated.Add(1)
	s.config.Log.Info().Str("event", "exported").Str("attempt", id).Int64("tokens", cache.Tokens).Msg("")
	s.gate.AddExport(cache.Handle, cache.Tokens, time.Now().Add(exportLease))
	s.attempts.setExported(id, cache)
}

// awaitExport tells the entry where the cache of a stream handed over is.
func (s *Server) awaitExport(own *attempt, refused *wire.Refused) {
	t := time.NewTimer(exportWait)
	defer t.Stop()
	var cache generator.Cache
	select {
	case cache = <-own.exported:
	case <-t.C:
	}
	refused.Exported = cache.Handle
	refused.Tokens = cache.Tokens
}

// shutDown stops the sidecar: the gate closes before anything else, the entries
// are told at once, what runs ends or is handed over within the drain time,
// and the port stays open to refuse, honestly, what was proposed meanwhile.
func (s *Server) shutDown(ctx context.Context, web *http.Server) error {
	s.leaving.stopping.Store(true)
	start := time.Now()
	s.reporter.Beat(ctx)
	s.config.Log.Info().Str("event", "state").Str("state", "leaving").Int("running", s.gate.Running()).Msg("")
	end := start.Add(s.drain())
	for time.Now().Before(end) && (s.gate.Running() > 0 || s.attempts.len() > 0 || time.Since(start) < minShutdown) {
		time.Sleep(shutdownPoll)
	}
	s.dropExports(ctx, start)
	cut := s.attempts.len()
	s.attempts.cancelAll()
	last, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	err := web.Shutdown(last)
	for s.gate.Running() > 0 && last.Err() == nil {
		time.Sleep(shutdownPoll)
	}
	s.recorder.Wait(last)
	s.leaving.stopped.Store(true)
	s.config.Log.Info().Str("event", "left").Dur("took", time.Since(start)).Int("cut", cut).Msg("")
	return err
}

// dropExports frees the caches of streams handed over once their new homes had
// time to fetch them.
func (s *Server) dropExports(ctx context.Context, start time.Time) {
	handles := s.gate.Exports()
	if len(handles) == 0 {
		return
	}
	wait := min(exportLease, time.Until(start.Add(s.drain()+exportLease)))
	time.Sleep(wait)
	for _, handle := range handles {
		if s.engine.Drop(ctx, handle) == nil {
			s.gate.RemoveExport(handle)
		}
	}
}
