package keeper

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bamboohill/wire"
)

// Answer is what one peer says of itself.
type Answer struct {
	Address  string
	Sequence uint64        // in force there
	Age      time.Duration // since its configuration was last confirmed
	Ready    bool          // it has started from the store or from peers
}

// Peers reads the configuration from other processes.
type Peers interface {
	// Ask returns how many peers are known and what several of them answer.
	Ask(ctx context.Context) (known int, answers []Answer)
	// Pull returns what one peer has after a sequence number.
	Pull(ctx context.Context, address string, after uint64) (*wire.Batch, error)
}

// PeerQuorum is how many peers must answer before their highest sequence number
// stands for the newest, when so many are known.
const PeerQuorum = 3

// startPause lies between two tries to start.
const startPause = 200 * time.Millisecond

// Evidence is what a process that starts without the store knows.
type Evidence struct {
	KnownPeers      int    // peers
	ReadyPeers      int    // of peers that are ready
	HighestAnswer   uint64 // highest sequence number among the answers
	HighestObserved uint64 // highest sequence number heard from anybody
}

// CanStart reports whether a process may start from peers: several have
// answered, or all that are known if they are fewer, and nobody has been heard
// to have more. However long it waits, it never makes do with less: a start
// from one peer that missed a change would take the change back.
func CanStart(e Evidence) bool {
	return e.ReadyPeers >= max(1, min(PeerQuorum, e.KnownPeers)) && e.HighestAnswer >= e.HighestObserved
}

// Fresh reports whether a configuration that was last confirmed at a time is
// within a plan's bound. A plan without a bound is content with any.
func Fresh(plan *wire.Plan, confirmed, now time.Time) bool {
	bound := time.Duration(plan.GetStalenessMs()) * time.Millisecond
	return bound <= 0 || now.Sub(confirmed) <= bound
}

// BehindError says that a newer configuration exists and could not be had.
type BehindError struct {
	Have  uint64
	Want  uint64
	Cause error
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("keeper: have sequence %d, want %d: %v", e.Have, e.Want, e.Cause)
}

// Unwrap returns the cause.
func (e *BehindError) Unwrap() error { return e.Cause }

