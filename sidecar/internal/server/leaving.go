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
	exportLimit  = 2 * time.Second // to export one stream
	exportLease  = 3 * time.Second // until an exported cache is dropped
	leavePause   = 20 * time.Millisecond
	leaveLinger  = time.Second // for entries to hear of it before the port closes
	listLimit    = time.Second
	finishLimit  = time.Second // for the last answers to get out
	handOverPart = 2           // streams are handed over after 1/2 of the drain time
)

// leaving is whether, and since when, the backend server leaves: its sidecar
// was told to stop, or the platform's list says that its VM goes.
type leaving struct {
	stopping atomic.Bool // for good
	listed   atomic.Bool // until the list takes it back
	ended    atomic.Bool

	mu    sync.Mutex
	since time.Time // of leaving or of being taken out; zero if neither
	moved bool      // the streams were handed over
}

func (l *leaving) now() bool { return l.stopping.Load() || l.listed.Load() }

// over reports whether the process ends.
func (l *leaving) over() bool { return l.ended.Load() }

// due takes note of whether the backend server goes at a moment and reports
// whether its streams are to be handed over: once for each time it goes.
func (l *leaving) due(goes bool, now time.Time, drain time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !goes {
		l.since = time.Time{}
		l.moved = false
		return false
	}
	if l.since.IsZero() {
		l.since = now
	}
	if l.moved || now.Sub(l.since) < drain/handOverPart {
		return false
	}
	l.moved = true
	return true
}

func (s *Server) drain() time.Duration {
	return time.Duration(s.config.Settings.Drain) * time.Millisecond
}

// watchLeaving hands the long streams over in time when the backend server
// leaves or is taken out.
func (s *Server) watchLeaving(ctx context.Context) {
	set := s.config.Settings
	goes := s.leaving.now() || s.keeper.State().OutOfService(set.Domain, set.VM)
	if s.leaving.due(goes, time.Now(), s.drain()) && s.engine != nil {
		s.handOver(ctx)
	}
}

// readList reads the platform's word on this VM. It comes late and may be
// taken back.
func (s *Server) readList(ctx context.Context) {
	if s.list == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listLimit)
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

// handOver exports every stream that still runs, so that its entry resumes it
// elsewhere. A stream that can't be exported goes on here.
func (s *Server) handOver(ctx context.Context) {
	var all sync.WaitGroup
	for _, id := range s.attempts.streams() {
		all.Go(func() { s.export(ctx, id) })
	}
	all.Wait()
}

func (s *Server) export(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, exportLimit)
	defer cancel()
	cache, err := s.engine.Export(ctx, id)
	if err != nil {
		return
	}
	s.counts.moved.Add(1)
	s.config.Log.Info().Str("event", "exported").Str("attempt", id).Int64("tokens", cache.Tokens).Msg("")
	s.gate.AddExport(cache.Handle, cache.Tokens, time.Now().Add(exportLease))
	s.attempts.move(id, cache)
}

// moved tells the entry where the cache of a stream handed over is.
func (s *Server) moved(own *attempt, refused *wire.Refused) {
	t := time.NewTimer(movedLimit)
	defer t.Stop()
	var cache generator.Cache
	select {
	case cache = <-own.moved:
	case <-t.C:
	}
	refused.Exported = cache.Handle
	refused.Tokens = cache.Tokens
}

// leave stops the sidecar: the gate closes before anything else, the entries
// are told at once, what runs ends or is handed over within the drain time,
// and the port stays open to refuse, honestly, what was proposed meanwhile.
func (s *Server) leave(ctx context.Context, web *http.Server) error {
	s.leaving.stopping.Store(true)
	start := time.Now()
	s.reporter.Beat(ctx)
	s.config.Log.Info().Str("event", "state").Str("state", "leaving").Int("running", s.gate.Running()).Msg("")
	end := start.Add(s.drain())
	for time.Now().Before(end) && (s.gate.Running() > 0 || s.attempts.len() > 0 || time.Since(start) < leaveLinger) {
		time.Sleep(leavePause)
	}
	s.dropExports(ctx, start)
	cut := s.attempts.len()
	s.attempts.endAll()
	last, cancel := context.WithTimeout(ctx, finishLimit)
	defer cancel()
	err := web.Shutdown(last)
	for s.gate.Running() > 0 && last.Err() == nil {
		time.Sleep(leavePause)
	}
	s.recorder.Wait(last)
	s.leaving.ended.Store(true)
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
