package keeper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/storer"

	"github.com/matryer/is"
)

func TestCommit(t *testing.T) {
	mine := Proposal{ID: "mine", Author: "ana", Key: "domain/ikeja", Record: domainOut("ikeja", true)}
	theirs := Proposal{ID: "theirs", Author: "tui", Key: "domain/ikeja", Record: domainOut("ikeja", false)}
	other := Proposal{ID: "other", Author: "tui", Key: "domain/lekki", Record: domainOut("lekki", true)}
	conflict := func(err error) bool {
		var e *VersionConflictError
		return errors.As(err, &e) && e.Author == "tui" && e.Version == 1 && !e.Record.GetDomain().GetOut()
	}
	unavailable := func(err error) bool { var e *storer.UnavailableError; return errors.As(err, &e) }
	unknown := func(err error) bool { var e *storer.UnknownOutcomeError; return errors.As(err, &e) }
	for name, test := range map[string]struct {
		set  func(*fakeTable)
		bad  func(error) bool // nil if the change is accepted
		head uint64
	}{
		"plain":                          {func(*fakeTable) {}, nil, 1},
		"another row is committed first": {func(f *fakeTable) { f.before = func() { commitNow(f, other) } }, nil, 2},
		"same row is committed first":    {func(f *fakeTable) { f.before = func() { commitNow(f, theirs) } }, conflict, 1},
		"answer lost":                    {func(f *fakeTable) { f.lostAnswers = 1 }, nil, 1},
		"request lost":                   {func(f *fakeTable) { f.lostRequests = 1 }, nil, 1},
		"answer lost, then down": {func(f *fakeTable) {
			f.lostAnswers = 1
			f.delay = time.Millisecond // the store goes down after three reads and the commit
			time.AfterFunc(4*time.Millisecond+time.Microsecond, func() { f.setDown(true) })
		}, unknown, 1},
		"down":               {func(f *fakeTable) { f.down = true }, unavailable, 0},
		"down at the commit": {func(f *fakeTable) { f.before = func() { f.setDown(true) } }, unavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTable()
				test.set(f)
				_, err := Commit(t.Context(), f, mine)
				if test.bad == nil {
					is.NoErr(err)
				} else {
					is.True(test.bad(err)) // the error matches the outcome
				}
				f.setDown(false)
				head, err := Head(t.Context(), f)
				is.NoErr(err)
				is.Equal(head, test.head) // each change is in the log once
			})
		})
	}
}

func commitNow(f *fakeTable, p Proposal) {
	if _, err := Commit(context.Background(), f, p); err != nil {
		panic(err)
	}
}

func TestCommitTwiceWithOneID(t *testing.T) {
	is := is.New(t)
	f := newTable()
	p := Proposal{ID: "one", Key: "domain/ikeja", Record: domainOut("ikeja", true)}
	first, err := Commit(t.Context(), f, p)
	is.NoErr(err)
	second, err := Commit(t.Context(), f, p)
	is.NoErr(err)
	is.Equal(first.GetSequence(), second.GetSequence())
	is.Equal(second.GetVersion(), uint64(1))
}

func TestDeletedRowIsReportedAbsent(t *testing.T) {
	is := is.New(t)
	f := newTable()
	p := Proposal{Key: "domain/ikeja", Record: domainOut("ikeja", true)}
	for i, step := range []struct {
		version uint64
		remove  bool
		ok      bool
	}{{0, false, true}, {1, true, true}, {1, false, false}, {0, false, true}, {1, false, false}, {3, false, true}} {
		p.ID = fmt.Sprint(i)
		p.Version = step.version
		p.Record = domainOut("ikeja", true)
		if step.remove {
			p.Record = nil
		}
		_, err := Commit(t.Context(), f, p)
		is.Equal(err == nil, step.ok)
	}
}

func TestManyWritersAllCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTable()
		f.delay = time.Millisecond
		var all sync.WaitGroup
		var mu sync.Mutex
		failed := 0
		for n := range 30 {
			all.Go(func() {
				name := fmt.Sprint("d", n)
				_, err := Commit(t.Context(), f, Proposal{ID: name, Key: "domain/" + name, Record: domainOut(name, true)})
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed++
				}
			})
		}
		all.Wait()
		is.Equal(failed, 0)
		head, err := Head(t.Context(), f)
		is.NoErr(err)
		is.Equal(head, uint64(30))
	})
}

// BenchmarkCommit measures concurrent writers on a table that takes 1 ms a call.
func BenchmarkCommit(b *testing.B) {
	for _, writers := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprint("writers=", writers), func(b *testing.B) {
			f := newTable()
			f.delay = time.Millisecond
			var failed, done int
			var mu sync.Mutex
			next := 0
			var all sync.WaitGroup
			b.ResetTimer()
			for range writers {
				all.Go(func() {
					for {
						mu.Lock()
						n := next
						next++
						mu.Unlock()
						if n >= b.N {
							return
						}
						name := fmt.Sprint(n)
						_, err := Commit(b.Context(), f, Proposal{ID: name, Key: "domain/" + name, Record: domainOut(name, true)})
						mu.Lock()
						if err != nil {
							failed++
						} else {
							done++
						}
						mu.Unlock()
					}
				})
			}
			all.Wait()
			b.ReportMetric(float64(done)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(f.reads)/float64(b.N), "reads/change")
			b.ReportMetric(float64(f.writes)/float64(b.N), "writes/change")
			b.ReportMetric(float64(failed), "failed")
			if b.N > 1 {
				fmt.Printf("bench=commit writers=%d changes=%d commits_s=%.0f reads_change=%.1f writes_change=%.1f failed=%d\n", writers, b.N,
					float64(done)/b.Elapsed().Seconds(), float64(f.reads)/float64(b.N), float64(f.writes)/float64(b.N), failed)
			}
		})
	}
}

var _ Peers = (*fakePeers)(nil)
