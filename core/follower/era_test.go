package follower_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/follower"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// settle is the time within which the writers of the tests write again what the store
// has lost.
const settle = 4 * time.Second

// backup is an older copy of a table.
type backup struct {
	rows    map[string]follower.Row
	version int64
}

func (s *table) copy() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{rows: maps.Clone(s.rows), version: s.version}
}

// restore returns the table to an older copy.
func (s *table) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(b.rows), b.version
	s.oldest = min(s.oldest, s.version)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// values returns the values of the rows that exist.
func (s *table) values() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]string{}
	for key, r := range s.rows {
		if !r.Deleted {
			all[key] = string(r.Value)
		}
	}
	return all
}

// followSettling returns a follower that waits for writers to write again.
func followSettling(s follower.Source, c *callbacks, prefers func(copied, row follower.Row) bool) *follower.Follower {
	return follower.New(follower.Config{
		Source: s, Table: "servers", Wait: 800 * time.Millisecond, Timeout: 700 * time.Millisecond, Settle: settle, Prefers: prefers,
		Changed: c.change, Log: &log.Logger{Writer: &log.IOWriter{Writer: &c.log}},
	})
}

// TestReturnedStore returns the store from an older copy and checks what a follower
// takes from it: before anything is written again, after the given writes, and after the
// settling time.
func TestReturnedStore(t *testing.T) {
	type rows = map[string]string
	tests := map[string]returnTest{
		"a change that is written again": {
			lost:  func(s *table) { s.write("a", "2", false) },
			again: func(s *table) { s.write("a", "2", false) },
			first: rows{"a": "2", "b": "1"}, then: rows{"a": "2", "b": "1"}, last: rows{"a": "2", "b": "1"},
		},
		"a change that is written again with a lower version": {
			lost:  func(s *table) { s.write("b", "2", false); s.write("b", "3", false); s.write("a", "2", false) },
			again: func(s *table) { s.write("a", "3", false); s.write("b", "3", false) },
			first: rows{"a": "2", "b": "3"}, then: rows{"a": "3", "b": "3"}, last: rows{"a": "3", "b": "3"},
		},
		"a change that is not written again": {
			lost:  func(s *table) { s.write("a", "2", false) },
			again: func(*table) {},
			first: rows{"a": "2", "b": "1"}, then: rows{"a": "2", "b": "1"}, last: rows{"a": "1", "b": "1"},
		},
		"a row that was added": {
			lost:  func(s *table) { s.write("c", "1", false) },
			again: func(*table) {},
			first: rows{"a": "1", "b": "1", "c": "1"}, then: rows{"a": "1", "b": "1", "c": "1"}, last: rows{"a": "1", "b": "1"},
		},
		"a row that was deleted": {
			lost:  func(s *table) { s.write("a", "", true) },
			again: func(s *table) { s.write("a", "", true) },
			first: rows{"b": "1"}, then: rows{"b": "1"}, last: rows{"b": "1"},
		},
		"a row that was deleted and is renewed": {
			lost:  func(s *table) { s.write("a", "", true) },
			again: func(*table) {},
			first: rows{"b": "1"}, then: rows{"b": "1"}, last: rows{"a": "1", "b": "1"},
		},
		"a row that is deleted after the return": {
			lost:  func(s *table) { s.write("a", "2", false) },
			again: func(s *table) { s.write("b", "", true) },
			first: rows{"a": "2", "b": "1"}, then: rows{"a": "2"}, last: rows{"a": "1"},
		},
		"a row that is preferred though it may be older": {
			lost:    func(s *table) { s.write("a", "2", false) },
			again:   func(*table) {},
			prefers: func(copied, row follower.Row) bool { return string(copied.Value) == "2" && string(row.Value) == "1" },
			first:   rows{"a": "1", "b": "1"}, then: rows{"a": "1", "b": "1"}, last: rows{"a": "1", "b": "1"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { synctest.Test(t, test.run) })
	}
}

// returnTest is a case of TestReturnedStore.
type returnTest struct {
	lost              func(*table) // written after the copy
	again             func(*table) // written after the return
	prefers           func(copied, row follower.Row) bool
	first, then, last map[string]string
}

func (test returnTest) run(t *testing.T) {
	is := is.New(t)
	s := newTable()
	s.write("a", "1", false)
	s.write("b", "1", false)
	c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
	f := followSettling(s, c, test.prefers)
	ctx, cancel := context.WithCancel(t.Context())
	go f.Run(ctx)
	wait := func(d time.Duration) {
		time.Sleep(d)
		synctest.Wait()
	}
	wait(time.Second)
	older := s.copy()
	test.lost(s)
	wait(time.Second)
	s.restore(older)
	wait(2 * time.Second)
	is.Equal(c.existing(), test.first)
	test.again(s)
	wait(time.Second)
	is.Equal(c.existing(), test.then)
	wait(settle)
	is.Equal(c.existing(), test.last)
	is.Equal(f.Position().Era, int64(1))
	cancel()
	synctest.Wait()
}

// TestVersionsGivenOutAgain guards against a follower that takes its copy for current
// because the store has reached the same version once more.
func TestVersionsGivenOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTable()
		s.write("a", "1", false)
		s.write("b", "1", false)
		c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
		f := followSettling(s, c, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		older := s.copy()
		s.write("a", "2", false)
		time.Sleep(time.Second)
		synctest.Wait()
		s.restore(older)
		s.write("b", "2", false) // the version that the change of a had
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(c.existing(), map[string]string{"a": "2", "b": "2"})
		cancel()
		synctest.Wait()
	})
}

