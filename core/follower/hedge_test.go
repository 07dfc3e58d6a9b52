package follower_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/follower"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// silentStore is a store that loses calls while it is silent.
type silentStore struct {
	*table
	silent atomic.Bool
	calls  atomic.Int64
}

// Changes implements follower.Source.
func (s *silentStore) Changes(ctx context.Context, name string, after follower.Position, wait time.Duration) ([]follower.Row, follower.Position, error) {
	s.calls.Add(1)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, follower.Position{}, ctx.Err()
	}
	return s.table.Changes(ctx, name, after, wait)
}

// TestLostCall checks that the end of a silence of the store is known so soon that
// SettleAbsent ends within three seconds of it. The silence lasts for the given time from the
// begin of the first call for changes, 0.6 s after the start.
func TestLostCall(t *testing.T) {
	const most = 3*time.Second - settleAbsent
	tests := map[string]time.Duration{
		"shorter than a call waits": 500 * time.Millisecond,
		"longer than a call waits":  1100 * time.Millisecond,
		"longer than the timeout":   1650 * time.Millisecond,
		"long":                      7 * time.Second,
		"longer":                    20 * time.Second,
	}
	for name, silence := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &silentStore{table: newTable()}
				c := &callbacks{rows: map[string]string{}, seen: map[string]int64{}}
				f := followAbsent(s, c, nil)
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				time.Sleep(590 * time.Millisecond)
				s.silent.Store(true)
				time.Sleep(10*time.Millisecond + silence)
				s.silent.Store(false)
				is.True(time.Duration(s.calls.Load()) <= 2+silence/(300*time.Millisecond))
				s.write("a", "1", false)
				time.Sleep(most)
				synctest.Wait()
				is.Equal(keys(c), []string{"a"})
				cancel()
				synctest.Wait()
			})
		})
	}
}

// ReadAll implements follower.Source.
func (s *silentStore) ReadAll(ctx context.Context, name string, timeout time.Duration) ([]follower.Row, follower.Position, error) {
	s.calls.Add(1)
	if s.silent.Load() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		<-ctx.Done()
		return nil, follower.Position{}, ctx.Err()
	}
	return s.table.ReadAll(ctx, name, timeout)
}

// TestLostTable starts a follower while the store is silent and checks that it has the rows
// within a second of the end, that no call is found to be lost so late that the outage counts
// as going on beyond what SettleAbsent leaves of three seconds, less the interval of that
// check, and that the calls are few.
func TestLostTable(t *testing.T) {
	const check = 250 * time.Millisecond
	for silence := 100 * time.Millisecond; silence < 20*time.Second; silence += silence / 4 {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &silentStore{table: newTable()}
				s.write("a", "1", false)
				s.silent.Store(true)
				var failed, known atomic.Int64
				began := time.Now()
				f := follower.New(follower.Config{
					Source: s, Table: "servers", Interval: 600 * time.Millisecond, Hedge: 300 * time.Millisecond, TableHedge: 300 * time.Millisecond,
					Changed: func(follower.Row) { known.Store(int64(time.Since(began))) },
					Failed:  func(time.Time) { failed.Store(int64(time.Since(began))) },
					Log:     &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
				})
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				time.Sleep(silence)
				s.silent.Store(false)
				is.True(time.Duration(s.calls.Load()) <= 2+silence/(200*time.Millisecond))
				time.Sleep(time.Second)
				synctest.Wait()
				is.True(known.Load() > 0)
				is.True(time.Duration(failed.Load())-silence <= 3*time.Second-settleAbsent-check)
				cancel()
				synctest.Wait()
			})
		})
	}
}
