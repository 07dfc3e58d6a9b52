package keeper

import (
	"context"
	"sync/atomic"
	"time"

	"bamboohill/core/spawner"
	"bamboohill/core/storer"
	"bamboohill/wire"
)

// Config describes a Keeper. Objects may be nil: then only the log is read.
// Peers may be nil: then only the store is read. Now is the clock, time.Now if
// nil.
type Config struct {
	Table   storer.Table
	Objects storer.Objects
	Peers   Peers
	Now     func() time.Time
	// Changed is called on the keeper's goroutine after each new state.
	Changed func(*State)
}

// Keeper owns the configuration that is in force in this process.
type Keeper struct {
	config    Config
	state     atomic.Pointer[State]
	confirmed atomic.Pointer[time.Time] // with its monotonic reading
	known     atomic.Uint64
	started   atomic.Bool
	turn      chan struct{} // held by the one that reads the store
	asking    chan struct{} // held by the one that catches up from peers
	writing   chan struct{} // held by the one that commits
	owner     *spawner.Ref[offer]
}

type offer struct {
	batch *wire.Batch
	done  chan error
}

// New returns a keeper with an empty state. It panics if Table is nil.
func New(config Config) *Keeper {
	if config.Table == nil {
		panic("keeper: nil table")
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	k := &Keeper{config: config, turn: make(chan struct{}, 1), asking: make(chan struct{}, 1), writing: make(chan struct{}, 1)}
	k.state.Store(Empty())
	k.owner = spawner.Spawn(spawner.Config[offer]{Name: "keeper", Receive: k.receive})
	return k
}

// Stop ends the keeper.
func (k *Keeper) Stop() { k.owner.Stop() }

// State returns the configuration in force.
func (k *Keeper) State() *State { return k.state.Load() }

// Confirmed returns when the store or a peer last confirmed that the state in
// force is the newest; the zero time if never.
func (k *Keeper) Confirmed() time.Time {
	if at := k.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (k *Keeper) receive(o offer) {
	err := k.apply(o.batch)
	o.done <- err
}

func (k *Keeper) apply(batch *wire.Batch) error {
	now := k.state.Load()
	next := now
	if s := batch.GetSnapshot(); s != nil && s.GetSequence() > next.Sequence {
		next = FromSnapshot(s)
	}
	next, err := next.Apply(batch.GetChanges())
	if next != now {
		k.state.Store(next)
		if k.config.Changed != nil {
			k.config.Changed(next)
		}
	}
	return err
}

// Offer applies what a peer or the store sent. What is older than the state in
// force is passed over; a gap is a *GapError.
func (k *Keeper) Offer(ctx context.Context, batch *wire.Batch) error {
	done := make(chan error, 1)
	if err := k.owner.Send(offer{batch: batch, done: done}); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Heard notes that some process has a sequence number in force and reports
// whether this one is behind it.
func (k *Keeper) Heard(sequence uint64) bool {
	for {
		known := k.known.Load()
		if sequence <= known || k.known.CompareAndSwap(known, sequence) {
			return k.State().Sequence < max(known, sequence)
		}
	}
}

// Ready reports whether this process has started from the store or from enough
// peers. One that has not must serve nobody.
func (k *Keeper) Ready() bool { return k.started.Load() }

// Known returns the highest sequence number that this process has heard of.
func (k *Keeper) Known() uint64 { return max(k.known.Load(), k.State().Sequence) }

// Confirm notes that the state in force was the newest at a time.
func (k *Keeper) Confirm(at time.Time) {
	for {
		old := k.confirmed.Load()
		if old != nil && !at.After(*old) || k.confirmed.CompareAndSwap(old, &at) {
			return
		}
	}
}
