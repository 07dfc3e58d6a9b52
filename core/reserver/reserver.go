// Package reserver holds memory on several backend servers at once, for a
// prompt that no single one has room for. A gang is all or nothing: members are
// asked one after the other in the order of their VM ids, which is the same for
// every gang, and the first refusal gives back what was got. Two gangs that
// want the same members can therefore not wait for each other. Every
// reservation is under a short lease that the lead renews; a gang whose lead is
// gone or paused holds nothing beyond a lease.
//
// # Usage
//
//	g, err := reserver.Reserve(ctx, reserver.Config{Gate: gate, Gang: id, Tokens: n}, members)
//	var refused *reserver.RefusedError
//	if errors.As(err, &refused) { ... come back after refused.Retry }
//	defer g.Release()
//	select {
//	case <-g.Lost(): // a member is gone: the gang has ended
//	case <-done:
//	}
package reserver

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"bamboohill/core/ider"
	"bamboohill/wire"
)

// Defaults of Config.
const (
	defaultLease = 3 * time.Second
	defaultRetry = 500 * time.Millisecond
)

// renewals is how many renewals fall into one lease.
const renewals = 3

// Member is one backend server of a gang.
type Member struct {
	Server  ider.Server
	VM      ider.VM
	Address string // of its sidecar, ip:port
}

// Client calls a member's sidecar.
type Client interface {
	Reserve(ctx context.Context, address string, q *wire.ReserveRequest) (*wire.ReserveReply, error)
	Renew(ctx context.Context, address string, q *wire.RenewRequest) (*wire.ReserveReply, error)
	Release(ctx context.Context, address string, q *wire.ReleaseRequest) (*wire.ReleaseReply, error)
}

// Config describes a gang. The zero Lease is three seconds.
type Config struct {
	Client      Client
	Gang        string // id
	Request     string
	Tokens      int64 // for each member
	Model       string
	Fingerprint string
	Sequence    uint64 // configuration in force at the caller
	Lease       time.Duration
}

// RefusedError says which member had no room. Nothing is held.
type RefusedError struct {
	Member Member
	Reason wire.Reason
	Retry  time.Duration // when to come back
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("reserver: %s refused: %s", e.Member.Server, e.Reason)
}

// Gang is a reservation at every member.
type Gang struct {
	config  Config
	members []Member
	stop    chan struct{}
	stopped chan struct{}
	lost    chan struct{}
	once    sync.Once
}

// TokensPerMember returns how many tokens each of n members must hold for a prompt and its
// answer: an equal part of the prompt's cache, and room for the answer.
func TokensPerMember(prompt, answer int64, n int) int64 {
	if n <= 0 {
		panic("reserver: no members")
	}
	return (prompt+int64(n)-1)/int64(n) + answer
}

// Reserve holds memory at every member or at none. It returns a *RefusedError
// at the first member that refuses or does not answer. It panics without a
// gate, a gang's id or members.
func Reserve(ctx context.Context, config Config, members []Member) (*Gang, error) {
	if config.Client == nil || config.Gang == "" || len(members) == 0 {
		panic("reserver: gate, gang and members must be set")
	}
	if config.Lease <= 0 {
		config.Lease = defaultLease
	}
	g := &Gang{
		config: config, members: slices.Clone(members),
		stop: make(chan struct{}), stopped: make(chan struct{}), lost: make(chan struct{}),
	}
	slices.SortFunc(g.members, func(a, b Member) int { return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Server, b.Server)) })
	for i, m := range g.members {
		if err := g.reserve(ctx, i, m); err != nil {
			// The one that refused may hold it all the same: its answer may
			// be what got lost.
			g.release(g.members[:i+1])
			return nil, err
		}
	}
	go g.renew()
	return g, nil
}

func (g *Gang) reserve(ctx context.Context, rank int, m Member) error {
	ctx, cancel := context.WithTimeout(ctx, g.config.Lease/renewals)
	defer cancel()
	reply, err := g.config.Client.Reserve(ctx, m.Address, &wire.ReserveRequest{
		Gang: g.config.Gang, Request: g.config.Request, Tokens: g.config.Tokens, LeaseMs: g.config.Lease.Milliseconds(),
		Sequence: g.config.Sequence, Rank: int32(rank), Size: int32(len(g.members)), Model: g.config.Model,
		Fingerprint: g.config.Fingerprint,
	})
	switch {
	case err != nil:
		return &RefusedError{Member: m, Reason: wire.Reason_REASON_ENGINE, Retry: defaultRetry}
	case !reply.GetHeld():
		return &RefusedError{Member: m, Reason: reply.GetReason(), Retry: time.Duration(reply.GetRetryMs()) * time.Millisecond}
	}
	return nil
}

// Members returns the members in the order in which they were reserved; the
// first one leads.
func (g *Gang) Members() []Member { return slices.Clone(g.members) }

// Lost is closed once a member no longer holds its reservation.
func (g *Gang) Lost() <-chan struct{} { return g.lost }

// Release gives the reservations back. What can't be told lapses with its
// lease.
func (g *Gang) Release() {
	g.once.Do(func() { close(g.stop) })
	<-g.stopped
	g.release(g.members)
}

func (g *Gang) release(members []Member) {
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Lease)
	defer cancel()
	g.each(members, func(m Member) {
		g.config.Client.Release(ctx, m.Address, &wire.ReleaseRequest{Gang: g.config.Gang})
	})
}

func (g *Gang) each(members []Member, do func(Member)) {
	var all sync.WaitGroup
	for _, m := range members {
		all.Go(func() { do(m) })
	}
	all.Wait()
}

// renew prolongs the leases until the gang is released or a member is lost: it
// says so itself, or it did not answer for a whole lease.
func (g *Gang) renew() {
	defer close(g.stopped)
	t := time.NewTicker(g.config.Lease / renewals)
	defer t.Stop()
	last := make([]time.Time, len(g.members))
	for i := range last {
		last[i] = time.Now()
	}
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
		}
		if !g.renewAll(last) {
			close(g.lost)
			return
		}
	}
}

// renewAll reports whether every member still holds its reservation. last is
// when each of them last said so.
func (g *Gang) renewAll(last []time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Lease/renewals)
	defer cancel()
	gone := make([]bool, len(g.members))
	var all sync.WaitGroup
	for i, m := range g.members {
		all.Go(func() {
			start := time.Now()
			reply, err := g.config.Client.Renew(ctx, m.Address, &wire.RenewRequest{Gang: g.config.Gang, LeaseMs: g.config.Lease.Milliseconds()})
			switch {
			case err != nil:
				gone[i] = time.Since(last[i]) >= g.config.Lease
			case !reply.GetHeld():
				gone[i] = true
			default:
				last[i] = start
			}
		})
	}
	all.Wait()
	return !slices.Contains(gone, true)
}
