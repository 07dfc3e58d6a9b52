package hinter

import (
	"sync"

	"bamboohill/core/generator"
	"bamboohill/wire"
)

// maxEvents bounds the events that wait for a report; the newest ones beyond
// it count as a gap.
const maxEvents = 256

// Collector turns one engine's cache events into what a sidecar's reports carry:
// the marks of prompts that it has seen, added and dropped since the last
// report. All other blocks are of no use to the entries, which look for marks
// alone. It is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	young   map[uint64]bool // marks seen
	old     map[uint64]bool
	boot    uint64
	after   uint64 // serial number of the newest event
	added   []uint64
	dropped []uint64
	noted   uint64
	gap     bool
}

// NewCollector returns a noter that has seen no prompt.
func NewCollector() *Collector { return &Collector{young: map[uint64]bool{}, old: map[uint64]bool{}} }

// AddPrompt notes the marks of a prompt that the engine is given.
func (n *Collector) AddPrompt(chain Chain) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range chain {
		n.young[m.Hash] = true
	}
	if len(n.young) > defaultMarks/2 {
		n.old, n.young = n.young, map[uint64]bool{}
	}
}

// LastSerial returns the serial number after which to ask for events.
func (n *Collector) LastSerial() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.after
}

// AddEvents takes the events of one boot of the engine that followed After, in
// order. A number that is skipped is a gap; so is another boot, whose events
// start anew.
func (n *Collector) AddEvents(boot uint64, events []generator.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if boot != n.boot {
		first := n.boot == 0
		n.boot, n.after = boot, 0
		n.forget(!first)
		if !first {
			return // the events asked for were those of the old boot
		}
	}
	for _, e := range events {
		if e.Serial <= n.after {
			continue
		}
		if e.Serial != n.after+1 {
			n.forget(true)
		}
		n.after = e.Serial
		n.note(e)
	}
}

// forget drops what waits for a report. A gap counts as an event, so that it is
// seen though the report that tells of it is lost.
func (n *Collector) forget(gap bool) {
	n.noted -= uint64(len(n.added) + len(n.dropped))
	n.added, n.dropped = nil, nil
	if gap {
		n.noted++
		n.gap = true
	}
}

func (n *Collector) note(e generator.Event) {
	if !n.young[e.Hash] && !n.old[e.Hash] {
		return
	}
	if len(n.added)+len(n.dropped) >= maxEvents {
		n.forget(true)
	}
	n.noted++
	if e.Removed {
		n.dropped = append(n.dropped, e.Hash)
	} else {
		n.added = append(n.added, e.Hash)
	}
}

// FillReport moves what was noted since the last report into the next one.
func (n *Collector) FillReport(r *wire.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.Cached, r.Dropped, r.Gap, r.Noted = n.added, n.dropped, n.gap, n.noted
	n.added, n.dropped, n.gap = nil, nil, false
}
