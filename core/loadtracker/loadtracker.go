// Package loadtracker tracks the load of each backend server: the requests that
// this entry has sent, exactly, and those that other entries report to have
// sent. Reports of the backend servers themselves arrive too late for placement:
// during a burst, the same server would appear idle to many requests.
//
// Between two events the remaining prefill time is extrapolated: it decreases
// with time, at the share of the engine that prefill gets beside decoding, and
// ends with the first event of the request.
//
// # Usage
//
//	t := loadtracker.New()
//	t.RecordPlacement("attempt", loadtracker.Work{...}, now)
//	t.RecordFirstEvent("attempt", now)
//	t.RecordEnd("attempt", now)
//	load := t.Load("server", now)
//
// A Tracker has no side effects beyond its own state and is safe for concurrent
// use. The clock is passed in.
package loadtracker

import (
	"math"
	"sync"
	"time"

	"bamboohill/core/profiler"
	"bamboohill/core/viewer"
)

// Load is the outstanding work at one backend server. Requests are counted by the index of
// their kind, in the Kinds of the Tracker.
type Load struct {
	Prefill        time.Duration // remaining prefill time
	Decoding       Counts        // requests that have had their first event
	Prefilling     Counts        // prompts with prefill remaining here
	ContextTokens  int           // context tokens held by running requests
	Running        int           // requests sent and not yet ended
	PeerRunning    int           // requests among Running that other entries reported
	HelperPrefills int           // prefills for requests at other servers
}

// Counts are numbers of requests by the index of their kind.
type Counts [profiler.MaxKinds]int32

// Total returns the number of requests of all kinds.
func (c *Counts) Total() int {
	n := int32(0)
	for _, w := range c {
		n += w
	}
	return int(n)
}

// mapped returns the counts by the indexes of another list of kinds.
func (c *Counts) mapped(to *[profiler.MaxKinds]int) Counts {
	var result Counts
	for i, n := range c {
		if n != 0 {
			result[to[i]] += n
		}
	}
	return result
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	l.add(&other)
	return l
}

func (l *Load) add(other *Load) {
	l.Prefill += other.Prefill
	for i := range l.Decoding {
		l.Decoding[i] += other.Decoding[i]
		l.Prefilling[i] += other.Prefilling[i]
	}
	l.ContextTokens += other.ContextTokens
	l.Running += other.Running
	l.PeerRunning += other.PeerRunning
	l.HelperPrefills += other.HelperPrefills
}

// DecodingTotal returns the number of decoding requests of all kinds.
func (l *Load) DecodingTotal() int { return l.Decoding.Total() }

// Work is the work of one request at a backend server and at the helpers that
// share its prefill.
type Work struct {
	Server              viewer.ServerID
	Helpers             []viewer.ServerID
	HelperContextTokens []int         // context tokens that each helper holds; nil if none
	Prefill             time.Duration // at the server and at each helper
	ContextTokens       int           // context tokens that the server holds
	Kind                profiler.Kind
	Prompt              int // tokens of the prompt; 0 for calls of a plain service
}

// peerTimeout is the time for which the loads of another entry count after its
// last datagram: three of its longest heartbeat intervals. An entry that is silent
// for longer may have been killed.
const peerTimeout = 1500 * time.Millisecond

// prefillShare is the share of an engine that prefill gets while other requests
// decode: a pass with much prefill spends most of its time on it.
const prefillShare = 0.75

type attemptState struct {
	work      Work
	kind      int // index of its kind
	placed    time.Time
	remaining map[viewer.ServerID]time.Duration
	decoding  bool
}

type serverState struct {
	prefilling []string // attempts whose prefill runs here, oldest first
	load       Load     // all but Prefill, which is computed from the attempts
	updated    time.Time
}

type peer struct {
	loads    map[uint32]Load // by own kinds
	report   Report          // as received
	received time.Time
	demand   float64
}

// demandWindow is the time constant of the average prefill demand. A burst of
// long prompts lasts several times as long.
const demandWindow = 3 * time.Second

