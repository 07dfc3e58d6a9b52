package screener

import (
	"context"
	"slices"
	"time"

	"bamboohill/core/attributor"
	"bamboohill/core/quarantiner"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// Limits of the evidence that is kept beyond the life of a process: the crashes under prompts
// whose parts may turn out to have caused them.
const (
	evidenceTime     = time.Minute // from a crash
	maxEvidence      = 512         // accusations
	maxEvidenceBytes = 32 << 10    // that are written, of the newest
)

// EvidenceStore keeps the evidence of each process beyond its life.
type EvidenceStore interface {
	// SaveEvidence replaces what this process has written.
	SaveEvidence(ctx context.Context, accusations []*wire.Accusation) error
	// LoadEvidence returns what this process has written, before its start, and what others
	// have.
	LoadEvidence(ctx context.Context) (own, others []*wire.Accusation, err error)
}

// evidence is an accusation of a server's crash, with the parts of a prompt.
type evidence struct {
	accusation *wire.Accusation
	recorded   time.Time
}

// keepEvidence keeps an accusation that this process has made, if it has parts. The caller
// holds the lock.
func (s *Screener) keepEvidence(a *wire.Accusation, now time.Time) {
	if a.GetCleared() || a.GetServer() == "" || len(a.GetParts())+len(a.GetServedParts()) == 0 {
		return
	}
	s.dropEvidence(now)
	s.evidence = append(s.evidence, evidence{accusation: a, recorded: now})
	s.evidenceChanged = true
}

// dropEvidence drops what is too old, and the oldest beyond maxEvidence. The caller holds the
// lock.
func (s *Screener) dropEvidence(now time.Time) {
	s.evidence = slices.DeleteFunc(s.evidence, func(e evidence) bool { return quarantiner.Age(e.accusation)+now.Sub(e.recorded) > evidenceTime })
	s.evidence = slices.Delete(s.evidence, 0, max(0, len(s.evidence)-maxEvidence))
}

// SaveEvidence writes to a store the crashes of the last minute that this process has
// accused prompts of, if there are new ones. After an error, the next call writes them.
func (s *Screener) SaveEvidence(ctx context.Context, store EvidenceStore) error {
	all := s.takeEvidence()
	if len(all) == 0 {
		return nil
	}
	err := store.SaveEvidence(ctx, all)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.evidenceChanged = true
	}
	return err
}

// takeEvidence returns the newest evidence, oldest first, or nothing if it has not changed.
func (s *Screener) takeEvidence() []*wire.Accusation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.dropEvidence(now)
	if !s.evidenceChanged {
		return nil
	}
	s.evidenceChanged = false
	var all []*wire.Accusation
	size := 0
	for _, e := range slices.Backward(s.evidence) {
		a := withAge(e.accusation, now.Sub(e.recorded))
		s.updateParts(a, now)
		if len(a.GetParts())+len(a.GetServedParts()) == 0 {
			continue
		}
		if size += proto.Size(a); size > maxEvidenceBytes {
			break
		}
		all = append(all, a)
	}
	slices.Reverse(all)
	return all
}

// updateParts leaves out the parts of an accusation that have been served since the crash, and
// moves those that have been served before it. The caller holds the lock.
func (s *Screener) updateParts(a *wire.Accusation, now time.Time) {
	at := now.Add(-quarantiner.Age(a))
	all := slices.Concat(a.GetParts(), a.GetServedParts())
	a.Parts, a.ServedParts = nil, nil
	for _, id := range all {
		began, found := s.parts.Served(attributor.Part(id))
		switch {
		case found && began.After(at):
		case found:
			a.ServedParts = append(a.ServedParts, id)
		default:
			a.Parts = append(a.Parts, id)
		}
	}
}

// LoadEvidence records the crashes of the last minute that processes have written to a store.
func (s *Screener) LoadEvidence(ctx context.Context, store EvidenceStore) error {
	own, others, err := store.LoadEvidence(ctx)
	if err != nil {
		return err
	}
	for _, a := range slices.Concat(own, others) {
		if quarantiner.Age(a) <= evidenceTime {
			s.Record(a)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range own {
		s.keepEvidence(a, s.now())
	}
	return nil
}
