// Package reporter sends a sidecar's heartbeats to entries.
//
// # Usage
//
//	r := reporter.New(reporter.Config{Entries: addresses, Report: sidecar.Report})
//	go r.Run(ctx)
//	r.RecordReport(entry) // an answer has just carried a report to it
//
// Each report is sent to the entries that rendezvous hashing selects for this
// backend server among the known ones; replies to calls name further entries. An
// entry that does not reply to several heartbeats in a row is replaced by the next
// one and retried from time to time.
//
// Each entry asks for an interval between heartbeats at which its control traffic
// stays within its budget. The longest that a selected entry asks for is used, and
// at least Config.Interval. An entry that just got a report with an answer needs
// no heartbeat, except that every third round goes to all entries because it
// carries cache events. A change of state, role, models or cold start, which
// decide whether requests may be sent here, is sent at once.
//
// The first heartbeat to an entry is a call. Its reply may grant a pass, with
// which the following heartbeats are sent as datagrams. A datagram that is not
// acknowledged, or whose acknowledgement asks for a call, is followed by a call.
// Entries push changes as datagrams in the same sessions.
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

// EntriesPerServer is how many entries get the reports of one backend server.
const EntriesPerServer = 4

// Numbers of consecutive failed heartbeats to an entry.
const (
	replaceAfterFailures = 3  // the entry is replaced by the next one
	forgetAfterFailures  = 30 // the entry is forgotten, unless it is in Config.Entries
)

// entry is the state of one known entry.
type entry struct {
	configured bool          // in Config.Entries
	failed     int           // consecutive failed heartbeats
	reportedAt time.Time     // when an answer last carried a report to it
	interval   time.Duration // between heartbeats, as the entry asks for
	pass       *pass         // nil if it accepts only calls
	unanswered int           // consecutive datagrams that were not acknowledged
	answered   bool          // it answered the last heartbeat
}

// Config describes a Reporter. If Conn is nil, all heartbeats are calls.
type Config struct {
	Entries  []string      // initially known entries, IP:PORT
	Interval time.Duration // shortest time between heartbeats
	Peer     *certifier.Peer
	Conn     net.PacketConn // for datagrams
	Report   func() *wire.Report
	// AddEvents adds the cache events since the last report to a report. It is nil
	// if there is no cache.
	AddEvents func(*wire.Report)
	// OnReply is called with the address of an entry and its reply to a call.
	OnReply func(string, *wire.BeatReply)
	// OnPush applies changes that an entry pushed as a datagram and returns the
	// sequence number that is active then. If it is nil, pushes are ignored.
	OnPush func(*wire.Batch) uint64
	// OnAck is called with the address of an entry and its acknowledgement of a
	// datagram that did not ask for a call.
	OnAck func(string, *wire.BeatAck)
}

// Reporter sends heartbeats.
type Reporter struct {
	config  Config
	counts  Counts
	acks    *acks
	trigger chan struct{} // holds at most one request for an immediate heartbeat

	mu       sync.Mutex
	known    map[string]*entry
	plan     plan
	selected []string // entries that the last report was meant for
}

// New returns a reporter. If Conn is set, it starts to receive datagrams.
func New(config Config) *Reporter {
	r := &Reporter{
		config: config, trigger: make(chan struct{}, 1), known: map[string]*entry{}, acks: newAcks(), plan: plan{minInterval: config.Interval},
	}
	for _, a := range config.Entries {
		r.known[a] = &entry{configured: true}
	}
	if config.Conn != nil {
		go r.receive(config.Conn)
	}
	return r
}

// Known returns the addresses of the known entries in lexical order.
func (r *Reporter) Known() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.known))
}

// RecordReport records that an answer has just carried a report to an entry.
func (r *Reporter) RecordReport(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.known[address]; e != nil {
		e.reportedAt = time.Now()
	}
}

// ForceCall makes the next heartbeat to an entry a call, because the reply to a
// call holds more than an acknowledgement.
func (r *Reporter) ForceCall(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.known[address]; e != nil {
		e.pass = nil
	}
}

// Interval returns the current time between heartbeats.
func (r *Reporter) Interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.interval()
}

// interval returns the longest interval that a selected entry asks for, between
// Config.Interval and maxInterval. The caller must hold r.mu.
func (r *Reporter) interval() time.Duration {
	interval := r.config.Interval
	for _, a := range r.selected {
		if e := r.known[a]; e != nil {
			interval = max(interval, e.interval)
		}
	}
	return min(interval, maxInterval)
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
		case <-r.trigger:
			r.SendNow(ctx)
		}
	}
}

// TriggerHeartbeat makes Run send a heartbeat at once. Requests that arrive while
// one is being sent lead to a single further heartbeat.
func (r *Reporter) TriggerHeartbeat() {
	select {
	case r.trigger <- struct{}{}:
	default:
	}
}