// Tracker tracks the loads as one entry knows them.
type Tracker struct {
	mu            sync.Mutex
	attempts      map[string]*attemptState
	servers       map[viewer.ServerID]*serverState
	peers         map[string]peer
	placed        chan struct{}
	changed       chan struct{}
	demand        float64 // prefill that this entry requests, in engines
	demandUpdated time.Time

	configuration *viewer.Configuration
	kinds         *profiler.Kinds
	legend        legend // of the last report with kinds
	estimates     *profiler.Estimates
	valuing       profiler.Valuing
	parameters    map[viewer.ServiceName]derived
}

// New returns a Tracker without any load.
func New() *Tracker {
	return &Tracker{
		attempts: map[string]*attemptState{}, servers: map[viewer.ServerID]*serverState{}, peers: map[string]peer{},
		placed: make(chan struct{}, 1), changed: make(chan struct{}, 1), kinds: &profiler.Kinds{}, estimates: profiler.NewEstimates(), parameters: map[viewer.ServiceName]derived{},
	}
}

func (t *Tracker) server(id viewer.ServerID, now time.Time) *serverState {
	s, found := t.servers[id]
	if !found {
		s = &serverState{updated: now}
		t.servers[id] = s
	}
	return s
}

// RecordPlacement records that an attempt was sent.
func (t *Tracker) RecordPlacement(attempt string, w Work, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := &attemptState{work: w, kind: t.kinds.Index(w.Kind), placed: now, remaining: map[viewer.ServerID]time.Duration{}}
	if w.Prompt > 0 {
		t.estimates.RecordPrompt(t.kinds.At(state.kind), w.Prompt, now)
	}
	t.attempts[attempt] = state
	notify(t.placed)
	t.demand *= math.Exp(-float64(now.Sub(t.demandUpdated)) / float64(demandWindow))
	t.demand += float64(w.Prefill) * float64(1+len(w.Helpers)) / float64(demandWindow)
	t.demandUpdated = now
	for i, id := range append([]viewer.ServerID{w.Server}, w.Helpers...) {
		s := t.server(id, now)
		t.advance(id, s, now)
		s.prefilling = append(s.prefilling, attempt)
		state.remaining[id] = w.Prefill
		s.load.Prefilling[state.kind]++
		if i == 0 {
			s.load.Running++
			s.load.ContextTokens += w.ContextTokens
		} else {
			s.load.HelperPrefills++
			s.load.ContextTokens += w.helperContextTokens(i - 1)
		}
	}
}

// helperContextTokens returns the context tokens that a helper holds.
func (w Work) helperContextTokens(helper int) int {
	if helper < len(w.HelperContextTokens) {
		return w.HelperContextTokens[helper]
	}
	return 0
}

// RecordFirstEvent records the first event of an attempt, which ends its
// prefill. It ignores unknown attempts and later events.
func (t *Tracker) RecordFirstEvent(attempt string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, found := t.attempts[attempt]
	if !found || state.decoding {
		return
	}
	notify(t.changed)
	t.endPrefill(attempt, state, now)
	state.decoding = true
	t.server(state.work.Server, now).load.Decoding[state.kind]++
}

func (t *Tracker) endPrefill(attempt string, state *attemptState, now time.Time) {
	for id := range state.remaining {
		s := t.server(id, now)
		t.advance(id, s, now)
		s.load.Prefilling[state.kind]--
		for i, other := range s.prefilling {
			if other == attempt {
				s.prefilling = append(s.prefilling[:i], s.prefilling[i+1:]...)
				break
			}
		}
		if id != state.work.Server {
			s.load.HelperPrefills--
		}
	}
	state.remaining = nil
}

// RecordEnd removes an attempt. It ignores unknown attempts.
func (t *Tracker) RecordEnd(attempt string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, found := t.attempts[attempt]
	if !found {
		return
	}
	notify(t.changed)
	t.endPrefill(attempt, state, now)
	s := t.server(state.work.Server, now)
	s.load.Running--
	s.load.ContextTokens -= state.work.ContextTokens
	for i, id := range state.work.Helpers {
		t.server(id, now).load.ContextTokens -= state.work.helperContextTokens(i)
	}
	if state.decoding {
		s.load.Decoding[state.kind]--
		if state.work.Prompt > 0 {
			t.estimates.RecordSlot(t.kinds.At(state.kind), now.Sub(state.placed), now)
		}
	}
	delete(t.attempts, attempt)
}

