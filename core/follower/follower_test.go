package follower_test

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/follower"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

var errUnreachable = errors.New("away")

// table is a fake store with one table.
type table struct {
	mu          sync.Mutex
	rows        map[string]follower.Row
	era         int64
	version     int64
	oldest      int64 // version after which changes are available
	unreachable bool
	reads       int // number of reads of the whole table
	calls       int
	changed     chan struct{}
}

func newTable() *table { return &table{rows: map[string]follower.Row{}, changed: make(chan struct{})} }

func (s *table) write(key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = follower.Row{Key: key, Value: []byte(value), Version: s.version, Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory drops the history, including deletions.
func (s *table) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *table) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
	close(s.changed)
	s.changed = make(chan struct{})
}

// ReadAll implements follower.Source.
func (s *table) ReadAll(context.Context, string, time.Duration) ([]follower.Row, follower.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unreachable {
		return nil, follower.Position{}, errUnreachable
	}
	s.reads++
	var all []follower.Row
	for _, r := range s.rows {
		if !r.Deleted {
			all = append(all, r)
		}
	}
	return all, s.position(), nil
}

func (s *table) position() follower.Position {
	return follower.Position{Era: s.era, Version: s.version}
}

// Changes implements follower.Source.
func (s *table) Changes(ctx context.Context, name string, after follower.Position, wait time.Duration) ([]follower.Row, follower.Position, error) {
	s.mu.Lock()
	s.calls++
	changed := s.changed
	idle := !s.unreachable && s.version == after.Version
	s.mu.Unlock()
	if idle {
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-time.After(wait):
			return nil, after, nil
		case <-changed:
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return nil, follower.Position{}, errUnreachable
	}
	if after.Version < s.oldest || after.Version > s.version {
		return nil, follower.Position{}, &follower.HistoryError{Table: name, After: after}
	}
	var rows []follower.Row
	for _, r := range s.rows {
		if r.Version > after.Version {
			rows = append(rows, r)
		}
	}
	return rows, s.position(), nil
}

// callbacks records the callbacks of a follower.
type callbacks struct {
	mu       sync.Mutex
	rows     map[string]string
	reverted []string // keys of rows that reverted to an older version
	seen     map[string]int64
	applied  int
	failed   int
	removed  int
	log      bytes.Buffer
}

func (c *callbacks) change(r follower.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Version < c.seen[r.Key] {
		c.reverted = append(c.reverted, r.Key)
	}
	c.seen[r.Key] = r.Version
	if r.Deleted {
		c.removed++
		delete(c.rows, r.Key)
		return
	}
	c.rows[r.Key] = string(r.Value)
}

// existing returns the values of the rows that exist by the callbacks.
func (c *callbacks) existing() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.rows)
}

func follow(s *table, interval time.Duration) (*follower.Follower, *callbacks) {
	c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
	return follower.New(follower.Config{
		Source: s, Table: "servers", Interval: interval, Changed: c.change, Applied: func() { c.applied++ },
		Failed: func(time.Time) { c.failed++ }, Log: &log.Logger{Writer: &log.IOWriter{Writer: &c.log}},
	}), c
}

// TestFollow checks that a follower applies changes, a deletion that it could
// not see because the store was unreachable and had lost its history, and that
// no row reverts to an older version.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTable()
		s.write("a", "1", false)
		s.write("b", "1", false)
		f, c := follow(s, time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		step := func() {
			time.Sleep(3 * time.Second)
			synctest.Wait()
		}
		step()
		is.Equal(c.rows, map[string]string{"a": "1", "b": "1"})
		s.write("a", "2", false)
		s.write("b", "", true)
		step()
		is.Equal(c.rows, map[string]string{"a": "2"})
		is.Equal(s.reads, 1)

		s.write("c", "1", false)
		step()
		s.setUnreachable(true)
		s.write("c", "", true) // deleted while the store is unreachable
		s.dropHistory()
		step()
		is.True(c.failed > 3)
		is.True(s.calls < 40) // the retries back off
		is.Equal(c.rows, map[string]string{"a": "2", "c": "1"})
		s.setUnreachable(false)
		step()
		is.Equal(c.rows, map[string]string{"a": "2"})
		is.Equal(s.reads, 2)
		is.Equal(len(c.reverted), 0)
		for _, event := range []string{"dependency-lost", "dependency-back", "history-lost"} {
			is.Equal(strings.Count(c.log.String(), event), 1)
		}
		cancel()
		synctest.Wait()
	})
}

