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

// attempt runs one try of a request at one server, from a position on.
func (d *Dispatcher) attempt(ctx context.Context, q *Request, choice router.Choice, c *course, sink Sink) step {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := choice.Server
	follow := progress{started: time.Now()}
	d.config.Chooser.RecordPlacement(choice, follow.started)
	defer d.config.Chooser.RecordEnd(choice)
	position := c.result.Position
	p := d.proposal(q, choice, c)
	d.config.Log.Debug().Str("event", "proposed").Str("request", p.GetRequest()).Str("attempt", p.GetAttempt()).
		Str("server", server.GetServer()).Int64("position", position).Msg("")
	watch := time.AfterFunc(d.acceptWatch(q), cancel)
	defer watch.Stop()
	a, err := d.propose(ctx, q, server, p)
	if err != nil {
		return d.unsent(q, server, position, err)
	}
	defer a.Close()
	for {
		f, err := a.Next()
		if err != nil {
			return d.lost(server, a.Position())
		}
		d.see(&follow, f, q, choice)
		// The caller's own slowness is not the server's.
		watch.Stop()
		if s, done := d.relay(f, sink, a.Position()); done {
			return s
		}
		watch.Reset(d.nextWatch(f, q, choice))
	}
}

// unreached reports whether an error shows that no connection to the sidecar
// was made, so that it surely got nothing of the proposal.
func unreached(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// lost is the end of an attempt of which nothing more is heard.
func (d *Dispatcher) lost(server watcher.Server, position int64) step {
	d.config.Watcher.RecordFailure(identifier.Server(server.GetServer()))
	return step{Result: Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_ENGINE, Position: position}}
}

// share of the time left that waiting for the gate may use, so that time
// remains for a try elsewhere.
const acceptShare = 3

func (d *Dispatcher) acceptWatch(q *Request) time.Duration {
	return min(d.config.Timeouts.Accept, time.Until(q.Deadline)/acceptShare)
}

// nextWatch returns how long the frame after f may take.
func (d *Dispatcher) nextWatch(f *wire.Frame, q *Request, choice router.Choice) time.Duration {
	if _, accepted := f.GetBody().(*wire.Frame_Accepted); accepted {
		return d.firstWatch(q, choice)
	}
	return d.config.Timeouts.Gap
}

// slack multiplies the expected time to the first token.
const slack = 4

// firstWatch returns how long the first token may take: a multiple of the time
// that the server needs for the prefill before it and its own, or of what
// prompts of this length have taken of late, as more urgent ones go first. A
// plain call may take until its deadline.
func (d *Dispatcher) firstWatch(q *Request, choice router.Choice) time.Duration {
	server := choice.Server
	if q.Job.Kind == wire.Kind_KIND_SERVICE {
		return time.Until(q.Deadline)
	}
	speed := max(1, server.GetPrefill())
	expected := time.Duration(float64(q.Job.Prompt+server.GetQueued()) / speed * float64(time.Second))
	return d.config.Timeouts.FirstToken + slack*max(expected, d.config.Chooser.FirstTokenTime(choice, q.Job.Prompt))
}

// relay passes one frame on and reports whether the attempt has ended.
func (d *Dispatcher) relay(f *wire.Frame, sink Sink, position int64) (step, bool) {
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
		return step{Result: Result{Outcome: wire.Outcome_OUTCOME_ANSWERED, End: b.End, Position: position}}, true
	case *wire.Frame_Refused:
		d.config.Watcher.Record(b.Refused.GetReport())
		for _, a := range b.Refused.GetSuspects() {
			d.accuse(a)
		}
		return refused(b.Refused, position), true
	}
	if err != nil {
		return step{Result: Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Position: position}, left: true}, true
	}
	return step{}, false
}

// accuse takes an accusation and tells the other entries of it, once, before
// anything else is done with the request: a caller that is answered may send it
// again at once, through any of them. That this entry has heard it already, from
// the sidecar, does not mean that they have.
func (d *Dispatcher) accuse(a *wire.Accusation) {
	d.config.Suspects.Record(a)
	if d.config.PublishAccusation != nil && d.told.first(a) {
		d.config.PublishAccusation(a)
	}
}

func refused(r *wire.Refused, position int64) step {
	s := step{cache: cache{handle: r.GetExported(), tokens: r.GetTokens()}, sequence: r.GetReport().GetSequence(), copies: r.GetServers()}
	s.Outcome = r.GetOutcome()
	s.Reason = r.GetReason()
	s.RetryAfter = time.Duration(r.GetRetryMs()) * time.Millisecond
	s.Position = position
	return s
}

// known returns what goes with the proposal of a suspect: the gate at its place
// may have heard of fewer crashes.
func (d *Dispatcher) known(q *Request) []*wire.Accusation {
	if !q.alone {
		return nil
	}
	return d.config.Suspects.AccusationsFor(q.fingerprint)
}

func (d *Dispatcher) proposal(q *Request, choice router.Choice, c *course) *wire.Proposal {
	return &wire.Proposal{
		Request: string(q.ID), Attempt: string(identifier.New[identifier.Attempt]()), Account: q.Account.GetName(), Entry: d.config.Entry,
		Boot: choice.Server.GetBoot(), Sequence: c.permitted, RemainingMs: time.Until(q.Deadline).Milliseconds(),
		Priority: choice.Priority, Cached: choice.Cached, Call: q.Call, Key: q.Key, Hash: q.Hash, Model: q.Job.Model, Version: q.Job.Version,
		Adapter: q.Job.Adapter, Prompt: q.Job.Prompt, Answer: q.Job.Answer, Position: c.result.Position,
		Imported: c.cache.handle, Carried: c.cache.tokens, Fingerprint: q.fingerprint, Alone: q.alone, Suspects: d.known(q),
		Method: q.Method, Path: q.Path, Type: q.Type,
	}
}
