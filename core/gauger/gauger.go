package gauger

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// Parameters of the estimate.
const (
	// MaxSlowdown is the largest Slowdown. A server that is slower still gets the work
	// that it can do in time.
	MaxSlowdown = 4.0
	// deadBand is the slowdown up to which a server counts as normal: predictions are
	// wrong by about a fifth. A slow server counts as normal again below recovered.
	deadBand, recovered = 1.25, 1.15
	// errorFactor is the number of standard errors that a deviation must exceed.
	errorFactor = 3.0
	// tellFactor is the same for what an entry tells the others: less, as the samples of
	// all entries together show more.
	tellFactor = 1.0
	// peerTimeout is the time for which the speeds of another entry count after its last
	// datagram: three of its longest heartbeat intervals.
	peerTimeout = 1500 * time.Millisecond
	// maxSamples bounds the samples of one entry on one server, so that an entry with a
	// slow path to a server does not outweigh the others.
	maxSamples = 20
	// sampleInterval is the minimum time between two samples of one engine: its streams
	// show the same passes.
	sampleInterval = 20 * time.Millisecond
	updateInterval = 100 * time.Millisecond // between two estimates
	// minServers is the number of servers that must be measured to distinguish a slow
	// server from a slow entry.
	minServers = 2
	// usualWeight is the weight of one call in the usual duration of its route, and
	// minCalls the number of calls after which that is known.
	usualWeight = 1.0 / 32
	minCalls    = 8
)

// maxTold is the largest relative duration that is accepted from another entry.
const maxTold = 10 * MaxSlowdown

// usual is the usual duration of the calls of one route.
type usual struct {
	log   float64 // mean logarithm of the duration in seconds
	calls int
}

type peer struct {
	speeds   map[uint32]Speed
	received time.Time
}

// estimate is the estimate of all entries for a run.
type estimate struct {
	slowdown float64
	samples  float64
	entries  int
}

// Gauger holds the estimates that one entry knows. It is safe for concurrent use.
type Gauger struct {
	mu      sync.Mutex
	own     map[Run]*gauge
	usual   map[string]*usual // by route
	peers   map[string]peer
	slow    map[uint32]estimate // runs that are slow, by Run.Hash
	told    map[Run]Change      // what Changes has returned of runs that are slow
	updated time.Time
}

// New returns a Gauger without estimates.
func New() *Gauger {
	return &Gauger{own: map[Run]*gauge{}, usual: map[string]*usual{}, peers: map[string]peer{}, slow: map[uint32]estimate{}, told: map[Run]Change{}}
}

// Wants reports whether RecordPass would use a sample of the run.
func (g *Gauger) Wants(r Run, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.own[r]
	return m == nil || now.Sub(m.last()) >= sampleInterval
}

// RecordPass records the duration of a pass of a model engine, and the duration that its
// description predicts for its load.
func (g *Gauger) RecordPass(service viewer.ServiceName, r Run, observed, predicted time.Duration, now time.Time) {
	if observed <= 0 || predicted <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record(service, r, passes, float64(observed)/float64(predicted), now)
}

// RecordCall records the duration of a successful call of a plain service. Calls that
// waited behind others at the server must be left out.
func (g *Gauger) RecordCall(service viewer.ServiceName, route string, r Run, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.usual[route]
	if u == nil {
		u = &usual{}
		g.usual[route] = u
	}
	d := math.Log(took.Seconds())
	u.calls++
	u.log += (d - u.log) * max(usualWeight, 1/float64(u.calls))
	if u.calls > minCalls {
		g.record(service, r, calls, math.Exp(d-u.log), now)
	}
}

func (g *Gauger) record(service viewer.ServiceName, r Run, k *kind, ratio float64, now time.Time) {
	m := g.own[r]
	if m == nil {
		m = &gauge{service: service, kind: k, hash: r.Hash()}
		g.own[r] = m
	}
	m.add(ratio, now)
}

// ApplyPeer replaces the speeds that another entry has told.
func (g *Gauger) ApplyPeer(entry string, speeds []Speed, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(speeds) == 0 {
		delete(g.peers, entry)
		return
	}
	p := peer{speeds: make(map[uint32]Speed, len(speeds)), received: now}
	for _, s := range speeds {
		if s.Slowdown > 0 && s.Samples > 0 {
			s.Samples, s.Slowdown = min(s.Samples, maxSamples), min(s.Slowdown, maxTold)
			p.speeds[s.Run] = s
		}
	}
	g.peers[entry] = p
}

// Slowdown returns the duration of work at a run of a server relative to normal, from 1 to
// MaxSlowdown. It is 1 for a server that does not deviate beyond the error of the estimate.
func (g *Gauger) Slowdown(r Run, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update(now)
	if len(g.slow) == 0 {
		return 1
	}
	if e, found := g.slow[r.Hash()]; found {
		return e.slowdown
	}
	return 1
}

// Own returns what this entry knows first hand about servers that deviate, or that another
// entry has told of, and about the other servers of plain services with such servers: at
// most the given number, those with the most samples first.
func (g *Gauger) Own(most int, now time.Time) []Speed {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update(now)
	named := map[uint32]bool{}
	for _, p := range g.peers {
		for hash, s := range p.speeds {
			named[hash] = named[hash] || s.Slowdown > deadBand
		}
	}
	services := map[viewer.ServiceName]bool{} // plain ones with servers that deviate
	for _, m := range g.own {
		if m.relative > 0 && m.kind.deviates(m.relative, m.weight(now), deadBand, tellFactor) {
			named[m.hash] = true
		}
		services[m.service] = services[m.service] || m.kind == calls && named[m.hash]
	}
	var all []Speed
	for _, m := range g.own {
		if n := m.weight(now); m.relative > 0 && n >= 1 && (named[m.hash] || services[m.service]) {
			all = append(all, Speed{Run: m.hash, Slowdown: m.relative, Samples: n})
		}
	}
	slices.SortFunc(all, func(a, b Speed) int { return cmp.Or(cmp.Compare(b.Samples, a.Samples), cmp.Compare(a.Run, b.Run)) })
	return all[:min(most, len(all))]
}

// Changes returns which of the servers have become slow, or normal again, since the last
// call, and how many are slow.
func (g *Gauger) Changes(servers map[viewer.ServerID]*viewer.Server, now time.Time) (changes []Change, slow int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update(now)
	present := map[Run]Change{}
	for _, s := range servers {
		r := RunOf(s)
		e, found := g.slow[r.Hash()]
		if !found {
			continue
		}
		present[r] = Change{Run: r, Slowdown: e.slowdown, Samples: e.samples, Entries: e.entries}
		if _, known := g.told[r]; !known {
			changes = append(changes, present[r])
		}
	}
	for r := range g.told {
		if _, found := present[r]; !found {
			changes = append(changes, Change{Run: r, Slowdown: 1})
		}
	}
	g.told = present
	return changes, len(present)
}

// Slow returns the slowdown of the servers that Changes has found slow.
func (g *Gauger) Slow() map[viewer.ServerID]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make(map[viewer.ServerID]float64, len(g.told))
	for r, c := range g.told {
		all[r.Server] = c.Slowdown
	}
	return all
}

// Expire drops what has expired.
func (g *Gauger) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.own, func(_ Run, m *gauge) bool { return now.Sub(m.last()) > m.kind.memory })
	maps.DeleteFunc(g.peers, func(_ string, p peer) bool { return now.Sub(p.received) > peerTimeout })
}
