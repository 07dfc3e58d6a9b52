package follower_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/follower"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// settleAbsent is the time within which the writers of the tests write absent rows again.
const settleAbsent = 2300 * time.Millisecond

// followAbsent returns a follower that keeps absent rows for a shorter time.
func followAbsent(s follower.Source, c *callbacks, keeps func(follower.Row) bool) *follower.Follower {
	return follower.New(follower.Config{
		Source: s, Table: "servers", Interval: 600 * time.Millisecond, Wait: 900 * time.Millisecond, Timeout: 600 * time.Millisecond,
		Hedge: 300 * time.Millisecond, Settle: 3 * settle, SettleAbsent: settleAbsent, Keeps: keeps,
		Changed: c.change, Log: &log.Logger{Writer: &log.IOWriter{Writer: &c.log}},
	})
}

// lateStore is a store whose next answer to a call for changes is late.
type lateStore struct {
	*table
	late atomic.Bool
}

// Changes implements follower.Source.
func (s *lateStore) Changes(ctx context.Context, name string, after follower.Position, wait time.Duration) ([]follower.Row, follower.Position, error) {
	rows, at, err := s.table.Changes(ctx, name, after, wait)
	if s.late.CompareAndSwap(true, false) {
		time.Sleep(500 * time.Millisecond)
	}
	return rows, at, err
}

// TestAbsentRows returns a store without its rows a, b and c and checks which rows a
// follower has shortly before and after SettleAbsent.
func TestAbsentRows(t *testing.T) {
	writeOne := func(s *lateStore) { s.write("a", "1", false) }
	all, one := []string{"a", "b", "c"}, []string{"a"}
	tests := map[string]struct {
		again  func(*lateStore) // done a second after the return
		keeps  func(follower.Row) bool
		before []string // 2.2 s after the return
		after  []string // 2.5 s
		later  []string // 5.5 s
		last   []string // after Settle
	}{
		"one is written again":        {again: writeOne, before: all, after: one, later: one, last: one},
		"one is written and one kept": {again: writeOne, keeps: func(r follower.Row) bool { return r.Key == "c" }, before: all, after: []string{"a", "c"}, later: []string{"a", "c"}, last: one},
		"all are written again":       {again: func(s *lateStore) { s.write("c", "1", false); s.write("b", "1", false); s.write("a", "1", false) }, before: all, after: all, later: all, last: all},
		"the table is read in between": {again: func(s *lateStore) {
			for range 5 { // a version that is higher than those of the absent rows
				writeOne(s)
			}
			time.Sleep(600 * time.Millisecond)
			s.mu.Lock()
			s.version++ // a change of another table
			s.mu.Unlock()
			s.dropHistory()
		}, before: all, after: one, later: one, last: one},
		"nobody writes":                {again: func(*lateStore) {}, before: all, after: all, later: all, last: []string{}},
		"the store falls silent again": {again: func(s *lateStore) { s.setUnreachable(true) }, before: all, after: all, later: all, last: all},
		"an answer is late":            {again: func(s *lateStore) { s.late.Store(true); time.Sleep(time.Second); writeOne(s) }, before: all, after: all, later: one, last: one},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &lateStore{table: newTable()}
				older := s.copy()
				for _, key := range all {
					s.write(key, "1", false)
				}
				c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
				f := followAbsent(s, c, test.keeps)
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				time.Sleep(time.Second)
				s.restore(older)
				returned := time.Now()
				time.Sleep(time.Second)
				test.again(s)
				for _, check := range []struct {
					after time.Duration
					want  []string
				}{{2200 * time.Millisecond, test.before}, {2500 * time.Millisecond, test.after}, {5500 * time.Millisecond, test.later}, {4 * settle, test.last}} {
					time.Sleep(time.Until(returned.Add(check.after)))
					synctest.Wait()
					is.Equal(keys(c), check.want)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// keys returns the keys of the rows that exist by the callbacks, in order.
func keys(c *callbacks) []string {
	all := []string{}
	for key := range c.existing() {
		all = append(all, key)
	}
	slices.Sort(all)
	return all
}

// TestSilentAfterReturn lets all rows be lost and the store be silent soon after its
// return, so that their writers need longer. None may be removed.
func TestSilentAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTable()
		older := s.copy()
		s.write("a", "1", false)
		s.write("b", "1", false)
		c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
		f := followAbsent(s, c, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		s.restore(older)
		f.Merge(nil, 1) // another process has seen the return first
		time.Sleep(500 * time.Millisecond)
		s.write("a", "1", false)
		s.setUnreachable(true)
		time.Sleep(1500 * time.Millisecond)
		s.setUnreachable(false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(keys(c), []string{"a", "b"})
		s.write("b", "1", false)
		time.Sleep(4 * settle)
		synctest.Wait()
		is.Equal(keys(c), []string{"a", "b"})
		is.Equal(c.removed, 0)
		cancel()
		synctest.Wait()
	})
}

// TestAbsentRowOfPeer guards against a row that one process has deleted as absent and that
// comes back with the rows of one that still withholds it. The other learns of the deletion.
func TestAbsentRowOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTable()
		s.write("a", "1", false)
		older := s.copy()
		for range 9 {
			s.write("b", "1", false) // the version of b is higher than that of its deletion
		}
		c, other := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}, &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
		f, peer := followAbsent(s, c, nil), followSettling(s, other, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		go peer.Run(ctx)
		time.Sleep(time.Second)
		s.restore(older)
		time.Sleep(time.Second)
		s.write("a", "2", false)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		is.Equal(keys(c), []string{"a"})
		is.Equal(keys(other), []string{"a", "b"})
		f.Merge(peer.Rows(), peer.Position().Era)
		is.Equal(keys(c), []string{"a"})
		peer.Merge(f.Rows(), f.Position().Era)
		is.Equal(keys(other), []string{"a"})
		s.write("b", "1", false) // it is there after all
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(keys(c), []string{"a", "b"})
		is.Equal(keys(other), []string{"a", "b"})
		cancel()
		synctest.Wait()
	})
}

// TestAbsentRowOfPeerAfterStart guards against an absent row that a process which started
// after the return learns from another one and keeps for longer.
func TestAbsentRowOfPeerAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTable()
		s.write("a", "1", false)
		older := s.copy()
		s.write("b", "1", false)
		s.write("b", "2", false)
		stale := []follower.Row{{Key: "b", Value: []byte("2"), Version: 3}}
		s.restore(older)
		c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
		f := followAbsent(s, c, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		s.write("a", "2", false)
		f.Merge(stale, 1)
		is.Equal(keys(c), []string{"a", "b"})
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		is.Equal(keys(c), []string{"a"})
		cancel()
		synctest.Wait()
	})
}

// TestEnter tells a follower that pauses between two calls that an era has begun.
func TestEnter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTable()
		older := s.copy()
		s.write("a", "1", false)
		c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
		f := followAbsent(s, c, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		s.restore(older)
		s.write("c", "1", false)
		s.write("b", "1", false) // a version that the follower has not seen
		synctest.Wait()
		is.Equal(keys(c), []string{"a"})
		f.Enter(1)
		synctest.Wait()
		is.Equal(keys(c), []string{"a", "b"})
		reads := s.reads
		time.Sleep(500 * time.Millisecond)
		f.Enter(1)
		synctest.Wait()
		is.Equal(s.reads, reads)
		cancel()
		synctest.Wait()
	})
}
