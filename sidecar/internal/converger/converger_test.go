package converger

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"bamboohill/core/generator"
	"bamboohill/core/orderer"
	"bamboohill/core/storer"

	"github.com/matryer/is"
)

// rows is a table service of one caller.
type rows map[string]storer.Row

func (r rows) Get(_ context.Context, key string) (storer.Row, error) {
	row := r[key]
	row.Key = key
	return row, nil
}

func (r rows) Scan(context.Context, string, string, int) ([]storer.Row, error) { return nil, nil }

func (r rows) Commit(_ context.Context, txn storer.Txn) error {
	for _, p := range txn.Puts {
		r[p.Key] = storer.Row{Key: p.Key, Value: p.Value, Version: r[p.Key].Version + 1}
	}
	return nil
}

func (r rows) want(names ...string) {
	w := orderer.Want{}
	for _, name := range names {
		w.Models = append(w.Models, generator.Model{Name: name, Version: "1"})
	}
	value, _ := json.Marshal(w)
	r.Commit(context.Background(), storer.Txn{Puts: []storer.Put{{Key: orderer.WantKey("d", "s"), Value: value}}})
}

// fakeEngine obeys orders, with or without a look at their number. before runs
// once between the sidecar's last look and its order.
type fakeEngine struct {
	generator.Status
	orders int
	before func()
}

func (e *fakeEngine) status() generator.Status { return e.Status }

type port struct{ *fakeEngine }

func (p port) Status(context.Context) (generator.Status, error) { return p.status(), nil }

func (p port) Order(_ context.Context, o generator.Order) error {
	if before := p.before; before != nil {
		p.before = nil
		before()
	}
	if p.Fencing && o.Fence < p.Fence {
		return &generator.StatusError{Code: 409, Text: "old number"}
	}
	p.Fence = max(p.Fence, o.Fence)
	p.Models = o.Models
	p.orders++
	return nil
}

func names(models []generator.Model) (all string) {
	for _, m := range models {
		all += m.Name
	}
	return all
}

// TestPausedPredecessor pauses a sidecar between its look at the row and its
// order, while its successor converges the engine to a newer row.
func TestPausedPredecessor(t *testing.T) {
	for name, fencing := range map[string]bool{"engine checks numbers": true, "engine ignores numbers": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, table := t.Context(), rows{}
			engine := &fakeEngine{Status: generator.Status{Fencing: fencing}}
			start := func() *Converger {
				return New(Config{Table: table, Engine: port{engine}, Server: "s", Domain: "d", Budget: orderer.Budget{Table: table, Rate: 1, Burst: 100}})
			}
			old, next := start(), start()
			table.want("a")
			engine.before = func() {
				table.want("b")
				done, err := next.Step(ctx)
				is.NoErr(err)
				is.True(done)
			}
			_, err := old.Step(ctx)
			if fencing {
				is.True(err != nil) // refused
				is.Equal(names(engine.Models), "b")
			} else {
				is.Equal(names(engine.Models), "a") // obeyed, for now
			}
			done, err := next.Step(ctx)
			is.NoErr(err)
			is.True(done)
			is.Equal(names(engine.Models), "b")
			table.want("c")
			_, err = old.Step(ctx)
			var succeeded *SucceededError
			is.True(errors.As(err, &succeeded))
			is.Equal(names(engine.Models), "b")
		})
	}
}

// TestOneLoadAStep loads several models one by one, within the budget, and
// orders nothing once the engine is as wanted.
func TestOneLoadAStep(t *testing.T) {
	is := is.New(t)
	ctx, table := t.Context(), rows{}
	engine := &fakeEngine{Status: generator.Status{Models: []generator.Model{{Name: "a", Version: "1"}}}}
	now := time.Unix(1_000_000, 0)
	budget := orderer.Budget{Table: table, Rate: 1, Burst: 1, Now: func() time.Time { return now }}
	c := New(Config{Table: table, Engine: port{engine}, Server: "s", Domain: "d", Budget: budget})
	done, err := c.Step(ctx)
	is.NoErr(err)
	is.True(done) // nothing is wanted yet
	table.want("a", "b", "c")
	done, err = c.Step(ctx)
	is.NoErr(err)
	is.True(!done)
	is.Equal(names(engine.Models), "ab")
	done, err = c.Step(ctx) // the budget is used up
	is.NoErr(err)
	is.True(!done)
	is.Equal(names(engine.Models), "ab")
	now = now.Add(time.Second)
	for range 3 {
		done, err = c.Step(ctx)
		is.NoErr(err)
	}
	is.True(done)
	is.Equal(names(engine.Models), "abc")
	is.Equal(engine.orders, 2)
}