func take(ctx context.Context, turn chan struct{}) error {
	select {
	case turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CatchUp returns once this process has at least a sequence number in force.
// It asks the peers at the given addresses first, which are likely to have it,
// then peers at large, then the store. Calls at the same time share the work,
// and none waits for a store that hangs while a peer has what is wanted. The
// error is a *BehindError.
func (k *Keeper) CatchUp(ctx context.Context, sequence uint64, near ...string) error {
	if k.State().Sequence >= sequence {
		return nil
	}
	k.Observe(sequence)
	cause := errPeers
	if k.config.Peers != nil {
		cause = k.share(ctx, k.asking, func() error { return k.ask(ctx, sequence, near) })
	}
	if k.State().Sequence < sequence {
		cause = k.share(ctx, k.turn, func() error {
			if k.State().Sequence >= sequence {
				return nil
			}
			return k.fromStore(ctx)
		})
	}
	if k.State().Sequence < sequence {
		return &BehindError{Have: k.State().Sequence, Want: sequence, Cause: cause}
	}
	return nil
}

// share runs do while nobody else holds the turn.
func (k *Keeper) share(ctx context.Context, turn chan struct{}, do func() error) error {
	if err := take(ctx, turn); err != nil {
		return err
	}
	defer func() { <-turn }()
	return do()
}

// ask pulls from the near addresses, then from peers at large.
func (k *Keeper) ask(ctx context.Context, sequence uint64, near []string) error {
	for _, address := range near {
		if address != "" && k.State().Sequence < sequence {
			k.pull(ctx, address)
		}
	}
	if k.State().Sequence >= sequence {
		return nil
	}
	return k.fromPeers(ctx)
}

// Refresh reads the store until this process has the head in force, and
// confirms the state. When the store does not answer it asks peers, and
// returns the store's error all the same unless a peer confirms the state.
func (k *Keeper) Refresh(ctx context.Context) error {
	if err := take(ctx, k.turn); err != nil {
		return err
	}
	defer func() { <-k.turn }()
	err := k.fromStore(ctx)
	if err == nil || k.config.Peers == nil {
		return err
	}
	before := k.Confirmed()
	if k.fromPeers(ctx) == nil && k.Confirmed().After(before) {
		return nil
	}
	return err
}

// fromStore reads the head, and the log or a snapshot up to it.
func (k *Keeper) fromStore(ctx context.Context) error {
	start := k.config.Now()
	head, err := Head(ctx, k.config.Table)
	if err != nil {
		return err
	}
	k.Observe(head)
	for k.State().Sequence < head {
		if err := k.step(ctx, head); err != nil {
			return err
		}
	}
	k.started.Store(true)
	k.Confirm(start)
	return nil
}

// step brings the state nearer to the head.
func (k *Keeper) step(ctx context.Context, head uint64) error {
	have := k.State().Sequence
	if head-have > tailPage && k.fromSnapshot(ctx) == nil && k.State().Sequence > have {
		return nil
	}
	changes, err := Tail(ctx, k.config.Table, have)
	if err != nil {
		return err
	}
	err = k.ApplyBatch(ctx, &wire.Batch{Changes: changes})
	var gap *GapError
	if errors.As(err, &gap) || err == nil && len(changes) == 0 {
		err = k.fromSnapshot(ctx)
	}
	if err == nil && k.State().Sequence == have {
		err = errTail
	}
	return err
}

var (
	errTail  = errors.New("keeper: log ends before its head")
	errPeers = errors.New("keeper: no peer has the newest configuration")
)

// fromPeers takes the highest sequence number among several peers. One that
// has not started yet starts only on enough evidence.
func (k *Keeper) fromPeers(ctx context.Context) error {
	if k.config.Peers == nil {
		return errPeers
	}
	asked := k.config.Now()
	known, answers := k.config.Peers.Ask(ctx)
	answers = slices.DeleteFunc(answers, func(a Answer) bool { return !a.Ready })
	slices.SortStableFunc(answers, func(a, b Answer) int { return cmp.Compare(b.Sequence, a.Sequence) })
	e := Evidence{KnownPeers: known, ReadyPeers: len(answers)}
	if len(answers) > 0 {
		e.HighestAnswer = answers[0].Sequence
	}
	k.Observe(e.HighestAnswer)
	e.HighestObserved = k.known.Load()
	if !k.Ready() && !CanStart(e) {
		return errPeers
	}
	for _, a := range answers {
		if a.Sequence > k.State().Sequence {
			k.pull(ctx, a.Address)
		}
	}
	if len(answers) == 0 || k.State().Sequence < e.HighestAnswer {
		return errPeers
	}
	k.started.Store(true)
	for _, a := range answers {
		if a.Sequence == k.State().Sequence {
			k.Confirm(asked.Add(-a.Age))
		}
	}
	return nil
}

func (k *Keeper) pull(ctx context.Context, address string) error {
	batch, err := k.config.Peers.Pull(ctx, address, k.State().Sequence)
	if err != nil {
		return err
	}
	return k.ApplyBatch(ctx, batch)
}

// Poll refreshes until the context ends, at gaps drawn between half and one
// and a half times every, so that processes started together drift apart.
// Until this process is ready it tries more often. After each try it calls done
// with its error.
func (k *Keeper) Poll(ctx context.Context, every time.Duration, done func(error)) {
	for ctx.Err() == nil {
		err := k.Refresh(ctx)
		if done != nil {
			done(err)
		}
		gap := every
		if !k.Ready() {
			gap = min(every, startPause)
		}
		if pause(ctx, gap/2+time.Duration(rand.Int64N(int64(gap)+1))) != nil {
			return
		}
	}
}
