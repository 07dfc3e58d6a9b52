package dispatcher

import (
	"errors"
	"time"

	"bamboohill/core/admitter"
	"bamboohill/core/convictor"
	"bamboohill/core/router"
	"bamboohill/wire"
)

// place chooses the server of the next attempt. Before the first attempt it
// also asks whether the request can finish in time, among all servers if the
// few candidates are too slow; what has begun is never given up for that.
func (d *Dispatcher) place(q *Request, c *course) (router.Choice, error) {
	now := time.Now()
	servers := d.config.Watcher.View().Servers
	if q.fingerprint != "" {
		var err error
		if servers, err = d.judge(q, servers); err != nil {
			return router.Choice{}, err
		}
	}
	choice, err := d.config.Router.Pick(q.Job, servers, now)
	if err != nil || c.result.Attempts > 0 || q.Job.Kind == wire.Kind_KIND_SERVICE {
		return choice, err
	}
	if d.admit(q, choice, now) == nil {
		return choice, nil
	}
	job := q.Job
	job.Wide = true
	choice, err = d.config.Router.Pick(job, servers, now)
	if err != nil {
		return choice, err
	}
	return choice, d.admit(q, choice, now)
}

func (d *Dispatcher) admit(q *Request, choice router.Choice, now time.Time) error {
	return d.config.Admitter.Admit(admitter.Ask{
		Prompt: q.Job.Prompt, First: choice.First, Whole: choice.Whole, Left: q.Deadline.Sub(now),
	})
}

// refuse writes into the course why no server was chosen.
func (c *course) refuse(err error) {
	var none *router.NoneError
	if errors.As(err, &none) {
		c.result.Known = c.result.Known || none.Known
		c.result.Retry = max(c.result.Retry, none.Retry)
	}
	var convicted *convictor.ConvictedError
	if errors.As(err, &convicted) {
		c.result.Known = true
		c.result.Reason = wire.Reason_REASON_SUSPECT
		c.result.Retry = convicted.Retry
	}
	var late *admitter.LateError
	if errors.As(err, &late) {
		c.result.Known = true
		c.result.Reason = wire.Reason_REASON_LATE
		c.result.Retry = max(c.result.Retry, late.Retry)
	}
}

// begun notes the first token of an attempt.
func (d *Dispatcher) begun(q *Request, choice router.Choice, started time.Time) {
	d.config.Router.Begun(choice)
	d.config.Admitter.Learn(q.Job.Prompt, choice.First, time.Since(started))
}
