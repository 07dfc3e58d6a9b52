package gatekeeper

import (
	"time"

	"bamboohill/core/generator"
)

// maxMissing is how many consecutive audits may miss an attempt; one more and
// it counts as lost.
const maxMissing = 2

// orphan is an allocation of the engine that no live request owns.
type orphan struct {
	tokens int64
	export bool
	since  time.Time // of the first audit that found it
}

// export is a cache that the engine stores on this sidecar's order.
type export struct {
	tokens int64
	until  time.Time // end of the lease
}

// AuditResult lists the differences that an audit found, which the sidecar must
// resolve.
type AuditResult struct {
	CancelJobs   []string // jobs that no live request owns
	DropCaches   []string // exported caches past their lease or without an owner
	LostAttempts []string // attempts that the engine does not know
	OrphanTokens int64    // tokens that no live request owns
}

// Reserved returns the reserved memory in tokens: that of attempts, gangs,
// orphans and exported caches.
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
	for _, o := range g.orphans {
		n += o.tokens
	}
	for _, x := range g.exports {
		n += x.tokens
	}
	return n
}

// AddExport records a cache that the engine stores. After the given time, Audit
// reports it in AuditResult.DropCaches.
func (g *Gate) AddExport(handle string, tokens int64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exports[handle] = export{tokens: tokens, until: until}
}

// RemoveExport records that the engine freed an exported cache.
func (g *Gate) RemoveExport(handle string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.exports, handle)
	delete(g.orphans, handle)
}

// Exports returns the handles of the exported caches that the engine still
// stores.
func (g *Gate) Exports() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var handles []string
	for handle := range g.exports {
		handles = append(handles, handle)
	}
	return handles
}

// Audit compares the ledger with held, the allocations of the engine, which were
// read at the time taken. An allocation without an owner is reported in the
// result once two audits at least grace apart have found it; with a grace of 0
// the first audit reports it, as a sidecar needs at its start. Until an audit no
// longer finds it, it counts as reserved. An attempt without a gang then reserves
// what the engine has allocated for it. An attempt that was sent is lost after
// more than maxMissing consecutive audits without an allocation.
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
		g.auditOrphan(h, taken, grace, &m)
	}
	for id := range g.orphans {
		if !found[id] {
			delete(g.orphans, id)
		}
	}
	for handle, x := range g.exports {
		if !found[handle] && taken.After(x.until) {
			delete(g.exports, handle)
		}
	}
	for attempt, w := range g.work {
		if !w.sent || found[attempt] {
			continue
		}
		w.missing++
		if w.missing > maxMissing {
			m.LostAttempts = append(m.LostAttempts, attempt)
		}
	}
	return m
}

// auditOrphan adds an allocation without an owner to the orphans, and to the
// result if it is past the grace period. An exported cache of this sidecar is no
// orphan; it is added to the result once its lease has expired.
func (g *Gate) auditOrphan(h generator.Allocation, taken time.Time, grace time.Duration, m *AuditResult) {
	if x, ours := g.exports[h.ID]; ours && h.Export {
		if taken.After(x.until) {
			m.DropCaches = append(m.DropCaches, h.ID)
		}
		return
	}
	o, known := g.orphans[h.ID]
	if !known {
		o = &orphan{since: taken}
		g.orphans[h.ID] = o
	}
	o.tokens = h.Tokens
	o.export = h.Export
	if taken.Sub(o.since) < grace {
		return
	}
	m.OrphanTokens += h.Tokens
	if h.Export {
		m.DropCaches = append(m.DropCaches, h.ID)
	} else {
		m.CancelJobs = append(m.CancelJobs, h.ID)
	}
}
