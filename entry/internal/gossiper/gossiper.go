package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/keeper"
	"bamboohill/core/storer"
	"bamboohill/core/watcher"
	"bamboohill/wire"

	"github.com/phuslu/log"
)

// Defaults of Config and parameters of the gossip.
const (
	defaultInterval    = time.Second
	defaultCallTimeout = time.Second
	roundsPerList      = 10 // rounds between two reads of the list of VMs
	fanout             = 3  // entries greeted in one round
	largeCluster       = 32 // entries, from which on the round interval grows and pushes to sidecars are deferred
	maxInterval        = 20 * time.Second
	roundBytesWeight   = 0.3 // weight of the latest round in the moving average of its bytes
	maxConcurrentCalls = 64
	maxProbes          = 8 // servers inspected at once
)

// Lister reads the platform's list of VMs.
type Lister interface {
	List(ctx context.Context) ([]storer.VM, error)
}

// Demand exchanges the observed demand with other entries; see package
// averager.
type Demand interface {
	Snapshot() *wire.Demand
	Exchange(theirs *wire.Demand) *wire.Demand
	ApplyReply(sent, reply *wire.Demand)
}

// Config describes a Gossiper. List, Log, OnAccusation, Lend and Demand may be
// nil; nil Entries and Sidecars connect without TLS.
type Config struct {
	Address     string   // internal address of this entry
	Boot        uint64   // number of this start of the process; higher for a later start
	Seeds       []string // internal addresses of some other entries
	List        Lister
	Keeper      *keeper.Keeper
	Watcher     *watcher.Watcher
	Interval    time.Duration // between two rounds; 0 means one second
	CallTimeout time.Duration // 0 means one second
	// BytesPerSecond limits the traffic of greetings, including the greetings from
	// other entries; 0 means no limit.
	BytesPerSecond int
	// PushersPerSidecar is the number of live entries, by rank, that push to one
	// sidecar. 0 means all of them in a small cluster, and one or two in a large one.
	PushersPerSidecar int
	Entries           *certifier.Peer
	Sidecars          *certifier.Peer
	Log               *log.Logger
	// DirectPush pushes to one boot of a sidecar without a call. It returns the
	// sequence number that is active there, and whether the push was acknowledged.
	// It may be nil.
	DirectPush func(ctx context.Context, server string, boot uint64, batch *wire.Batch) (uint64, bool)
	// OnAccusation is called with a crash suspect that another entry or a sidecar
	// reports.
	OnAccusation func(*wire.Accusation)
	// Lend lends a share of an account's limits to another entry.
	Lend   func(context.Context, *wire.BorrowRequest) (*wire.BorrowReply, error)
	Demand Demand
}

// Gossiper connects one entry to the others. It is safe for concurrent use.
type Gossiper struct {
	config     Config
	leaving    atomic.Bool
	catchingUp atomic.Bool
	joined     atomic.Bool
	pushNow    chan struct{}

	mu            sync.Mutex
	roster        *roster
	random        *rand.Rand
	started       time.Time             // when Run started
	rounds        int                   // until it joined
	peerReported  bool                  // a ready peer has reported servers
	roundBytes    float64               // moving average of the bytes of one round
	peerSequences map[string]uint64     // sequence number that each entry last reported
	pushed        map[string]pushRecord // last acknowledged push to each server
}

// pushRecord is the sequence number that one boot of a sidecar acknowledged.
type pushRecord struct {
	boot     uint64
	sequence uint64
	at       time.Time // of the push
}

// activeSequence returns the sequence number that is active at a server. The
// caller holds the lock.
func (g *Gossiper) activeSequence(s watcher.Server) uint64 {
	if m := g.pushed[s.GetServer()]; m.boot == s.GetBoot() {
		return max(m.sequence, s.GetSequence())
	}
	return s.GetSequence()
}

// New returns a gossiper that has not been started. It panics if the keeper or
// the watcher is nil.
func New(config Config) *Gossiper {
	if config.Keeper == nil || config.Watcher == nil {
		panic("gossiper: nil keeper or watcher")
	}
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	if config.CallTimeout <= 0 {
		config.CallTimeout = defaultCallTimeout
	}
	if config.Entries == nil {
		config.Entries = certifier.NewPeer(nil)
	}
	if config.Sidecars == nil {
		config.Sidecars = certifier.NewPeer(nil)
	}
	g := &Gossiper{
		config: config, pushNow: make(chan struct{}, 1), roster: newRoster(config.Address),
		random:        rand.New(rand.NewPCG(config.Boot, uint64(len(config.Address)))),
		peerSequences: map[string]uint64{}, pushed: map[string]pushRecord{},
	}
	g.roster.setPermanent(config.Seeds)
	return g
}

