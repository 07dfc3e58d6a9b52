package screener

import (
	"context"
	"time"

	"bamboohill/core/quarantiner"
	"bamboohill/wire"
)

// Store keeps the blocked requests beyond the life of all processes.
type Store interface {
	// SaveSuspects writes the accusations against blocked requests, by fingerprint,
	// and removes what was written of others.
	SaveSuspects(ctx context.Context, blocked map[string][]*wire.Accusation, others []string) error
}

// lateWriteTime is the time after which a store no longer performs a write that it has not
// answered.
const lateWriteTime = 10 * time.Second

// Restore records the accusations that a store keeps against one request. If they
// don't block it anymore, the next Save removes them.
func (s *Screener) Restore(fingerprint string, accusations []*wire.Accusation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, a := range accusations {
		s.suspects.Record(a, now)
	}
	s.saved[fingerprint] = true
	switch s.suspects.Decide(fingerprint, now).Mode {
	case quarantiner.Allowed, quarantiner.Isolated:
		s.unsaved[fingerprint] = true
	case quarantiner.Blocked, quarantiner.Trial:
	}
}

// Save writes to a store what this process has changed since the last call: the
// accusations against requests that are now blocked, and the removal of those that
// it saved and that are not blocked anymore. It writes at most n requests. After an
// error, they are written by the next call, and once more after lateWriteTime.
func (s *Screener) Save(ctx context.Context, store Store, n int) error {
	blocked, others := s.takeUnsaved(n)
	if len(blocked)+len(others) == 0 {
		return nil
	}
	err := store.SaveSuspects(ctx, blocked, others)
	s.mu.Lock()
	defer s.mu.Unlock()
	repeat := func(f string) {
		s.unsaved[f] = true
		s.again[f] = s.now().Add(lateWriteTime)
	}
	for f := range blocked {
		s.saved[f] = true
		if err != nil {
			repeat(f)
		}
	}
	for _, f := range others {
		if err != nil {
			repeat(f)
		} else {
			delete(s.saved, f)
		}
	}
	return err
}

// ForgetSaved makes the next Save write all blocked requests that this process knows, and the
// next SaveEvidence its evidence, because the store may have lost them.
func (s *Screener) ForgetSaved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.evidenceChanged = len(s.evidence) > 0
	for _, a := range s.suspects.Accusations(now) {
		switch s.suspects.Decide(a.GetFingerprint(), now).Mode {
		case quarantiner.Blocked, quarantiner.Trial:
			s.unsaved[a.GetFingerprint()] = true
		case quarantiner.Allowed, quarantiner.Isolated:
		}
	}
}

// takeUnsaved returns at most n requests that this process has changed since they
// were saved, and forgets that.
func (s *Screener) takeUnsaved(n int) (blocked map[string][]*wire.Accusation, others []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for f, due := range s.again {
		if !now.Before(due) {
			delete(s.again, f)
			s.unsaved[f], s.saved[f] = true, true // the late write may have been that of a row
		}
	}
	blocked = map[string][]*wire.Accusation{}
	for f := range s.unsaved {
		if len(blocked)+len(others) == n {
			break
		}
		delete(s.unsaved, f)
		switch s.suspects.Decide(f, now).Mode {
		case quarantiner.Blocked, quarantiner.Trial:
			blocked[f] = s.suspects.AccusationsOf(f, now)
		case quarantiner.Allowed, quarantiner.Isolated:
			if s.saved[f] {
				others = append(others, f)
			}
		}
	}
	return blocked, others
}
