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

// Defaults of Config.
const (
	defaultInterval = time.Second
	defaultLimit = time.Second
	roundsPerList    = 10 // greetings between two readings of the list of VMs
	fanout       = 3  // entries greeted at once
	gapEntries   = 32 // entries for which rounds come a multiple of Every apart
	longestGap   = 20 * time.Second
	roundWeight  = 0.3 // of the bytes of the newest round
	spreadWidth  = 64  // pushes under way at once
	probeWidth   = 8   // silent servers asked at once
)

// Lister reads the platform's list of VMs.
type Lister interface {
	List(ctx context.Context) ([]storer.VM, error)
}

// Demand is what entries tell each other of the demand that they see; see
// package averager.
type Demand interface {
	Offer() *wire.Demand
	Exchange(theirs *wire.Demand) *wire.Demand
	Settle(sent, reply *wire.Demand)
}

// Config describes a Gossiper. The zero Every greets each second, the zero
// Limit gives a call one second, the zero Copies suits the number of
// entries. List, Log, Accuse, Borrow and Demand may be nil; nil Entries and Sidecars
// connect without TLS.
type Config struct {
	Address string // this entry's inner address
	Boot    uint64
	Seeds   []string // inner addresses of some other entries
	List    Lister
	Keeper  *keeper.Keeper
	Watcher *watcher.Watcher
	Interval   time.Duration
	CallTimeout   time.Duration
	// BytesPerSecond is how many bytes a second greetings may take, those of other
	// entries included; 0 is no bound.
	BytesPerSecond int
	// PushersPerSidecar is how many entries push to one sidecar, by rank among live ones; 0
	// means all of a few, and one or two of many.
	PushersPerSidecar   int
	Entries  *certifier.Peer
	Sidecars *certifier.Peer
	Log      *log.Logger
	// DirectPush pushes to one boot of a sidecar without a call, and reports whether
	// it was taken; may be nil.
	DirectPush func(ctx context.Context, server string, boot uint64, batch *wire.Batch) (uint64, bool)
	// OnAccusation takes a crash suspect that another entry tells of.
	OnAccusation func(*wire.Accusation)
	// Lend lends a share of an account's limits to another entry.
	Lend func(context.Context, *wire.BorrowRequest) (*wire.BorrowReply, error)
	Demand Demand
}

// Gossiper joins one entry to the others.
type Gossiper struct {
	config   Config
	leaving  atomic.Bool
	catching atomic.Bool
	joined   atomic.Bool
	wake     chan struct{}

	mu     sync.Mutex
	roster *roster
	random *rand.Rand
	begun  time.Time         // when Run started
	rounds int               // until it joined
	told   bool              // a peer that serves has named servers
	round  float64           // bytes of one round
	peers  map[string]uint64 // sequence number that each entry last said
	sent   map[string]mark   // what each server last took
}

// mark is the sequence number in force at one boot of a sidecar.
type mark struct {
	boot     uint64
	sequence uint64
	at       time.Time // of the push
}

// taken returns the sequence number in force at a server; the lock is held.
func (g *Gossiper) taken(s watcher.Server) uint64 {
	if m := g.sent[s.GetServer()]; m.boot == s.GetBoot() {
		return max(m.sequence, s.GetSequence())
	}
	return s.GetSequence()
}

// New returns a gossiper that does not greet yet. It panics without a keeper
// or a watcher.
func New(config Config) *Gossiper {
	if config.Keeper == nil || config.Watcher == nil {
		panic("gossiper: nil keeper or watcher")
	}
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	if config.CallTimeout <= 0 {
		config.CallTimeout = defaultLimit
	}
	if config.Entries == nil {
		config.Entries = certifier.NewPeer(nil)
	}
	if config.Sidecars == nil {
		config.Sidecars = certifier.NewPeer(nil)
	}
	g := &Gossiper{
		config: config, wake: make(chan struct{}, 1), roster: newRoster(config.Address),
		random: rand.New(rand.NewPCG(config.Boot, uint64(len(config.Address)))),
		peers:  map[string]uint64{}, sent: map[string]mark{},
	}
	g.roster.fix(config.Seeds)
	return g
}

