package recorder

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"bamboohill/core/storer"
)

// fault is a fault of the fake table.
type fault int

const (
	healthy     fault = iota
	unavailable       // every request is refused
	loseAnswer        // a commit takes effect, but its answer is lost
	loseCommit        // a commit does not take effect and its answer is lost
	applyLate         // a commit's answer is lost and it takes effect after applyLateDelay
	silent            // no request is answered, reads included
	slow              // a request takes effect at once and is answered after slowDelay
	faultCount        // number of faults
)

const (
	applyLateDelay = 7 * time.Second
	slowDelay      = 3 * time.Second
	callLatency    = 5 * time.Millisecond
)

var errLost = &storer.UnknownOutcomeError{Cause: errors.New("answer lost")}

// fakeTable is an in-memory table service with faults that several sidecars share.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[string]storer.Row
	fault       fault
	writes      int
	ops         int
	lateCommits sync.WaitGroup
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]storer.Row{}} }

func (t *fakeTable) set(f fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

func (t *fakeTable) current() fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault
}

// readError returns the error of a read under a fault.
func (t *fakeTable) readError(ctx context.Context) error {
	switch t.current() {
	case unavailable:
		return &storer.UnavailableError{RetryAfter: time.Second}
	case silent:
		wait(ctx, time.Second)
		return errLost
	case slow:
		wait(ctx, slowDelay)
	default:
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (t *fakeTable) Get(ctx context.Context, key string) (storer.Row, error) {
	wait(ctx, callLatency)
	if err := t.readError(ctx); err != nil {
		return storer.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[key]
	row.Key = key
	return row, nil
}

func (t *fakeTable) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := t.readError(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []storer.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (t *fakeTable) Commit(ctx context.Context, txn storer.Txn) error {
	wait(ctx, callLatency)
	switch t.current() {
	case unavailable:
		return &storer.UnavailableError{RetryAfter: time.Second}
	case loseAnswer:
		t.apply(txn)
		return errLost
	case loseCommit:
		return errLost
	case silent:
		wait(ctx, time.Second)
		if rand.IntN(2) == 0 {
			t.apply(txn)
		}
		return errLost
	case applyLate:
		t.lateCommits.Go(func() {
			time.Sleep(applyLateDelay)
			t.apply(txn)
		})
		return errLost
	case slow:
		err := t.apply(txn)
		wait(ctx, slowDelay)
		return err
	default:
	}
	return t.apply(txn)
}

func (t *fakeTable) apply(txn storer.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	t.ops += len(txn.Checks)
	return txn.Apply(t.rows)
}

// process is the table as one sidecar process uses it. After it is killed, its
// calls have no effect. While it is paused, its calls take effect, but their
// answers are delayed until it resumes.
type process struct {
	*fakeTable
	mu     sync.Mutex
	killed bool
	paused chan struct{} // closed when the process resumes; nil while it is not paused
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// waitResumed waits while the process is paused and reports whether it is alive.
func (p *process) waitResumed() bool {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.killed
}

func (p *process) Get(ctx context.Context, key string) (storer.Row, error) {
	row, err := p.fakeTable.Get(ctx, key)
	if !p.waitResumed() {
		return storer.Row{}, errLost
	}
	return row, err
}

func (p *process) Commit(ctx context.Context, txn storer.Txn) error {
	p.mu.Lock()
	killed := p.killed
	p.mu.Unlock()
	if killed {
		return errLost
	}
	err := p.fakeTable.Commit(ctx, txn)
	if !p.waitResumed() {
		return errLost
	}
	return err
}
