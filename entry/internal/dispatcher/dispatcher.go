// Package dispatcher takes an admitted request through its attempts: place,
// propose, relay, and once more elsewhere while that is safe and in time.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Config{Watcher: w, Proposer: p, Keeper: k})
//	result := d.Do(ctx, request, sink)
//
// The result's outcome is one of three final words: answered, not run (safe to
// send again) or unknown (it may have run). A repeatable request that fails
// half way counts as unknown too: part of it ran.
package dispatcher

import (
	"context"
	"errors"
	"time"

	"bamboohill/core/ider"
	"bamboohill/core/keeper"
	"bamboohill/core/router"
	"bamboohill/core/watcher"
	"bamboohill/entry/internal/proposer"
	"bamboohill/wire"

	"github.com/phuslu/log"
)

// maxAttempts bounds the tries of one request.
const maxAttempts = 8

// Request is one admitted request.
type Request struct {
	ID       ider.Request
	Account  *wire.Account
	Plan     *wire.Plan
	Job      router.Job
	Call     wire.Call
	Key      string // idempotency key
	Method   string // of a plain call
	Path     string
	Type     string
	Payload  []byte
	Hash     []byte
	Deadline time.Time
	Priority int32
}

// Sink takes the answer as it comes. An error from it means that the caller
// has left.
type Sink interface {
	Tokens(texts []string) error
	Head(head *wire.Head) error
	Data(data []byte) error
}

// Result is the final word on a request.
type Result struct {
	Outcome  wire.Outcome
	Reason   wire.Reason
	Retry    time.Duration // when to come back, if not run
	End      *wire.End     // if answered
	Position int64         // tokens or bytes passed on
	Attempts int
}

// Config describes a Dispatcher.
type Config struct {
	Watcher  *watcher.Watcher
	Proposer *proposer.Proposer
	Keeper   *keeper.Keeper
	Entry    string // this entry's inner address
	Log      *log.Logger
}

// Dispatcher runs requests.
type Dispatcher struct {
	config Config
}

// New returns a dispatcher.
func New(config Config) *Dispatcher { return &Dispatcher{config: config} }

// Do runs a request to its final word.
func (d *Dispatcher) Do(ctx context.Context, q *Request, sink Sink) Result {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	result := Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
	ran := false
	for result.Attempts < maxAttempts {
		server, err := router.Pick(q.Job, d.config.Watcher.View().Servers)
		if err != nil {
			return giveUp(result, ran, err)
		}
		result.Attempts++
		step := d.attempt(ctx, q, server, result.Position, sink)
		result.Position = step.Position
		result.Reason = step.Reason
		result.Retry = step.Retry
		ran = ran || step.Outcome != wire.Outcome_OUTCOME_NOT_RUN
		if step.Outcome == wire.Outcome_OUTCOME_ANSWERED {
			step.Attempts = result.Attempts
			return step
		}
		if ctx.Err() != nil || ran && q.Call == wire.Call_CALL_ONCE || everywhere(step.Reason) {
			break
		}
		q.Job.Excluded = append(q.Job.Excluded, ider.Server(server.GetServer()))
	}
	return giveUp(result, ran, nil)
}

// everywhere reports whether any other backend server would refuse for the
// same reason.
func everywhere(reason wire.Reason) bool {
	return reason == wire.Reason_REASON_MISMATCH || reason == wire.Reason_REASON_STORE
}

func giveUp(result Result, ran bool, err error) Result {
	var none *router.NoneError
	if errors.As(err, &none) {
		result.Retry = none.Retry
	}
	if ran {
		result.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return result
}

func (d *Dispatcher) attempt(ctx context.Context, q *Request, server watcher.Server, position int64, sink Sink) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := d.proposal(q, server, position)
	d.config.Log.Debug().Str("event", "proposed").Str("request", p.GetRequest()).Str("attempt", p.GetAttempt()).Str("server", server.GetServer()).Msg("")
	a, err := d.config.Proposer.Propose(ctx, server.GetAddress(), p, q.Payload)
	if err != nil {
		d.config.Watcher.Fail(ider.Server(server.GetServer()))
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_ENGINE, Position: position}
	}
	defer a.Close()
	for {
		f, err := a.Next()
		if err != nil {
			d.config.Watcher.Fail(ider.Server(server.GetServer()))
			return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_ENGINE, Position: a.Position()}
		}
		if result, done := d.relay(f, sink, a.Position()); done {
			return result
		}
	}
}

// relay passes one frame on and reports whether the attempt has ended.
func (d *Dispatcher) relay(f *wire.Frame, sink Sink, position int64) (Result, bool) {
	var err error
	switch b := f.GetBody().(type) {
	case *wire.Frame_Accepted:
		d.config.Watcher.Hear(b.Accepted.GetReport())
	case *wire.Frame_Tokens:
		err = sink.Tokens(b.Tokens.GetTexts())
	case *wire.Frame_Head:
		err = sink.Head(b.Head)
	case *wire.Frame_Data:
		err = sink.Data(b.Data.GetBytes())
	case *wire.Frame_End:
		d.config.Watcher.Hear(b.End.GetReport())
		return Result{Outcome: wire.Outcome_OUTCOME_ANSWERED, End: b.End, Position: position}, true
	case *wire.Frame_Refused:
		d.config.Watcher.Hear(b.Refused.GetReport())
		retry := time.Duration(b.Refused.GetRetryMs()) * time.Millisecond
		return Result{Outcome: b.Refused.GetOutcome(), Reason: b.Refused.GetReason(), Retry: retry, Position: position}, true
	}
	if err != nil {
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_LATE, Position: position}, true
	}
	return Result{}, false
}

func (d *Dispatcher) proposal(q *Request, server watcher.Server, position int64) *wire.Proposal {
	return &wire.Proposal{
		Request: string(q.ID), Attempt: string(ider.New[ider.Attempt]()), Account: q.Account.GetName(), Entry: d.config.Entry,
		Boot: server.GetBoot(), Sequence: d.config.Keeper.State().Sequence, RemainingMs: time.Until(q.Deadline).Milliseconds(),
		Priority: q.Priority, Call: q.Call, Key: q.Key, Hash: q.Hash, Model: q.Job.Model, Version: q.Job.Version,
		Adapter: q.Job.Adapter, Prompt: q.Job.Prompt, Answer: q.Job.Answer, Position: position,
		Method: q.Method, Path: q.Path, Type: q.Type,
	}
}
