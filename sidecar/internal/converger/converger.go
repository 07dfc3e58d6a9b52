// Package converger brings one model engine to the state that is wanted of it.
// Nobody else orders the engine.
//
// # Usage
//
//	c := converger.New(converger.Config{Table: table, Engine: engine, Server: "engine7", Domain: "ikeja", Budget: budget})
//	err := c.Step(ctx) // again and again
//
// Each sidecar takes a fencing number from the table service when it first has
// to give an order. An engine that checks numbers refuses a paused
// predecessor's late order; an engine that ignores them may obey it, so every
// step reads the engine again and repeats the order until the engine is as the
// row wants. While the table service is away nothing is ordered.
package converger

import (
	"context"
	"fmt"
	"slices"

	"bamboohill/core/generator"
	"bamboohill/core/orderer"
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
	Budget orderer.Budget
}

// Converger is the only source of orders to one engine.
type Converger struct {
	config Config
	fence  uint64
}

// New returns a converger. It panics if Table or Engine is nil.
func New(config Config) *Converger {
	if config.Table == nil || config.Engine == nil {
		panic("converger: nil table or engine")
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

// Step reads the wanted row and the engine and gives at most one order, which
// loads at most one model. It reports whether the engine is as wanted.
func (c *Converger) Step(ctx context.Context) (bool, error) {
	wanted, err := orderer.ReadWant(ctx, c.config.Table, c.config.Domain, c.config.Server)
	if err != nil {
		return false, err
	}
	if wanted.Version == 0 {
		return true, nil
	}
	status, err := c.config.Engine.Status(ctx)
	if err != nil {
		return false, err
	}
	if equal(status, wanted.Want) {
		return true, nil
	}
	if err := c.check(ctx); err != nil {
		return false, err
	}
	order, loads := next(status, wanted.Want)
	if loads {
		free, err := c.config.Budget.Take(ctx)
		if err != nil || !free {
			return false, err
		}
	}
	order.Fence = c.fence
	if err := c.config.Engine.Order(ctx, order); err != nil {
		return false, err
	}
	status, err = c.config.Engine.Status(ctx)
	return err == nil && equal(status, wanted.Want), err
}

// check takes this sidecar's fencing number, or makes sure that it is still
// the highest.
func (c *Converger) check(ctx context.Context) error {
	if c.fence == 0 {
		number, err := orderer.NextFence(ctx, c.config.Table, c.config.Server)
		c.fence = number
		return err
	}
	last, err := orderer.LastFence(ctx, c.config.Table, c.config.Server)
	if err == nil && last != c.fence {
		err = &SucceededError{Mine: c.fence, Last: last}
	}
	return err
}

func equal(status generator.Status, want orderer.Want) bool {
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
func next(status generator.Status, want orderer.Want) (order generator.Order, loads bool) {
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