// SendDue sends the reports that are due now, if any, and waits for the replies.
func (r *Reporter) SendDue(ctx context.Context) {
	report := r.config.Report()
	selected := r.selectEntries(report.GetServer())
	now := time.Now()
	r.mu.Lock()
	interval := r.interval()
	informed, failing := r.classify(selected, now, interval)
	r.selected = selected
	action := r.plan.next(snapshot{now: now, interval: interval, selected: selected, informed: informed, failing: failing, availability: availabilityOf(report), jitter: rand.Float64()})
	r.mu.Unlock()
	switch {
	case action.full:
		r.sendFull(ctx, report, selected)
	case len(action.to) > 0:
		r.sendReport(ctx, report, action.to)
	}
	r.counts.Skipped.Add(int64(action.skipped))
}

// classify returns which of the selected entries got a report with an answer
// within the last interval, and which ones must be retried soon: those that did
// not answer and are not replaced yet, and also replaced ones while too few
// entries answer. The caller must hold r.mu.
func (r *Reporter) classify(selected []string, now time.Time, interval time.Duration) (informed, failing []string) {
	answering := 0
	for _, a := range selected {
		if r.known[a].answered {
			answering++
		}
	}
	tooFew := answering < min(EntriesPerServer, len(r.known))
	for _, a := range selected {
		e := r.known[a]
		if now.Sub(e.reportedAt) < interval && !e.reportedAt.IsZero() {
			informed = append(informed, a)
		}
		if !e.answered && (tooFew || e.failed < replaceAfterFailures) {
			failing = append(failing, a)
		}
	}
	return informed, failing
}

// Reachable returns how many of the selected entries answered the last heartbeat
// that was sent to them.
func (r *Reporter) Reachable() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.selected {
		if e := r.known[a]; e != nil && e.answered {
			n++
		}
	}
	return n
}

// SendNow sends a report to all selected entries at once and waits for their
// replies.
func (r *Reporter) SendNow(ctx context.Context) {
	report := r.config.Report()
	selected := r.selectEntries(report.GetServer())
	r.mu.Lock()
	r.selected = selected
	r.plan.recordFull(time.Now(), r.interval(), availabilityOf(report), rand.Float64())
	r.mu.Unlock()
	r.sendFull(ctx, report, selected)
}

// sendFull sends a report with cache events to all selected entries. An entry
// that was left out would miss these events.
func (r *Reporter) sendFull(ctx context.Context, report *wire.Report, selected []string) {
	if r.config.AddEvents != nil {
		r.config.AddEvents(report)
	}
	r.sendReport(ctx, report, selected)
}

// sendReport sends a report to some entries and waits for their replies.
func (r *Reporter) sendReport(ctx context.Context, report *wire.Report, to []string) {
	report.EveryMs = r.Interval().Milliseconds()
	var all sync.WaitGroup
	for _, address := range to {
		all.Go(func() { r.send(ctx, address, report) })
	}
	all.Wait()
}

// send sends a report to one entry, as a datagram if possible, else as a call.
func (r *Reporter) send(ctx context.Context, address string, report *wire.Report) {
	if r.sendDatagram(ctx, address, report) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, max(r.config.Interval, minCallTimeout))
	defer cancel()
	reply, err := wire.NewHeartbeatsProtobufClient(r.config.Peer.URL(address), r.config.Peer.Client).Beat(ctx, report)
	r.counts.Calls.Add(1)
	r.recordResult(address, err == nil)
	if err != nil {
		return
	}
	r.applyReply(address, report, reply)
	r.addEntries(reply.GetEntries())
	if r.config.OnReply != nil {
		r.config.OnReply(address, reply)
	}
}

// minCallTimeout is the lower limit of the timeout of a heartbeat's call.
const minCallTimeout = 500 * time.Millisecond

// recordResult records whether an entry answered a heartbeat. It forgets an entry
// that has failed too often.
func (r *Reporter) recordResult(address string, answered bool) {
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
	if e.failed >= forgetAfterFailures && !e.configured {
		delete(r.known, address)
	}
}

// addEntries adds entries that a reply named to the known ones.
func (r *Reporter) addEntries(entries []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range entries {
		if r.known[a] == nil {
			r.known[a] = &entry{}
		}
	}
}

// selectEntries returns the entries that a report is sent to: the first
// EntriesPerServer by rendezvous hashing among those that have failed fewer than
// replaceAfterFailures heartbeats in a row, and a random one of the others.
func (r *Reporter) selectEntries(server string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := ranker.Top(server, slices.Collect(maps.Keys(r.known)), len(r.known))
	var selected, failing []string
	for _, a := range known {
		if r.known[a].failed >= replaceAfterFailures {
			failing = append(failing, a)
		} else if len(selected) < EntriesPerServer {
			selected = append(selected, a)
		}
	}
	if len(failing) > 0 {
		selected = append(selected, failing[rand.IntN(len(failing))])
	}
	return selected
}
