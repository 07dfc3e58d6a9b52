package screener

import (
	"slices"
	"strings"
	"time"

	"bamboohill/core/attributor"
	"bamboohill/core/quarantiner"
	"bamboohill/wire"
)

// partPrefix begins the fingerprint under which a part of prompts is suspected.
const partPrefix = "part/"

// PartFingerprint returns the fingerprint of a part of prompts, by its id.
func PartFingerprint(id string) string { return partPrefix + id }

// partOf returns the part that a fingerprint identifies, and whether it does.
func partOf(fingerprint string) (attributor.Part, bool) {
	id, found := strings.CutPrefix(fingerprint, partPrefix)
	return attributor.Part(id), found
}

// reportedCrashes is the number of crashes against a part from which other processes are
// told that it was served, before it may become a culprit.
const reportedCrashes = 3

// Served records that a request with the parts was served in an answer that began at the
// given time. The other processes are told if crashes count against a part.
func (s *Screener) Served(parts []string, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	all := make([]attributor.Part, len(parts))
	for i, id := range parts {
		all[i] = attributor.Part(id)
	}
	against := s.parts.CountAgainst(all, s.isConvictedPart)
	s.parts.RecordAnswer(all, began)
	s.evidenceChanged = s.evidenceChanged || len(s.evidence) > 0 && slices.ContainsFunc(against, func(n int) bool { return n > 0 })
	for i, id := range parts {
		cleared := &wire.Accusation{Fingerprint: PartFingerprint(id), Cleared: true}
		switch {
		case s.isBlockedPart(all[i]):
			s.suspects.Record(cleared, now)
			s.queue(cleared, now)
		case against[i] >= reportedCrashes:
			cleared.AgeMs = now.Sub(began).Milliseconds()
			s.queue(cleared, now)
		}
	}
}

// isBlockedPart reports whether requests with a part are refused or run as trials. The
// caller holds the lock.
func (s *Screener) isBlockedPart(p attributor.Part) bool {
	switch s.suspects.Decide(PartFingerprint(string(p)), s.now()).Mode {
	case quarantiner.Blocked, quarantiner.Trial:
		return true
	case quarantiner.Allowed, quarantiner.Isolated:
	}
	return false
}

// isConvictedPart reports whether a part is known to crash servers. The caller holds the
// lock.
func (s *Screener) isConvictedPart(p attributor.Part) bool {
	return s.suspects.Convicted(PartFingerprint(string(p)), s.now())
}

// splitParts moves the parts of an accusation that this process has seen served.
func (s *Screener) splitParts(a *wire.Accusation) {
	var unserved []string
	for _, id := range a.GetParts() {
		if _, found := s.parts.Served(attributor.Part(id)); found {
			a.ServedParts = append(a.ServedParts, id)
		} else {
			unserved = append(unserved, id)
		}
	}
	a.Parts = unserved
}

// attribute records the parts of an accusation, and accuses those that are found to crash
// servers. It queues what follows for the other processes if own is set: they are told by
// the processes that have seen the crash. The caller holds the lock.
func (s *Screener) attribute(a *wire.Accusation, own bool, now time.Time) {
	at := now.Add(-quarantiner.Age(a))
	if part, found := partOf(a.GetFingerprint()); found {
		s.recordPart(part, a, at, now)
		return
	}
	if a.GetCleared() || a.GetServer() == "" || len(a.GetParts())+len(a.GetServedParts()) == 0 {
		return
	}
	parts := make([]attributor.Part, 0, len(a.GetParts())+len(a.GetServedParts()))
	for _, id := range a.GetParts() {
		parts = append(parts, attributor.Part(id))
	}
	for _, id := range a.GetServedParts() {
		parts = append(parts, attributor.Part(id))
		if _, found := s.parts.Served(attributor.Part(id)); !found {
			s.parts.RecordServed(attributor.Part(id), time.Time{})
		}
	}
	crash := attributor.Crash{Run: attributor.Run{Server: a.GetServer(), Boot: a.GetBoot()}, At: at}
	if !s.parts.RecordCrash(crash, a.GetFingerprint(), parts, now) {
		return
	}
	for _, p := range parts {
		if s.isBlockedPart(p) {
			s.accusePart(&wire.Accusation{Trial: a.GetTrial(), Doubtful: true}, p, crash, own, now)
		}
	}
	for _, c := range s.parts.Culprits(crash.Run, s.isConvictedPart) {
		if s.isBlockedPart(c.Part) {
			continue // no answer with it was to be expected meanwhile
		}
		for _, k := range c.Crashes {
			s.accusePart(&wire.Accusation{Certain: c.Certain, Doubtful: !c.Certain}, c.Part, k, own, now)
		}
	}
}

// recordPart records an accusation against a part, or its clearance. If a request with
// the part was served here since the crash, the other processes are told.
func (s *Screener) recordPart(p attributor.Part, a *wire.Accusation, at, now time.Time) {
	if a.GetCleared() {
		s.parts.RecordServed(p, at)
		return
	}
	if a.GetServer() == "" {
		return
	}
	crash := attributor.Crash{Run: attributor.Run{Server: a.GetServer(), Boot: a.GetBoot()}, At: at}
	s.parts.RecordCrash(crash, a.GetFingerprint(), []attributor.Part{p}, now)
	if began, found := s.parts.Served(p); found && began.After(at) {
		cleared := &wire.Accusation{Fingerprint: a.GetFingerprint(), Cleared: true, AgeMs: now.Sub(began).Milliseconds()}
		s.suspects.Record(cleared, now)
		s.queue(cleared, now)
	}
}

// accusePart completes an accusation against a part and records it.
func (s *Screener) accusePart(a *wire.Accusation, p attributor.Part, crash attributor.Crash, own bool, now time.Time) {
	a.Fingerprint, a.Server, a.Boot, a.AgeMs = PartFingerprint(string(p)), crash.Server, crash.Boot, now.Sub(crash.At).Milliseconds()
	if s.suspects.Record(a, now) && own {
		s.queue(a, now)
	}
}

// DecideAny returns how a request with the given fingerprints, its own and those of its
// parts, may run now, and the fingerprint that decides it.
func (s *Screener) DecideAny(fingerprints []string) (quarantiner.Decision, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decideAny(fingerprints, s.now())
}

// decideAny returns the strictest decision. A request that would be a trial of several
// fingerprints is refused, as a crash would not tell which of them caused it.
func (s *Screener) decideAny(fingerprints []string, now time.Time) (quarantiner.Decision, string) {
	var strictest quarantiner.Decision
	decisive, trials := "", 0
	for _, f := range fingerprints {
		d := s.suspects.Decide(f, now)
		if d.Mode == quarantiner.Trial {
			trials++
		}
		if decisive == "" && d.Mode != quarantiner.Allowed || strictness(d.Mode) > strictness(strictest.Mode) {
			strictest, decisive = d, f
		}
	}
	if strictest.Mode == quarantiner.Trial && trials > 1 {
		strictest.Mode = quarantiner.Blocked
	}
	return strictest, decisive
}

// strictness orders modes.
func strictness(m quarantiner.Mode) int {
	switch m {
	case quarantiner.Blocked:
		return 3
	case quarantiner.Trial:
		return 2
	case quarantiner.Isolated:
		return 1
	case quarantiner.Allowed:
	}
	return 0
}

// AdmitAny is Admit for a request with several fingerprints. It also returns the one that
// decides.
func (s *Screener) AdmitAny(fingerprints []string) (quarantiner.Decision, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	d, f := s.decideAny(fingerprints, now)
	if d.Mode == quarantiner.Trial {
		s.beginTrial(f, now)
	}
	return d, f
}
