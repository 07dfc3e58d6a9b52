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

// Reply is the state that one peer reports of itself.
type Reply struct {
	Address  string
	Sequence uint64        // of the peer's active configuration
	Age      time.Duration // since its configuration was last confirmed
	Ready    bool          // the peer has started from the store or from peers
}

// Peers reads the configuration from other processes.
type Peers interface {
	// Ask returns how many peers are known and the replies of some of them.
	Ask(ctx context.Context) (known int, replies []Reply)
	// Pull returns the configuration of one peer after a sequence number, as
	// changes or as a snapshot.
	Pull(ctx context.Context, address string, after uint64) (*wire.Batch, error)
}

// PeerQuorum is the number of peers that must reply before their highest
// sequence number is taken for the newest. If fewer peers are known, all of them
// must reply.
const PeerQuorum = 3

// startRetryDelay is the mean delay between two attempts to start.
const startRetryDelay = 200 * time.Millisecond

// Evidence is what a process knows of its peers when it starts without the
// store.
type Evidence struct {
	KnownPeers      int
	ReadyPeers      int    // peers that replied and are ready
	HighestReply    uint64 // highest sequence number among the replies
	HighestObserved uint64 // highest sequence number observed in any process
}

// CanStart reports whether a process may start from peers: PeerQuorum of them
// have replied, or all known ones if they are fewer, and no higher sequence
// number than theirs has been observed. The condition is not relaxed with time,
// because a start from a single peer that missed a change would revert the
// change.
func CanStart(e Evidence) bool {
	return e.ReadyPeers >= max(1, min(PeerQuorum, e.KnownPeers)) && e.HighestReply >= e.HighestObserved
}

// Fresh reports whether a configuration that was last confirmed at the given
// time is within the plan's staleness bound. A plan without a bound accepts a
// configuration of any age.
func Fresh(plan *wire.Plan, confirmed, now time.Time) bool {
	bound := time.Duration(plan.GetStalenessMs()) * time.Millisecond
	return bound <= 0 || now.Sub(confirmed) <= bound
}

// BehindError reports that a newer configuration exists but could not be
// fetched.
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

func acquire(ctx context.Context, lock chan struct{}) error {
	select {
	case lock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CatchUp returns once the active configuration of this process has at least the
// given sequence number. It asks the peers at the preferred addresses first,
// which are likely to have it, then any peers, then the store. Concurrent calls
// share the work, and none waits for a store that hangs while a peer has the
// configuration. The error is a *BehindError.
func (k *Keeper) CatchUp(ctx context.Context, sequence uint64, preferred ...string) error {
	if k.State().Sequence >= sequence {
		return nil
	}
	k.Observe(sequence)
	cause := errNoCurrentPeer
	if k.config.Peers != nil {
		cause = k.exclusively(ctx, k.asking, func() error { return k.ask(ctx, sequence, preferred) })
	}
	if k.State().Sequence < sequence {
		cause = k.exclusively(ctx, k.reading, func() error {
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

// exclusively runs do while holding the lock.
func (k *Keeper) exclusively(ctx context.Context, lock chan struct{}, do func() error) error {
	if err := acquire(ctx, lock); err != nil {
		return err
	}
	defer func() { <-lock }()
	return do()
}

// ask pulls from the preferred addresses, then from any peers.
func (k *Keeper) ask(ctx context.Context, sequence uint64, preferred []string) error {
	for _, address := range preferred {
		if address != "" && k.State().Sequence < sequence {
			k.pull(ctx, address)
		}
	}
	if k.State().Sequence >= sequence {
		return nil
	}
	return k.fromPeers(ctx)
}

// Refresh reads the store until the active configuration is that of the head of
// the log, and confirms the state. If the store does not answer, Refresh asks
// peers; it still returns the store's error unless a peer confirms the state.
func (k *Keeper) Refresh(ctx context.Context) error {
	if err := acquire(ctx, k.reading); err != nil {
		return err
	}
	defer func() { <-k.reading }()
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

// fromStore reads the head, and the log or a snapshot up to the head.
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

// step applies one snapshot or one page of the log.
func (k *Keeper) step(ctx context.Context, head uint64) error {
	have := k.State().Sequence
	if head-have > tailPageSize && k.fromSnapshot(ctx) == nil && k.State().Sequence > have {
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
		err = errIncompleteLog
	}
	return err
}

var (
	errIncompleteLog = errors.New("keeper: log ends before its head")
	errNoCurrentPeer = errors.New("keeper: no peer has the newest configuration")
)

// fromPeers takes the configuration with the highest sequence number among
// several peers. A process that is not ready yet takes it only if CanStart
// reports true.
func (k *Keeper) fromPeers(ctx context.Context) error {
	if k.config.Peers == nil {
		return errNoCurrentPeer
	}
	asked := k.config.Now()
	known, replies := k.config.Peers.Ask(ctx)
	replies = slices.DeleteFunc(replies, func(r Reply) bool { return !r.Ready })
	slices.SortStableFunc(replies, func(a, b Reply) int { return cmp.Compare(b.Sequence, a.Sequence) })
	e := Evidence{KnownPeers: known, ReadyPeers: len(replies)}
	if len(replies) > 0 {
		e.HighestReply = replies[0].Sequence
	}
	k.Observe(e.HighestReply)
	e.HighestObserved = k.highest.Load()
	if !k.Ready() && !CanStart(e) {
		return errNoCurrentPeer
	}
	for _, r := range replies {
		if r.Sequence > k.State().Sequence {
			k.pull(ctx, r.Address)
		}
	}
	if len(replies) == 0 || k.State().Sequence < e.HighestReply {
		return errNoCurrentPeer
	}
	k.started.Store(true)
	for _, r := range replies {
		if r.Sequence == k.State().Sequence {
			k.Confirm(asked.Add(-r.Age))
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

// Poll calls Refresh until the context ends. The delays between two calls are
// drawn between 0.5 and 1.5 times interval, so that processes started together
// don't stay synchronized. Until this process is ready, interval is limited to
// 200 ms. After each call Poll calls done, if not nil, with the error of Refresh.
func (k *Keeper) Poll(ctx context.Context, interval time.Duration, done func(error)) {
	for ctx.Err() == nil {
		err := k.Refresh(ctx)
		if done != nil {
			done(err)
		}
		gap := interval
		if !k.Ready() {
			gap = min(interval, startRetryDelay)
		}
		if sleep(ctx, gap/2+time.Duration(rand.Int64N(int64(gap)+1))) != nil {
			return
		}
	}
}
