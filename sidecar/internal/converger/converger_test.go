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

// rows is a table service for a single caller.
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

// setDesired writes the desired models of server s.
func (r rows) setDesired(names ...string) { r.setDesiredAt("s", names...) }

func (r rows) setDesiredAt(server string, names ...string) {
	state := scheduler.DesiredState{}
	for _, name := range names {
		state.Models = append(state.Models, generator.Model{Name: name, Version: "1"})
	}
	value, _ := json.Marshal(state)
	r.Commit(context.Background(), storer.Txn{Puts: []storer.Put{{Key: scheduler.DesiredKey("d", server), Value: value}}})
}

// fakeEngine executes orders and checks their fencing tokens if Fencing is set.
// beforeOrder runs once, between the sidecar's last read of the status and its
// order.
type fakeEngine struct {
	generator.Status
	orders      int
	beforeOrder func()
}

func (e *fakeEngine) status() generator.Status { return e.Status }

type port struct{ *fakeEngine }

func (p port) Status(context.Context) (generator.Status, error) { return p.status(), nil }

func (p port) Order(_ context.Context, o generator.Order) error {
	if before := p.beforeOrder; before != nil {
		p.beforeOrder = nil
		before()
	}
	if p.Fencing && o.Fence < p.Fence {
		return &generator.StatusError{Code: 409, Text: "outdated fencing token"}
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

// TestPausedPredecessor pauses a sidecar between its read of the desired state
// and its order, while its successor converges the engine to a newer state. The
// late order must not last.
func TestPausedPredecessor(t *testing.T) {
	for name, fencing := range map[string]bool{"engine checks tokens": true, "engine ignores tokens": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, table := t.Context(), rows{}
			engine := &fakeEngine{Status: generator.Status{Fencing: fencing}}
			start := func() *Converger {
				return New(Config{Table: table, Engine: port{engine}, Server: "s", Domain: "d", Budget: scheduler.LoadBudget{Table: table, Rate: 1, Burst: 100}})
			}
			old, next := start(), start()
			table.setDesired("a")
			engine.beforeOrder = func() {
				table.setDesired("b")
				done, err := next.Step(ctx, 0)
				is.NoErr(err)
				is.True(done)
			}
			_, err := old.Step(ctx, 0)
			if fencing {
				is.True(err != nil) // refused
				is.Equal(names(engine.Models), "b")
			} else {
				is.Equal(names(engine.Models), "a") // executed, until the next step
			}
			done, err := next.Step(ctx, 0)
			is.NoErr(err)
			is.True(done)
			is.Equal(names(engine.Models), "b")
			table.setDesired("c")
			_, err = old.Step(ctx, 0)
			var superseded *SupersededError
			is.True(errors.As(err, &superseded))
			is.Equal(names(engine.Models), "b")
		})
	}
}

// TestOneLoadAStep checks that several models are loaded one by one, within the
// load budget, and that no order is sent once the engine has the desired state.
func TestOneLoadAStep(t *testing.T) {
	is := is.New(t)
	ctx, table := t.Context(), rows{}
	engine := &fakeEngine{Status: generator.Status{Models: []generator.Model{{Name: "a", Version: "1"}}}}
	now := time.Unix(1_000_000, 0)
	budget := scheduler.LoadBudget{Table: table, Rate: 1, Burst: 1, Now: func() time.Time { return now }}
	c := New(Config{Table: table, Engine: port{engine}, Server: "s", Domain: "d", Budget: budget})
	done, err := c.Step(ctx, 0)
	is.NoErr(err)
	is.True(done) // no desired state yet
	table.setDesired("a", "b", "c")
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

// countingRows counts the reads of a table service.
type countingRows struct {
	rows
	reads int
}

func (c *countingRows) Get(ctx context.Context, key string) (storer.Row, error) {
	c.reads++
	return c.rows.Get(ctx, key)
}

// TestReads takes a step every ten seconds for several hours: the desired state
// is read rarely while no revision is announced, and immediately once one is. A
// change that is never announced is found by the periodic read, or at once after
// ForceRead or if the engine differs from the desired state.
func TestReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, table := t.Context(), &countingRows{rows: rows{}}
		engine := &fakeEngine{}
		c := New(Config{Table: table, Engine: port{engine}, Server: "s", Domain: "d", Budget: scheduler.LoadBudget{Table: table, Rate: 1, Burst: 100}})
		hour := func(announced uint64) int {
			before := table.reads
			for range 360 {
				time.Sleep(10 * time.Second)
				_, err := c.Step(ctx, announced)
				is.NoErr(err)
			}
			return table.reads - before
		}
		quiet := hour(0)
		is.True(quiet >= 8 && quiet <= 24) // once in 150 to 450 s
		table.setDesired("a")
		_, err := c.Step(ctx, 7)
		is.NoErr(err)
		is.Equal(names(engine.Models), "a")
		is.True(hour(7) <= 24)
		is.True(hour(6) <= 24) // announced by an entry that lags behind the others
		table.setDesired("b")
		hour(7)
		is.Equal(names(engine.Models), "b")
		table.setDesired("c") // not announced, as by entries that are unreachable
		c.ForceRead()
		_, err = c.Step(ctx, 7)
		is.NoErr(err)
		is.Equal(names(engine.Models), "c")
		engine.Models = nil // a crash, or a predecessor's late order
		_, err = c.Step(ctx, 7)
		is.NoErr(err)
		is.Equal(names(engine.Models), "c")
	})
}

// TestFailingLoadLeavesTheBudget steps three sidecars each second, 50 ms apart,
// while the weight store refuses every load: each sidecar must get a share of
// the fleet's budget of one load per second.
func TestFailingLoadLeavesTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows{}
		var tries [3]int
		all := make([]*Converger, len(tries))
		for i := range all {
			server := fmt.Sprint("s", i)
			table.setDesiredAt(server, "a")
			all[i] = New(Config{
				Table: table, Engine: refusing{&tries[i]}, Server: server, Domain: "d",
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
		is.True(tries[0]+tries[1]+tries[2] <= 20) // the rate limit
	})
}

// refusing is an engine whose weight store refuses every load.
type refusing struct{ tries *int }

func (refusing) Status(context.Context) (generator.Status, error) { return generator.Status{}, nil }

func (e refusing) Order(context.Context, generator.Order) error {
	*e.tries++
	return &generator.StatusError{Code: 429, Text: "weight store over its rate"}
}
