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

// table is a table service in memory.
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

// fleet is some sidecars and the shares that they were told last.
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

// minutes lets sidecars 0 to n-1 take part for a while.
func (f *fleet) minutes(span, n int) {
	for range span {
		f.now = f.now.Add(time.Minute)
		for _, s := range f.all[:n] {
			s.RunPeriod(context.Background())
		}
	}
}

func TestBoundIsShared(t *testing.T) {
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
			is.Equal(f.table.writes, 2*n) // one a minute and sidecar
		})
	}
}

func TestGoneSidecarsGiveTheirShareBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.minutes(2, 4)
	is.Equal(f.shares[0], 62.5)
	f.minutes(4, 2)
	is.Equal(f.shares[0], 62.5) // not yet
	f.minutes(1, 2)
	is.Equal(f.shares[0], 125.0)
	is.Equal(len(f.table.rows), 4)
	f.minutes(8, 2)
	is.Equal(len(f.table.rows), 2) // their rows are gone too
	f.minutes(1, 4)
	is.Equal(f.shares[3], 62.5) // back
}

func TestOutageKeepsTheShare(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.minutes(2, 4)
	f.table.down = true
	f.minutes(10, 4)
	is.Equal(f.shares, []float64{62.5, 62.5, 62.5, 62.5})
	f.table.down = false
	f.minutes(1, 1) // the others have not written again yet
	is.True(f.shares[0] >= 62.5)
	f.minutes(2, 4)
	is.Equal(f.shares, []float64{62.5, 62.5, 62.5, 62.5})
}

// TestRowWrittenMeanwhileStays deletes an old row that is written between the
// reading and the deletion.
func TestRowWrittenMeanwhileStays(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.minutes(1, 2)
	s := f.all[0]
	late := f.now.Add(time.Hour)
	f.all[1].RunPeriod(context.Background())
	s.clear(context.Background(), late)
	is.Equal(f.table.rows["pace/s1"].Version, uint64(2))
}
