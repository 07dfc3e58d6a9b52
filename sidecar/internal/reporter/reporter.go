// Package reporter sends a sidecar's heartbeats to entries.
//
// # Usage
//
//	r := reporter.New(reporter.Config{Entries: addresses, Report: sidecar.Report})
//	r.Run(ctx)
//
// Each report goes to the entries that rendezvous hashing picks for this
// backend server among those known; replies name more entries.
package reporter

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
)

// Width is how many entries hear one backend server.
const Width = 4

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
	mu     sync.Mutex
	known  []string
}

// New returns a reporter.
func New(config Config) *Reporter {
	return &Reporter{config: config, known: slices.Clone(config.Entries)}
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
		}
	}
}

// Beat sends one report to the chosen entries and waits for their replies.
func (r *Reporter) Beat(ctx context.Context) {
	report := r.config.Report()
	var all sync.WaitGroup
	for _, address := range r.pick(report.GetServer()) {
		all.Go(func() { r.send(ctx, address, report) })
	}
	all.Wait()
}

func (r *Reporter) send(ctx context.Context, address string, report *wire.Report) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Every)
	defer cancel()
	reply, err := wire.NewHeartbeatsProtobufClient(r.config.Peer.URL(address), r.config.Peer.Client).Beat(ctx, report)
	if err != nil {
		return
	}
	r.learn(reply.GetEntries())
	if r.config.Heard != nil {
		r.config.Heard(address, reply)
	}
}

func (r *Reporter) learn(entries []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if !slices.Contains(r.known, e) {
			r.known = append(r.known, e)
		}
	}
}

// Known returns the addresses of all entries known.
func (r *Reporter) Known() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.known)
}

// pick returns the entries that hear a server, by rendezvous hashing.
func (r *Reporter) pick(server string) []string {
	r.mu.Lock()
	known := slices.Clone(r.known)
	r.mu.Unlock()
	slices.SortFunc(known, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(server+a), xxhash.Sum64String(server+b))
	})
	return known[:min(Width, len(known))]
}
