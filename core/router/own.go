package router

import (
	"slices"
	"time"

	"bamboohill/core/ider"
	"bamboohill/core/watcher"
)

// placement is a request that this router placed and that has not ended.
type placement struct {
	id     uint64
	at     time.Time
	class  class
	work   int64 // prefill tokens, 0 once the first token came
	memory int64
}

// load is what a router placed on a server and the server's newest report does
// not show yet.
type load struct {
	running int
	memory  int64
	prefill [long + 1]int64
}

// load adds up the placements since a server's newest report was made.
func (r *Router) load(server *watcher.Server) load {
	var l load
	if !r.on(OwnPlacements) {
		return l
	}
	made := server.Heard.Add(-r.config.Lag)
	for _, p := range r.own[ider.Server(server.GetServer())] {
		if p.at.Before(made) {
			continue
		}
		l.running++
		l.memory += p.memory
		l.prefill[p.class] += p.work
	}
	return l
}

// RecordPlacement notes that a choice is being proposed.
func (r *Router) RecordPlacement(c Choice, now time.Time) {
	server := ider.Server(c.Server.GetServer())
	r.mu.Lock()
	r.own[server] = append(r.own[server], placement{id: c.id, at: now, class: c.class, work: c.work, memory: c.memory})
	r.mu.Unlock()
	if r.config.Hints != nil && len(c.chain) > 0 {
		r.config.Hints.RecordPlacement(server, c.chain)
	}
}

// RecordFirstToken notes that the first token of a placed choice came.
func (r *Router) RecordFirstToken(c Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.own[ider.Server(c.Server.GetServer())]
	for i := range list {
		if list[i].id == c.id {
			list[i].work = 0
		}
	}
}

// RecordEnd notes that a placed choice has ended or was refused.
func (r *Router) RecordEnd(c Choice) {
	server := ider.Server(c.Server.GetServer())
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(r.own[server], func(p placement) bool { return p.id == c.id })
	if len(list) == 0 {
		delete(r.own, server)
		return
	}
	r.own[server] = list
}
