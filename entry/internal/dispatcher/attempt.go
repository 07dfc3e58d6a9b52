package dispatcher

import (
	"context"
	"errors"
	"net"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/core/router"
	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// attempt sends a request to one server once and relays its answer, starting at
// the position that the request has reached.
func (d *Dispatcher) attempt(ctx context.Context, q *Request, choice router.Choice, c *requestState, sink Sink) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := choice.Server
	times := attemptTimes{started: time.Now()}
	d.config.Chooser.RecordPlacement(choice, times.started)
	defer d.config.Chooser.RecordEnd(choice)
	position := c.result.Position
	p := d.proposal(q, choice, c)
	d.config.Log.Debug().Str("event", "proposed").Str("request", p.GetRequest()).Str("attempt", p.GetAttempt()).
		Str("server", server.GetServer()).Int64("position", position).Msg("")
	timer := time.AfterFunc(d.acceptTimeout(q), cancel)
	defer timer.Stop()
	a, err := d.propose(ctx, q, server, p)
	if err != nil {
		return d.proposalFailed(q, server, position, err)
	}
	defer a.Close()
	for {
		f, err := a.Next()
		if err != nil {
			return d.interrupted(server, a.Position())
		}
		d.observe(&times, f, q, choice)
		// Time that the caller takes to accept data does not count against the server.
		timer.Stop()
		if _, head := f.GetBody().(*wire.Frame_Head); head {
			c.headSent = true
		}
		if s, done := d.relay(f, sink, a.Position()); done {
			return s
		}
		timer.Reset(d.frameTimeout(f, q, choice))
	}
}

// dialFailed reports whether err shows that no connection to the sidecar was
// made, so that the sidecar got nothing of the proposal.
func dialFailed(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// interrupted returns the result of an attempt whose answer broke off or never
// came, and records the failure of the server.
func (d *Dispatcher) interrupted(server watcher.Server, position int64) attemptResult {
	d.config.Watcher.RecordFailure(identifier.Server(server.GetServer()))
	return attemptResult{Result: Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_ENGINE, Position: position}}
}

// acceptDivisor limits the wait for the gate to a fraction of the remaining time,
// so that enough is left for an attempt at another server.
const acceptDivisor = 3

// acceptTimeout returns how long the gate may take to accept or refuse.
func (d *Dispatcher) acceptTimeout(q *Request) time.Duration {
	return min(d.config.Timeouts.Accept, time.Until(q.Deadline)/acceptDivisor)
}

// frameTimeout returns how long the frame after f may take.
func (d *Dispatcher) frameTimeout(f *wire.Frame, q *Request, choice router.Choice) time.Duration {
	if _, accepted := f.GetBody().(*wire.Frame_Accepted); accepted {
		return d.firstTokenTimeout(q, choice)
	}
	return d.config.Timeouts.Gap
}

// firstTokenFactor multiplies the expected time to the first token.
const firstTokenFactor = 4

// firstTokenTimeout returns how long the first token may take. It is a multiple
// of the expected time, which is the larger of two: the prefill of the server's
// queue and of this prompt, and the recent times to the first token of prompts of
// this length, since more urgent requests are served first. A plain call may take
// until its deadline.
func (d *Dispatcher) firstTokenTimeout(q *Request, choice router.Choice) time.Duration {
	server := choice.Server
	if q.Job.Kind == wire.Kind_KIND_SERVICE {
		return time.Until(q.Deadline)
	}
	rate := max(1, server.GetPrefill())
	expected := time.Duration(float64(q.Job.Prompt+server.GetQueued()) / rate * float64(time.Second))
	return d.config.Timeouts.FirstToken + firstTokenFactor*max(expected, d.config.Chooser.FirstTokenTime(choice, q.Job.Prompt))
}

// relay forwards one frame to the caller and reports whether the attempt has
// ended.
func (d *Dispatcher) relay(f *wire.Frame, sink Sink, position int64) (attemptResult, bool) {
	var err error
	switch b := f.GetBody().(type) {
	case *wire.Frame_Accepted:
		d.config.Watcher.Record(b.Accepted.GetReport())
	case *wire.Frame_Tokens:
		err = sink.Tokens(b.Tokens.GetTexts())
	case *wire.Frame_Head:
		err = sink.Head(b.Head)
	case *wire.Frame_Data:
		err = sink.Data(b.Data.GetBytes())
	case *wire.Frame_End:
		d.config.Watcher.Record(b.End.GetReport())
		return attemptResult{Result: Result{Outcome: wire.Outcome_OUTCOME_ANSWERED, End: b.End, Position: position}}, true
	case *wire.Frame_Refused:
		d.config.Watcher.Record(b.Refused.GetReport())
		for _, a := range b.Refused.GetSuspects() {
			d.recordAccusation(a)
		}
		return refused(b.Refused, position), true
	}
	if err != nil {
		return attemptResult{Result: Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Position: position}, callerLeft: true}, true
	}
	return attemptResult{}, false
}

// recordAccusation records an accusation and publishes it to the other entries,
// once, before the request is processed further: a caller that gets its answer
// may send the request again at once, through any entry. The accusation is
// published even if this entry had it from the sidecar already, since the others
// may not have it.
func (d *Dispatcher) recordAccusation(a *wire.Accusation) {
	d.config.Suspects.Record(a)
	if d.config.PublishAccusation != nil && d.sent.add(a) {
		d.config.PublishAccusation(a)
	}
}

// refused returns the result of an attempt that the sidecar refused or ended.
func refused(r *wire.Refused, position int64) attemptResult {
	s := attemptResult{cache: exportedCache{handle: r.GetExported(), tokens: r.GetTokens()}, gateSequence: r.GetReport().GetSequence(), copies: r.GetServers()}
	s.Outcome = r.GetOutcome()
	s.Reason = r.GetReason()
	s.RetryAfter = time.Duration(r.GetRetryMs()) * time.Millisecond
	s.Position = position
	return s
}

// accusations returns the accusations to send with the proposal of an isolated
// request: the gate of the chosen server may know of fewer crashes.
func (d *Dispatcher) accusations(q *Request) []*wire.Accusation {
	if !q.isolated {
		return nil
	}
	return d.config.Suspects.AccusationsFor(q.fingerprint)
}

func (d *Dispatcher) proposal(q *Request, choice router.Choice, c *requestState) *wire.Proposal {
	return &wire.Proposal{
		Request: string(q.ID), Attempt: string(identifier.New[identifier.Attempt]()), Account: q.Account.GetName(), Entry: d.config.Entry,
		Boot: choice.Server.GetBoot(), Sequence: c.permittedSequence, RemainingMs: time.Until(q.Deadline).Milliseconds(),
		Priority: choice.Priority, Cached: choice.Cached, Call: q.Call, Key: q.Key, Hash: q.Hash, Model: q.Job.Model, Version: q.Job.Version,
		Adapter: q.Job.Adapter, Prompt: q.Job.Prompt, Answer: q.Job.Answer, Position: c.result.Position,
		Imported: c.cache.handle, Carried: c.cache.tokens, Fingerprint: q.fingerprint, Alone: q.isolated, Suspects: d.accusations(q),
		Method: q.Method, Path: q.Path, Type: q.Type,
	}
}