// Live returns the inner addresses of the other entries that serve.
func (g *Gossiper) Live() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.live(time.Now())
}

// Known returns the inner addresses of every other entry that was heard of.
func (g *Gossiper) Known() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.known()
}

// Leave tells the other entries that this one stops.
func (g *Gossiper) Leave(ctx context.Context) {
	g.leaving.Store(true)
	g.each(ctx, g.Live(), func(ctx context.Context, a string) { g.greet(ctx, a, false) })
}

// TriggerPush spreads the configuration in force now rather than at the next
// greeting.
func (g *Gossiper) TriggerPush() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run greets and spreads until the context ends.
func (g *Gossiper) Run(ctx context.Context) {
	go g.spreadLoop(ctx)
	go g.suspectLoop(ctx)
	g.mu.Lock()
	g.begun = time.Now()
	g.mu.Unlock()
	for n := 0; ctx.Err() == nil; n++ {
		if n%roundsPerList == 0 {
			g.readList(ctx)
		}
		g.Round(ctx)
		gap := g.gap()
		if !g.joined.Load() {
			gap = joinGap
		}
		t := time.NewTimer(gap/2 + g.jitter(gap))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// gap is the mean time between two rounds. It grows with the number of entries
// and with the bytes of a round, so that greetings stay within their budget.
func (g *Gossiper) gap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	gap := g.config.Interval * time.Duration(max(1, len(g.roster.all)/gapEntries))
	return max(gap, afford(g.round, g.config.BytesPerSecond))
}

// afford returns how far apart rounds of so many bytes must come: for each of
// its own an entry is greeted in another one's, on average.
func afford(round float64, budget int) time.Duration {
	if budget <= 0 {
		return 0
	}
	return min(time.Duration(2*round/float64(budget)*float64(time.Second)), longestGap)
}

// weigh follows the bytes of a round.
func (g *Gossiper) weigh(bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.round += roundWeight * (float64(bytes) - g.round)
}

// shuffle puts n things in random order.
func (g *Gossiper) shuffle(n int, swap func(i, j int)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.random.Shuffle(n, swap)
}

func (g *Gossiper) jitter(most time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.random.Int64N(int64(most) + 1))
}

func (g *Gossiper) readList(ctx context.Context) {
	if g.config.List == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.config.CallTimeout)
	defer cancel()
	vms, err := g.config.List.List(ctx)
	if err != nil {
		return
	}
	fixed := append([]string(nil), g.config.Seeds...)
	for _, v := range vms {
		if v.Role == "entry" && !v.Leaving {
			fixed = append(fixed, v.Address)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.fix(fixed)
}

// Round greets a few entries, asks the servers that are silent, and judges who
// is gone.
func (g *Gossiper) Round(ctx context.Context) {
	g.mu.Lock()
	targets := g.roster.targets(fanout, g.random)
	g.mu.Unlock()
	before := g.config.Entries.Bytes()
	g.each(ctx, targets, func(ctx context.Context, a string) { g.greet(ctx, a, false) })
	g.weigh(g.config.Entries.Bytes() - before)
	g.probe(ctx)
	g.mu.Lock()
	gone := g.roster.judge(time.Now())
	g.mu.Unlock()
	for _, a := range gone {
		g.note("entry_gone", a)
	}
	g.config.Watcher.Tick()
	g.join(time.Now())
	g.TriggerPush()
}

// each calls do for every address, many at once, and gives each call the limit.
func (g *Gossiper) each(ctx context.Context, addresses []string, do func(context.Context, string)) {
	var all sync.WaitGroup
	slots := make(chan struct{}, spreadWidth)
	for _, a := range addresses {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, g.config.CallTimeout)
			defer cancel()
			do(ctx, a)
		})
	}
	all.Wait()
}

