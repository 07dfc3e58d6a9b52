package keeper

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"bamboohill/core/storer"
	"bamboohill/wire"
)

// fakeTable is an in-memory table service with fault injection.
type fakeTable struct {
	mu           sync.Mutex
	rows         map[string]storer.Row
	down         bool
	lostAnswers  int           // number of commits that take effect and whose answer is lost
	lostRequests int           // number of commits that are lost before they take effect
	delay        time.Duration // of each call
	before       func()        // runs once, before the next commit
	reads        int
	writes       int
	objects      map[string][]byte
}

func newTable() *fakeTable {
	return &fakeTable{rows: map[string]storer.Row{}, objects: map[string][]byte{}}
}

var errLost = errors.New("answer lost")

func (t *fakeTable) Get(_ context.Context, key string) (storer.Row, error) {
	time.Sleep(t.delay)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down {
		return storer.Row{}, &storer.UnavailableError{RetryAfter: time.Second}
	}
	row := t.rows[key]
	row.Key = key
	return row, nil
}

func (t *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	time.Sleep(t.delay)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down {
		return nil, &storer.UnavailableError{RetryAfter: time.Second}
	}
	var rows []storer.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storer.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *fakeTable) Commit(_ context.Context, txn storer.Txn) error {
	time.Sleep(t.delay)
	t.mu.Lock()
	before := t.before
	t.before = nil
	t.mu.Unlock()
	if before != nil {
		before()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	if t.down {
		return &storer.UnavailableError{RetryAfter: time.Second}
	}
	if t.lostRequests > 0 {
		t.lostRequests--
		return &storer.UnknownOutcomeError{Cause: errLost}
	}
	if e := t.apply(txn); e != nil {
		return e
	}
	if t.lostAnswers > 0 {
		t.lostAnswers--
		return &storer.UnknownOutcomeError{Cause: errLost}
	}
	return nil
}

func (t *fakeTable) apply(txn storer.Txn) error {
	return txn.Apply(t.rows)
}

func (t *fakeTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// fakeObjects is the object store beside a fakeTable.
type fakeObjects struct{ t *fakeTable }

func (o fakeObjects) Put(_ context.Context, name string, data []byte) error {
	o.t.mu.Lock()
	defer o.t.mu.Unlock()
	o.t.objects[name] = data
	return nil
}

func (o fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	o.t.mu.Lock()
	defer o.t.mu.Unlock()
	data, found := o.t.objects[name]
	if !found {
		return nil, &storer.NotFoundError{Name: name}
	}
	return data, nil
}

// fakePeers are the keepers of other processes, some of which are reachable.
type fakePeers struct {
	all      map[string]*Keeper
	replying func() []string // addresses of the peers that reply
}

func (p *fakePeers) Ask(context.Context) (int, []Reply) {
	var replies []Reply
	for _, a := range p.replying() {
		k := p.all[a]
		replies = append(replies, Reply{Address: a, Sequence: k.State().Sequence, Age: time.Since(k.Confirmed()), Ready: k.Ready()})
	}
	return len(p.all), replies
}

func (p *fakePeers) Pull(_ context.Context, address string, after uint64) (*wire.Batch, error) {
	return p.all[address].State().Since(after), nil
}

func domainOut(name string, out bool) *wire.Record {
	return &wire.Record{Value: &wire.Record_Domain{Domain: &wire.Placement{Name: name, Out: out}}}
}
