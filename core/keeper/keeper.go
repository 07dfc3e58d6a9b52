package keeper

import (
	"context"
	"sync/atomic"
	"time"

	"bamboohill/core/spawner"
	"bamboohill/core/storer"
	"bamboohill/wire"
)

// Config describes a Keeper. If Objects is nil, only the log is read. If Peers
// is nil, only the store is read. Now is the clock; the default is time.Now.
type Config struct {
	Table   storer.Table
	Objects storer.Objects
	Peers   Peers
	Now     func() time.Time
	// Changed is called on the keeper's goroutine with each new state.
	Changed func(*State)
}

// Keeper owns the active configuration of this process. It is safe for
// concurrent use.
type Keeper struct {
	config    Config
	state     atomic.Pointer[State]
	confirmed atomic.Pointer[time.Time] // with its monotonic clock reading
	highest   atomic.Uint64             // sequence number observed in any process
	started   atomic.Bool
	reading   chan struct{} // lock held while reading the store
	asking    chan struct{} // lock held while catching up from peers
	writing   chan struct{} // lock held while committing
	owner     *spawner.Ref[update]
}

type update struct {
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
	k := &Keeper{config: config, reading: make(chan struct{}, 1), asking: make(chan struct{}, 1), writing: make(chan struct{}, 1)}
	k.state.Store(Empty())
	k.owner = spawner.Spawn(spawner.Config[update]{Name: "keeper", Receive: k.receive})
	return k
}

// Stop ends the keeper.
func (k *Keeper) Stop() { k.owner.Stop() }

// State returns the active configuration.
func (k *Keeper) State() *State { return k.state.Load() }

// Confirmed returns the last time at which the store or a peer confirmed that
// the active configuration is the newest, or the zero time if none has.
func (k *Keeper) Confirmed() time.Time {
	if at := k.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (k *Keeper) receive(o update) {
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

// ApplyBatch applies a batch from a peer or from the store. It ignores a
// snapshot and changes that are not newer than the active configuration. It
// returns a *GapError if a change is missing.
func (k *Keeper) ApplyBatch(ctx context.Context, batch *wire.Batch) error {
	done := make(chan error, 1)
	if err := k.owner.Send(update{batch: batch, done: done}); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Observe records the sequence number of the active configuration of any process
// and reports whether this process is behind the highest one observed.
func (k *Keeper) Observe(sequence uint64) bool {
	for {
		known := k.highest.Load()
		if sequence <= known || k.highest.CompareAndSwap(known, sequence) {
			return k.State().Sequence < max(known, sequence)
		}
	}
}

// Ready reports whether this process has started from the store or from enough
// peers. A process that is not ready must not serve requests.
func (k *Keeper) Ready() bool { return k.started.Load() }

// HighestObserved returns the highest sequence number that this process has
// observed, in its own state or in another process.
func (k *Keeper) HighestObserved() uint64 { return max(k.highest.Load(), k.State().Sequence) }

// Confirm records that the active configuration was the newest at the given
// time. A time that is not later than the recorded one is ignored.
func (k *Keeper) Confirm(at time.Time) {
	for {
		old := k.confirmed.Load()
		if old != nil && !at.After(*old) || k.confirmed.CompareAndSwap(old, &at) {
			return
		}
	}
}