// Live returns the internal addresses of the other live entries.
func (g *Gossiper) Live() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.live(time.Now())
}

// Known returns the internal addresses of all other known entries.
func (g *Gossiper) Known() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.known()
}

// Leave announces to the live entries that this one is stopping.
func (g *Gossiper) Leave(ctx context.Context) {
	g.leaving.Store(true)
	g.forEach(ctx, g.Live(), func(ctx context.Context, a string) { g.greet(ctx, a, false) })
}

// TriggerPush has the active configuration pushed to the sidecars now instead of
// at the next interval. It does not block.
func (g *Gossiper) TriggerPush() {
	select {
	case g.pushNow <- struct{}{}:
	default:
	}
}

// Run gossips and pushes until the context ends.
func (g *Gossiper) Run(ctx context.Context) {
	go g.pushLoop(ctx)
	go g.probeFailingLoop(ctx)
	g.mu.Lock()
	g.started = time.Now()
	g.mu.Unlock()
	for n := 0; ctx.Err() == nil; n++ {
		if n%roundsPerList == 0 {
			g.readVMs(ctx)
		}
		g.Round(ctx)
		interval := g.interval()
		if !g.joined.Load() {
			interval = joinInterval * 2 / 3 // the jitter adds up to a half
		}
		t := time.NewTimer(interval/2 + g.jitter(interval))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// interval returns the mean time between two rounds. It grows with the number of
// entries and with the bytes of a round, so that greetings stay within their
// budget.
func (g *Gossiper) interval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := g.config.Interval * time.Duration(max(1, len(g.roster.all)/largeCluster))
	return max(interval, budgetInterval(g.roundBytes, g.config.BytesPerSecond))
}

// budgetInterval returns the interval at which rounds of the given bytes stay
// within a budget of bytes per second, at most maxInterval. For each round that
// an entry starts it is on average also contacted in one round of others, hence
// the factor 2.
func budgetInterval(roundBytes float64, budget int) time.Duration {
	if budget <= 0 {
		return 0
	}
	return min(time.Duration(2*roundBytes/float64(budget)*float64(time.Second)), maxInterval)
}

// recordRoundBytes updates the moving average of the bytes of a round.
func (g *Gossiper) recordRoundBytes(bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roundBytes += roundBytesWeight * (float64(bytes) - g.roundBytes)
}

// shuffle puts n elements in random order.
func (g *Gossiper) shuffle(n int, swap func(i, j int)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.random.Shuffle(n, swap)
}

// jitter returns a random duration of at most limit.
func (g *Gossiper) jitter(limit time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.random.Int64N(int64(limit) + 1))
}

// readVMs makes the entries on the platform's list of VMs known, unless the list
// can't be read.
func (g *Gossiper) readVMs(ctx context.Context) {
	if g.config.List == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.config.CallTimeout)
	defer cancel()
	vms, err := g.config.List.List(ctx)
	if err != nil {
		return
	}
	entries := append([]string(nil), g.config.Seeds...)
	for _, v := range vms {
		if v.Role == "entry" && !v.Leaving {
			entries = append(entries, v.Address)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.setPermanent(entries)
}

// Round exchanges greetings with a few entries, inspects the silent servers, and
// updates which entries are dead.
func (g *Gossiper) Round(ctx context.Context) {
	g.mu.Lock()
	targets := g.roster.targets(fanout, g.random)
	g.mu.Unlock()
	before := g.config.Entries.Bytes()
	g.forEach(ctx, targets, func(ctx context.Context, a string) { g.greet(ctx, a, false) })
	g.recordRoundBytes(g.config.Entries.Bytes() - before)
	g.probeSilent(ctx)
	g.mu.Lock()
	dead := g.roster.updateDead(time.Now())
	g.mu.Unlock()
	for _, a := range dead {
		g.logEntryEvent("entry_gone", a)
	}
	g.config.Watcher.Tick()
	g.updateJoined(time.Now())
	g.TriggerPush()
}

// forEach calls do for every address, at most maxConcurrentCalls at once, each
// with the call timeout.
func (g *Gossiper) forEach(ctx context.Context, addresses []string, do func(context.Context, string)) {
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, a := range addresses {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, g.config.CallTimeout)
			defer cancel()
			do(ctx, a)
		})
	}
	calls.Wait()
}

// sidecarClient returns a client of the sidecar at an address.
func (g *Gossiper) sidecarClient(address string) wire.Gate {
	return wire.NewGateProtobufClient(g.config.Sidecars.URL(address), g.config.Sidecars.Client)
}

