package router

import (
	"slices"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/core/watcher"
)

// placement is a request in progress that this router placed.
type placement struct {
	id            uint64
	placedAt      time.Time
	class         class
	prefillTokens int64 // tokens to prefill; 0 after the first token
	memoryTokens  int64
}

// load is the work that this router placed on a server and that the latest
// report of the server does not include yet.
type load struct {
	running int
	memory  int64           // tokens
	prefill [long + 1]int64 // tokens, by length class
}

// load returns the sum of the placements made since the server created its latest
// report, which is Config.ReportAge before the report was received.
func (r *Router) load(server *watcher.Server) load {
	var l load
	if !r.enabled(OwnPlacements) {
		return l
	}
	made := server.LastReport.Add(-r.config.ReportAge)
	for _, p := range r.placements[identifier.Server(server.GetServer())] {
		if p.placedAt.Before(made) {
			continue
		}
		l.running++
		l.memory += p.memoryTokens
		l.prefill[p.class] += p.prefillTokens
	}
	return l
}

// RecordPlacement records that a choice is being proposed to its server.
func (r *Router) RecordPlacement(c Choice, now time.Time) {
	server := identifier.Server(c.Server.GetServer())
	r.mu.Lock()
	r.placements[server] = append(r.placements[server], placement{id: c.id, placedAt: now, class: c.class, prefillTokens: c.prefillTokens, memoryTokens: c.memoryTokens})
	r.mu.Unlock()
	if r.config.Hints != nil && len(c.chain) > 0 {
		r.config.Hints.RecordPlacement(server, c.chain)
	}
}

// RecordFirstToken records that the first token of a placed choice was received.
func (r *Router) RecordFirstToken(c Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.placements[identifier.Server(c.Server.GetServer())]
	for i := range list {
		if list[i].id == c.id {
			list[i].prefillTokens = 0
		}
	}
}

// RecordEnd records that a placed choice has ended or was refused.
func (r *Router) RecordEnd(c Choice) {
	server := identifier.Server(c.Server.GetServer())
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(r.placements[server], func(p placement) bool { return p.id == c.id })
	if len(list) == 0 {
		delete(r.placements, server)
		return
	}
	r.placements[server] = list
}
