package scheduler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/generator"
	"bamboohill/core/storer"

	"github.com/matryer/is"
)

// memory is an in-memory table service that never fails.
type memory struct {
	mu   sync.Mutex
	rows map[string]storer.Row
}

func newMemory() *memory { return &memory{rows: map[string]storer.Row{}} }

func (m *memory) Get(_ context.Context, key string) (storer.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.rows[key]
	row.Key = key
	return row, nil
}

func (m *memory) Scan(_ context.Context, prefix, after string, _ int) ([]storer.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []storer.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (m *memory) Commit(_ context.Context, txn storer.Txn) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return txn.Apply(m.rows)
}

func model(name string) generator.Model { return generator.Model{Name: name, Version: "1"} }

// TestPausedHolder checks that a holder which was paused for longer than the
// term of its lease can't change the desired state.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, table := t.Context(), newMemory()
		lessee := func(name string) *Lessee {
			return NewLessee(LesseeConfig{Table: table, Key: LeaseKey("ikeja"), Name: name, Term: 3 * time.Second})
		}
		write := func(g Grant, version uint64, name string) error {
			return Write(ctx, table, g, []DesiredRow{{Key: DesiredKey("ikeja", "e1"), Version: version, State: DesiredState{Models: []generator.Model{model(name)}}}})
		}
		a, b := lessee("a"), lessee("b")
		old, held, err := a.Step(ctx)
		is.NoErr(err)
		is.True(held)
		is.NoErr(write(old, 0, "base"))
		for range 3 { // b waits while a renews
			time.Sleep(time.Second)
			_, held, _ = b.Step(ctx)
			is.True(!held)
			old, held, _ = a.Step(ctx)
			is.True(held)
		}
		_, held, _ = b.Step(ctx)
		is.True(!held)
		time.Sleep(3 * time.Second) // a is paused
		now, held, err := b.Step(ctx)
		is.NoErr(err)
		is.True(held)
		is.Equal(now.Number, old.Number+1)
		is.NoErr(write(now, 1, "survey"))
		var lost *LeaseLostError
		is.True(errors.As(write(old, 2, "base"), &lost)) // a has not noticed the loss
		w, err := ReadDesired(ctx, table, "ikeja", "e1")
		is.NoErr(err)
		is.Equal(w.State.Models[0].Name, "survey")
		is.Equal(w.State.Number, now.Number)
		_, held, _ = a.Step(ctx)
		is.True(!held)
	})
}

// TestPlan checks single changes.
func TestPlan(t *testing.T) {
	base, survey, crew := model("base"), model("survey"), model("crew")
	tuned := model("base")
	tuned.Adapters = []string{"wind"}
	all := func(models ...generator.Model) []Server {
		return []Server{{ID: "e1", Models: models}, {ID: "e2", Models: models}, {ID: "e3", Models: models}}
	}
	for name, c := range map[string]struct {
		servers []Server
		demands []ModelDemand
		want    string
	}{
		"near enough":            {all(base, survey), []ModelDemand{{Model: base, Share: 0.6}, {Model: survey, Share: 0.4}}, "<nil>"},
		"no copy, free slot":     {all(base), []ModelDemand{{Model: base, Share: 1}, {Model: crew, Share: 0}}, "&{e1 [base crew]}"},
		"no copy, excess model":  {all(base, survey), []ModelDemand{{Model: base, Share: 0.9}, {Model: survey, Share: 0.1}, {Model: crew, Share: 0}}, "&{e1 [base crew]}"},
		"no copy, no excess":     {all(base, survey), []ModelDemand{{Model: base, Share: 0.9}, {Model: survey, Share: 0.9}, {Model: crew, Share: 0}}, "<nil>"},
		"unallowed is replaced":  {all(base, survey), []ModelDemand{{Model: base, Share: 1}, {Model: crew, Share: 0}}, "&{e1 [base crew]}"},
		"unallowed may remain":   {all(base, survey), []ModelDemand{{Model: base, Share: 1}}, "<nil>"},
		"adapter that is named":  {all(base), []ModelDemand{{Model: tuned, Share: 1}}, "&{e1 [base+wind]}"},
		"within the hysteresis":  {[]Server{{ID: "e1", Models: []generator.Model{base}}, {ID: "e2", Models: []generator.Model{survey}}}, []ModelDemand{{Model: base, Share: 0.7}, {Model: survey, Share: 0.3}}, "<nil>"},
		"beyond the hysteresis":  {[]Server{{ID: "e1", Models: []generator.Model{base}}, {ID: "e2", Models: []generator.Model{survey}}}, []ModelDemand{{Model: base, Share: 0.8}, {Model: survey, Share: 0.2}}, "&{e2 [survey base]}"},
		"nothing allowed at all": {all(base), nil, "<nil>"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(show(Plan(c.servers, c.demands, Policy{})), c.want)
		})
	}
}

