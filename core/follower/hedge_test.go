package follower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/follower"

	"github.com/matryer/is"
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
