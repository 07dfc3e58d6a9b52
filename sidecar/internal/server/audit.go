package server

import (
	"context"
	"time"

	"bamboohill/sidecar/internal/gatekeeper"
)

// Interval, grace period and timeout of audits.
const (
	auditInterval = time.Second
	auditGrace    = 1500 * time.Millisecond
	auditTimeout  = 2 * time.Second
)

// recover frees what the engine holds from before the start of this sidecar,
// which no live request can own. If the engine does not respond, a later audit
// does so.
func (s *Server) recover(ctx context.Context) {
	for range 2 { // the second audit confirms what the first one freed
		if !s.auditOnce(ctx, 0) {
			return
		}
	}
	s.engine.setAudited()
}

// audit compares the ledger with the allocations of the engine and resolves
// differences that last longer than the grace period.
func (s *Server) audit(ctx context.Context) {
	s.engine.mu.Lock()
	audited := s.engine.audited
	s.engine.mu.Unlock()
	if !audited {
		s.recover(ctx)
		return
	}
	s.auditOnce(ctx, auditGrace)
}

// auditOnce runs one audit and reports whether the engine returned its
// allocations.
func (s *Server) auditOnce(ctx context.Context, grace time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	taken := time.Now()
	held, err := s.engine.Jobs(ctx)
	if err != nil {
		return false
	}
	m := s.gate.Audit(held, taken, grace)
	s.counts.orphaned.Set(m.OrphanTokens)
	s.resolve(ctx, m)
	return true
}

// resolve has the engine free orphaned allocations and cancels lost attempts.
func (s *Server) resolve(ctx context.Context, m gatekeeper.AuditResult) {
	for _, id := range m.CancelJobs {
		s.engine.Cancel(ctx, id)
	}
	for _, handle := range m.DropCaches {
		if s.engine.Drop(ctx, handle) == nil {
			s.gate.RemoveExport(handle)
		}
	}
	s.attempts.cancel(m.LostAttempts)
	if m.OrphanTokens == 0 && len(m.LostAttempts) == 0 {
		return
	}
	s.counts.freed.Add(m.OrphanTokens)
	s.counts.lost.Add(int64(len(m.LostAttempts)))
	s.config.Log.Warn().Str("event", "audit-difference").Int64("tokens", m.OrphanTokens).Int("jobs", len(m.CancelJobs)).
		Int("caches", len(m.DropCaches)).Int("lost", len(m.LostAttempts)).Msg("")
}
