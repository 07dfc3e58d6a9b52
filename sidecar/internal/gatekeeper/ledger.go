package gatekeeper

import (
	"time"

	"bamboohill/core/generator"
)

// lostAfter is how many audits in a row must miss an attempt before it counts
// as lost.
const lostAfter = 2

// strange is memory that the engine holds and no live request owns.
type strange struct {
	tokens int64
	export bool
	seen   time.Time // first
}

// export is a cache that this sidecar had the engine store.
type export struct {
	tokens int64
	until  time.Time
}

// AuditResult is what an audit found and the sidecar must do about.
type AuditResult struct {
	CancelJobs   []string // jobs that no live request owns
	DropCaches   []string // exported caches that nobody fetches
	LostAttempts []string // attempts that the engine does not know
	OrphanTokens int64    // tokens held for nobody
}

// Reserved returns the tokens of memory that are spoken for.
func (g *Gate) Reserved() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reserved()
}

func (g *Gate) reserved() int64 {
	var n int64
	for _, w := range g.work {
		n += w.need
	}
	for _, m := range g.gangs {
		n += m.tokens
	}
	for _, s := range g.strange {
		n += s.tokens
	}
	for _, x := range g.exports {
		n += x.tokens
	}
	return n
}

// AddExport notes a cache that the engine stored for at most until.
func (g *Gate) AddExport(handle string, tokens int64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exports[handle] = export{tokens: tokens, until: until}
}

// RemoveExport notes that the engine freed an exported cache.
func (g *Gate) RemoveExport(handle string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.exports, handle)
	delete(g.strange, handle)
}

// Exports returns the exported caches that the engine still holds.
func (g *Gate) Exports() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var handles []string
	for handle := range g.exports {
		handles = append(handles, handle)
	}
	return handles
}

// Audit compares the ledger with what the engine said, at the moment taken,
// that it holds. What stands on one side alone at two audits that are at least
// grace apart is a lasting difference; a grace of 0 mends at the first sight,
// as a sidecar does at its own start. What the engine holds for nobody counts
// as reserved until a later audit no longer finds it.
func (g *Gate) Audit(held []generator.Allocation, taken time.Time, grace time.Duration) AuditResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	var m AuditResult
	found := map[string]bool{}
	for _, h := range held {
		found[h.ID] = true
		if w, ours := g.work[h.ID]; ours && !h.Export {
			w.missing = 0
			if w.gang == "" {
				w.need = h.Tokens
			}
			continue
		}
		g.auditStrange(h, taken, grace, &m)
	}
	for id := range g.strange {
		if !found[id] {
			delete(g.strange, id)
		}
	}
	for handle, x := range g.exports {
		if !found[handle] && taken.After(x.until) {
			delete(g.exports, handle)
		}
	}
	for attempt, w := range g.work {
		if !w.handed || found[attempt] {
			continue
		}
		w.missing++
		if w.missing > lostAfter {
			m.LostAttempts = append(m.LostAttempts, attempt)
		}
	}
	return m
}

func (g *Gate) auditStrange(h generator.Allocation, taken time.Time, grace time.Duration, m *AuditResult) {
	if x, ours := g.exports[h.ID]; ours && h.Export {
		if taken.After(x.until) {
			m.DropCaches = append(m.DropCaches, h.ID)
		}
		return
	}
	s, known := g.strange[h.ID]
	if !known {
		s = &strange{seen: taken}
		g.strange[h.ID] = s
	}
	s.tokens = h.Tokens
	s.export = h.Export
	if taken.Sub(s.seen) < grace {
		return
	}
	m.OrphanTokens += h.Tokens
	if h.Export {
		m.DropCaches = append(m.DropCaches, h.ID)
	} else {
		m.CancelJobs = append(m.CancelJobs, h.ID)
	}
}
