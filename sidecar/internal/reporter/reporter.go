// Package reporter sends a sidecar's heartbeats to entries.
//
// # Usage
//
//	r := reporter.New(reporter.Config{Entries: addresses, Report: sidecar.Report})
//	go r.Run(ctx)
//	r.Told(entry) // an answer has just carried a report to it
//
// Each report goes to the entries that rendezvous hashing picks for this
// backend server among those known; replies name more entries. One that fails
// some beats in a row is replaced by the next and asked again now and then.
//
// How far apart heartbeats come is what the entries can afford, Config.Interval at
// the least. An entry that an answer has told lately needs none, but for every
// third round, which carries the cache's events; a change of what decides
// whether work may come here (state, models, a cold start) goes out at once.
//
// The first heartbeat to an entry is a call. Its reply may grant a pass, with
// which those that follow are datagrams; one without an answer, or whose answer
// asks for it, is followed by a call. Entries push changes over the same passes.
package reporter

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/ranker"
	"bamboohill/wire"
)

// EntriesPerServer is how many entries hear one backend server.
const EntriesPerServer = 4

// Failed beats in a row.
const (
	restAfter   = 3  // until an entry is replaced by the next
	forgetAfter = 30 // until one that only replies named is forgotten
)

// entry is one entry that may hear this server.
type entry struct {
	fixed    bool // named by settings
	failed   int  // beats in a row
	told     time.Time
	every    time.Duration // between beats, as it can afford
	pass     *pass         // nil: it takes calls alone
	unheard  int           // datagrams in a row without an answer
	answered bool          // to the last beat
}

// Config describes a Reporter. A nil Conn sends calls alone.
type Config struct {
	Entries  []string // addresses to start from, ip:port
	Interval time.Duration
	Peer     *certifier.Peer
	Conn     net.PacketConn // for datagrams
	Report   func() *wire.Report
	// AddEvents adds the cache's events since the last report; nil if there is no
	// cache.
	AddEvents func(*wire.Report)
	// OnReply is called with the address of an entry and its reply to a call.
	OnReply func(string, *wire.BeatReply)
	// OnPush takes changes that an entry pushes by datagram and returns the
	// sequence number in force then; nil takes none.
	OnPush func(*wire.Batch) uint64
	// OnAck is called with the address of an entry and its answer to a datagram.
	OnAck func(string, *wire.BeatAck)
}

// Reporter sends heartbeats.
type Reporter struct {
	config Config
	counts Counts
	acks   *acks
	soon   chan struct{} // holds one wish for a beat

	mu    sync.Mutex
	known map[string]*entry
	plan  plan
	sent  []string // entries that hear this server, resting ones now and then
}

// New returns a reporter.
func New(config Config) *Reporter {
	r := &Reporter{
		config: config, soon: make(chan struct{}, 1), known: map[string]*entry{}, acks: newAcks(), plan: plan{floor: config.Interval},
	}
	for _, a := range config.Entries {
		r.known[a] = &entry{fixed: true}
	}
	if config.Conn != nil {
		go r.read(config.Conn)
	}
	return r
}

// Known returns the addresses of the entries that are known, in order.
func (r *Reporter) Known() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.known))
}

// RecordReport notes that an answer has just carried a report to an entry.
func (r *Reporter) RecordReport(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.known[address]; e != nil {
		e.told = time.Now()
	}
}

// ForceCall makes the next heartbeat to an entry a call, whose reply says more.
func (r *Reporter) ForceCall(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.known[address]; e != nil {
		e.pass = nil
	}
}

// Interval returns the time between heartbeats now.
func (r *Reporter) Interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.every()
}

// every is what the entry that can afford the least asks for; the lock is held.
func (r *Reporter) every() time.Duration {
	most := r.config.Interval
	for _, a := range r.sent {
		if e := r.known[a]; e != nil {
			most = max(most, e.every)
		}
	}
	return min(most, longest)
}

// Run sends heartbeats until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	t := time.NewTicker(r.config.Interval)
	defer t.Stop()
	r.SendDue(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.SendDue(ctx)
		case <-r.soon:
			r.SendNow(ctx)
		}
	}
}

// TriggerHeartbeat has the next heartbeat sent at once. Wishes that come while one is under
// way are met by a single one after it.
func (r *Reporter) TriggerHeartbeat() {
	select {
	case r.soon <- struct{}{}:
	default:
	}
}

