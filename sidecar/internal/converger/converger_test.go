package converger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/generator"
	"bamboohill/core/scheduler"
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

func (r rows) want(names ...string) { r.wantAt("s", names...) }

func (r rows) wantAt(server string, names ...string) {
	w := scheduler.DesiredState{}
	for _, name := range names {
		w.Models = append(w.Models, generator.Model{Name: name, Version: "1"})
	}
	value, _ := json.Marshal(w)
	r.Commit(context.Background(), storer.Txn{Puts: []storer.Put{{Key: scheduler.DesiredKey("d", server), Value: value}}})
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
				return New(Config{Table: table, Engine: port{engine}, Server: "s", Domain: "d", Budget: scheduler.LoadBudget{Table: table, Rate: 1, Burst: 100}})
			}
			old, next := start(), start()
			table.want("a")
			engine.before = func() {
				table.want("b")
				done, err := next.Step(ctx, 0)
				is.NoErr(err)
				is.True(done)
			}
			_, err := old.Step(ctx, 0)
			if fencing {
				is.True(err != nil) // refused
				is.Equal(names(engine.Models), "b")
			} else {
				is.Equal(names(engine.Models), "a") // obeyed, for now
			}
			done, err := next.Step(ctx, 0)
			is.NoErr(err)
			is.True(done)
			is.Equal(names(engine.Models), "b")
			table.want("c")
			_, err = old.Step(ctx, 0)
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
	budget := scheduler.LoadBudget{Table: table, Rate: 1, Burst: 1, Now: func() time.Time { return now }}
	c := New(Config{Table: table, Engine: port{engine}, Server: "s", Domain: "d", Budget: budget})
	done, err := c.Step(ctx, 0)
	is.NoErr(err)
	is.True(done) // nothing is wanted yet
	table.want("a", "b", "c")
	done, err = c.Step(ctx, 1)
	is.NoErr(err)
	is.True(!done)
	is.Equal(names(engine.Models), "ab")
	done, err = c.Step(ctx, 1) // the budget is used up
	is.NoErr(err)
	is.True(!done)
	is.Equal(names(engine.Models), "ab")
	now = now.Add(time.Second)
	for range 3 {
		done, err = c.Step(ctx, 1)
		is.NoErr(err)
	}
	is.True(done)
	is.Equal(names(engine.Models), "abc")
	is.Equal(engine.orders, 2)
}

// counted counts the reads of a table service.
type counted struct {
	rows
	reads int
}

func (c *counted) Get(ctx context.Context, key string) (storer.Row, error) {
	c.reads++
	return c.rows.Get(ctx, key)
}

// TestReads has an hour pass in steps of ten seconds: a row that nobody tells
// of is read only now and then, one that is told of at once, and one that
// changed untold is found in the end.
func TestReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, table := t.Context(), &counted{rows: rows{}}
		engine := &fakeEngine{}
		c := New(Config{Table: table, Engine: port{engine}, Server: "s", Domain: "d", Budget: scheduler.LoadBudget{Table: table, Rate: 1, Burst: 100}})
		hour := func(told uint64) int {
			before := table.reads
			for range 360 {
				time.Sleep(10 * time.Second)
				_, err := c.Step(ctx, told)
				is.NoErr(err)
			}
			return table.reads - before
		}
		quiet := hour(0)
		is.True(quiet >= 8 && quiet <= 24) // once in 150 to 450 s
		table.want("a")
		_, err := c.Step(ctx, 7)
		is.NoErr(err)
		is.Equal(names(engine.Models), "a")
		is.True(hour(7) <= 24)
		is.True(hour(6) <= 24) // an entry that lags behind the others
		table.want("b")
		hour(7)
		is.Equal(names(engine.Models), "b")
		table.want("c") // nobody tells, and nobody might
		c.Doubt()
		_, err = c.Step(ctx, 7)
		is.NoErr(err)
		is.Equal(names(engine.Models), "c")
		engine.Models = nil // it crashed, or a predecessor's order was late
		_, err = c.Step(ctx, 7)
		is.NoErr(err)
		is.Equal(names(engine.Models), "c")
	})
}

// TestFailingLoadLeavesTheBudget steps three sidecars each second, a little apart,
// while the weight store turns every load away: each gets its turn at the fleet's
// budget of one load a second.
func TestFailingLoadLeavesTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows{}
		var tries [3]int
		all := make([]*Converger, len(tries))
		for i := range all {
			server := fmt.Sprint("s", i)
			table.wantAt(server, "a")
			all[i] = New(Config{
				Table: table, Engine: turnedAway{&tries[i]}, Server: server, Domain: "d",
				Budget: scheduler.LoadBudget{Table: table, Rate: 1, Burst: 1},
			})
		}
		for range 20 {
			for i := range all {
				_, _ = all[i].Step(t.Context(), 0)
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(time.Second - 150*time.Millisecond)
		}
		t.Log(tries)
		for _, n := range tries {
			is.True(n > 0)
		}
		is.True(tries[0]+tries[1]+tries[2] <= 20) // the rate holds
	})
}

// turnedAway is an engine whose weight store turns every load away.
type turnedAway struct{ tries *int }

func (turnedAway) Status(context.Context) (generator.Status, error) { return generator.Status{}, nil }

func (e turnedAway) Order(context.Context, generator.Order) error {
	*e.tries++
	return &generator.StatusError{Code: 429, Text: "weight store over its rate"}
}
