// Package reserver reserves memory on several backend servers at once, for a
// prompt that does not fit into the memory of a single one. A gang is a set of
// reservations of which either all are held or none. Members are reserved one
// after the other in the order of their VM ids, which is the same for every gang.
// If a member refuses, the reservations made so far are released. Two gangs that
// want the same members therefore can't deadlock. Every reservation has a short
// lease that the Gang renews until it is released; if its process fails or is
// paused, the reservations expire after one lease.
//
// # Usage
//
//	g, err := reserver.Reserve(ctx, reserver.Config{Client: client, Gang: id, Tokens: n}, members)
//	var refused *reserver.RefusedError
//	if errors.As(err, &refused) { ... retry after refused.RetryAfter }
//	defer g.Release()
//	select {
//	case <-g.Lost(): // a member lost its reservation: the gang has ended
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

	"bamboohill/core/identifier"
	"bamboohill/wire"
)

// Defaults of Config.
const (
	defaultLease      = 3 * time.Second
	defaultRetryAfter = 500 * time.Millisecond
)

// renewalsPerLease is the number of renewals in the duration of a lease.
const renewalsPerLease = 3

// Member is one backend server of a gang.
type Member struct {
	Server  identifier.Server
	VM      identifier.VM
	Address string // ip:port of its sidecar
}

// Client calls the sidecar of a member at an address.
type Client interface {
	Reserve(ctx context.Context, address string, q *wire.ReserveRequest) (*wire.ReserveReply, error)
	Renew(ctx context.Context, address string, q *wire.RenewRequest) (*wire.ReserveReply, error)
	Release(ctx context.Context, address string, q *wire.ReleaseRequest) (*wire.ReleaseReply, error)
}

// Config configures a gang. The default Lease is three seconds.
type Config struct {
	Client      Client
	Gang        string // id
	Request     string
	Tokens      int64 // for each member
	Model       string
	Fingerprint string
	Sequence    uint64 // sequence number of the configuration that is active at the caller
	Lease       time.Duration
}

// RefusedError reports the member that refused or did not answer. No reservation
// is held then.
type RefusedError struct {
	Member     Member
	Reason     wire.Reason
	RetryAfter time.Duration // delay before the next attempt
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("reserver: %s refused: %s", e.Member.Server, e.Reason)
}

// Gang is a set of reservations, one at each member.
type Gang struct {
	config       Config
	members      []Member
	stop         chan struct{}
	renewalEnded chan struct{}
	lost         chan struct{}
	once         sync.Once
}

// TokensPerMember returns the number of tokens that each of n members must reserve
// for a prompt and its answer: an equal part of the prompt, and the whole answer.
// It panics if n is not positive.
func TokensPerMember(prompt, answer int64, n int) int64 {
	if n <= 0 {
		panic("reserver: no members")
	}
	return (prompt+int64(n)-1)/int64(n) + answer
}

// Reserve reserves memory at every member or at none. It returns a *RefusedError
// for the first member that refuses or does not answer. It panics if the client,
// the id of the gang or the members are missing.
func Reserve(ctx context.Context, config Config, members []Member) (*Gang, error) {
	if config.Client == nil || config.Gang == "" || len(members) == 0 {
		panic("reserver: client, gang and members must be set")
	}
	if config.Lease <= 0 {
		config.Lease = defaultLease
	}
	g := &Gang{
		config: config, members: slices.Clone(members),
		stop: make(chan struct{}), renewalEnded: make(chan struct{}), lost: make(chan struct{}),
	}
	slices.SortFunc(g.members, func(a, b Member) int { return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Server, b.Server)) })
	for i, m := range g.members {
		if err := g.reserve(ctx, i, m); err != nil {
			// Also release the member that failed: it may hold the reservation
			// if only its reply was lost.
			g.release(g.members[:i+1])
			return nil, err
		}
	}
	go g.renew()
	return g, nil
}

func (g *Gang) reserve(ctx context.Context, rank int, m Member) error {
	ctx, cancel := context.WithTimeout(ctx, g.config.Lease/renewalsPerLease)
	defer cancel()
	reply, err := g.config.Client.Reserve(ctx, m.Address, &wire.ReserveRequest{
		Gang: g.config.Gang, Request: g.config.Request, Tokens: g.config.Tokens, LeaseMs: g.config.Lease.Milliseconds(),
		Sequence: g.config.Sequence, Rank: int32(rank), Size: int32(len(g.members)), Model: g.config.Model,
		Fingerprint: g.config.Fingerprint,
	})
	switch {
	case err != nil:
		return &RefusedError{Member: m, Reason: wire.Reason_REASON_ENGINE, RetryAfter: defaultRetryAfter}
	case !reply.GetHeld():
		return &RefusedError{Member: m, Reason: reply.GetReason(), RetryAfter: time.Duration(reply.GetRetryMs()) * time.Millisecond}
	}
	return nil
}

// Members returns the members in the order in which they were reserved. The first
// one is the leader.
func (g *Gang) Members() []Member { return slices.Clone(g.members) }

// Lost returns a channel that is closed when a member no longer holds its
// reservation.
func (g *Gang) Lost() <-chan struct{} { return g.lost }

// Release ends the reservations. A reservation whose member can't be reached
// expires with its lease.
func (g *Gang) Release() {
	g.once.Do(func() { close(g.stop) })
	<-g.renewalEnded
	g.release(g.members)
}

func (g *Gang) release(members []Member) {
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Lease)
	defer cancel()
	g.forEach(members, func(m Member) {
		g.config.Client.Release(ctx, m.Address, &wire.ReleaseRequest{Gang: g.config.Gang})
	})
}

func (g *Gang) forEach(members []Member, do func(Member)) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() { do(m) })
	}
	wg.Wait()
}

// renew renews the leases until the gang is released or a member is lost. A member
// is lost if it reports that it no longer holds the reservation, or if it has not
// answered for a whole lease.
func (g *Gang) renew() {
	defer close(g.renewalEnded)
	t := time.NewTicker(g.config.Lease / renewalsPerLease)
	defer t.Stop()
	renewedAt := make([]time.Time, len(g.members))
	for i := range renewedAt {
		renewedAt[i] = time.Now()
	}
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
		}
		if !g.renewAll(renewedAt) {
			close(g.lost)
			return
		}
	}
}

// renewAll renews the lease of every member and reports whether all of them still
// hold their reservations. renewedAt holds the times of the last successful
// renewals and is updated.
func (g *Gang) renewAll(renewedAt []time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Lease/renewalsPerLease)
	defer cancel()
	lost := make([]bool, len(g.members))
	var wg sync.WaitGroup
	for i, m := range g.members {
		wg.Go(func() {
			start := time.Now()
			reply, err := g.config.Client.Renew(ctx, m.Address, &wire.RenewRequest{Gang: g.config.Gang, LeaseMs: g.config.Lease.Milliseconds()})
			switch {
			case err != nil:
				lost[i] = time.Since(renewedAt[i]) >= g.config.Lease
			case !reply.GetHeld():
				lost[i] = true
			default:
				renewedAt[i] = start
			}
		})
	}
	wg.Wait()
	return !slices.Contains(lost, true)
}
