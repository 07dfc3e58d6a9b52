// Package loadtracker keeps what is under way at each backend server: what this
// entry has sent, exactly, and what other entries say they have sent. Reports
// of backend servers come too late to place by: a burst would find the same
// server idle many times over.
//
// Reading is assumed to go on between two facts: it shrinks with time, at the
// share of the engine that readers get beside writers, and ends with the first
// event of its request.
//
// # Usage
//
//	b := loadtracker.New()
//	b.RecordPlacement("attempt", loadtracker.Work{...}, now)
//	b.First("attempt", now)
//	b.End("attempt")
//	load := b.Load("server", now)
//
// A Tracker is pure but for its own books and safe for concurrent use.
package loadtracker

import (
	"math"
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// PauseClass says how long a writer bears to wait for its next event.
type PauseClass int

// Pauses, from the most to the least sensitive.
const (
	ShortPause PauseClass = iota
	MediumPause
	LongPause
	pauses
)

// Upper ends of Tight and Middle. Between the pauses that operators allow for
// chats, for long prompts and for archives: 200, 500 and 800 ms.
const (
	tightMost  = 250 * time.Millisecond
	middleMost = 600 * time.Millisecond
)

// ClassifyPause sorts the longest pause that a route allows.
func ClassifyPause(gap time.Duration) PauseClass {
	switch {
	case gap > 0 && gap <= tightMost:
		return ShortPause
	case gap > 0 && gap <= middleMost:
		return MediumPause
	}
	return LongPause
}

// Load is what is under way at one backend server.
type Load struct {
	Prefill        time.Duration // of prompts, not yet done
	Decoding       [pauses]int   // requests that have their first event
	Prefilling     [pauses]int   // prompts of which some is still to be read here
	ContextTokens  int           // tokens held by requests that run
	Running        int           // requests sent and not ended
	PeerRunning    int           // of Running, those that other entries told of
	HelperPrefills int           // parts of others' prompts being read
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

// DecodingTotal returns the number of writers.
func (l Load) DecodingTotal() int {
	n := 0
	for _, w := range l.Decoding {
		n += w
	}
	return n
}

// Work is one request at one backend server and its helpers.
type Work struct {
	Server              viewer.ServerID
	Helpers             []viewer.ServerID
	HelperContextTokens []int         // tokens that each helper holds; nil if none
	Prefill             time.Duration // that each of them does
	ContextTokens       int           // tokens that the server holds
	Pause               PauseClass
}

// peerLife is how long an entry's word counts after its last datagram: three
// of its slowest heartbeats, and it may have been killed.
const peerLife = 1500 * time.Millisecond

// writerShare is the share of an engine that readers get while others write: a
// pass with much to read spends most of its time on it.
const writerShare = 0.75

type item struct {
	work    Work
	left    map[viewer.ServerID]time.Duration
	writing bool
}

type account struct {
	items   []string // attempts that still read here, oldest first
	load    Load     // all but Reading
	drained time.Time
}

type peer struct {
	loads map[uint32]Load
	heard time.Time
	pace  float64
}

// paceSpan is the time over which the pace of reading is averaged: a wave of
// long prompts lasts several of it.
const paceSpan = 3 * time.Second

// Tracker holds the books of one entry.
type Tracker struct {
	mu       sync.Mutex
	items    map[string]*item
	accounts map[viewer.ServerID]*account
	peers    map[string]peer
	changed  chan struct{}
	pace     float64 // of reading that this entry asks for, in engines
	paced    time.Time
}

// New returns empty books.
func New() *Tracker {
	return &Tracker{
		items: map[string]*item{}, accounts: map[viewer.ServerID]*account{}, peers: map[string]peer{},
		changed: make(chan struct{}, 1),
	}
}

func (b *Tracker) account(id viewer.ServerID, now time.Time) *account {
	a, found := b.accounts[id]
	if !found {
		a = &account{drained: now}
		b.accounts[id] = a
	}
	return a
}

// RecordPlacement enters an attempt.
func (b *Tracker) RecordPlacement(attempt string, w Work, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	it := &item{work: w, left: map[viewer.ServerID]time.Duration{}}
	b.items[attempt] = it
	b.note()
	b.pace *= math.Exp(-float64(now.Sub(b.paced)) / float64(paceSpan))
	b.pace += float64(w.Prefill) * float64(1+len(w.Helpers)) / float64(paceSpan)
	b.paced = now
	for i, id := range append([]viewer.ServerID{w.Server}, w.Helpers...) {
		a := b.account(id, now)
		b.drain(id, a, now)
		a.items = append(a.items, attempt)
		it.left[id] = w.Prefill
		a.load.Prefilling[w.Pause]++
		if i == 0 {
			a.load.Running++
			a.load.ContextTokens += w.ContextTokens
		} else {
			a.load.HelperPrefills++
			a.load.ContextTokens += w.held(i - 1)
		}
	}
}

// held returns the tokens that a helper holds.
func (w Work) held(helper int) int {
	if helper < len(w.HelperContextTokens) {
		return w.HelperContextTokens[helper]
	}
	return 0
}

// RecordFirstEvent notes the first event of an attempt: its prompt is read.
func (b *Tracker) RecordFirstEvent(attempt string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	it, found := b.items[attempt]
	if !found || it.writing {
		return
	}
	b.note()
	b.stopReading(attempt, it, now)
	it.writing = true
	b.account(it.work.Server, now).load.Decoding[it.work.Pause]++
}

func (b *Tracker) stopReading(attempt string, it *item, now time.Time) {
	for id := range it.left {
		a := b.account(id, now)
		b.drain(id, a, now)
		a.load.Prefilling[it.work.Pause]--
		for i, other := range a.items {
			if other == attempt {
				a.items = append(a.items[:i], a.items[i+1:]...)
				break
			}
		}
		if id != it.work.Server {
			a.load.HelperPrefills--
		}
	}
	it.left = nil
}

// RecordEnd strikes an attempt off.
func (b *Tracker) RecordEnd(attempt string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	it, found := b.items[attempt]
	if !found {
		return
	}
	b.note()
	b.stopReading(attempt, it, now)
	a := b.account(it.work.Server, now)
	a.load.Running--
	a.load.ContextTokens -= it.work.ContextTokens
	for i, id := range it.work.Helpers {
		b.account(id, now).load.ContextTokens -= it.work.held(i)
	}
	if it.writing {
		a.load.Decoding[it.work.Pause]--
	}
	delete(b.items, attempt)
}

// drain takes off what was read since the last look, oldest first. The engine
// is shared with what peers are having read.
func (b *Tracker) drain(id viewer.ServerID, a *account, now time.Time) {
	passed := now.Sub(a.drained)
	a.drained = now
	if passed <= 0 || len(a.items) == 0 {
		return
	}
	own := b.reading(id, a)
	others := b.heard(id, now)
	rate := 1.0
	if a.load.DecodingTotal()+others.DecodingTotal() > 0 {
		rate = writerShare
	}
	if sum := own + others.Prefill; sum > 0 {
		rate *= float64(own) / float64(sum)
	}
	done := time.Duration(rate * float64(passed))
	for _, attempt := range a.items {
		it := b.items[attempt]
		taken := min(done, it.left[id])
		it.left[id] -= taken
		done -= taken
	}
}

func (b *Tracker) reading(id viewer.ServerID, a *account) time.Duration {
	var sum time.Duration
	for _, attempt := range a.items {
		sum += b.items[attempt].left[id]
	}
	return sum
}

// ApplyPeerLoads takes another entry's word of its own loads, by Hash of the backend
// server, and of its own pace.
func (b *Tracker) ApplyPeerLoads(entry string, loads map[uint32]Load, pace float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[entry] = peer{loads: loads, heard: now, pace: pace}
}

// PrefillDemand returns how many engines the reading that was lately asked for keeps
// busy: of this entry, and of all.
func (b *Tracker) PrefillDemand(now time.Time) (own, all float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own = b.pace * math.Exp(-float64(now.Sub(b.paced))/float64(paceSpan))
	all = own
	for _, p := range b.peers {
		if age := now.Sub(p.heard); age <= peerLife {
			all += p.pace * math.Exp(-float64(age)/float64(paceSpan))
		}
	}
	return own, all
}

func (b *Tracker) heard(id viewer.ServerID, now time.Time) Load {
	var sum Load
	hash := Hash(id)
	for name, p := range b.peers {
		age := now.Sub(p.heard)
		if age > peerLife {
			delete(b.peers, name)
			continue
		}
		if l, found := p.loads[hash]; found {
			l.Prefill = max(0, l.Prefill-time.Duration(writerShare*float64(age)))
			l.PeerRunning = l.Running
			sum = sum.Add(l)
		}
	}
	return sum
}

// Load returns all that is under way at a backend server.
func (b *Tracker) Load(id viewer.ServerID, now time.Time) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own(id, now).Add(b.heard(id, now))
}

func (b *Tracker) own(id viewer.ServerID, now time.Time) Load {
	a, found := b.accounts[id]
	if !found {
		return Load{}
	}
	b.drain(id, a, now)
	l := a.load
	l.Prefill = b.reading(id, a)
	return l
}

// Changed receives after changes to this entry's own loads.
func (b *Tracker) Changed() <-chan struct{} { return b.changed }

func (b *Tracker) note() {
	select {
	case b.changed <- struct{}{}:
	default: // whoever listens has yet to look
	}
}

// OwnLoads returns this entry's loads, without backend servers at which it has
// nothing under way.
func (b *Tracker) OwnLoads(now time.Time) map[viewer.ServerID]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := map[viewer.ServerID]Load{}
	for id, a := range b.accounts {
		if a.load.Running == 0 && a.load.HelperPrefills == 0 && a.load.ContextTokens == 0 {
			delete(b.accounts, id)
			continue
		}
		all[id] = b.own(id, now)
	}
	return all
}
