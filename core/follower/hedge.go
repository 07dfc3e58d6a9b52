package follower

import (
	"context"
	"errors"
	"time"
)

// Of the calls beside one that is not answered.
const (
	hedgeTimeouts = 2 // timeout, in units of the time between their begins
	hedgesMost    = 5 // begins within the timeout of the first, which grows as a silence goes on
)

// answer is the result of one of the calls for changes.
type answer struct {
	rows   []Row
	at     Position
	err    error
	began  time.Time // begin of the call
	second bool      // not of the first call
}

// callChanges calls Source.Changes until the wait and the timeout are over. A call that was
// lost while the store was silent is never answered: from Config.Hedge after the wait on,
// others that don't wait are made beside it, and the first answer counts. It reports whether
// they were.
func (f *Follower) callChanges(ctx context.Context, after Position, wait, timeout time.Duration) (a answer, hedged bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	hedge := f.config.Hedge
	switch {
	case hedge <= 0:
		hedge = timeout + time.Second // after the end
	default:
		hedge = max(hedge, timeout/hedgesMost)
	}
	answers := make(chan answer, 2+timeout/hedge) // none blocks after the return
	call := func(ctx context.Context, wait time.Duration, second bool) {
		a := answer{began: time.Now(), second: second}
		a.rows, a.at, a.err = f.config.Source.Changes(ctx, f.config.Table, after, wait)
		answers <- a
	}
	go call(ctx, wait, false)
	t := time.NewTimer(wait + hedge)
	defer t.Stop()
	for {
		select {
		case a := <-answers:
			if a.second && errors.Is(a.err, context.DeadlineExceeded) {
				continue // the first one fails later, or another is answered
			}
			return a, hedged
		case <-t.C:
			hedged = true
			go func() {
				limited, stop := context.WithTimeout(ctx, hedgeTimeouts*hedge)
				defer stop()
				call(limited, 0, true)
			}()
			t.Reset(hedge)
		}
	}
}
