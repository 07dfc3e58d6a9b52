// Package reporter sends a sidecar's heartbeats to entries.
//
// # Usage
//
//	r := reporter.New(reporter.Config{Entries: addresses, Report: sidecar.Report})
//	r.Run(ctx)
//
// Each report goes to the entries that rendezvous hashing picks for this
// backend server among those known; replies name more entries. One that fails
// some beats in a row is replaced by the next and asked again now and then.
package reporter

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/ranker"
	"bamboohill/wire"
)

// Width is how many entries hear one backend server.
const Width = 4

// Failed beats in a row.
const (
	restAfter   = 3  // until an entry is replaced by the next
	forgetAfter = 30 // until one that only replies named is forgotten
)

// entry is one entry that may hear this server.
type entry struct {
	fixed  bool // named by settings
	failed int  // beats in a row
}

// Config describes a Reporter.
type Config struct {
	Entries []string // addresses to start from, ip:port
	Every   time.Duration
	Peer    *certifier.Peer
	Report  func() *wire.Report
	// Heard is called with the address of an entry and its reply.
	Heard func(string, *wire.BeatReply)
}

// Reporter sends heartbeats.
type Reporter struct {
	config Config
	soon   chan struct{} // holds one wish for a beat
	mu     sync.Mutex
	known  map[string]*entry

	replies  int // to the beat under way
	answered int // to the last beat
}

// New returns a reporter.
func New(config Config) *Reporter {
	r := &Reporter{config: config, soon: make(chan struct{}, 1), known: map[string]*entry{}}
	for _, a := range config.Entries {
		r.known[a] = &entry{fixed: true}
	}
	return r
}

// Known returns the addresses of the entries that are known, in order.
func (r *Reporter) Known() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.known))
}

// Run sends heartbeats until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	t := time.NewTicker(r.config.Every)
	defer t.Stop()
	for {
		r.Beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-r.soon:
		}
	}
}

// Soon has the next heartbeat sent at once. Wishes that come while one is under
// way are met by a single one after it.
func (r *Reporter) Soon() {
	select {
	case r.soon <- struct{}{}:
	default:
	}
}

// Answered returns how many entries replied to the last beat.
func (r *Reporter) Answered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}

// Beat sends one report to the chosen entries and waits for their replies.
func (r *Reporter) Beat(ctx context.Context) {
	report := r.config.Report()
	report.EveryMs = r.config.Every.Milliseconds()
	var all sync.WaitGroup
	for _, address := range r.pick(report.GetServer()) {
		all.Go(func() { r.send(ctx, address, report) })
	}
	all.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered, r.replies = r.replies, 0
}

func (r *Reporter) send(ctx context.Context, address string, report *wire.Report) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Every)
	defer cancel()
	reply, err := wire.NewHeartbeatsProtobufClient(r.config.Peer.URL(address), r.config.Peer.Client).Beat(ctx, report)
	r.note(address, err == nil)
	if err != nil {
		return
	}
	r.learn(reply.GetEntries())
	if r.config.Heard != nil {
		r.config.Heard(address, reply)
	}
}

// note counts an entry's failed beats in a row.
func (r *Reporter) note(address string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[address]
	switch {
	case e == nil:
	case answered:
		e.failed = 0
		r.replies++
	default:
		e.failed++
		if e.failed >= forgetAfter && !e.fixed {
			delete(r.known, address)
		}
	}
}

func (r *Reporter) learn(entries []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range entries {
		if r.known[a] == nil {
			r.known[a] = &entry{}
		}
	}
}

// pick returns the entries that hear a server: the first by rendezvous hashing
// of those that answer, and one of those before them that don't.
func (r *Reporter) pick(server string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := ranker.First(server, slices.Collect(maps.Keys(r.known)), len(r.known))
	var picked, resting []string
	for _, a := range known {
		if r.known[a].failed >= restAfter {
			resting = append(resting, a)
		} else if len(picked) < Width {
			picked = append(picked, a)
		}
	}
	if len(resting) > 0 {
		picked = append(picked, resting[rand.IntN(len(resting))])
	}
	return picked
}
