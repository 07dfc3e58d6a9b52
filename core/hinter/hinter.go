// Package hinter estimates which backend servers hold a prefix of a prompt in
// their prefix caches.
//
// Hints come from the reports of sidecars (prefix hashes added and dropped) and
// from the entry's own placements. They are delayed and incomplete: a hint
// influences the choice of a server but guarantees nothing. If events of a server
// are missing, or if it restarts, all hints about it are dropped, so that a lost
// event leads to "unknown" and never to "present".
//
// # Usage
//
//	h := hinter.New(hinter.Config{})
//	chain := hinter.HashPrompt(prompt)
//	h.ApplyReport(report)
//	h.RecordPlacement(server, chain)
//	tokens := h.Cached(server, chain)
//
// A Hinter is safe for concurrent use.
package hinter

import (
	"slices"
	"sync"

	"bamboohill/core/identifier"
	"bamboohill/wire"
)

// defaultMaxHashes is the default of Config.MaxHashes.
const defaultMaxHashes = 1 << 16

// maxHolders is the maximum number of servers stored for one prefix hash.
const maxHolders = 16

// Config configures a Hinter. Zero MaxHashes means 65,536.
type Config struct {
	MaxHashes int // prefix hashes to store; the older half is dropped when they exceed it
}

// Holder is a server that may hold the first Tokens of a prompt.
type Holder struct {
	Server identifier.Server
	Tokens int64
}

// Hinter stores hints.
type Hinter struct {
	config   Config
	mu       sync.Mutex
	recent   map[uint64][]holder
	previous map[uint64][]holder
	servers  map[identifier.Server]*cache
}

// holder is a server in one generation of its cache. The hint is invalid if the
// cache has another generation.
type holder struct {
	server     identifier.Server
	cache      *cache
	generation uint64
}

// cache is the state of the event stream of one server's cache.
type cache struct {
	boot       uint64
	events     uint64 // cumulative count of events up to the latest report
	generation uint64 // incremented to drop all hints
}

// New returns a hinter without hints.
func New(config Config) *Hinter {
	if config.MaxHashes <= 0 {
		config.MaxHashes = defaultMaxHashes
	}
	return &Hinter{
		config: config, recent: map[uint64][]holder{}, previous: map[uint64][]holder{}, servers: map[identifier.Server]*cache{},
	}
}

// ApplyReport applies the cache events of a report, if it has any. All earlier hints
// about the server are dropped if the report tells of a gap, if it is of a later
// boot, or if the count of events shows that some are missing since the previous
// report. Reports of an earlier boot, and events that are already known, are
// ignored.
func (h *Hinter) ApplyReport(report *wire.Report) {
	if report.GetNoted() == 0 && !report.GetGap() {
		return
	}
	server := identifier.Server(report.GetServer())
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.cacheOf(server)
	if report.GetBoot() < c.boot || report.GetBoot() == c.boot && report.GetNoted() <= c.events && !report.GetGap() {
		return
	}
	before := report.GetNoted() - uint64(len(report.GetCached())+len(report.GetDropped()))
	if report.GetGap() || report.GetBoot() != c.boot || before != c.events {
		c.generation++
	}
	c.boot, c.events = report.GetBoot(), report.GetNoted()
	for _, hash := range report.GetDropped() {
		h.remove(hash, server)
	}
	for _, hash := range report.GetCached() {
		h.add(hash, holder{server: server, cache: c, generation: c.generation})
	}
}

// RecordPlacement records that a prompt was placed on a server, whose cache will
// hold it soon.
func (h *Hinter) RecordPlacement(server identifier.Server, chain Chain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.cacheOf(server)
	for _, p := range chain {
		h.add(p.Hash, holder{server: server, cache: c, generation: c.generation})
	}
}

// Forget drops all hints about a server.
func (h *Hinter) Forget(server identifier.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cacheOf(server).generation++
}

// Cached returns the number of tokens of a prompt that a server may hold.
func (h *Hinter) Cached(server identifier.Server, chain Chain) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, found := h.servers[server]
	if !found {
		return 0
	}
	want := holder{server: server, cache: c, generation: c.generation}
	for _, p := range slices.Backward(chain) {
		if slices.Contains(h.holders(p.Hash), want) {
			return p.Tokens
		}
	}
	return 0
}

// Holders appends to list the servers that may hold the longest prefixes of a
// prompt, longest first, until the list has limit entries.
func (h *Hinter) Holders(list []Holder, chain Chain, limit int) []Holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range slices.Backward(chain) {
		for _, x := range h.holders(p.Hash) {
			if len(list) >= limit {
				return list
			}
			if x.cache.generation != x.generation || contains(list, x.server) {
				continue
			}
			list = append(list, Holder{Server: x.server, Tokens: p.Tokens})
		}
	}
	return list
}

func contains(list []Holder, server identifier.Server) bool {
	for _, x := range list {
		if x.Server == server {
			return true
		}
	}
	return false
}

func (h *Hinter) cacheOf(server identifier.Server) *cache {
	c, found := h.servers[server]
	if !found {
		c = &cache{}
		h.servers[server] = c
	}
	return c
}

func (h *Hinter) holders(hash uint64) []holder {
	if list, found := h.recent[hash]; found {
		return list
	}
	return h.previous[hash]
}

func (h *Hinter) add(hash uint64, x holder) {
	list, found := h.recent[hash]
	if !found {
		list = slices.Clone(h.previous[hash])
		delete(h.previous, hash)
	}
	list = slices.DeleteFunc(list, func(y holder) bool { return y.server == x.server })
	if len(list) >= maxHolders {
		list = slices.Delete(list, 0, 1)
	}
	h.recent[hash] = append(list, x)
	if len(h.recent) > h.config.MaxHashes/2 {
		h.previous, h.recent = h.recent, map[uint64][]holder{}
	}
}

func (h *Hinter) remove(hash uint64, server identifier.Server) {
	for _, hashes := range []map[uint64][]holder{h.recent, h.previous} {
		list, found := hashes[hash]
		if !found {
			continue
		}
		list = slices.DeleteFunc(list, func(y holder) bool { return y.server == server })
		if len(list) == 0 {
			delete(hashes, hash)
			continue
		}
		hashes[hash] = list
	}
}
