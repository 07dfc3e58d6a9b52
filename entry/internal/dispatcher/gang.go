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

// placeGang chooses a gang of servers for a prompt that exceeds the memory of
// every single server. For any other request it returns cause, the error of the
// placement on a single server.
func (d *Dispatcher) placeGang(q *Request, servers []watcher.Server, cause error) (router.Choice, error) {
	var noServer *router.NoServerError
	if d.config.Gangs == nil || q.isolated || q.Job.Kind != wire.Kind_KIND_MODEL || !errors.As(cause, &noServer) {
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

// gangChoice returns the choice that represents a gang: its first member, and the
// expected times of an equal part of the prompt. The priority is the spare time in
// milliseconds, so that a request without any is the most urgent.
func gangChoice(q *Request, members []watcher.Server) router.Choice {
	seconds := func(tokens int64, rate float64) time.Duration {
		return time.Duration(float64(tokens) / max(1, rate) * float64(time.Second))
	}
	firstToken := seconds(q.Job.Prompt/int64(len(members)), members[0].GetPrefill())
	lastToken := firstToken + seconds(q.Job.Answer, members[0].GetDecode())
	slack := max(0, time.Until(q.Deadline)-lastToken)
	return router.Choice{
		Server: members[0], FirstToken: firstToken, LastToken: lastToken, Priority: int32(min(slack.Milliseconds(), math.MaxInt32)),
	}
}

// propose sends a proposal to the chosen server, or to the gang.
func (d *Dispatcher) propose(ctx context.Context, q *Request, server watcher.Server, p *wire.Proposal) (Attempt, error) {
	if len(q.members) > 0 {
		return d.config.Gangs.Propose(ctx, p, q.Payload, q.members)
	}
	return d.config.Propose(ctx, server.GetAddress(), p, q.Payload)
}

// proposalFailed returns the result of an attempt whose proposal got no answer.
// Nothing has run if a gang was refused its reservations, or if no connection to a
// single server was made.
func (d *Dispatcher) proposalFailed(q *Request, server watcher.Server, position int64, err error) attemptResult {
	var refused *reserver.RefusedError
	if errors.As(err, &refused) {
		return attemptResult{Result: Result{
			Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: refused.Reason, RetryAfter: refused.RetryAfter, Position: position,
		}}
	}
	s := d.interrupted(server, position)
	if len(q.members) == 0 && dialFailed(err) {
		s.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	}
	return s
}