// TestDeletedBeforeStart guards against a row that was deleted before a follower started,
// and that the store has again because it has returned from an older copy.
func TestDeletedBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTable()
		s.write("a", "1", false)
		older := s.copy()
		s.write("a", "", true)
		s.write("b", "1", false)
		c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
		f := followSettling(s, c, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		s.restore(older)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(c.existing(), map[string]string{"b": "1"})
		s.write("c", "1", false) // a row of the new era is taken at once
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(c.existing(), map[string]string{"b": "1", "c": "1"})
		time.Sleep(settle)
		synctest.Wait()
		is.Equal(c.existing(), map[string]string{"a": "1", "c": "1"})
		cancel()
		synctest.Wait()
	})
}

// TestMergeEras checks what a process takes from one that knows another era.
func TestMergeEras(t *testing.T) {
	row := func(value string, era, version int64, written bool) []follower.Row {
		return []follower.Row{{Key: "a", Value: []byte(value), Era: era, Version: version, Written: written}}
	}
	tests := map[string]struct {
		own      []follower.Row
		ownEra   int64
		theirs   []follower.Row
		theirEra int64
		want     string
	}{
		"later era, lower version, perhaps kept by the store": {own: row("new", 1, 9, true), ownEra: 1, theirs: row("old", 2, 5, false), theirEra: 2, want: "new"},
		"later era, lower version, written again":             {own: row("old", 1, 9, true), ownEra: 1, theirs: row("new", 2, 5, true), theirEra: 2, want: "new"},
		"later era, higher version":                           {own: row("old", 1, 9, true), ownEra: 1, theirs: row("new", 2, 10, false), theirEra: 2, want: "new"},
		"earlier era, higher version than a row kept":         {own: row("old", 2, 5, false), ownEra: 2, theirs: row("new", 1, 9, true), theirEra: 1, want: "new"},
		"earlier era, higher version than a row written":      {own: row("new", 2, 5, true), ownEra: 2, theirs: row("old", 1, 9, true), theirEra: 1, want: "new"},
		"earlier era, lower version":                          {own: row("new", 2, 5, false), ownEra: 2, theirs: row("old", 1, 4, true), theirEra: 1, want: "new"},
		"same era, lower version":                             {own: row("new", 2, 5, false), ownEra: 2, theirs: row("old", 2, 4, true), theirEra: 2, want: "new"},
		"unknown to the process":                              {ownEra: 2, theirs: row("new", 1, 9, true), theirEra: 1, want: "new"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
			f := followSettling(newTable(), c, nil)
			f.Merge(test.own, test.ownEra)
			f.Merge(test.theirs, test.theirEra)
			is.Equal(c.existing()["a"], test.want)
		})
	}
}