func (g *Gossiper) gate(address string) wire.Gate {
	return wire.NewGateProtobufClient(g.config.Sidecars.URL(address), g.config.Sidecars.Client)
}

func (g *Gossiper) peer(address string) wire.Peers {
	return wire.NewPeersProtobufClient(g.config.Entries.URL(address), g.config.Entries.Client)
}

// greet exchanges greetings with one entry; ask wants its sidecars' standings.
func (g *Gossiper) greet(ctx context.Context, address string, ask bool) *wire.Greeting {
	mine := g.greeting()
	mine.Ask = ask
	mine.Wants = g.wants()
	if g.config.Demand != nil {
		mine.Demand = g.config.Demand.Offer()
	}
	reply, err := g.peer(address).Greet(ctx, mine)
	now := time.Now()
	if err != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.roster.fail(address, now)
		return nil
	}
	g.take(reply, now)
	if g.config.Demand != nil {
		g.config.Demand.Settle(mine.GetDemand(), reply.GetDemand())
	}
	for _, r := range reply.GetReports() {
		g.config.Watcher.RecordRelayed(r)
	}
	g.welcome(reply)
	return reply
}

// greeting is what this entry says of itself.
func (g *Gossiper) greeting() *wire.Greeting {
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

// take learns from a greeting.
func (g *Gossiper) take(w *wire.Greeting, now time.Time) {
	if w.GetAddress() == "" {
		return
	}
	g.mu.Lock()
	if g.roster.hear(&wire.Member{Address: w.GetAddress(), Boot: w.GetBoot(), Leaving: w.GetLeaving()}, now, now) {
		defer g.note("entry_back", w.GetAddress())
	}
	for _, m := range w.GetMembers() {
		g.roster.hear(m, now.Add(-time.Duration(m.GetAgeMs())*time.Millisecond), now)
	}
	g.peers[w.GetAddress()] = w.GetSequence()
	g.mu.Unlock()
	if w.GetReady() {
		g.ObserveSequence(w.GetSequence())
	}
}

// note writes one event about an entry to the log.
func (g *Gossiper) note(event, address string) {
	if g.config.Log != nil {
		g.config.Log.Info().Str("event", event).Str("entry", address).Msg("")
	}
}

// ObserveSequence notes that some process has a sequence number in force, and catches
// up beside the caller's work if this entry is behind it.
func (g *Gossiper) ObserveSequence(sequence uint64) {
	if !g.config.Keeper.Observe(sequence) || !g.catching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.catching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), 2*g.config.CallTimeout)
		defer cancel()
		g.config.Keeper.CatchUp(ctx, g.config.Keeper.HighestObserved())
	}()
}

// probe asks the servers whose heartbeats stopped. One that answers is heard;
// one that does not is shown to fail. A cut that goes one way only is told
// from a death so.
func (g *Gossiper) probe(ctx context.Context) { g.ask(ctx, g.config.Watcher.SilentServers(probeWidth)) }

// suspectLoop asks the servers to which the last call failed, much sooner than
// a round comes when entries are many: within silence's time it is known
// whether they live, however far apart their heartbeats come.
func (g *Gossiper) suspectLoop(ctx context.Context) {
	t := time.NewTicker(g.config.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.ask(ctx, g.config.Watcher.FailingServers(probeWidth))
		}
	}
}

// ask asks servers for their reports. One that answers is heard, any other has
// failed once more.
func (g *Gossiper) ask(ctx context.Context, servers []watcher.Server) {
	reached := make(map[string]watcher.Server, len(servers))
	var addresses []string
	for _, s := range servers {
		reached[s.GetAddress()] = s
		addresses = append(addresses, s.GetAddress())
	}
	g.each(ctx, addresses, func(ctx context.Context, a string) {
		report, err := g.gate(a).Inspect(ctx, &wire.InspectRequest{})
		if err != nil {
			g.config.Watcher.RecordFailure(reached[a].ID())
			return
		}
		g.config.Watcher.Record(report)
	})
}
