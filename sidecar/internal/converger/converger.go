// Package converger brings one model engine to the state that is wanted of it.
// Nobody else orders the engine.
//
// # Usage
//
//	c := converger.New(converger.Config{Table: table, Engine: engine, Server: "engine7", Domain: "ikeja", Budget: budget})
//	err := c.Step(ctx, told) // again and again, with the newest revision that entries told
//
// Each sidecar takes a fencing number from the table service when it first has
// to give an order. An engine that checks numbers refuses a paused
// predecessor's late order; an engine that ignores them may obey it, so every
// step reads the engine again and repeats the order until the engine is as the
// row wants. While the table service is away nothing is ordered.
//
// The row is read when entries tell of a newer revision, before each order, and
// now and then in case nobody told.
package converger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bamboohill/core/generator"
	"bamboohill/core/scheduler"
	"bamboohill/core/storer"
)

// Engine is the part of a model engine that orders need.
type Engine interface {
	Status(ctx context.Context) (generator.Status, error)
	Order(ctx context.Context, order generator.Order) error
}

// Config describes a Converger.
type Config struct {
	Table  storer.Table
	Engine Engine
	Server string
	Domain string
	Budget scheduler.LoadBudget
	// Safety is the mean time between two reads of the row when nobody tells of
	// a newer one, five minutes if zero. Now is the clock, time.Now if nil.
	Safety time.Duration
	Now    func() time.Time
}

// defaultSafety is the default of Config.Safety.
const defaultSafety = 5 * time.Minute

// Rest after a load that failed: longer than the second in which the fleet's
// budget refills, so that another sidecar has its turn, and as far apart as looks
// at an engine come at the most (convergeMost of the sidecar).
const (
	restFirst  = 1500 * time.Millisecond
	restSpread = time.Second
	restMost   = 10 * time.Second
)

// Converger is the only source of orders to one engine.
type Converger struct {
	config Config
	fence  uint64
	wanted scheduler.DesiredRow // as read last
	seen   uint64               // revision that the last read has seen
	due    time.Time            // of the next read
	failed int                  // loads in a row that failed
	rested time.Time            // no load is tried before
}

// New returns a converger. It panics if Table or Engine is nil.
func New(config Config) *Converger {
	if config.Table == nil || config.Engine == nil {
		panic("converger: nil table or engine")
	}
	if config.Safety <= 0 {
		config.Safety = defaultSafety
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Converger{config: config}
}

// SucceededError says that another sidecar of this backend server took a
// higher fencing number: this one gives no orders any more.
type SucceededError struct {
	Mine uint64
	Last uint64
}

// Error implements error.
func (e *SucceededError) Error() string {
	return fmt.Sprintf("converger: fencing number %d is succeeded by %d", e.Mine, e.Last)
}

// Step looks at the engine, and at the wanted row if it may have changed, and
// gives at most one order, which loads at most one model. Told is the highest
// revision of the row that entries told of. It reports whether the engine is
// as wanted.
func (c *Converger) Step(ctx context.Context, told uint64) (bool, error) {
	fresh := told > c.seen || !c.config.Now().Before(c.due)
	if fresh {
		if err := c.read(ctx, told); err != nil {
			return false, err
		}
	}
	status, same, err := c.look(ctx)
	if err != nil || same {
		return same, err
	}
	if !fresh {
		if err := c.read(ctx, told); err != nil || c.as(status) {
			return err == nil, err
		}
	}
	return c.order(ctx, status)
}

// Doubt has the next step read the wanted row: whoever could tell of a newer
// revision may not be heard.
func (c *Converger) Doubt() { c.due = time.Time{} }

// read reads the wanted row and says when to read it next.
func (c *Converger) read(ctx context.Context, told uint64) error {
	wanted, err := scheduler.ReadDesired(ctx, c.config.Table, c.config.Domain, c.config.Server)
	if err != nil {
		return err
	}
	c.wanted = wanted
	c.seen = max(c.seen, told, wanted.State.Revision)
	c.due = c.config.Now().Add(c.config.Safety/2 + rand.N(c.config.Safety))
	return nil
}

// look asks the engine for its status and reports whether it is as wanted.
func (c *Converger) look(ctx context.Context) (generator.Status, bool, error) {
	if c.wanted.Version == 0 {
		return generator.Status{}, true, nil
	}
	status, err := c.config.Engine.Status(ctx)
	return status, err == nil && c.as(status), err
}

// as reports whether a status is as wanted.
func (c *Converger) as(status generator.Status) bool {
	return c.wanted.Version == 0 || equal(status, c.wanted.State)
}

// order gives the next order.
func (c *Converger) order(ctx context.Context, status generator.Status) (bool, error) {
	if err := c.check(ctx); err != nil {
		return false, err
	}
	order, loads := next(status, c.wanted.State)
	if loads {
		if c.config.Now().Before(c.rested) {
			return false, nil
		}
		free, err := c.config.Budget.Take(ctx)
		if err != nil || !free {
			return false, err
		}
	}
	order.Fence = c.fence
	if err := c.config.Engine.Order(ctx, order); err != nil {
		if loads {
			c.rest()
		}
		return false, err
	}
	c.failed = 0
	_, same, err := c.look(ctx)
	return same, err
}

// rest puts off the next load after one that failed, longer each time. It
// answers the load pattern of a weight store that turns loads away: sidecars
// step at the pace at which the budget refills, so the first to fail would take
// every token.
func (c *Converger) rest() {
	d := min(restMost, restFirst<<min(c.failed, 3)) + rand.N(restSpread)
	c.failed++
	c.rested = c.config.Now().Add(d)
}

// check takes this sidecar's fencing number, or makes sure that it is still
// the highest.
func (c *Converger) check(ctx context.Context) error {
	if c.fence == 0 {
		number, err := scheduler.NextFencingToken(ctx, c.config.Table, c.config.Server)
		c.fence = number
		return err
	}
	last, err := scheduler.LastFencingToken(ctx, c.config.Table, c.config.Server)
	if err == nil && last != c.fence {
		err = &SucceededError{Mine: c.fence, Last: last}
	}
	return err
}

func equal(status generator.Status, want scheduler.DesiredState) bool {
	if len(status.Models) != len(want.Models) || want.Role != "" && status.Role != want.Role {
		return false
	}
	return !slices.ContainsFunc(want.Models, func(m generator.Model) bool { return !loaded(status.Models, m) })
}

func loaded(models []generator.Model, m generator.Model) bool {
	return slices.ContainsFunc(models, func(have generator.Model) bool {
		return have.Name == m.Name && have.Version == m.Version && slices.Equal(have.Adapters, m.Adapters)
	})
}

// next returns the order that comes next: the wanted models that are there,
// with their adapters, and at most one that is not.
func next(status generator.Status, want scheduler.DesiredState) (order generator.Order, loads bool) {
	order.Role = want.Role
	if order.Role == "" {
		order.Role = status.Role
	}
	for _, m := range want.Models {
		here := slices.ContainsFunc(status.Models, func(have generator.Model) bool { return have.Name == m.Name && have.Version == m.Version })
		if !here && loads {
			continue
		}
		loads = loads || !here
		order.Models = append(order.Models, m)
	}
	return order, loads
}
