// Package screener holds what one process knows of crash suspects. Entries ask
// it before each attempt, sidecars at the gate; both pass on what it holds.
//
// # Usage
//
//	a := screener.New(screener.Config{})
//	a.Hear(accusation)
//	a.Pardon(state) // after each change of the configuration
//	v := a.Judge(fingerprint)
package screener

import (
	"sync"
	"time"

	"bamboohill/core/keeper"
	"bamboohill/core/quarantiner"
	"bamboohill/wire"
)

// expireEvery is how often what has expired is forgotten.
const expireEvery = time.Minute

// Config describes an Accuser. Now is the clock, time.Now if nil.
type Config struct {
	Quarantiner quarantiner.Config
	Now         func() time.Time
}

// Screener owns the suspects of one process. It is safe for concurrent use.
type Screener struct {
	now func() time.Time

	mu       sync.Mutex
	suspects *quarantiner.Quarantiner
	pardoned map[string]uint64 // fingerprint to the row version acted on
	expired  time.Time
}

// New returns an screener that suspects nobody.
func New(config Config) *Screener {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Screener{now: config.Now, suspects: quarantiner.New(config.Quarantiner), pardoned: map[string]uint64{}}
}

// Hear takes an accusation or a clearance and reports whether it was news.
func (a *Screener) Record(accusation *wire.Accusation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.suspects.Record(accusation, a.now())
}

// Decide says what may be done with a request now.
func (a *Screener) Decide(fingerprint string) quarantiner.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.suspects.Decide(fingerprint, a.now())
}

// Suspects returns every accusation in force, for the answers to heartbeats.
func (a *Screener) Accusations() []*wire.Accusation {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if now.Sub(a.expired) > expireEvery {
		a.expired = now
		a.suspects.Expire(now)
	}
	return a.suspects.Accusations(now)
}

// AccusationsFor returns the accusations in force against one fingerprint.
func (a *Screener) AccusationsFor(fingerprint string) []*wire.Accusation {
	var known []*wire.Accusation
	for _, m := range a.Accusations() {
		if m.GetFingerprint() == fingerprint {
			known = append(known, m)
		}
	}
	return known
}

// Missing returns the accusations in force here that a list of another process
// lacks: what that process has yet to hear.
func (a *Screener) Missing(theirs []*wire.Accusation) []*wire.Accusation {
	type key struct {
		fingerprint, server string
		boot                uint64
	}
	known := map[key]bool{}
	for _, t := range theirs {
		known[key{t.GetFingerprint(), t.GetServer(), t.GetBoot()}] = true
	}
	var missing []*wire.Accusation
	for _, m := range a.Accusations() {
		if !known[key{m.GetFingerprint(), m.GetServer(), m.GetBoot()}] {
			missing = append(missing, m)
		}
	}
	return missing
}

// Pardon clears the fingerprints that the operators pardoned since it was last
// called, and returns them. A row acts once for each version: a pardoned request
// that crashes backend servers again is suspected again.
func (a *Screener) Pardon(state *keeper.State) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var pardoned []string
	for _, row := range state.Rows(keeper.KindPardon) {
		f := row.GetRecord().GetPardon().GetFingerprint()
		if a.pardoned[f] >= row.GetVersion() {
			continue
		}
		a.pardoned[f] = row.GetVersion()
		a.suspects.Pardon(f, a.now())
		pardoned = append(pardoned, f)
	}
	return pardoned
}
