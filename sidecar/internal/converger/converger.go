// Package converger brings one model engine to its desired state. Nothing else
// sends orders to the engine.
//
// # Usage
//
//	c := converger.New(converger.Config{Table: table, Engine: engine, Server: "engine7", Domain: "ikeja", Budget: budget})
//	done, err := c.Step(ctx, announced) // periodically, with the newest revision that entries announced
//
// Each sidecar takes a fencing token from the table service before its first
// order. An engine that checks tokens refuses a late order of a paused
// predecessor. An engine that ignores them may execute it, so every step reads
// the engine's status again and repeats the order until the engine has the
// desired state. While the table service is unavailable no order is sent.
//
// The row of the desired state is read when entries announce a newer revision,
// before each order, and periodically in case an announcement was lost.
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

// Engine is the interface of a model engine that a Converger uses.
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
	// ReadInterval is the mean time between two reads of the row while no newer
	// revision is announced, five minutes if zero. Now is the clock, time.Now if
	// nil.
	ReadInterval time.Duration
	Now          func() time.Time
}

// defaultReadInterval is the default of Config.ReadInterval.
const defaultReadInterval = 5 * time.Minute

// Backoff after a failed load. It is longer than the second in which the fleet's
// load budget refills, so that other sidecars get a load, and at most the
// longest interval between two steps (convergeMaxInterval of the sidecar) plus
// the jitter.
const (
	initialBackoff = 1500 * time.Millisecond
	backoffJitter  = time.Second
	maxBackoff     = 10 * time.Second
)

// Converger is the only source of orders to one engine. It is not safe for
// concurrent use.
type Converger struct {
	config   Config
	fence    uint64               // fencing token, 0 if none was taken
	desired  scheduler.DesiredRow // as of the last read
	read     uint64               // revision that the last read covers
	nextRead time.Time
	failed   int       // consecutive failed loads
	nextLoad time.Time // earliest time of the next load
}

// New returns a Converger. It panics if Table or Engine is nil.
func New(config Config) *Converger {
	if config.Table == nil || config.Engine == nil {
		panic("converger: nil table or engine")
	}
	if config.ReadInterval <= 0 {
		config.ReadInterval = defaultReadInterval
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Converger{config: config}
}

// SupersededError is returned when another sidecar of this backend server took a
// higher fencing token: this one sends no more orders.
type SupersededError struct {
	Token uint64 // of this sidecar
	Last  uint64 // the highest that was taken
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("converger: fencing token %d is superseded by %d", e.Token, e.Last)
}

// Step reads the engine's status, and the desired state if it may have changed,
// and sends at most one order, which loads at most one model. announced is the
// highest revision of the desired state that entries announced. Step reports
// whether the engine has the desired state. It returns a *SupersededError if
// another sidecar of this backend server took a higher fencing token.
func (c *Converger) Step(ctx context.Context, announced uint64) (bool, error) {
	current := announced > c.read || !c.config.Now().Before(c.nextRead)
	if current {
		if err := c.readDesired(ctx, announced); err != nil {
			return false, err
		}
	}
	status, converged, err := c.compare(ctx)
	if err != nil || converged {
		return converged, err
	}
	if !current {
		if err := c.readDesired(ctx, announced); err != nil || c.matches(status) {
			return err == nil, err
		}
	}
	return c.order(ctx, status)
}

// ForceRead makes the next step read the desired state. It is for times at which
// announcements of a newer revision may not arrive.
func (c *Converger) ForceRead() { c.nextRead = time.Time{} }

// readDesired reads the desired state and schedules the next read.
func (c *Converger) readDesired(ctx context.Context, announced uint64) error {
	desired, err := scheduler.ReadDesired(ctx, c.config.Table, c.config.Domain, c.config.Server)
	if err != nil {
		return err
	}
	c.desired = desired
	c.read = max(c.read, announced, desired.State.Revision)
	c.nextRead = c.config.Now().Add(c.config.ReadInterval/2 + rand.N(c.config.ReadInterval))
	return nil
}

// compare returns the engine's status and reports whether it matches the desired
// state. Without a row of the desired state it reports true.
func (c *Converger) compare(ctx context.Context) (generator.Status, bool, error) {
	if c.desired.Version == 0 {
		return generator.Status{}, true, nil
	}
	status, err := c.config.Engine.Status(ctx)
	return status, err == nil && c.matches(status), err
}

// matches reports whether a status matches the desired state.
func (c *Converger) matches(status generator.Status) bool {
	return c.desired.Version == 0 || equal(status, c.desired.State)
}

// order sends the next order.
func (c *Converger) order(ctx context.Context, status generator.Status) (bool, error) {
	if err := c.checkFence(ctx); err != nil {
		return false, err
	}
	order, loads := next(status, c.desired.State)
	if loads {
		if c.config.Now().Before(c.nextLoad) {
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
			c.backOff()
		}
		return false, err
	}
	c.failed = 0
	_, converged, err := c.compare(ctx)
	return converged, err
}

// backOff delays the next load after a failed one, exponentially with jitter.
// Without it, while a weight store refuses loads, the first sidecar to fail
// would take every token of the budget: sidecars step at the rate at which it
// refills.
func (c *Converger) backOff() {
	d := min(maxBackoff, initialBackoff<<min(c.failed, 3)) + rand.N(backoffJitter)
	c.failed++
	c.nextLoad = c.config.Now().Add(d)
}

// checkFence takes a fencing token for this sidecar if it has none. Otherwise it
// returns a *SupersededError if the token is no longer the highest.
func (c *Converger) checkFence(ctx context.Context) error {
	if c.fence == 0 {
		token, err := scheduler.NextFencingToken(ctx, c.config.Table, c.config.Server)
		c.fence = token
		return err
	}
	last, err := scheduler.LastFencingToken(ctx, c.config.Table, c.config.Server)
	if err == nil && last != c.fence {
		err = &SupersededError{Token: c.fence, Last: last}
	}
	return err
}

func equal(status generator.Status, desired scheduler.DesiredState) bool {
	if len(status.Models) != len(desired.Models) || desired.Role != "" && status.Role != desired.Role {
		return false
	}
	return !slices.ContainsFunc(desired.Models, func(m generator.Model) bool { return !loaded(status.Models, m) })
}

func loaded(models []generator.Model, m generator.Model) bool {
	return slices.ContainsFunc(models, func(have generator.Model) bool {
		return have.Name == m.Name && have.Version == m.Version && slices.Equal(have.Adapters, m.Adapters)
	})
}

// next returns the next order: the desired models that are loaded, with their
// adapters, and at most one that is not. loads is true if there is such a one.
func next(status generator.Status, desired scheduler.DesiredState) (order generator.Order, loads bool) {
	order.Role = desired.Role
	if order.Role == "" {
		order.Role = status.Role
	}
	for _, m := range desired.Models {
		present := slices.ContainsFunc(status.Models, func(have generator.Model) bool { return have.Name == m.Name && have.Version == m.Version })
		if !present && loads {
			continue
		}
		loads = loads || !present
		order.Models = append(order.Models, m)
	}
	return order, loads
}