// show formats the models of a change.
func show(c *Change) string {
	if c == nil {
		return "<nil>"
	}
	var names []string
	for _, m := range c.Models {
		names = append(names, strings.Join(append([]string{m.Name}, m.Adapters...), "+"))
	}
	return fmt.Sprintf("&{%s %v}", c.Server, names)
}

// rounds calls Plan n times under a steady load whose shares are measured with
// noise, and returns the numbers of changes in the first and the second half.
func rounds(n int, hysteresis float64, seed uint64) (first, second int) {
	random := rand.New(rand.NewPCG(seed, 1))
	names := []string{"a", "b", "c", "d", "e", "f"}
	load := []float64{0.31, 0.24, 0.19, 0.12, 0.09, 0.05}
	servers := make([]Server, 14)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprintf("e%02d", i), Models: []generator.Model{model("a"), model("b")}}
	}
	for i := range n {
		var demands []ModelDemand
		for j, name := range names {
			demands = append(demands, ModelDemand{Model: model(name), Share: load[j] * (0.85 + 0.3*random.Float64())})
		}
		c := Plan(servers, demands, Policy{Slots: 2, Hysteresis: hysteresis})
		if c == nil {
			continue
		}
		for j := range servers {
			if servers[j].ID == c.Server {
				servers[j].Models = c.Models
			}
		}
		if i < n/2 {
			first++
		} else {
			second++
		}
	}
	return first, second
}

// TestSteady checks that the plan settles under a steady load: the second half
// of the rounds has no change.
func TestSteady(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		first, second := rounds(400, 0, seed)
		is.True(first > 0)
		is.Equal(second, 0)
	}
}

// BenchmarkSteady reports the changes in both halves of the rounds, with and
// without hysteresis.
func BenchmarkSteady(b *testing.B) {
	for _, hysteresis := range []float64{defaultHysteresis, 1e-9} {
		b.Run(fmt.Sprintf("band=%.1f", hysteresis), func(b *testing.B) {
			var first, second int
			for range b.N {
				first, second = 0, 0
				for seed := range uint64(20) {
					f, s := rounds(400, hysteresis, seed)
					first, second = first+f, second+s
				}
			}
			b.ReportMetric(float64(first)/20, "settling")
			b.ReportMetric(float64(second)/20, "settled")
		})
	}
}

// TestBudget checks that many sidecars that try to load at the same time stay
// within the rate of the fleet.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newMemory()
		taken := 0
		for range 100 { // 10 s
			for range 14 {
				ok, err := LoadBudget{Table: table, Rate: 2, Burst: 2}.Take(t.Context())
				is.NoErr(err)
				if ok {
					taken++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(taken >= 19 && taken <= 22) // the burst, and 2 loads/s
	})
}

// TestRevisions checks that an observer of the lease row gets the last revision
// of each row that two holders have written in turn, and that the number of
// listed rows is bounded.
func TestRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, table := t.Context(), newMemory()
		lessee := func(name string) *Lessee {
			return NewLessee(LesseeConfig{Table: table, Key: LeaseKey("ikeja"), Name: name, Term: 3 * time.Second})
		}
		write := func(l *Lessee, server string) error {
			grant, held, err := l.Step(ctx)
			is.NoErr(err)
			is.True(held)
			w, err := ReadDesired(ctx, table, "ikeja", server)
			is.NoErr(err)
			is.NoErr(Write(ctx, table, grant, []DesiredRow{w}))
			return Write(ctx, table, grant, []DesiredRow{{Key: DesiredKey("ikeja", "other")}})
		}
		a, b, observer := lessee("a"), lessee("b"), lessee("seer")
		var lost *LeaseLostError
		is.True(errors.As(write(a, "e1"), &lost)) // a grant is good for one write
		is.True(errors.As(write(a, "e2"), &lost))
		_, held, err := b.Step(ctx)
		is.NoErr(err)
		is.True(!held)
		time.Sleep(3 * time.Second)
		is.True(errors.As(write(b, "e1"), &lost))
		_, _, err = observer.Step(ctx)
		is.NoErr(err)
		is.Equal(observer.Revisions(), map[string]uint64{DesiredKey("ikeja", "e1"): 3, DesiredKey("ikeja", "e2"): 2})
		w, err := ReadDesired(ctx, table, "ikeja", "e1")
		is.NoErr(err)
		is.Equal(w.State.Revision, uint64(3))
		for i := range 2 * recentWrites {
			write(b, fmt.Sprintf("m%d", i))
		}
		observer.Step(ctx)
		is.Equal(len(observer.Revisions()), recentWrites)
	})
}