// TestDeletedRowOfPeer guards against a row that another process has not seen deleted
// and that comes back with its rows.
func TestDeletedRowOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTable()
		s.write("a", "1", false)
		stale := []follower.Row{{Key: "a", Value: []byte("1"), Version: 1, Written: true}}
		s.write("a", "", true)
		c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
		f := followSettling(s, c, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		f.Merge(stale, 0)
		is.Equal(c.existing(), map[string]string{})
		cancel()
		synctest.Wait()
	})
}

// TestReturnedStoreSeeds returns a store from older copies at random while writers count
// up in rows of their own and write again what was lost. No follower may go back, also
// one that has just started and learns from the others, and all must agree in the end.
func TestReturnedStoreSeeds(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { returnAtRandom(t, rand.New(rand.NewPCG(seed, 21)), 0) })
		})
		t.Run(fmt.Sprint("seed ", seed, " absent rows sooner"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { returnAtRandom(t, rand.New(rand.NewPCG(seed, 21)), settleAbsent) })
		})
	}
}

func returnAtRandom(t *testing.T, random *rand.Rand, absent time.Duration) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	s := newTable()
	const writers, followers = 4, 3
	written := make([]int, writers) // the writers' counts, which they don't lose
	write := func(n int) { s.write("w"+strconv.Itoa(n), strconv.Itoa(written[n]), false) }
	var all []*follower.Follower
	var seen []*countCheck
	start := func() {
		c := &countCheck{t: t, last: map[string]int{}}
		f := follower.New(follower.Config{
			Source: s, Table: "servers", Wait: 800 * time.Millisecond, Timeout: 700 * time.Millisecond, Settle: settle, SettleAbsent: absent,
			Changed: c.change, Log: &log.Logger{Writer: &log.IOWriter{Writer: &c.log}},
		})
		all, seen = append(all, f), append(seen, c)
		go f.Run(ctx)
	}
	for range followers {
		start()
	}
	older := s.copy()
	for range 40 {
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
		switch random.IntN(10) {
		case 0:
			older = s.copy()
		case 1:
			s.restore(older)
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			for n := range written { // within the settling time
				if written[n] > 0 && s.values()["w"+strconv.Itoa(n)] != strconv.Itoa(written[n]) {
					write(n)
				}
			}
		case 2:
			s.dropHistory()
		case 3:
			s.setUnreachable(true)
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			s.setUnreachable(false)
		case 4:
			from := all[random.IntN(len(all))]
			start()
			all[len(all)-1].Merge(from.Rows(), from.Position().Era)
		default:
			n := random.IntN(writers)
			written[n]++
			write(n)
		}
	}
	time.Sleep(2 * settle)
	synctest.Wait()
	for i, f := range all {
		is.Equal(existing(f), s.values())
		is.True(!seen[i].reverted())
	}
	cancel()
	synctest.Wait()
}

// existing returns the values of the rows that exist by a follower's copy.
func existing(f *follower.Follower) map[string]string {
	all := map[string]string{}
	for _, r := range f.Rows() {
		if !r.Deleted {
			all[r.Key] = string(r.Value)
		}
	}
	return all
}

// countCheck checks that the counts in the rows never decrease.
type countCheck struct {
	t    *testing.T
	last map[string]int
	back []string
	log  slowLog
}

// slowLog discards the log.
type slowLog struct{}

// Write implements io.Writer.
func (*slowLog) Write(p []byte) (int, error) { return len(p), nil }

func (c *countCheck) change(r follower.Row) {
	n, err := strconv.Atoi(string(r.Value))
	if err != nil || r.Deleted || n < c.last[r.Key] {
		c.back = append(c.back, fmt.Sprintf("%s: %d after %d in era %d", r.Key, n, c.last[r.Key], r.Era))
	}
	c.last[r.Key] = max(n, c.last[r.Key])
}

func (c *countCheck) reverted() bool {
	for _, text := range slices.Compact(c.back) {
		c.t.Log(text)
	}
	return len(c.back) > 0
}
