// Package borrower maintains this entry's shares of the limits of client accounts.
// It borrows shares from the home entry of each account, and lends shares of the
// accounts whose home this entry is.
//
// # Usage
//
//	b := borrower.New(borrower.Config{Self: address, Live: gossiper.Live, Borrow: gossiper.Borrow, Plan: plan, Backlog: backlog})
//	gossiper.Config{Lend: b.Lend}
//	go b.Run(ctx)
//	release, err := b.Take(ctx, account, plan, work)
//
// If there is no valid share for an account, its request waits for the home
// entry's reply, at most once per lease and for a bounded time. If the home does
// not answer, the entry uses an equal share, so that it continues to serve
// requests when it is cut off from the other entries.
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
	defaultInterval    = 500 * time.Millisecond
	defaultHomeTimeout = 100 * time.Millisecond
)

// Config configures a Borrower. Live, Borrow and Plan must be set.
type Config struct {
	Self string          // this entry's internal address
	Live func() []string // internal addresses of the other live entries
	// Borrow asks the entry with the internal address home for a share.
	Borrow func(ctx context.Context, home string, q *wire.BorrowRequest) (*wire.BorrowReply, error)
	// Plan returns the plan of an account in the active configuration, nil if
	// there is no such account.
	Plan func(account string) *wire.Plan
	// Backlog returns the time that the backend servers need to work off their
	// queues. It may be nil.
	Backlog     func() time.Duration
	Interval    time.Duration // between renewals, default 500 ms
	HomeTimeout time.Duration // for the reply of a home entry, default 100 ms
}

// Borrower holds this entry's shares, and the shares it has lent.
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
		config.Interval = defaultInterval
	}
	if config.HomeTimeout <= 0 {
		config.HomeTimeout = defaultHomeTimeout
	}
	return &Borrower{config: config, limiter: limiter.New(limiter.Config{}), home: limiter.NewHome(limiter.HomeConfig{})}
}

// Take admits a request, as limiter.Limiter.Take does. If there is no valid share
// for the account, it borrows one first.
func (b *Borrower) Take(ctx context.Context, account identifier.Account, plan *wire.Plan, work int64) (limiter.Release, error) {
	release, err := b.limiter.Take(account, plan, work, time.Now())
	var noShare *limiter.NoShareError
	if !errors.As(err, &noShare) {
		return release, err
	}
	b.renew(ctx, b.limiter.ShareRequest(account, time.Now()))
	return b.limiter.Take(account, plan, work, time.Now())
}

// Counts returns the counters of this entry's limits.
func (b *Borrower) Counts() limiter.Counts { return b.limiter.Counts(time.Now()) }

// Run renews shares before they expire, until the context ends.
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
		for _, r := range b.limiter.Renewals(now, now.Add(2*b.config.Interval)) {
			b.renew(ctx, r)
		}
	}
}

// renew sets the share of an account: the one that its home lends, or an equal
// share if the home does not answer in time.
func (b *Borrower) renew(ctx context.Context, request limiter.ShareRequest) {
	others := b.config.Live()
	entries := append([]string{b.config.Self}, others...)
	home := limiter.HomeOf(request.Account, entries)
	if home == b.config.Self {
		now := time.Now()
		b.limiter.Grant(request.Account, b.home.Lend(b.config.Self, request, len(entries), now), now)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.HomeTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := b.config.Borrow(ctx, home, &wire.BorrowRequest{
		Account: string(request.Account), Entry: b.config.Self, Demand: request.Demand, Running: int32(request.Running),
		Waiting: int32(request.Waiting),
	})
	if err != nil {
		b.limiter.Grant(request.Account, limiter.EqualShare(request.Plan, len(entries), sent), time.Now())
		return
	}
	// The lease is counted from before the request was sent, so it expires here
	// before it expires at the home.
	b.limiter.Grant(request.Account, limiter.Share{
		Rate: reply.GetRate(), Concurrency: int(reply.GetConcurrency()),
		Expires: sent.Add(time.Duration(reply.GetLeaseMs()) * time.Millisecond),
	}, time.Now())
}

// unknownAccountError reports an account that is not in this entry's
// configuration.
type unknownAccountError struct {
	account string
}

// Error implements error.
func (e *unknownAccountError) Error() string { return "borrower: no account " + e.account }

// Lend answers another entry that borrows a share from this one. It returns an
// error if the account is not in this entry's configuration.
func (b *Borrower) Lend(_ context.Context, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
	plan := b.config.Plan(q.GetAccount())
	if plan == nil {
		return nil, &unknownAccountError{account: q.GetAccount()}
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
