// Package borrower keeps this entry's shares of the client accounts' limits in
// force: it asks the accounts' home entries for them, and lends them for the
// accounts that this entry is home of.
//
// # Usage
//
//	b := borrower.New(borrower.Config{Self: inner, Live: gossiper.Live, Borrow: gossiper.Borrow, Plan: plan, Backlog: backlog})
//	gossiper.Config{Borrow: b.Lend}
//	go b.Run(ctx)
//	release, err := b.Take(ctx, account, plan, work)
//
// A request of an account of which no share is in force waits for its home's
// answer, once a lease at most and for a bounded time. If no home answers, the
// entry takes an equal part: a cut entry goes on serving.
package borrower

import (
	"context"
	"errors"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/core/limiter"
	"bamboohill/wire"
)

// Defaults of Config.
const (
	defaultEvery = 500 * time.Millisecond
	defaultWait  = 100 * time.Millisecond
)

// Config describes a Borrower. The zero Every renews twice a second, the zero
// Wait gives a home 100 ms.
type Config struct {
	Self   string          // this entry's inner address
	Live   func() []string // inner addresses of the other live entries
	Borrow func(ctx context.Context, home string, q *wire.BorrowRequest) (*wire.BorrowReply, error)
	Plan   func(account string) *wire.Plan // in force, nil if there is no such account
	// Backlog returns how much work waits at the backend servers.
	Backlog     func() time.Duration
	Interval    time.Duration
	HomeTimeout time.Duration
}

// Borrower holds the limits of one entry.
type Borrower struct {
	config  Config
	limiter *limiter.Limiter
	home    *limiter.Home
}

// New returns a borrower without shares. It panics if Live or Borrow is nil.
func New(config Config) *Borrower {
	if config.Live == nil || config.Borrow == nil {
		panic("borrower: nil live or borrow")
	}
	if config.Interval <= 0 {
		config.Interval = defaultEvery
	}
	if config.HomeTimeout <= 0 {
		config.HomeTimeout = defaultWait
	}
	return &Borrower{config: config, limiter: limiter.New(limiter.Config{}), home: limiter.NewHome(limiter.HomeConfig{})}
}

// Take lets a request through, as limiter.Limiter.Take does, and borrows a
// share first if none is in force.
func (b *Borrower) Take(ctx context.Context, account identifier.Account, plan *wire.Plan, work int64) (limiter.Release, error) {
	release, err := b.limiter.Take(account, plan, work, time.Now())
	var none *limiter.NoShareError
	if !errors.As(err, &none) {
		return release, err
	}
	b.renew(ctx, b.limiter.ShareRequest(account, time.Now()))
	return b.limiter.Take(account, plan, work, time.Now())
}

// Counts returns what this entry's limits have done and hold.
func (b *Borrower) Counts() limiter.Counts { return b.limiter.Counts(time.Now()) }

// Run renews shares before they end until the context ends.
func (b *Borrower) Run(ctx context.Context) {
	t := time.NewTicker(b.config.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if b.config.Backlog != nil {
			b.limiter.SetBacklog(b.config.Backlog())
		}
		now := time.Now()
		for _, w := range b.limiter.Renewals(now, now.Add(2*b.config.Interval)) {
			b.renew(ctx, w)
		}
	}
}

// renew puts a share in force: the home's, or an equal part if the home does
// not answer in time.
func (b *Borrower) renew(ctx context.Context, want limiter.ShareRequest) {
	others := b.config.Live()
	entries := append([]string{b.config.Self}, others...)
	home := limiter.HomeOf(want.Account, entries)
	if home == b.config.Self {
		now := time.Now()
		b.limiter.Grant(want.Account, b.home.Lend(b.config.Self, want, len(entries), now), now)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.HomeTimeout)
	defer cancel()
	asked := time.Now()
	reply, err := b.config.Borrow(ctx, home, &wire.BorrowRequest{
		Account: string(want.Account), Entry: b.config.Self, Demand: want.Demand, Running: int32(want.Running),
		Waiting: int32(want.Waiting),
	})
	if err != nil {
		b.limiter.Grant(want.Account, limiter.EqualShare(want.Plan, len(entries), asked), time.Now())
		return
	}
	// The lease counts from before the home began it, so it ends here first.
	b.limiter.Grant(want.Account, limiter.Share{
		Rate: reply.GetRate(), Concurrency: int(reply.GetConcurrency()),
		Expires: asked.Add(time.Duration(reply.GetLeaseMs()) * time.Millisecond),
	}, time.Now())
}

// unknownError says that an account is not in this entry's configuration.
type unknownError struct {
	account string
}

// Error implements error.
func (e *unknownError) Error() string { return "borrower: no account " + e.account }

// Lend answers another entry that borrows from this one.
func (b *Borrower) Lend(_ context.Context, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
	plan := b.config.Plan(q.GetAccount())
	if plan == nil {
		return nil, &unknownError{account: q.GetAccount()}
	}
	now := time.Now()
	share := b.home.Lend(q.GetEntry(), limiter.ShareRequest{
		Account: identifier.Account(q.GetAccount()), Plan: plan, Demand: q.GetDemand(),
		Running: int(q.GetRunning()), Waiting: int(q.GetWaiting()),
	}, len(b.config.Live())+1, now)
	return &wire.BorrowReply{
		Rate: share.Rate, Concurrency: int32(share.Concurrency), LeaseMs: share.Expires.Sub(now).Milliseconds(),
	}, nil
}
