package screener_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bamboohill/core/quarantiner"
	"bamboohill/core/screener"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// rows is a screener.Store that keeps what is saved.
type rows map[string][]*wire.Accusation

// SaveSuspects implements screener.Store.
func (r rows) SaveSuspects(_ context.Context, blocked map[string][]*wire.Accusation, _ []string) error {
	for f, accusations := range blocked {
		r[f] = accusations
	}
	return nil
}

// accusePart lets a process see three crashes under requests that share the part bad.
func accusePart(s *screener.Screener, now *time.Time) {
	for range 10 {
		s.Served([]string{"sys"}, *now)
	}
	for i := range 3 {
		*now = now.Add(time.Second)
		s.Accuse(&wire.Accusation{Fingerprint: fmt.Sprint("request ", i), Server: fmt.Sprint("i-", i), Parts: []string{"sys", "bad"}})
	}
}

// TestBlockedPart checks that the verdict on a part reaches the other processes and those
// that start later, and that one that has seen the part served since overrules it.
func TestBlockedPart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	newScreener := func() *screener.Screener {
		return screener.New(screener.Config{Now: clock, Quarantiner: quarantiner.Config{TrialInterval: 10 * time.Second}})
	}
	mode := func(s *screener.Screener) quarantiner.Mode {
		d, _ := s.DecideAny([]string{"another request", screener.PartFingerprint("sys"), screener.PartFingerprint("bad")})
		return d.Mode
	}
	first, other, restarted, witness := newScreener(), newScreener(), newScreener(), newScreener()
	accusePart(first, &now)
	is.Equal(mode(first), quarantiner.Blocked)
	d, _ := first.DecideAny([]string{screener.PartFingerprint("sys")})
	is.Equal(d.Mode, quarantiner.Allowed) // the part that was served

	urgent, _ := first.Urgent(100)
	for _, a := range urgent {
		other.Record(a)
	}
	is.Equal(mode(other), quarantiner.Blocked)

	store := rows{}
	is.NoErr(first.Save(t.Context(), store, 100))
	for f, accusations := range store {
		restarted.Restore(f, accusations)
	}
	is.Equal(mode(restarted), quarantiner.Blocked)

	now = now.Add(time.Second)
	witness.Served([]string{"bad"}, now)
	for _, a := range first.AccusationsFor(screener.PartFingerprint("bad")) {
		witness.Record(a)
	}
	objections, _ := witness.Urgent(100)
	for _, a := range objections {
		first.Record(a)
	}
	is.Equal(mode(first), quarantiner.Allowed)
}

// lateRows is a store that performs its first write late.
type lateRows struct {
	rows
	late func()
}

// SaveSuspects implements screener.Store.
func (r *lateRows) SaveSuspects(ctx context.Context, blocked map[string][]*wire.Accusation, others []string) error {
	perform := func() {
		_ = r.rows.SaveSuspects(ctx, blocked, others) // it never fails
		for _, f := range others {
			delete(r.rows, f)
		}
	}
	if r.late == nil {
		r.late = perform
		return context.DeadlineExceeded
	}
	perform()
	return nil
}

// TestLateSave guards against a blocked request whose row is replaced by an older one, as the
// store performs an unanswered write after a newer one.
func TestLateSave(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := screener.New(screener.Config{Now: func() time.Time { return now }, Quarantiner: quarantiner.Config{TrialInterval: 10 * time.Second}})
	store := &lateRows{rows: rows{}}
	crash := func(server string) { s.Accuse(&wire.Accusation{Fingerprint: "bad", Server: server}) }
	crash("i-1")
	crash("i-2")
	is.True(s.Save(t.Context(), store, 100) != nil)
	crash("i-3")
	is.NoErr(s.Save(t.Context(), store, 100))
	is.Equal(len(store.rows["bad"]), 3)
	now = now.Add(6 * time.Second)
	store.late()
	is.Equal(len(store.rows["bad"]), 2)
	now = now.Add(5 * time.Second)
	is.NoErr(s.Save(t.Context(), store, 100))
	is.Equal(len(store.rows["bad"]), 3)
}

// TestLateSaveOfClearedRequest guards against the row of a request that was cleared, which a
// late write of the store leaves for ever.
func TestLateSaveOfClearedRequest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := screener.New(screener.Config{Now: func() time.Time { return now }, Quarantiner: quarantiner.Config{TrialInterval: 10 * time.Second}})
	store := &lateRows{rows: rows{}}
	for i := range 2 {
		s.Accuse(&wire.Accusation{Fingerprint: "sound", Server: fmt.Sprint("i-", i)})
	}
	is.True(s.Save(t.Context(), store, 100) != nil)
	now = now.Add(time.Second)
	s.Accuse(&wire.Accusation{Fingerprint: "sound", Cleared: true})
	is.NoErr(s.Save(t.Context(), store, 100))
	is.Equal(len(store.rows), 0)
	now = now.Add(5 * time.Second)
	store.late()
	is.Equal(len(store.rows), 1)
	now = now.Add(5 * time.Second)
	is.NoErr(s.Save(t.Context(), store, 100))
	is.Equal(len(store.rows), 0)
}
