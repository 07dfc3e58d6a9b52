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

// Timeouts of the shutdown and of migrating streams.
const (
	exportTimeout = 2 * time.Second // of exporting one stream
	exportLease   = 3 * time.Second // until an exported cache is dropped
	shutdownPoll  = 20 * time.Millisecond
	minShutdown   = time.Second // so that entries learn of the shutdown before the port closes
	listTimeout   = time.Second // of reading the platform's list
	finishTimeout = time.Second // of sending the last responses
	drainDivisor  = 2           // streams are migrated after 1/2 of the drain time
)

// leaving records whether and since when the backend server is leaving: its
// sidecar is shutting down, the platform's list marks its VM as leaving, or its answers
// say so.
type leaving struct {
	stopping atomic.Bool // the sidecar is shutting down; permanent
	listed   atomic.Bool // the platform's list marks the VM; the list may revoke it
	said     atomic.Bool // an answer of the backend server says so; until its next run
	stopped  atomic.Bool // the shutdown is complete

	mu       sync.Mutex
	since    time.Time // of leaving or of being out of service; zero if neither
	migrated bool      // the streams were migrated
}

// active reports whether the backend server is leaving.
func (l *leaving) active() bool { return l.stopping.Load() || l.listed.Load() || l.said.Load() }

// done reports whether the shutdown is complete.
func (l *leaving) done() bool { return l.stopped.Load() }

// migrationDue records whether the backend server is leaving or out of service
// at the given time and reports whether its streams must be migrated now. It
// returns true once for each time that the backend server leaves, after
// 1/drainDivisor of the drain time.
func (l *leaving) migrationDue(leaves bool, now time.Time, drain time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !leaves {
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
	return time.Duration(s.config.Settings.DrainMillis) * time.Millisecond
}

// checkLeaving migrates the streams that still run when the backend server has
// been leaving or out of service for part of the drain time.
func (s *Server) checkLeaving(ctx context.Context) {
	set := s.config.Settings
	leaves := s.leaving.active() || s.keeper.State().OutOfService(set.Domain, set.VM)
	if s.leaving.migrationDue(leaves, time.Now(), s.drain()) && s.engine != nil {
		s.migrateStreams(ctx)
	}
}

// readList reads from the platform's list whether this VM is leaving. The list
// may be late, and it may revoke the mark.
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
		s.reporter.SendNow(ctx)
	}
}

// migrateStreams exports every stream that still runs, so that its entry resumes
// it on another backend server. A stream that can't be exported continues here.
func (s *Server) migrateStreams(ctx context.Context) {
	var all sync.WaitGroup
	for _, id := range s.attempts.exportable() {
		all.Go(func() { s.export(ctx, id) })
	}
	all.Wait()
}

// export has the engine export the cache of one stream and passes the cache to
// the stream's attempt. On failure the stream continues here.
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

// awaitExport waits for the exported cache of a migrated stream, at most
// exportWait, and adds its handle and tokens to the refusal, so that the entry can
// resume the stream from it.
func (s *Server) awaitExport(a *attempt, refused *wire.Refused) {
	t := time.NewTimer(exportWait)
	defer t.Stop()
	var cache generator.Cache
	select {
	case cache = <-a.exported:
	case <-t.C:
	}
	refused.Exported = cache.Handle
	refused.Tokens = cache.Tokens
}

// shutDown stops the sidecar. First the gate refuses all new work, then the
// entries are notified. Running attempts end or are migrated within the drain
// time; those that still run then are cancelled. The port stays open meanwhile,
// so that new proposals are refused with the outcome "not run". The error is that
// of shutting down the HTTP server within finishTimeout.
func (s *Server) shutDown(ctx context.Context, web *http.Server) error {
	s.leaving.stopping.Store(true)
	start := time.Now()
	s.reporter.SendNow(ctx)
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

// dropExports frees the caches of migrated streams after exportLease, the time
// for their new backend servers to fetch them.
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
