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

	"bamboohill/core/viewer"
)

// PauseClass classifies the longest pause between two events that a decoding
// request tolerates.
type PauseClass int

// Pause classes, from the most to the least sensitive.
const (
	ShortPause PauseClass = iota
	MediumPause
	LongPause
	pauseClasses
)

// Upper bounds of ShortPause and MediumPause. They lie between the pauses that
// operators allow for chats, long prompts and archives: 200, 500 and 800 ms.
const (
	maxShortPause  = 250 * time.Millisecond
	maxMediumPause = 600 * time.Millisecond
)

// ClassifyPause returns the class of the longest pause that a route allows. A
// pause of zero or less means no limit and is a LongPause.
func ClassifyPause(gap time.Duration) PauseClass {
	switch {
	case gap > 0 && gap <= maxShortPause:
		return ShortPause
	case gap > 0 && gap <= maxMediumPause:
		return MediumPause
	}
	return LongPause
}

// Load is the outstanding work at one backend server.
type Load struct {
	Prefill        time.Duration     // remaining prefill time
	Decoding       [pauseClasses]int // requests that have had their first event
	Prefilling     [pauseClasses]int // prompts with prefill remaining here
	ContextTokens  int               // context tokens held by running requests
	Running        int               // requests sent and not yet ended
	PeerRunning    int               // requests among Running that other entries reported
	HelperPrefills int               // prefills for requests at other servers
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	l.Prefill += other.Prefill
	for i := range l.Decoding {
		l.Decoding[i] += other.Decoding[i]
		l.Prefilling[i] += other.Prefilling[i]
	}
	l.ContextTokens += other.ContextTokens
	l.Running += other.Running
	l.PeerRunning += other.PeerRunning
	l.HelperPrefills += other.HelperPrefills
	return l
}

// DecodingTotal returns the number of decoding requests of all pause classes.
func (l Load) DecodingTotal() int {
	n := 0
	for _, w := range l.Decoding {
		n += w
	}
	return n
}

// Work is the work of one request at a backend server and at the helpers that
// share its prefill.
type Work struct {
	Server              viewer.ServerID
	Helpers             []viewer.ServerID
	HelperContextTokens []int         // context tokens that each helper holds; nil if none
	Prefill             time.Duration // at the server and at each helper
	ContextTokens       int           // context tokens that the server holds
	Pause               PauseClass
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
	remaining map[viewer.ServerID]time.Duration
	decoding  bool
}

type serverState struct {
	prefilling []string // attempts whose prefill runs here, oldest first
	load       Load     // all but Prefill, which is computed from the attempts
	updated    time.Time
}

type peer struct {
	loads    map[uint32]Load
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
	changed       chan struct{}
	demand        float64 // prefill that this entry requests, in engines
	demandUpdated time.Time
}

// New returns a Tracker without any load.
func New() *Tracker {
	return &Tracker{
		attempts: map[string]*attemptState{}, servers: map[viewer.ServerID]*serverState{}, peers: map[string]peer{},
		changed: make(chan struct{}, 1),
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
	state := &attemptState{work: w, remaining: map[viewer.ServerID]time.Duration{}}
	t.attempts[attempt] = state
	t.notify()
	t.demand *= math.Exp(-float64(now.Sub(t.demandUpdated)) / float64(demandWindow))
	t.demand += float64(w.Prefill) * float64(1+len(w.Helpers)) / float64(demandWindow)
	t.demandUpdated = now
	for i, id := range append([]viewer.ServerID{w.Server}, w.Helpers...) {
		s := t.server(id, now)
		t.advance(id, s, now)
		s.prefilling = append(s.prefilling, attempt)
		state.remaining[id] = w.Prefill
		s.load.Prefilling[w.Pause]++
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
	t.notify()
	t.endPrefill(attempt, state, now)
	state.decoding = true
	t.server(state.work.Server, now).load.Decoding[state.work.Pause]++
}

func (t *Tracker) endPrefill(attempt string, state *attemptState, now time.Time) {
	for id := range state.remaining {
		s := t.server(id, now)
		t.advance(id, s, now)
		s.load.Prefilling[state.work.Pause]--
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
	t.notify()
	t.endPrefill(attempt, state, now)
	s := t.server(state.work.Server, now)
	s.load.Running--
	s.load.ContextTokens -= state.work.ContextTokens
	for i, id := range state.work.Helpers {
		t.server(id, now).load.ContextTokens -= state.work.helperContextTokens(i)
	}
	if state.decoding {
		s.load.Decoding[state.work.Pause]--
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

// ApplyPeerLoads replaces the loads of another entry, by Hash of the backend
// server, and its prefill demand in engines.
func (t *Tracker) ApplyPeerLoads(entry string, loads map[uint32]Load, demand float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[entry] = peer{loads: loads, received: now, demand: demand}
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
			sum = sum.Add(l)
		}
	}
	return sum
}

// Load returns the outstanding work at a backend server, with that of other
// entries.
func (t *Tracker) Load(id viewer.ServerID, now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownLoad(id, now).Add(t.peerLoad(id, now))
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

// Changed returns a channel that receives after changes of this entry's own
// loads. Changes before a receive are merged into one signal.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

func (t *Tracker) notify() {
	select {
	case t.changed <- struct{}{}:
	default: // a signal is already pending
	}
}

// OwnLoads returns this entry's loads, without backend servers at which it has
// no outstanding work.
func (t *Tracker) OwnLoads(now time.Time) map[viewer.ServerID]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
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
