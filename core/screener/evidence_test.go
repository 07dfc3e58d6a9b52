package screener_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"bamboohill/core/quarantiner"
	"bamboohill/core/screener"
	"bamboohill/wire"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// evidenceRows is a store of evidence, by process. The ages that it returns are those of the
// time at which they are read.
type evidenceRows struct {
	rows    map[string][]*wire.Accusation
	written map[string]time.Time
	now     *time.Time
	err     error
}

// as is the store as one process sees it.
type as struct {
	*evidenceRows
	name string
}

// SaveEvidence implements screener.EvidenceStore.
func (a as) SaveEvidence(_ context.Context, accusations []*wire.Accusation) error {
	if a.err == nil {
		a.rows[a.name], a.written[a.name] = accusations, *a.now
	}
	return a.err
}

// LoadEvidence implements screener.EvidenceStore.
func (a as) LoadEvidence(context.Context) (own, others []*wire.Accusation, err error) {
	for name, all := range a.rows {
		for _, one := range all {
			one = proto.CloneOf(one)
			one.AgeMs += a.now.Sub(a.written[name]).Milliseconds()
			if name == a.name {
				own = append(own, one)
			} else {
				others = append(others, one)
			}
		}
	}
	return own, others, a.err
}

// TestEvidenceOutlivesProcesses guards against crashes under a part that are forgotten when all
// processes are killed before they have blocked it, so that as many servers crash again.
func TestEvidenceOutlivesProcesses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	store := &evidenceRows{rows: map[string][]*wire.Accusation{}, written: map[string]time.Time{}, now: &now}
	start := func() *screener.Screener {
		return screener.New(screener.Config{Now: func() time.Time { return now }, Quarantiner: quarantiner.Config{TrialInterval: 10 * time.Second}})
	}
	crashes := 0
	crash := func(s *screener.Screener, parts ...string) {
		crashes++
		s.Accuse(&wire.Accusation{Fingerprint: fmt.Sprint("r", crashes), Server: fmt.Sprint("i-", crashes), Parts: parts})
	}
	mode := func(s *screener.Screener) quarantiner.Mode {
		d, _ := s.DecideAny([]string{"another request", screener.PartFingerprint("bad")})
		return d.Mode
	}
	first, second := start(), start()
	for range 2 { // quiet processes: nothing tells that the part should have been served
		crash(first, "sys", "bad")
		crash(second, "other", "bad")
		now = now.Add(2 * time.Second)
	}
	store.err = errors.New("unavailable")
	is.True(first.SaveEvidence(t.Context(), as{store, "first"}) != nil)
	store.err = nil
	for range 2 { // the second call has nothing new to write
		is.NoErr(first.SaveEvidence(t.Context(), as{store, "first"}))
		is.NoErr(second.SaveEvidence(t.Context(), as{store, "second"}))
		is.Equal(len(store.rows), 2)
		now = now.Add(time.Second)
	}
	is.Equal(store.written["first"], now.Add(-2*time.Second))
	is.Equal(mode(first), quarantiner.Allowed)

	first, second = start(), start() // all were killed
	is.NoErr(first.LoadEvidence(t.Context(), as{store, "first"}))
	is.NoErr(second.LoadEvidence(t.Context(), as{store, "second"}))
	crash(first, "sys", "bad")
	is.Equal(mode(first), quarantiner.Blocked) // the fifth
	is.NoErr(first.SaveEvidence(t.Context(), as{store, "first"}))
	is.Equal(len(store.rows["first"]), 3) // what it wrote before it was killed is not lost

	now = now.Add(time.Minute)
	late := start()
	is.NoErr(late.LoadEvidence(t.Context(), as{store, "third"}))
	is.Equal(mode(late), quarantiner.Allowed) // too old
}

// TestEvidenceIsBounded checks that a row of the store can take the evidence of prompts with
// very many parts, and that it is the newest.
func TestEvidenceIsBounded(t *testing.T) {
	const rowBytes = 64 << 10
	is := is.New(t)
	now := time.Unix(1000, 0)
	store := &evidenceRows{rows: map[string][]*wire.Accusation{}, written: map[string]time.Time{}, now: &now}
	s := screener.New(screener.Config{Now: func() time.Time { return now }})
	for i := range 100 {
		s.Accuse(&wire.Accusation{Fingerprint: fmt.Sprint("r", i), Server: fmt.Sprint("i-", i), Parts: strings.Split(strings.Repeat("part,", 1000), ",")})
		now = now.Add(100 * time.Millisecond)
	}
	is.NoErr(s.SaveEvidence(t.Context(), as{store, "first"}))
	all := store.rows["first"]
	is.True(len(all) > 0)
	is.True(proto.Size(&wire.Suspect{Accusations: all}) < rowBytes)
	is.Equal(all[len(all)-1].GetFingerprint(), "r99")
}
