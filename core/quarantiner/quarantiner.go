// Package quarantiner finds the requests that crash backend servers. A backend
// server that dies makes a suspect of each request that was in it. A suspect
// runs again only alone, at one place that all entries find by hashing; a
// second crash convicts it, and it is refused for a while however often and
// through whichever entry it is sent. One that finishes alone is cleared.
//
// The package is pure: the clock is passed in, spreading what is heard is the
// caller's business. Entries that heard the same accusations, in any order and
// any number of times, judge alike.
//
// # Usage
//
//	c := quarantiner.New(quarantiner.Config{})
//	c.Hear(accusation, now)
//	switch v := c.Judge(fingerprint, now); v.Ruling {
//	case quarantiner.Free: ...
//	case quarantiner.Alone: place, found := quarantiner.Place(fingerprint, servers)
//	case quarantiner.Convicted: ... until v.Until
//	}
package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"

	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
)

// Mode is what may be done with a request.
type Mode int

// Rulings.
const (
	Allowed  Mode = iota // runs like any other
	Isolated             // runs only alone, at its place
	Blocked              // is refused
)

// Decision is a ruling and when it ends.
type Decision struct {
	Mode  Mode
	Until time.Time // zero if Free
}

// BlockedError refuses a convicted request.
type BlockedError struct {
	Fingerprint string
	RetryAfter  time.Duration // until the conviction ends
}

// Error implements error.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("quarantiner: request %s crashed two backend servers", e.Fingerprint)
}

// Defaults of Config.
const (
	defaultIsolationTime = 10 * time.Minute
	defaultBlockTime     = time.Hour
	defaultMaxSuspects   = 4096
)

// crashesToBlock is how many crashes of different engines convict.
const crashesToBlock = 2

// serversPerIsolation is how many backend servers share one place of solo runs.
const serversPerIsolation = 16

// Config describes a Convictor. Zero values mean ten minutes, one hour and
// 4096 suspects.
type Config struct {
	IsolationTime time.Duration // from the last crash until a suspect is forgotten
	BlockTime     time.Duration // from the last crash until a convict is forgotten
	MaxSuspects   int           // suspects held; the oldest make room
}

// crash names one death of one engine.
type crash struct {
	server string
	boot   uint64
}

// suspect is what is known of one fingerprint.
type suspect struct {
	crashes  map[crash]time.Time
	cleared  time.Time // a lone crash up to then doesn't count
	pardoned time.Time // crashes up to then were never there
	last     time.Time // of the newest crash or pardon
}

// Quarantiner holds the suspects. It is not safe for concurrent use.
type Quarantiner struct {
	config   Config
	suspects map[string]*suspect
}

// New returns a quarantiner that suspects nobody.
func New(config Config) *Quarantiner {
	if config.IsolationTime <= 0 {
		config.IsolationTime = defaultIsolationTime
	}
	if config.BlockTime <= 0 {
		config.BlockTime = defaultBlockTime
	}
	if config.MaxSuspects <= 0 {
		config.MaxSuspects = defaultMaxSuspects
	}
	return &Quarantiner{config: config, suspects: map[string]*suspect{}}
}

// Fingerprint names the request of an account with the SHA-256 of a body. The
// account is part of it, so that no account can bring another under suspicion
// by sending the same text.
func Fingerprint(account string, hash []byte) string {
	d := sha256.New()
	fmt.Fprintf(d, "%d %s ", len(account), account)
	d.Write(hash)
	return hex.EncodeToString(d.Sum(nil)[:16])
}

// Record takes an accusation, a clearance or a repetition of either and reports
// whether it was news. Its age says how long before now it was made; what has
// expired by then is passed over.
func (c *Quarantiner) Record(a *wire.Accusation, now time.Time) bool {
	at := now.Add(-time.Duration(a.GetAgeMs()) * time.Millisecond)
	if a.GetFingerprint() == "" || !now.Before(at.Add(c.config.BlockTime)) {
		return false
	}
	s, found := c.suspects[a.GetFingerprint()]
	if !found {
		if a.GetCleared() {
			return false
		}
		c.makeRoom(now)
		s = &suspect{crashes: map[crash]time.Time{}}
		c.suspects[a.GetFingerprint()] = s
	}
	if a.GetCleared() {
		return s.clear(at)
	}
	return s.addCrash(a, at)
}

