package follower_test

import (
	"bytes"
	"context"
	"errors"
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

var errAway = errors.New("away")

// table is a store with one table.
type table struct {
	mu      sync.Mutex
	rows    map[string]follower.Row
	version int64
	kept    int64 // oldest version of which changes are to be had
	away    bool
	reads   int // of the whole table
	calls   int
	changed chan struct{}
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

// forget drops the history, and what was deleted in it.
func (s *table) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *table) set(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

// ReadAll implements follower.Source.
func (s *table) ReadAll(context.Context, string) ([]follower.Row, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return nil, 0, errAway
	}
	s.reads++
	var all []follower.Row
	for _, r := range s.rows {
		if !r.Deleted {
			all = append(all, r)
		}
	}
	return all, s.version, nil
}

// Changes implements follower.Source.
func (s *table) Changes(ctx context.Context, name string, after int64, wait time.Duration) ([]follower.Row, int64, error) {
	s.mu.Lock()
	s.calls++
	changed := s.changed
	idle := !s.away && s.version <= after
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
	if s.away {
		return nil, 0, errAway
	}
	if after < s.kept {
		return nil, 0, &follower.HistoryError{Table: name, After: after}
	}
	var rows []follower.Row
	for _, r := range s.rows {
		if r.Version > after {
			rows = append(rows, r)
		}
	}
	return rows, s.version, nil
}

// copied is what a follower told of.
type copied struct {
	mu      sync.Mutex
	rows    map[string]string
	back    []string // rows that went back
	seen    map[string]int64
	settled int
	failed  int
	log     bytes.Buffer
}

func (c *copied) change(r follower.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Version < c.seen[r.Key] {
		c.back = append(c.back, r.Key)
	}
	c.seen[r.Key] = r.Version
	if r.Deleted {
		delete(c.rows, r.Key)
		return
	}
	c.rows[r.Key] = string(r.Value)
}

func follow(s *table, rest time.Duration) (*follower.Follower, *copied) {
	c := &copied{rows: map[string]string{}, seen: map[string]int64{}}
	return follower.New(follower.Config{
		Source: s, Table: "servers", Interval: rest, Changed: c.change, Applied: func() { c.settled++ },
		Failed: func(time.Time) { c.failed++ }, Log: &log.Logger{Writer: &log.IOWriter{Writer: &c.log}},
	}), c
}

// TestFollow takes what comes, what was deleted unseen and what comes after the
// store was away, and never goes back.
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
		s.set(true)
		s.write("c", "", true) // unseen
		s.forget()
		step()
		is.True(c.failed > 3)
		is.True(s.calls < 40) // it backs off
		is.Equal(c.rows, map[string]string{"a": "2", "c": "1"})
		s.set(false)
		step()
		is.Equal(c.rows, map[string]string{"a": "2"})
		is.Equal(s.reads, 2)
		is.Equal(len(c.back), 0)
		for _, event := range []string{"dependency-lost", "dependency-back", "history-lost"} {
			is.Equal(strings.Count(c.log.String(), event), 1)
		}
		cancel()
		synctest.Wait()
	})
}

// TestRest makes one call each rest, however often the table changes.
func TestRest(t *testing.T) {
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

// TestTake brings a follower without a store up to date from another, and takes
// nothing that is older, not even from the store.
func TestTake(t *testing.T) {
	is := is.New(t)
	f, c := follow(newTable(), 0)
	f.Merge([]follower.Row{{Key: "a", Value: []byte("new"), Version: 5}, {Key: "b", Version: 6, Deleted: true}})
	f.Merge([]follower.Row{{Key: "a", Value: []byte("old"), Version: 4}, {Key: "b", Value: []byte("old"), Version: 5}})
	is.Equal(c.rows, map[string]string{"a": "new"})
	other, d := follow(newTable(), 0)
	other.Merge(f.Rows())
	is.Equal(d.rows, c.rows)
	is.True(slices.EqualFunc(other.Rows(), f.Rows(), func(a, b follower.Row) bool { return a.Key == b.Key && a.Version == b.Version }))
	is.Equal(d.settled, 1)
}
