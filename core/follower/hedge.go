package follower

import (
	"context"
	"errors"
	"time"
)

// Of the calls beside one that is not answered.
const (
	hedgeTimeouts   = 2 // timeout, in units of the time between their begins
	hedgesMost      = 5 // begins within the timeout of the first, which grows as a silence goes on
	tableHedgesMost = 8 // the same for whole tables: without one, a process knows nothing of it
)

// answer is the result of one of several calls for the same.
type answer struct {
	rows   []Row
	at     Position
	err    error
	began  time.Time // begin of the call
	second bool      // not of the first call
}

// callChanges calls Source.Changes until the wait and the timeout are over, from Config.Hedge
// after the wait on also beside a call that is not answered. It reports whether it did so.
func (f *Follower) callChanges(ctx context.Context, after Position, wait, timeout time.Duration) (a answer, hedged bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	h := hedger{after: wait, interval: hedgeInterval(f.config.Hedge, timeout, hedgesMost), timeout: timeout}
	return h.call(ctx, func(ctx context.Context, second bool) (rows []Row, at Position, err error) {
		if second {
			return f.config.Source.Changes(ctx, f.config.Table, after, 0)
		}
		return f.config.Source.Changes(ctx, f.config.Table, after, wait)
	})
}

// callTable calls Source.ReadAll with a timeout, from Config.TableHedge on also beside a call
// that is not answered. It reports whether it did so.
func (f *Follower) callTable(ctx context.Context, timeout time.Duration) (a answer, hedged bool) {
	h := hedger{interval: hedgeInterval(f.config.TableHedge, timeout, tableHedgesMost), timeout: timeout}
	return h.call(ctx, func(ctx context.Context, _ bool) (rows []Row, at Position, err error) {
		return f.config.Source.ReadAll(ctx, f.config.Table, timeout)
	})
}

// hedgeInterval returns the time between the begins of calls, or 0 if only one is made.
func hedgeInterval(shortest, timeout time.Duration, most int) time.Duration {
	if shortest <= 0 {
		return 0
	}
	return max(shortest, timeout/time.Duration(most))
}

// hedger makes calls beside one that is not answered: a call that was lost while the store
// was silent never is.
type hedger struct {
	after    time.Duration // for which the store may delay the answer to the first call
	interval time.Duration // between the begins of further calls, the first one that long after that delay; none are made if 0
	timeout  time.Duration // beyond the delay, after which the first call ends by itself
}

// call returns the first answer, and whether further calls were made. The first call decides
// on its error; others that get no answer don't count.
func (h hedger) call(ctx context.Context, do func(ctx context.Context, second bool) ([]Row, Position, error)) (a answer, hedged bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if h.interval <= 0 {
		h.interval = h.timeout + time.Second // after the end
	}
	answers, done := make(chan answer), make(chan struct{})
	defer close(done)
	call := func(ctx context.Context, second bool) {
		a := answer{began: time.Now(), second: second}
		a.rows, a.at, a.err = do(ctx, second)
		select {
		case answers <- a:
		case <-done:
		}
	}
	go call(ctx, false)
	t := time.NewTimer(h.after + h.interval)
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
				limited, stop := context.WithTimeout(ctx, hedgeTimeouts*h.interval)
				defer stop()
				call(limited, true)
			}()
			t.Reset(h.interval)
		}
	}
}