// TestInterval checks that a follower makes one call per interval, however often
// the table changes.
func TestInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTable()
		f, _ := follow(s, time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		for range 100 {
			s.write("a", "1", false)
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		is.True(s.calls >= 9 && s.calls <= 12)
		cancel()
		synctest.Wait()
	})
}

// TestMerge checks that a follower is brought up to date by the rows of another
// one, and that older rows are ignored.
func TestMerge(t *testing.T) {
	is := is.New(t)
	f, c := follow(newTable(), 0)
	f.Merge([]follower.Row{{Key: "a", Value: []byte("new"), Version: 5}, {Key: "b", Version: 6, Deleted: true}}, 0)
	f.Merge([]follower.Row{{Key: "a", Value: []byte("old"), Version: 4}, {Key: "b", Value: []byte("old"), Version: 5}}, 0)
	is.Equal(c.rows, map[string]string{"a": "new"})
	other, d := follow(newTable(), 0)
	other.Merge(f.Rows(), f.Position().Era)
	is.Equal(d.rows, c.rows)
	is.True(slices.EqualFunc(other.Rows(), f.Rows(), func(a, b follower.Row) bool { return a.Key == b.Key && a.Version == b.Version }))
	is.Equal(d.applied, 1)
}

// TestSilentStore checks that a call for changes that is never answered is repeated
// within Wait and Timeout, and that Timeout grows for a store that is slow.
func TestSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slowTable{table: newTable(), lose: 1}
		c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
		f := follower.New(follower.Config{
			Source: s, Table: "servers", Wait: time.Second, Timeout: 500 * time.Millisecond, Changed: c.change,
			Log: &log.Logger{Writer: &log.IOWriter{Writer: &c.log}},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Millisecond)
		s.write("a", "1", false) // while the lost call is under way
		time.Sleep(1700 * time.Millisecond)
		synctest.Wait()
		is.Equal(c.existing(), map[string]string{"a": "1"})
		is.True(f.Age() < time.Second)

		s.delay = 1800 * time.Millisecond // beyond Timeout
		s.write("a", "2", false)
		time.Sleep(9 * time.Second)
		synctest.Wait()
		is.Equal(c.existing(), map[string]string{"a": "2"})
		cancel()
		synctest.Wait()
	})
}

// slowTable is a table that loses the first calls for changes and delays the answers
// to the others.
type slowTable struct {
	*table
	lose  int
	delay time.Duration
}

// Changes implements follower.Source.
func (s *slowTable) Changes(ctx context.Context, name string, after follower.Position, wait time.Duration) ([]follower.Row, follower.Position, error) {
	if s.lose > 0 {
		s.lose--
		<-ctx.Done()
		return nil, follower.Position{}, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return nil, follower.Position{}, ctx.Err()
	case <-time.After(s.delay):
	}
	return s.table.Changes(ctx, name, after, wait)
}

// TestNudge checks that a call that was lost is repeated when another table's answers
// show that the store has changed, and that a follower that is up to date ignores that.
func TestNudge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slowTable{table: newTable(), lose: 1}
		c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
		f := follower.New(follower.Config{Source: s, Table: "op", Changed: c.change, Log: &log.Logger{Writer: &log.IOWriter{Writer: &c.log}}})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		s.write("a", "1", false) // while the lost call is under way
		f.Nudge(s.position())
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		is.Equal(c.existing(), map[string]string{"a": "1"})
		calls := s.calls
		f.Nudge(s.position())
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(s.calls, calls)
		cancel()
		synctest.Wait()
	})
}
