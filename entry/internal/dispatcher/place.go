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

// place chooses the server of the next attempt. Before the first attempt it also
// refuses a request that cannot finish in time; a request that has begun is never
// given up for that. Servers that this entry's configuration has out of service
// are skipped even if their sidecars have not reported it yet.
func (d *Dispatcher) place(q *Request, c *requestState) (router.Choice, error) {
	now := time.Now()
	servers := d.config.Watcher.View().Servers
	if q.fingerprint != "" {
		var err error
		if servers, err = d.allowedServers(q, servers); err != nil {
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
	// Take admits a request that costs work tokens, or returns a
	// *limiter.LimitError.
	Take(ctx context.Context, account identifier.Account, plan *wire.Plan, work int64) (limiter.Release, error)
}

// limit checks the request against the limits of its account.
func (d *Dispatcher) limit(ctx context.Context, q *Request) (limiter.Release, error) {
	if d.config.Limits == nil {
		return func(bool, time.Time) {}, nil
	}
	return d.config.Limits.Take(ctx, identifier.Account(q.Account.GetName()), q.Plan, q.Job.Prompt+q.Job.Answer)
}

// applyError records in the result why no server was chosen.
func (c *requestState) applyError(err error) {
	var noServer *router.NoServerError
	if errors.As(err, &noServer) {
		c.result.Known = c.result.Known || noServer.Offered
		c.result.RetryAfter = max(c.result.RetryAfter, noServer.RetryAfter)
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

// attemptTimes are the start of an attempt and the time of its first token, zero
// before it.
type attemptTimes struct {
	started    time.Time
	firstToken time.Time
}

// observe records the times and the prompt length that a frame of the answer
// shows.
func (d *Dispatcher) observe(p *attemptTimes, f *wire.Frame, q *Request, choice router.Choice) {
	if f.GetTokens() != nil && p.firstToken.IsZero() {
		p.firstToken = time.Now()
		d.config.Chooser.RecordFirstToken(choice, q.Job.Prompt, p.firstToken.Sub(p.started))
	}
	end := f.GetEnd()
	if end == nil || q.Job.Kind != wire.Kind_KIND_MODEL {
		return
	}
	d.config.Estimator.Observe(q.Job.Model, int64(len(q.Payload)), end.GetPrompt())
	if !p.firstToken.IsZero() {
		d.config.Chooser.RecordLastToken(choice, time.Since(p.firstToken))
	}
}
