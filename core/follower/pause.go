package follower

import (
	"context"
	"time"
)

// pausing is a pause between two calls.
type pausing struct {
	cancel context.CancelFunc // nil if there is no pause
	skip   bool               // an era has begun since the last call, and the next pause is left out
}

// pause waits for d, or until an era begins or absent rows are due.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	d = f.untilAbsentDue(d)
	if f.pausing.skip {
		d = 0
	}
	f.pausing = pausing{cancel: cancel}
	f.mu.Unlock()
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pausing.cancel = nil
}

// Enter tells the follower an era of the store, as an answer about another table says. If
// it is later than that of the copy, the table is read again at once.
func (f *Follower) Enter(number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enter(number, time.Now())
}

// wake ends the pause or the call for changes, as an era has begun. The caller holds the
// lock.
func (f *Follower) wake() {
	f.pausing.skip = true
	if f.pausing.cancel != nil {
		f.pausing.cancel()
	}
	if f.waiting.cancel != nil {
		f.waiting.nudged = true
		f.waiting.cancel()
	}
}