// advance subtracts the prefill done since the last update, oldest attempt
// first. Prefill for other entries shares the engine.
func (t *Tracker) advance(id viewer.ServerID, s *serverState, now time.Time) {
	passed := now.Sub(s.updated)
	s.updated = now
	if passed <= 0 || len(s.prefilling) == 0 {
		return
	}
	own := t.remainingPrefill(id, s)
	others := t.peerLoad(id, now)
	rate := 1.0
	if s.load.DecodingTotal()+others.DecodingTotal() > 0 {
		rate = prefillShare
	}
	if sum := own + others.Prefill; sum > 0 {
		rate *= float64(own) / float64(sum)
	}
	done := time.Duration(rate * float64(passed))
	for _, attempt := range s.prefilling {
		state := t.attempts[attempt]
		taken := min(done, state.remaining[id])
		state.remaining[id] -= taken
		done -= taken
	}
}

func (t *Tracker) remainingPrefill(id viewer.ServerID, s *serverState) time.Duration {
	var sum time.Duration
	for _, attempt := range s.prefilling {
		sum += t.attempts[attempt].remaining[id]
	}
	return sum
}

// PrefillDemand returns the number of engines that the recently requested
// prefill keeps busy: that of this entry, and that of all entries.
func (t *Tracker) PrefillDemand(now time.Time) (own, all float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own = t.demand * math.Exp(-float64(now.Sub(t.demandUpdated))/float64(demandWindow))
	all = own
	for _, p := range t.peers {
		if age := now.Sub(p.received); age <= peerTimeout {
			all += p.demand * math.Exp(-float64(age)/float64(demandWindow))
		}
	}
	return own, all
}

func (t *Tracker) peerLoad(id viewer.ServerID, now time.Time) Load {
	var sum Load
	t.addPeerLoad(&sum, id, now)
	return sum
}

// addPeerLoad adds the work of other entries at a backend server.
func (t *Tracker) addPeerLoad(sum *Load, id viewer.ServerID, now time.Time) {
	hash := Hash(id)
	for name, p := range t.peers {
		age := now.Sub(p.received)
		if age > peerTimeout {
			delete(t.peers, name)
			continue
		}
		if l, found := p.loads[hash]; found {
			l.Prefill = max(0, l.Prefill-time.Duration(prefillShare*float64(age)))
			l.PeerRunning = l.Running
			sum.add(&l)
		}
	}
}

// Load returns the outstanding work at a backend server, with that of other
// entries.
func (t *Tracker) Load(id viewer.ServerID, now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.ownLoad(id, now)
	t.addPeerLoad(&l, id, now)
	return l
}

func (t *Tracker) ownLoad(id viewer.ServerID, now time.Time) Load {
	s, found := t.servers[id]
	if !found {
		return Load{}
	}
	t.advance(id, s, now)
	l := s.load
	l.Prefill = t.remainingPrefill(id, s)
	return l
}

// Placed returns a channel that receives after placements by this entry. Placements
// before a receive are merged into one signal.
func (t *Tracker) Placed() <-chan struct{} { return t.placed }

// Changed returns a channel that receives after other changes of this entry's own
// loads, in the same way.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default: // a signal is already pending
	}
}

// OwnLoads returns this entry's loads, without backend servers at which it has
// no outstanding work.
func (t *Tracker) OwnLoads(now time.Time) map[viewer.ServerID]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownLoads(now)
}

func (t *Tracker) ownLoads(now time.Time) map[viewer.ServerID]Load {
	all := map[viewer.ServerID]Load{}
	for id, s := range t.servers {
		if s.load.Running == 0 && s.load.HelperPrefills == 0 && s.load.ContextTokens == 0 {
			delete(t.servers, id)
			continue
		}
		all[id] = t.ownLoad(id, now)
	}
	return all
}
