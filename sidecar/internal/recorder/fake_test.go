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

// fault is what the fake table does to its callers while it is on.
type fault int

const (
	healthy fault = iota
	down          // refuses
	lose          // a commit takes effect, its answer is lost
	drop          // a commit does not take effect, its answer is lost
	ghost         // a commit's answer is lost and it takes effect much later
	deaf          // nothing is answered, reads included
	slow          // takes effect at once, answers seconds later
	faults        // number of faults
)

const (
	ghostLag = 7 * time.Second
	slowLag  = 3 * time.Second
	callLag  = 5 * time.Millisecond
)

var errLost = &storer.UnknownOutcomeError{Cause: errors.New("answer lost")}

// fakeTable is a table service with faults, shared by several sidecars.
type fakeTable struct {
	mu     sync.Mutex
	rows   map[string]storer.Row
	fault  fault
	writes int
	ops    int
	ghosts sync.WaitGroup
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]storer.Row{}} }

func (t *fakeTable) set(f fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

func (t *fakeTable) now() fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault
}

// refuseRead returns the error of a read under a fault.
func (t *fakeTable) refuseRead(ctx context.Context) error {
	switch t.now() {
	case down:
		return &storer.UnavailableError{RetryAfter: time.Second}
	case deaf:
		wait(ctx, time.Second)
		return errLost
	case slow:
		wait(ctx, slowLag)
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
	wait(ctx, callLag)
	if err := t.refuseRead(ctx); err != nil {
		return storer.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[key]
	row.Key = key
	return row, nil
}

func (t *fakeTable) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := t.refuseRead(ctx); err != nil {
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
	wait(ctx, callLag)
	switch t.now() {
	case down:
		return &storer.UnavailableError{RetryAfter: time.Second}
	case lose:
		t.apply(txn)
		return errLost
	case drop:
		return errLost
	case deaf:
		wait(ctx, time.Second)
		if rand.IntN(2) == 0 {
			t.apply(txn)
		}
		return errLost
	case ghost:
		t.ghosts.Go(func() {
			time.Sleep(ghostLag)
			t.apply(txn)
		})
		return errLost
	case slow:
		err := t.apply(txn)
		wait(ctx, slowLag)
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

// process is one sidecar's view of the table. When it is killed, nothing that
// it does has an effect any more; while it is paused, its calls take effect
// and their answers wait.
type process struct {
	*fakeTable
	mu     sync.Mutex
	killed bool
	paused chan struct{} // closed when it goes on; nil while it runs
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

// hold waits while the process is paused and reports whether it lives.
func (p *process) hold() bool {
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
	if !p.hold() {
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
	if !p.hold() {
		return errLost
	}
	return err
}