// SendDue sends what is due now, if anything.
func (r *Reporter) SendDue(ctx context.Context) {
	report := r.config.Report()
	picked := r.pick(report.GetServer())
	now := time.Now()
	r.mu.Lock()
	every := r.every()
	told, failing := r.sort(picked, now, every)
	r.sent = picked
	todo := r.plan.next(look{now: now, every: every, picked: picked, told: told, failing: failing, essence: essenceOf(report), jitter: rand.Float64()})
	r.mu.Unlock()
	switch {
	case todo.whole:
		r.round(ctx, report, picked)
	case len(todo.to) > 0:
		r.bare(ctx, report, todo.to)
	}
	r.counts.Skipped.Add(int64(todo.saved))
}

// sort returns which of the picked entries an answer told lately, and which are
// to be asked again soon: those that did not answer and are not replaced yet, and
// replaced ones too while fewer answer than should; the lock is held.
func (r *Reporter) sort(picked []string, now time.Time, every time.Duration) (told, failing []string) {
	answering := 0
	for _, a := range picked {
		if r.known[a].answered {
			answering++
		}
	}
	short := answering < min(EntriesPerServer, len(r.known))
	for _, a := range picked {
		e := r.known[a]
		if now.Sub(e.told) < every && !e.told.IsZero() {
			told = append(told, a)
		}
		if !e.answered && (short || e.failed < restAfter) {
			failing = append(failing, a)
		}
	}
	return told, failing
}

// Reachable returns how many of the entries that hear this server replied to the
// last heartbeat that it sent them.
func (r *Reporter) Reachable() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.sent {
		if e := r.known[a]; e != nil && e.answered {
			n++
		}
	}
	return n
}

// SendNow sends one report to the chosen entries at once and waits for their
// replies.
func (r *Reporter) SendNow(ctx context.Context) {
	report := r.config.Report()
	picked := r.pick(report.GetServer())
	r.mu.Lock()
	r.sent = picked
	r.plan.sent(time.Now(), r.every(), essenceOf(report), rand.Float64())
	r.mu.Unlock()
	r.round(ctx, report, picked)
}

// round sends a report with the cache's events to every chosen entry: one that
// is left out would miss events.
func (r *Reporter) round(ctx context.Context, report *wire.Report, picked []string) {
	if r.config.AddEvents != nil {
		r.config.AddEvents(report)
	}
	r.bare(ctx, report, picked)
}

// bare sends a report to some entries and waits for their replies.
func (r *Reporter) bare(ctx context.Context, report *wire.Report, to []string) {
	report.EveryMs = r.Interval().Milliseconds()
	var all sync.WaitGroup
	for _, address := range to {
		all.Go(func() { r.send(ctx, address, report) })
	}
	all.Wait()
}

// send sends a report to one entry, as a datagram if it may.
func (r *Reporter) send(ctx context.Context, address string, report *wire.Report) {
	if r.datagram(ctx, address, report) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, max(r.config.Interval, callLimit))
	defer cancel()
	reply, err := wire.NewHeartbeatsProtobufClient(r.config.Peer.URL(address), r.config.Peer.Client).Beat(ctx, report)
	r.counts.Calls.Add(1)
	r.note(address, err == nil)
	if err != nil {
		return
	}
	r.take(address, report, reply)
	r.learn(reply.GetEntries())
	if r.config.OnReply != nil {
		r.config.OnReply(address, reply)
	}
}

// callLimit is the least time that a heartbeat's call may take.
const callLimit = 500 * time.Millisecond

// note counts an entry's failed beats in a row.
func (r *Reporter) note(address string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[address]
	if e == nil {
		return
	}
	e.answered = answered
	if answered {
		e.failed = 0
		return
	}
	e.failed++
	e.pass = nil
	if e.failed >= forgetAfter && !e.fixed {
		delete(r.known, address)
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
	known := ranker.Top(server, slices.Collect(maps.Keys(r.known)), len(r.known))
	var picked, resting []string
	for _, a := range known {
		if r.known[a].failed >= restAfter {
			resting = append(resting, a)
		} else if len(picked) < EntriesPerServer {
			picked = append(picked, a)
		}
	}
	if len(resting) > 0 {
		picked = append(picked, resting[rand.IntN(len(resting))])
	}
	return picked
}