func (s *suspect) addCrash(a *wire.Accusation, at time.Time) bool {
	k := crash{server: a.GetServer(), boot: a.GetBoot()}
	_, known := s.crashes[k]
	if known || !at.After(s.pardoned) {
		return false
	}
	s.crashes[k] = at
	if at.After(s.last) {
		s.last = at
	}
	return at.After(s.cleared)
}

// clear forgets a lone crash: the request has since finished alone. A convict
// is not cleared by a run that began before its second crash.
func (s *suspect) clear(at time.Time) bool {
	if len(s.crashes) >= crashesToBlock || !at.After(s.cleared) {
		return false
	}
	s.cleared = at
	return true
}

// Decide says what may be done with a request now.
func (c *Quarantiner) Decide(fingerprint string, now time.Time) Decision {
	s, found := c.suspects[fingerprint]
	if !found {
		return Decision{}
	}
	v := c.decide(s)
	if !now.Before(v.Until) {
		return Decision{}
	}
	return v
}

func (c *Quarantiner) decide(s *suspect) Decision {
	switch {
	case len(s.crashes) >= crashesToBlock:
		return Decision{Mode: Blocked, Until: s.last.Add(c.config.BlockTime)}
	case len(s.crashes) == 0 || !s.last.After(s.cleared):
		return Decision{}
	}
	return Decision{Mode: Isolated, Until: s.last.Add(c.config.IsolationTime)}
}

// Pardon says that a fingerprint may run again: the operators will have it so.
// Accusations of crashes before the pardon, which others may still spread, are
// passed over from then on.
func (c *Quarantiner) Pardon(fingerprint string, now time.Time) {
	s, found := c.suspects[fingerprint]
	if !found {
		c.makeRoom(now)
		s = &suspect{}
		c.suspects[fingerprint] = s
	}
	*s = suspect{crashes: map[crash]time.Time{}, pardoned: now, last: now}
}

// Expire forgets the fingerprints of which nothing was heard for as long as a
// conviction lasts.
func (c *Quarantiner) Expire(now time.Time) {
	maps.DeleteFunc(c.suspects, func(_ string, s *suspect) bool { return !now.Before(s.last.Add(c.config.BlockTime)) })
}

// makeRoom forgets the oldest suspect when the most are held.
func (c *Quarantiner) makeRoom(now time.Time) {
	if len(c.suspects) < c.config.MaxSuspects {
		return
	}
	c.Expire(now)
	for len(c.suspects) >= c.config.MaxSuspects {
		oldest := ""
		for f, s := range c.suspects {
			if oldest == "" || s.last.Before(c.suspects[oldest].last) {
				oldest = f
			}
		}
		delete(c.suspects, oldest)
	}
}

// Accusations returns every accusation still in force, with its age, in order of
// fingerprint: hearing them brings another quarantiner to the same judgements.
func (c *Quarantiner) Accusations(now time.Time) []*wire.Accusation {
	var all []*wire.Accusation
	for _, f := range slices.Sorted(maps.Keys(c.suspects)) {
		s := c.suspects[f]
		if v := c.decide(s); v.Mode == Allowed || !now.Before(v.Until) {
			continue
		}
		for k, at := range s.crashes {
			all = append(all, &wire.Accusation{Fingerprint: f, Server: k.server, Boot: k.boot, AgeMs: now.Sub(at).Milliseconds()})
		}
	}
	return all
}

// ServerFor returns the backend server at which a suspect runs alone, among those
// that could run it: rendezvous hashing spreads the suspects of the fleet over
// one place for each sixteen backend servers, and one suspect has one place.
// It reports false if there is no server.
func ServerFor(fingerprint string, servers []string) (string, bool) {
	if len(servers) == 0 {
		return "", false
	}
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b string) int {
		x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	places := uint64(1 + (len(ranked)-1)/serversPerIsolation)
	return ranked[xxhash.Sum64String(fingerprint)%places], true
}
