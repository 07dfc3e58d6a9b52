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
func (n *Collector) AddPrompt(chain Chain) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range chain {
		n.recent[m.Hash] = true
	}
	if len(n.recent) > defaultMaxHashes/2 {
		n.previous, n.recent = n.recent, map[uint64]bool{}
	}
}

// LastSerial returns the serial number of the latest event, after which to request
// events.
func (n *Collector) LastSerial() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastSerial
}

// AddEvents adds the events of one boot of the engine that follow LastSerial, in
// order. A missing serial number is a gap, and so is another boot, whose serial
// numbers start again.
func (n *Collector) AddEvents(boot uint64, events []generator.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if boot != n.boot {
		first := n.boot == 0
		n.boot, n.lastSerial = boot, 0
		n.discardPending(!first)
		if !first {
			return // the events were requested after a serial number of the previous boot
		}
	}
	for _, e := range events {
		if e.Serial <= n.lastSerial {
			continue
		}
		if e.Serial != n.lastSerial+1 {
			n.discardPending(true)
		}
		n.lastSerial = e.Serial
		n.addEvent(e)
	}
}

// discardPending drops the events that wait for a report. A gap counts as an event,
// so that it is detected even if the report with the gap is lost.
func (n *Collector) discardPending(gap bool) {
	n.eventCount -= uint64(len(n.added) + len(n.dropped))
	n.added, n.dropped = nil, nil
	if gap {
		n.eventCount++
		n.gap = true
	}
}

func (n *Collector) addEvent(e generator.Event) {
	if !n.recent[e.Hash] && !n.previous[e.Hash] {
		return
	}
	if len(n.added)+len(n.dropped) >= maxPendingEvents {
		n.discardPending(true)
	}
	n.eventCount++
	if e.Removed {
		n.dropped = append(n.dropped, e.Hash)
	} else {
		n.added = append(n.added, e.Hash)
	}
}

// FillReport moves the events since the last report into r.
func (n *Collector) FillReport(r *wire.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.Cached, r.Dropped, r.Gap, r.Noted = n.added, n.dropped, n.gap, n.eventCount
	n.added, n.dropped, n.gap = nil, nil, false
}
