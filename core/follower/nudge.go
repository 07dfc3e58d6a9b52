package follower

import (
	"context"
	"errors"
	"time"
)

// nudgeDelay is the time for a change to arrive by itself before a nudge takes effect.
const nudgeDelay = 200 * time.Millisecond

// errNudged reports a call that ended because the store has a newer position.
var errNudged = errors.New("follower: the store has a newer position")

// waiting is a call that waits for changes.
type waiting struct {
	cancel context.CancelFunc // nil if there is no such call
	nudged bool               // the next call must not wait
}

// Nudge tells the follower a position that the store has reached, as an answer about
// another table says: versions are those of the whole store. If the follower does not
// reach it by itself, its call for changes may have been lost, and is repeated.
func (f *Follower) Nudge(at Position) {
	if !f.isBehind(at) || !f.nudging.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(nudgeDelay, func() {
		f.nudging.Store(false)
		if f.isBehind(at) {
			f.Refresh()
		}
	})
}

// Refresh ends a call that waits for changes, and makes the next one not wait.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting.nudged = true
	if f.waiting.cancel != nil {
		f.waiting.cancel()
	}
}

// isBehind reports whether the last answer is from before a position of the store.
func (f *Follower) isBehind(at Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era.read && (f.position.Era < at.Era || f.position.Era == at.Era && f.position.Version < at.Version)
}

// waitForChanges calls Source.Changes. The error is errNudged if Nudge ends the call.
func (f *Follower) waitForChanges(ctx context.Context, after Position, wait, timeout time.Duration) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	wait, nudged := f.untilSettled(f.untilAbsentDue(wait)), f.waiting.nudged
	if nudged {
		wait = 0
	}
	f.waiting = waiting{}
	if !nudged {
		f.waiting.cancel = cancel
	}
	f.mu.Unlock()
	began := time.Now()
	a, hedged := f.callChanges(ctx, after, wait, timeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting.cancel = nil
	if hedged || time.Since(began) > wait+minReadTimeout {
		f.era.answers = time.Time{} // the store was silent
	}
	if a.err != nil && ctx.Err() != nil && f.waiting.nudged {
		a.err = errNudged
	}
	return a
}
