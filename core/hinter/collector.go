package hinter

import (
	"sync"

	"bamboohill/core/generator"
	"bamboohill/wire"
)

// maxPendingEvents is the maximum number of events that wait for a report. If there
// are more, the waiting ones are dropped and count as a gap.
const maxPendingEvents = 256

// Collector collects the cache events of one engine for the reports of its sidecar:
// the prefix hashes of prompts sent to the engine that were added or dropped since
// the last report. Events of other blocks are ignored, since entries look up only
// prefix hashes. A Collector is safe for concurrent use.
type Collector struct {
	mu         sync.Mutex
	recent     map[uint64]bool // prefix hashes of prompts sent to the engine
	previous   map[uint64]bool
	boot       uint64
	lastSerial uint64 // serial number of the latest event
	added      []uint64
	dropped    []uint64
	eventCount uint64
	gap        bool
}

// NewCollector returns a Collector without prompts.
func NewCollector() *Collector {
	return &Collector{recent: map[uint64]bool{}, previous: map[uint64]bool{}}
}

// AddPrompt adds the prefix hashes of a prompt that is sent to the engine.
func (c *Collector) AddPrompt(chain Chain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range chain {
		c.recent[p.Hash] = true
	}
	if len(c.recent) > defaultMaxHashes/2 {
		c.previous, c.recent = c.recent, map[uint64]bool{}
	}
}

// LastSerial returns the serial number of the latest event, after which to request
// events.
func (c *Collector) LastSerial() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastSerial
}

// AddEvents adds the events of one boot of the engine that follow LastSerial, in
// order. A missing serial number is a gap, and so is another boot, whose serial
// numbers start again.
func (c *Collector) AddEvents(boot uint64, events []generator.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if boot != c.boot {
		first := c.boot == 0
		c.boot, c.lastSerial = boot, 0
		c.discardPending(!first)
		if !first {
			return // the events were requested after a serial number of the previous boot
		}
	}
	for _, e := range events {
		if e.Serial <= c.lastSerial {
			continue
		}
		if e.Serial != c.lastSerial+1 {
			c.discardPending(true)
		}
		c.lastSerial = e.Serial
		c.addEvent(e)
	}
}

// discardPending drops the events that wait for a report. A gap counts as an event,
// so that it is detected even if the report with the gap is lost.
func (c *Collector) discardPending(gap bool) {
	c.eventCount -= uint64(len(c.added) + len(c.dropped))
	c.added, c.dropped = nil, nil
	if gap {
		c.eventCount++
		c.gap = true
	}
}

func (c *Collector) addEvent(e generator.Event) {
	if !c.recent[e.Hash] && !c.previous[e.Hash] {
		return
	}
	if len(c.added)+len(c.dropped) >= maxPendingEvents {
		c.discardPending(true)
	}
	c.eventCount++
	if e.Removed {
		c.dropped = append(c.dropped, e.Hash)
	} else {
		c.added = append(c.added, e.Hash)
	}
}

// FillReport moves the events since the last report into r.
func (c *Collector) FillReport(r *wire.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Cached, r.Dropped, r.Gap, r.Noted = c.added, c.dropped, c.gap, c.eventCount
	c.added, c.dropped, c.gap = nil, nil, false
}
