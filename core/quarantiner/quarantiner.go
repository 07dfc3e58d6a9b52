package quarantiner

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"

	"bamboohill/wire"
)

// Mode says how a request may run.
type Mode int

// Values of Mode.
const (
	Allowed  Mode = iota // runs without restriction
	Isolated             // runs only alone, on the server that ServerFor returns
	Blocked              // is refused
	Trial                // runs once, if the trial has been recorded and Wins
)

// Decision is a mode and when it ends.
type Decision struct {
	Mode  Mode
	Until time.Time // zero if Mode is Allowed
}

// BlockedError reports that a request is blocked.
type BlockedError struct {
	Fingerprint string
	RetryAfter  time.Duration // until the request is no longer blocked
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

// crashesToBlock is the number of crashes of different engines after which a
// request is blocked.
const crashesToBlock = 2

// certainCrashes is the number of crashes from which one failed trial is enough, and none
// is needed if the cause is certain.
const certainCrashes = 5

// doubtfulTime is the time from the last crash for which a request is blocked if the cause
// of all its crashes is doubtful.
const doubtfulTime = time.Minute

// Config configures a Quarantiner. Zero values mean ten minutes, one hour, 4096
// suspects and no trials.
type Config struct {
	IsolationTime time.Duration // from the last crash until a suspect is no longer isolated
	BlockTime     time.Duration // from the last crash until a request is no longer blocked
	MaxSuspects   int           // fingerprints held; beyond it the oldest is dropped
	// TrialInterval is the time from the last crash, or the last trial, until a
	// blocked request runs once more, at first. It must exceed the time to confirm a
	// crash and to tell all processes. Zero means that a blocked request never runs.
	TrialInterval time.Duration
}

// crash identifies one crash of one engine.
type crash struct {
	server string
	boot   uint64
}

// report is what is known of a crash under a request.
type report struct {
	at       time.Time
	trial    bool // a trial was running
	certain  bool // the request is the cause
	doubtful bool // it may well not be
}

func (k crash) compare(other crash) int {
	return cmp.Or(cmp.Compare(k.server, other.server), cmp.Compare(k.boot, other.boot))
}

// suspect is the state of one fingerprint.
type suspect struct {
	crashes  map[crash]report
	cleared  time.Time // a single crash at or before this time is ignored; with trials, any crash
	trials   []trial   // oldest first
	pardoned time.Time // all crashes at or before this time are ignored
	last     time.Time // of the newest crash or pardon
}

// Quarantiner holds the suspects. It is not safe for concurrent use.
type Quarantiner struct {
	config   Config
	suspects map[string]*suspect
}

// New returns a Quarantiner without suspects.
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

// Fingerprint identifies a request by the name of its account and the SHA-256
// hash of its body. The account is included so that an account cannot make the
// requests of another one suspect by sending the same text.
func Fingerprint(account string, hash []byte) string {
	d := sha256.New()
	fmt.Fprintf(d, "%d %s ", len(account), account)
	d.Write(hash)
	return hex.EncodeToString(d.Sum(nil)[:16])
}

// maxAge bounds Age, far beyond the time for which anything is blocked.
const maxAge = 30 * 24 * time.Hour

// Age returns the age of an accusation: from 0 to 30 days, whatever it says.
func Age(a *wire.Accusation) time.Duration {
	return time.Duration(min(max(0, a.GetAgeMs()), maxAge.Milliseconds())) * time.Millisecond
}

// Record adds an accusation, a clearance or a trial and reports whether it was new
// and not outdated by a later clearance or pardon. The age of the accusation is
// the time from the event to now. An accusation whose age is BlockTime or more is
// ignored.
func (c *Quarantiner) Record(a *wire.Accusation, now time.Time) bool {
	at := now.Add(-Age(a))
	if a.GetFingerprint() == "" || !now.Before(at.Add(c.config.BlockTime)) {
		return false
	}
	s, found := c.suspects[a.GetFingerprint()]
	if !found {
		if a.GetCleared() || a.GetServer() == "" {
			return false
		}
		c.makeRoom(now)
		s = &suspect{crashes: map[crash]report{}}
		c.suspects[a.GetFingerprint()] = s
	}
	switch {
	case a.GetCleared():
		return c.clear(s, at)
	case a.GetTrial() && a.GetServer() == "":
		return s.addTrial(trial{at: at, claimant: a.GetBoot()})
	}
	return s.addCrash(a, at)
}

func (s *suspect) addCrash(a *wire.Accusation, at time.Time) bool {
	k := crash{server: a.GetServer(), boot: a.GetBoot()}
	old, known := s.crashes[k]
	if known && a.GetCertain() && !old.certain {
		old.certain, old.doubtful = true, false
		s.crashes[k] = old
		return true
	}
	if known || !at.After(s.pardoned) {
		return false
	}
	s.crashes[k] = report{at: at, trial: a.GetTrial(), certain: a.GetCertain(), doubtful: a.GetDoubtful()}
	if at.After(s.last) {
		s.last = at
	}
	return at.After(s.cleared)
}

// clear makes crashes ignored, because the request has since finished, and reports
// whether there were any. Without trials, a blocked request is not cleared by a run
// that began before its second crash.
func (c *Quarantiner) clear(s *suspect, at time.Time) bool {
	if !at.After(s.cleared) {
		return false
	}
	if c.config.TrialInterval <= 0 {
		if len(s.crashes) >= crashesToBlock {
			return false
		}
		s.cleared = at
		return true
	}
	before := c.count(s)
	s.cleared = at
	return c.count(s) < before
}

// count returns the number of crashes that count towards blocking.
func (c *Quarantiner) count(s *suspect) int {
	if c.config.TrialInterval <= 0 {
		return len(s.crashes)
	}
	n := 0
	for _, r := range s.crashes {
		if r.at.After(s.cleared) {
			n++
		}
	}
	return n
}

// certain reports whether the request is known to be the cause of a crash.
func (s *suspect) certain() bool {
	for _, r := range s.crashes {
		if r.certain {
			return true
		}
	}
	return false
}

// doubtful reports whether the cause of all crashes is doubtful and no trials have shown
// it.
func (s *suspect) doubtful() bool {
	for _, r := range s.crashes {
		if !r.doubtful && !r.trial {
			return false
		}
	}
	return s.failedTrials() < maxFailedTrials
}

// Convicted reports whether a request is blocked and its cause is not doubtful.
func (c *Quarantiner) Convicted(fingerprint string, now time.Time) bool {
	s, found := c.suspects[fingerprint]
	if !found {
		return false
	}
	v := c.decide(s)
	return v.Mode == Blocked && now.Before(v.Until) && !s.doubtful()
}

// Len returns the number of fingerprints held.
func (c *Quarantiner) Len() int { return len(c.suspects) }

// Decide returns how a request may run now.
func (c *Quarantiner) Decide(fingerprint string, now time.Time) Decision {
	s, found := c.suspects[fingerprint]
	if !found {
		return Decision{}
	}
	v := c.decide(s)
	if !now.Before(v.Until) {
		return Decision{}
	}
	if v.Mode == Blocked && c.config.TrialInterval > 0 && c.mayTry(s) {
		next := c.nextTrial(s)
		if !now.Before(next) {
			return Decision{Mode: Trial, Until: v.Until}
		}
		v.Until = next
	}
	return v
}

func (c *Quarantiner) decide(s *suspect) Decision {
	n := c.count(s)
	switch {
	case n >= crashesToBlock && s.doubtful():
		return Decision{Mode: Blocked, Until: s.last.Add(min(doubtfulTime, c.config.BlockTime))}
	case n >= crashesToBlock:
		return Decision{Mode: Blocked, Until: s.last.Add(c.config.BlockTime)}
	case n == 0 || !s.last.After(s.cleared):
		return Decision{}
	}
	return Decision{Mode: Isolated, Until: s.last.Add(c.config.IsolationTime)}
}

// Pardon allows a fingerprint to run again, on request of the operators.
// Accusations of crashes before the pardon, which other processes may still
// send, are ignored from then on.
func (c *Quarantiner) Pardon(fingerprint string, now time.Time) {
	s, found := c.suspects[fingerprint]
	if !found {
		c.makeRoom(now)
		s = &suspect{}
		c.suspects[fingerprint] = s
	}
	*s = suspect{crashes: map[crash]report{}, pardoned: now, last: now}
}

// Expire drops the fingerprints whose newest crash or pardon is at least
// BlockTime old.
func (c *Quarantiner) Expire(now time.Time) {
	maps.DeleteFunc(c.suspects, func(_ string, s *suspect) bool { return !now.Before(s.last.Add(c.config.BlockTime)) })
}

// makeRoom drops suspects while MaxSuspects are held: the oldest that are not
// blocked, then the oldest.
func (c *Quarantiner) makeRoom(now time.Time) {
	if len(c.suspects) < c.config.MaxSuspects {
		return
	}
	c.Expire(now)
	for len(c.suspects) >= c.config.MaxSuspects {
		oldest, oldestBlocked := "", false
		for f, s := range c.suspects {
			blocked := c.count(s) >= crashesToBlock
			if oldest == "" || oldestBlocked && !blocked || blocked == oldestBlocked && s.last.Before(c.suspects[oldest].last) {
				oldest, oldestBlocked = f, blocked
			}
		}
		delete(c.suspects, oldest)
	}
}

// Accusations returns every accusation that still isolates or blocks a request,
// with its age, in order of fingerprint, server and boot. If there are trials, these
// and the newest clearance follow the crashes of each request. Another Quarantiner
// that records them reaches the same decisions.
func (c *Quarantiner) Accusations(now time.Time) []*wire.Accusation {
	var all []*wire.Accusation
	for _, f := range slices.Sorted(maps.Keys(c.suspects)) {
		all = append(all, c.AccusationsOf(f, now)...)
	}
	return all
}

// AccusationsOf returns what Accusations returns of one fingerprint.
func (c *Quarantiner) AccusationsOf(fingerprint string, now time.Time) []*wire.Accusation {
	s, found := c.suspects[fingerprint]
	if !found {
		return nil
	}
	if v := c.decide(s); v.Mode == Allowed || !now.Before(v.Until) {
		return nil
	}
	var all []*wire.Accusation
	add := func(a *wire.Accusation, at time.Time) {
		a.Fingerprint, a.AgeMs = fingerprint, now.Sub(at).Milliseconds()
		all = append(all, a)
	}
	for _, k := range slices.SortedFunc(maps.Keys(s.crashes), crash.compare) {
		r := s.crashes[k]
		add(&wire.Accusation{Server: k.server, Boot: k.boot, Trial: r.trial, Certain: r.certain, Doubtful: r.doubtful}, r.at)
	}
	if c.config.TrialInterval <= 0 {
		return all
	}
	if !s.cleared.IsZero() {
		add(&wire.Accusation{Cleared: true}, s.cleared)
	}
	for _, t := range s.trials {
		add(&wire.Accusation{Trial: true, Boot: t.claimant}, t.at)
	}
	return all
}
