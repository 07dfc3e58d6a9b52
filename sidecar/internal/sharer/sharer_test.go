package sharer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"bamboohill/core/storer"

	"github.com/matryer/is"
)

// table is an in-memory table service.
type table struct {
	rows   map[string]storer.Row
	down   bool
	writes int
}

func (t *table) Get(_ context.Context, key string) (storer.Row, error) { return t.rows[key], nil }

func (t *table) Scan(_ context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if t.down {
		return nil, &storer.UnavailableError{}
	}
	var all []storer.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			all = append(all, row)
		}
	}
	slices.SortFunc(all, func(a, b storer.Row) int { return strings.Compare(a.Key, b.Key) })
	return all[:min(limit, len(all))], nil
}

func (t *table) Commit(_ context.Context, txn storer.Txn) error {
	if t.down {
		return &storer.UnavailableError{}
	}
	t.writes++
	return txn.Apply(t.rows)
}

// fleet is a group of sidecars with their latest shares.
type fleet struct {
	table  *table
	all    []*Sharer
	shares []float64
	now    time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{table: &table{rows: map[string]storer.Row{}}, shares: make([]float64, n), now: time.Unix(1000, 0)}
	for i := range n {
		f.all = append(f.all, New(Config{
			Table: f.table, Name: fmt.Sprint("s", i), OnShare: func(share float64) { f.shares[i] = share }, Now: func() time.Time { return f.now },
		}))
	}
	return f
}

// minutes updates the sidecars 0 to n-1 once a minute for count minutes.
func (f *fleet) minutes(count, n int) {
	for range count {
		f.now = f.now.Add(time.Minute)
		for _, s := range f.all[:n] {
			s.Update(context.Background())
		}
	}
}

func TestTotalRateIsShared(t *testing.T) {
	for _, n := range []int{1, 3, 40, 600} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n)
			f.minutes(2, n)
			sum := 0.0
			for _, share := range f.shares {
				sum += share
			}
			is.True(sum > 249.9 && sum < 250.1)
			is.Equal(f.table.writes, 2*n) // one per minute and sidecar
		})
	}
}

func TestShareOfDeadSidecarsIsRedistributed(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.minutes(2, 4)
	is.Equal(f.shares[0], 62.5)
	f.minutes(4, 2)
	is.Equal(f.shares[0], 62.5) // the other two still count as alive
	f.minutes(1, 2)
	is.Equal(f.shares[0], 125.0)
	is.Equal(len(f.table.rows), 4)
	f.minutes(8, 2)
	is.Equal(len(f.table.rows), 2) // the rows of the other two are deleted
	f.minutes(1, 4)
	is.Equal(f.shares[3], 62.5) // the other two are alive again
}

func TestOutageKeepsTheShare(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.minutes(2, 4)
	f.table.down = true
	f.minutes(10, 4)
	is.Equal(f.shares, []float64{62.5, 62.5, 62.5, 62.5})
	f.table.down = false
	f.minutes(1, 1) // the others have not written a row again yet
	is.True(f.shares[0] >= 62.5)
	f.minutes(2, 4)
	is.Equal(f.shares, []float64{62.5, 62.5, 62.5, 62.5})
}

// TestConcurrentlyWrittenRowStays writes a stale row between the read and the
// deletion by another sidecar, which must then not delete it.
func TestConcurrentlyWrittenRowStays(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.minutes(1, 2)
	s := f.all[0]
	late := f.now.Add(time.Hour)
	f.all[1].Update(context.Background())
	s.clear(context.Background(), late)
	is.Equal(f.table.rows["pace/s1"].Version, uint64(2))
}