// entryClient returns a client of the entry at an address.
func (g *Gossiper) entryClient(address string) wire.Peers {
	return wire.NewPeersProtobufClient(g.config.Entries.URL(address), g.config.Entries.Client)
}

// greet exchanges greetings with one entry and returns its reply, nil if there
// was none. With standings set it asks for the sequence numbers of the sidecars.
func (g *Gossiper) greet(ctx context.Context, address string, standings bool) *wire.Greeting {
	sent := g.newGreeting()
	sent.Ask = standings
	sent.Wants = g.wantedModels()
	if g.config.Demand != nil {
		sent.Demand = g.config.Demand.Snapshot()
	}
	reply, err := g.entryClient(address).Greet(ctx, sent)
	now := time.Now()
	if err != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.roster.recordFailure(address, now)
		return nil
	}
	g.applyGreeting(reply, now)
	if g.config.Demand != nil {
		g.config.Demand.ApplyReply(sent.GetDemand(), reply.GetDemand())
	}
	for _, r := range reply.GetReports() {
		g.config.Watcher.RecordRelayed(r)
	}
	g.recordReports(reply)
	return reply
}

// newGreeting returns a greeting with the state of this entry.
func (g *Gossiper) newGreeting() *wire.Greeting {
	now := time.Now()
	age := now.Sub(g.config.Keeper.Confirmed()).Milliseconds()
	g.mu.Lock()
	defer g.mu.Unlock()
	return &wire.Greeting{
		Address: g.config.Address, Boot: g.config.Boot, Sequence: g.config.Keeper.State().Sequence,
		Leaving: g.leaving.Load(), AgeMs: age, Ready: g.config.Keeper.Ready(),
		Known:   int32(len(g.roster.all)),
		Members: g.roster.sample(sampleSize, now, g.random),
	}
}

// applyGreeting updates the state from a received greeting.
func (g *Gossiper) applyGreeting(w *wire.Greeting, now time.Time) {
	if w.GetAddress() == "" {
		return
	}
	g.mu.Lock()
	if g.roster.record(&wire.Member{Address: w.GetAddress(), Boot: w.GetBoot(), Leaving: w.GetLeaving()}, now, now) {
		defer g.logEntryEvent("entry_back", w.GetAddress())
	}
	for _, m := range w.GetMembers() {
		g.roster.record(m, now.Add(-time.Duration(m.GetAgeMs())*time.Millisecond), now)
	}
	g.peerSequences[w.GetAddress()] = w.GetSequence()
	g.mu.Unlock()
	if w.GetReady() {
		g.ObserveSequence(w.GetSequence())
	}
}

// logEntryEvent logs an event about another entry.
func (g *Gossiper) logEntryEvent(event, address string) {
	if g.config.Log != nil {
		g.config.Log.Info().Str("event", event).Str("entry", address).Msg("")
	}
}

// ObserveSequence records that another process has a sequence number active. If
// this entry is behind it, it catches up in the background.
func (g *Gossiper) ObserveSequence(sequence uint64) {
	if !g.config.Keeper.Observe(sequence) || !g.catchingUp.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.catchingUp.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), 2*g.config.CallTimeout)
		defer cancel()
		g.config.Keeper.CatchUp(ctx, g.config.Keeper.HighestObserved())
	}()
}

// probeSilent inspects the servers whose heartbeats stopped. This distinguishes
// a dead server from one that can be reached but whose heartbeats get lost.
func (g *Gossiper) probeSilent(ctx context.Context) {
	g.inspect(ctx, g.config.Watcher.SilentServers(maxProbes))
}

// probeFailingLoop inspects the servers to which the last call failed. It does so
// more often than rounds take place in a large cluster, so that it is known
// within the silence timeout whether such a server is alive, however long its
// heartbeat interval is.
func (g *Gossiper) probeFailingLoop(ctx context.Context) {
	t := time.NewTicker(g.config.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.inspect(ctx, g.config.Watcher.FailingServers(maxProbes))
		}
	}
}

// inspect requests reports from servers. It records each report or, if there is
// none, a failed call.
func (g *Gossiper) inspect(ctx context.Context, servers []watcher.Server) {
	byAddress := make(map[string]watcher.Server, len(servers))
	var addresses []string
	for _, s := range servers {
		byAddress[s.GetAddress()] = s
		addresses = append(addresses, s.GetAddress())
	}
	g.forEach(ctx, addresses, func(ctx context.Context, a string) {
		report, err := g.sidecarClient(a).Inspect(ctx, &wire.InspectRequest{})
		if err != nil {
			g.config.Watcher.RecordFailure(byAddress[a].ID())
			return
		}
		g.config.Watcher.Record(report)
	})
}
