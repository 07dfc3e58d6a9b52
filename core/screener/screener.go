// Package screener holds the suspected requests of one process. Entries query it
// before each attempt, sidecars before they admit a proposal; both forward its
// accusations to other processes.
//
// # Usage
//
//	s := screener.New(screener.Config{})
//	s.Record(accusation) // received from another process
//	s.Accuse(accusation) // made by this one; Urgent returns it
//	s.Pardon(state) // after each change of the configuration
//	v := s.Decide(fingerprint)
package screener

import (
	"slices"
	"sync"
	"time"

	"bamboohill/core/attributor"
	"bamboohill/core/keeper"
	"bamboohill/core/quarantiner"
	"bamboohill/wire"
)

// expiryInterval is the shortest time between two removals of expired suspects.
const expiryInterval = time.Minute

// Config configures a Screener. Now is the clock, time.Now if nil. Process is a
// number that differs between processes; it is needed if there are trials. Blocked, if
// not nil, is called when a fingerprint becomes blocked.
type Config struct {
	Quarantiner quarantiner.Config
	Process     uint64
	Now         func() time.Time
	Blocked     func(fingerprint string)
}

// Screener holds the suspects of one process. It is safe for concurrent use.
type Screener struct {
	now       func() time.Time
	process   uint64
	onBlocked func(fingerprint string)

	mu            sync.Mutex
	suspects      *quarantiner.Quarantiner
	parts         *attributor.Attributor
	pardoned      map[string]uint64 // version of the newest pardon row applied, by fingerprint
	lastExpiry    time.Time
	outbox        []urgent
	cursor        cursor // of accusations against isolated requests
	blockedCursor cursor
	unsaved       map[string]bool      // fingerprints that this process has changed
	saved         map[string]bool      // fingerprints that it has saved as blocked
	again         map[string]time.Time // when fingerprints are saved again whose write may be performed late
	changed       chan struct{}

	evidence        []evidence // of this process, oldest first
	evidenceChanged bool       // since it was saved
}

// New returns a Screener without suspects.
func New(config Config) *Screener {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Screener{
		now: config.Now, process: config.Process, onBlocked: config.Blocked, suspects: quarantiner.New(config.Quarantiner), parts: attributor.New(), pardoned: map[string]uint64{}, changed: make(chan struct{}, 1),
		unsaved: map[string]bool{}, again: map[string]time.Time{}, saved: map[string]bool{},
	}
}

// Record adds an accusation or a clearance of another process and reports whether
// it was new.
func (s *Screener) Record(accusation *wire.Accusation) bool {
	s.mu.Lock()
	now := s.now()
	before := s.blocked(accusation, now)
	isNew := s.suspects.Record(accusation, now)
	s.attribute(accusation, false, now)
	after := s.blocked(accusation, now)
	s.mu.Unlock()
	s.reportBlocked(before, after)
	return isNew
}

// blocked returns the fingerprints among that of an accusation and those of its parts
// that are blocked. The caller holds the lock.
func (s *Screener) blocked(a *wire.Accusation, now time.Time) map[string]bool {
	if s.onBlocked == nil {
		return nil
	}
	all := map[string]bool{}
	check := func(f string) {
		if s.suspects.Decide(f, now).Mode == quarantiner.Blocked {
			all[f] = true
		}
	}
	check(a.GetFingerprint())
	for _, id := range slices.Concat(a.GetParts(), a.GetServedParts()) {
		check(PartFingerprint(id))
	}
	return all
}

// reportBlocked calls the hook for the fingerprints that have become blocked.
func (s *Screener) reportBlocked(before, after map[string]bool) {
	for f := range after {
		if !before[f] {
			s.onBlocked(f)
		}
	}
}

// Empty reports whether there is no suspect.
func (s *Screener) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Len() == 0
}

// Decide returns how a request may run now.
func (s *Screener) Decide(fingerprint string) quarantiner.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Decide(fingerprint, s.now())
}

// Admit returns how a request may run now, as Decide does. If the mode is Trial, it
// records that this process begins a trial, so that no other copy of the request is
// admitted here, and Urgent returns the trial. The request may run if ConfirmTrial
// reports so after the other processes had time to do the same.
func (s *Screener) Admit(fingerprint string) quarantiner.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	d := s.suspects.Decide(fingerprint, now)
	if d.Mode == quarantiner.Trial {
		s.beginTrial(fingerprint, now)
	}
	return d
}

// beginTrial records that this process begins a trial. The caller holds the lock.
func (s *Screener) beginTrial(fingerprint string, now time.Time) {
	trial := &wire.Accusation{Fingerprint: fingerprint, Trial: true, Boot: s.process}
	s.suspects.Record(trial, now)
	s.queue(trial, now)
}

// ConfirmTrial reports whether this process is the one of those that began a trial at
// the same time that runs it.
func (s *Screener) ConfirmTrial(fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Wins(fingerprint, s.process)
}

// Accusations returns every accusation that still isolates or blocks a request.
// The replies to heartbeats contain them.
func (s *Screener) Accusations() []*wire.Accusation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.lastExpiry) > expiryInterval {
		s.lastExpiry = now
		s.suspects.Expire(now)
	}
	return s.suspects.Accusations(now)
}

// AccusationsFor returns the accusations of one fingerprint that still isolate or
// block it.
func (s *Screener) AccusationsFor(fingerprint string) []*wire.Accusation {
	var known []*wire.Accusation
	for _, m := range s.Accusations() {
		if m.GetFingerprint() == fingerprint {
			known = append(known, m)
		}
	}
	return known
}

// Missing returns the accusations of this process that still isolate or block a
// request and that the list of another process lacks.
func (s *Screener) Missing(theirs []*wire.Accusation) []*wire.Accusation {
	type key struct {
		fingerprint, server string
		boot                uint64
	}
	known := map[key]bool{}
	for _, t := range theirs {
		known[key{t.GetFingerprint(), t.GetServer(), t.GetBoot()}] = true
	}
	var missing []*wire.Accusation
	for _, m := range s.Accusations() {
		if !known[key{m.GetFingerprint(), m.GetServer(), m.GetBoot()}] {
			missing = append(missing, m)
		}
	}
	return missing
}

// Pardon clears the fingerprints that the operators pardoned since the last call
// and returns them. Each version of a row is applied once, so a pardoned request
// that crashes backend servers again becomes a suspect again.
func (s *Screener) Pardon(state *keeper.State) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pardoned []string
	for _, row := range state.Rows(keeper.KindPardon) {
		f := row.GetRecord().GetPardon().GetFingerprint()
		if s.pardoned[f] >= row.GetVersion() {
			continue
		}
		s.pardoned[f] = row.GetVersion()
		s.suspects.Pardon(f, s.now())
		pardoned = append(pardoned, f)
	}
	return pardoned
}
