package dispatcher

import (
	"context"
	"errors"
	"time"

	"bamboohill/core/admitter"
	"bamboohill/core/identifier"
	"bamboohill/core/limiter"
	"bamboohill/core/quarantiner"
	"bamboohill/core/router"
	"bamboohill/wire"
)

// place chooses the server of the next attempt. Before the first attempt it
// also asks whether the request can finish in time; what has begun is never
// given up for that. What an operator's order has out here is left out, though
// its sidecar may not have reported it yet.
func (d *Dispatcher) place(q *Request, c *course) (router.Choice, error) {
	now := time.Now()
	servers := d.config.Watcher.View().Servers
	if q.fingerprint != "" {
		var err error
		if servers, err = d.judge(q, servers); err != nil {
			return router.Choice{}, err
		}
	}
	q.members = nil
	choose := d.config.Chooser.Choose
	if c.result.Attempts > 0 {
		choose = d.config.Chooser.Pick
	}
	for {
		choice, err := choose(q.Job, servers, now)
		if err != nil {
			return d.placeGang(q, servers, err)
		}
		if !d.config.Keeper.State().OutOfService(choice.Server.GetDomain(), choice.Server.GetVm()) {
			return choice, nil
		}
		q.Job.Excluded = append(q.Job.Excluded, identifier.Server(choice.Server.GetServer()))
	}
}

// Limits are the limits of client accounts.
type Limits interface {
	// Take lets a request through that costs so many tokens of work, or returns
	// a *limiter.LimitError.
	Take(ctx context.Context, account identifier.Account, plan *wire.Plan, work int64) (limiter.Release, error)
}

// limit asks whether the account's limits let a request through.
func (d *Dispatcher) limit(ctx context.Context, q *Request) (limiter.Release, error) {
	if d.config.Limits == nil {
		return func(bool, time.Time) {}, nil
	}
	return d.config.Limits.Take(ctx, identifier.Account(q.Account.GetName()), q.Plan, q.Job.Prompt+q.Job.Answer)
}

// refuse writes into the course why no server was chosen.
func (c *course) refuse(err error) {
	var none *router.NoServerError
	if errors.As(err, &none) {
		c.result.Known = c.result.Known || none.Offered
		c.result.RetryAfter = max(c.result.RetryAfter, none.RetryAfter)
	}
	var blocked *quarantiner.BlockedError
	if errors.As(err, &blocked) {
		c.result.Known = true
		c.result.Reason = wire.Reason_REASON_SUSPECT
		c.result.RetryAfter = blocked.RetryAfter
	}
	var limited *limiter.LimitError
	if errors.As(err, &limited) {
		c.result.Known = true
		c.result.Reason = wire.Reason_REASON_LIMIT
		c.result.RetryAfter = limited.RetryAfter
	}
	var late *admitter.LateError
	if errors.As(err, &late) {
		c.result.Known = true
		c.result.Reason = wire.Reason_REASON_LATE
		c.result.RetryAfter = max(c.result.RetryAfter, late.RetryAfter)
	}
}

// progress follows one attempt's tokens.
type progress struct {
	started time.Time
	first   time.Time
}

// see takes a frame of an attempt's answer.
func (d *Dispatcher) see(p *progress, f *wire.Frame, q *Request, choice router.Choice) {
	if f.GetTokens() != nil && p.first.IsZero() {
		p.first = time.Now()
		d.config.Chooser.RecordFirstToken(choice, q.Job.Prompt, p.first.Sub(p.started))
	}
	end := f.GetEnd()
	if end == nil || q.Job.Kind != wire.Kind_KIND_MODEL {
		return
	}
	d.config.Estimator.Observe(q.Job.Model, int64(len(q.Payload)), end.GetPrompt())
	if !p.first.IsZero() {
		d.config.Chooser.RecordLastToken(choice, time.Since(p.first))
	}
}
