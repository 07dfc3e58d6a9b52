package dispatcher

import (
	"context"
	"errors"
	"math"
	"time"

	"bamboohill/core/reserver"
	"bamboohill/core/router"
	"bamboohill/core/watcher"
	"bamboohill/entry/internal/gangrunner"
	"bamboohill/wire"
)

// placeGang chooses several servers for a prompt that no single one has memory
// for; it returns cause, why none was chosen, for any other.
func (d *Dispatcher) placeGang(q *Request, servers []watcher.Server, cause error) (router.Choice, error) {
	var none *router.NoServerError
	if d.config.Gangs == nil || q.alone || q.Job.Kind != wire.Kind_KIND_MODEL || !errors.As(cause, &none) {
		return router.Choice{}, cause
	}
	offers := func(r *wire.Report) bool { return router.Offers(&q.Job, r) }
	for _, s := range servers {
		if offers(s.Report) && s.GetMemory() >= q.Job.Prompt+q.Job.Answer {
			return router.Choice{}, cause
		}
	}
	members, found := gangrunner.Choose(servers, offers, q.Job.Prompt, q.Job.Answer)
	if !found {
		return router.Choice{}, cause
	}
	q.members = members
	return gangChoice(q, members), nil
}

// gangChoice returns the choice that stands for a gang: its first member, and
// the times of an equal part of the prompt. It is urgent once the time left is
// what it needs.
func gangChoice(q *Request, members []watcher.Server) router.Choice {
	seconds := func(tokens int64, speed float64) time.Duration {
		return time.Duration(float64(tokens) / max(1, speed) * float64(time.Second))
	}
	first := seconds(q.Job.Prompt/int64(len(members)), members[0].GetPrefill())
	whole := first + seconds(q.Job.Answer, members[0].GetDecode())
	slack := max(0, time.Until(q.Deadline)-whole)
	return router.Choice{
		Server: members[0], First: first, Whole: whole, Priority: int32(min(slack.Milliseconds(), math.MaxInt32)),
	}
}

// propose sends a proposal to the chosen server, or to the gang.
func (d *Dispatcher) propose(ctx context.Context, q *Request, server watcher.Server, p *wire.Proposal) (Attempt, error) {
	if len(q.members) > 0 {
		return d.config.Gangs.Propose(ctx, p, q.Payload, q.members)
	}
	return d.config.Propose(ctx, server.GetAddress(), p, q.Payload)
}

// unsent is the end of an attempt whose proposal was not answered. A gang that
// was refused its memory has run nothing, nor has a server that was not
// reached.
func (d *Dispatcher) unsent(q *Request, server watcher.Server, position int64, err error) step {
	var refused *reserver.RefusedError
	if errors.As(err, &refused) {
		return step{Result: Result{
			Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: refused.Reason, RetryAfter: refused.RetryAfter, Position: position,
		}}
	}
	s := d.lost(server, position)
	if len(q.members) == 0 && unreached(err) {
		s.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	}
	return s
}
