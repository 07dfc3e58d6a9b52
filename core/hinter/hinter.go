// Package hinter guesses which backend servers hold the start of a prompt in
// their prefix caches.
//
// Hints come from the sidecars' reports (marks added and dropped) and from
// what an entry itself has placed. They are late and have gaps: a hint steers
// a choice and never promises anything. A gap in a server's events, or its
// new start, drops every hint on it, so a lost event means "unknown", never
// "present".
//
// # Usage
//
//	h := hinter.New(hinter.Config{})
//	chain := hinter.Read(prompt)
//	h.Hear(report)
//	h.RecordPlacement(server, chain)
//	tokens := h.Cached(server, chain)
//
// A Hinter is safe for concurrent use.
package hinter

import (
	"slices"
	"sync"

	"bamboohill/core/ider"
	"bamboohill/wire"
)

// defaultMarks is how many marks a Hinter remembers.
const defaultMarks = 1 << 16

// maxHolders bounds the servers that are remembered for one mark.
const maxHolders = 16

// Config describes a Hinter. Zero Marks means 65,536.
type Config struct {
	MaxHashes int // marks remembered; the older half is forgotten beyond it
}

// Holder is a server that may hold the first Tokens of a prompt.
type Holder struct {
	Server ider.Server
	Tokens int64
}

// Hinter holds hints.
type Hinter struct {
	config  Config
	mu      sync.Mutex
	young   map[uint64][]holder
	old     map[uint64][]holder
	servers map[ider.Server]*cache
}

// holder is a server under one of its cache's generations.
type holder struct {
	server     ider.Server
	cache      *cache
	generation uint64
}

// cache is what is known of one server's cache as a whole.
type cache struct {
	boot       uint64
	noted      uint64 // events up to the newest report
	generation uint64 // rises when all hints are dropped
}

// New returns a hinter without hints.
func New(config Config) *Hinter {
	if config.MaxHashes <= 0 {
		config.MaxHashes = defaultMarks
	}
	return &Hinter{
		config: config, young: map[uint64][]holder{}, old: map[uint64][]holder{}, servers: map[ider.Server]*cache{},
	}
}

// ApplyReport takes the cache events of a report, if it carries any. Events missing
// between two reports, by their count, are a gap too. Reports of an earlier
// boot, and events that are already known, are ignored.
func (h *Hinter) ApplyReport(report *wire.Report) {
	if report.GetNoted() == 0 && !report.GetGap() {
		return
	}
	server := ider.Server(report.GetServer())
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.cacheOf(server)
	if report.GetBoot() < c.boot || report.GetBoot() == c.boot && report.GetNoted() <= c.noted && !report.GetGap() {
		return
	}
	before := report.GetNoted() - uint64(len(report.GetCached())+len(report.GetDropped()))
	if report.GetGap() || report.GetBoot() != c.boot || before != c.noted {
		c.generation++
	}
	c.boot, c.noted = report.GetBoot(), report.GetNoted()
	for _, hash := range report.GetDropped() {
		h.remove(hash, server)
	}
	for _, hash := range report.GetCached() {
		h.add(hash, holder{server: server, cache: c, generation: c.generation})
	}
}

// RecordPlacement notes that a prompt was placed on a server, which will hold it soon.
func (h *Hinter) RecordPlacement(server ider.Server, chain Chain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.cacheOf(server)
	for _, m := range chain {
		h.add(m.Hash, holder{server: server, cache: c, generation: c.generation})
	}
}

// Forget drops every hint on a server.
func (h *Hinter) Forget(server ider.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cacheOf(server).generation++
}

// Cached returns how many tokens of a prompt a server may hold.
func (h *Hinter) Cached(server ider.Server, chain Chain) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, found := h.servers[server]
	if !found {
		return 0
	}
	want := holder{server: server, cache: c, generation: c.generation}
	for _, m := range slices.Backward(chain) {
		if slices.Contains(h.holders(m.Hash), want) {
			return m.Tokens
		}
	}
	return 0
}

// Holders appends to list the servers that may hold the most of a prompt,
// those with most tokens first, until it has most entries.
func (h *Hinter) Holders(list []Holder, chain Chain, most int) []Holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range slices.Backward(chain) {
		for _, x := range h.holders(m.Hash) {
			if len(list) >= most {
				return list
			}
			if x.cache.generation != x.generation || has(list, x.server) {
				continue
			}
			list = append(list, Holder{Server: x.server, Tokens: m.Tokens})
		}
	}
	return list
}

func has(list []Holder, server ider.Server) bool {
	for _, x := range list {
		if x.Server == server {
			return true
		}
	}
	return false
}

func (h *Hinter) cacheOf(server ider.Server) *cache {
	c, found := h.servers[server]
	if !found {
		c = &cache{}
		h.servers[server] = c
	}
	return c
}

func (h *Hinter) holders(hash uint64) []holder {
	if list, found := h.young[hash]; found {
		return list
	}
	return h.old[hash]
}

func (h *Hinter) add(hash uint64, x holder) {
	list, found := h.young[hash]
	if !found {
		list = slices.Clone(h.old[hash])
		delete(h.old, hash)
	}
	list = slices.DeleteFunc(list, func(y holder) bool { return y.server == x.server })
	if len(list) >= maxHolders {
		list = slices.Delete(list, 0, 1)
	}
	h.young[hash] = append(list, x)
	if len(h.young) > h.config.MaxHashes/2 {
		h.old, h.young = h.young, map[uint64][]holder{}
	}
}

func (h *Hinter) remove(hash uint64, server ider.Server) {
	for _, marks := range []map[uint64][]holder{h.young, h.old} {
		list, found := marks[hash]
		if !found {
			continue
		}
		list = slices.DeleteFunc(list, func(y holder) bool { return y.server == server })
		if len(list) == 0 {
			delete(marks, hash)
			continue
		}
		marks[hash] = list
	}
}
