package recorder

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bamboohill/core/storer"
	"bamboohill/wire"
)

// Phases of a flight. A flight leaves waiting once: either it hands the call
// over or its caller gives it up, never both.
const (
	waiting int32 = iota
	handed
	abandoned
)

// flight is one call under way in this process.
type flight struct {
	key     string
	call    Call
	claim   string
	phase   atomic.Int32
	once    sync.Once
	result  Result
	done    chan struct{} // result is set
	over    chan struct{} // the service has nothing of the call any more
	settled chan struct{} // the row is written or given up, too
}

func (f *flight) finish(result Result) {
	f.once.Do(func() {
		result.ServiceDone = f.over
		f.result = result
		close(f.done)
	})
}

// await returns the result to the caller that started the flight.
func (f *flight) await(ctx context.Context) Result {
	select {
	case <-f.done:
		return f.result
	case <-ctx.Done():
	}
	if f.phase.CompareAndSwap(waiting, abandoned) {
		f.finish(refuse(wire.Reason_REASON_LATE, wire.Outcome_OUTCOME_NOT_RUN, lateRetry))
	} else {
		f.finish(refuse(wire.Reason_REASON_LATE, wire.Outcome_OUTCOME_UNKNOWN, lateRetry))
	}
	<-f.done
	return f.result
}

// watch waits for another caller's flight of the same key. It returns the
// answer as a replay; again if the flight ended without handing the call over.
func (f *flight) watch(ctx context.Context) (result Result, again bool) {
	select {
	case <-f.done:
	case <-ctx.Done():
		return refuse(wire.Reason_REASON_DUPLICATE, wire.Outcome_OUTCOME_UNKNOWN, lateRetry), false
	}
	if f.result.Answer != nil {
		return replay(f.result.Answer), false
	}
	if f.result.Refused.GetReason() == wire.Reason_REASON_LATE || f.result.Refused.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
		select {
		case <-f.settled:
			return Result{}, true
		case <-ctx.Done():
		}
	}
	return refuse(wire.Reason_REASON_DUPLICATE, wire.Outcome_OUTCOME_UNKNOWN, lateRetry), false
}

func replay(a *Answer) Result {
	if a.Large {
		return refuse(wire.Reason_REASON_DUPLICATE, wire.Outcome_OUTCOME_FAILED, 0)
	}
	return Result{Answer: a, Replayed: true, ServiceDone: nothing}
}

// fly takes a call from its claim to its stored answer.
func (r *Recorder) fly(f *flight, run Run) {
	defer close(f.settled)
	defer r.land(f)
	version, result := r.claim(f)
	if result != nil {
		close(f.over)
		f.finish(*result)
		return
	}
	if !r.config.Now().Before(f.call.Deadline) {
		f.phase.CompareAndSwap(waiting, abandoned)
	}
	if !f.phase.CompareAndSwap(waiting, handed) {
		close(f.over)
		f.finish(refuse(wire.Reason_REASON_LATE, wire.Outcome_OUTCOME_NOT_RUN, lateRetry))
		r.void(f, version)
		return
	}
	ctx, cancel := context.WithDeadline(r.writes.stop, f.call.Deadline.Add(r.config.Grace))
	defer cancel()
	answer, err := run(ctx)
	close(f.over)
	var missed *NotSentError
	switch {
	case errors.As(err, &missed):
		r.voidFirst(f, version)
	case err != nil:
		refused := refuse(wire.Reason_REASON_ENGINE, wire.Outcome_OUTCOME_UNKNOWN, lateRetry)
		refused.Refused.Detail = err.Error()
		f.finish(refused)
	default:
		r.store(f, version, answer)
	}
}

func (r *Recorder) land(f *flight) {
	f.finish(refuse(wire.Reason_REASON_STORE, wire.Outcome_OUTCOME_UNKNOWN, lateRetry))
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flights, f.key)
}

func (r *Recorder) record(f *flight, s state, answer *Answer) []byte {
	return record{
		State: s, Claim: f.claim, Attempt: f.call.Attempt, Hash: f.call.Hash, VM: r.config.VM, Boot: r.config.Boot,
		At: r.config.Now().Unix(), Answer: answer,
	}.encode()
}

// claim inserts the row and returns its version, or says why the call does not
// run now.
func (r *Recorder) claim(f *flight) (uint64, *Result) {
	value := r.record(f, claimed, nil)
	version := uint64(0)
	for range claimTries {
		o := &op{key: f.key, version: version, value: value, claims: true, dropped: func() bool { return f.phase.Load() == abandoned }, done: make(chan opResult, 1)}
		got := r.write(o)
		switch {
		case got.conflict != nil:
			row := *got.conflict
			stands, err := decode(row)
			if err == nil && (stands.State == void || row.Version == 0) {
				version = row.Version
				continue
			}
			return 0, f.present(stands, err)
		case got.err == nil:
			return version + 1, nil
		}
		result := refuse(wire.Reason_REASON_STORE, wire.Outcome_OUTCOME_NOT_RUN, r.lost(f, got.err))
		var down *storer.UnavailableError
		if !errors.As(got.err, &down) && !errors.Is(got.err, errDropped) {
			f.phase.CompareAndSwap(waiting, abandoned)
			f.finish(result)
			r.void(f, version)
		}
		return 0, &result
	}
	result := refuse(wire.Reason_REASON_STORE, wire.Outcome_OUTCOME_NOT_RUN, r.config.Backoff)
	return 0, &result
}

func (r *Recorder) lost(f *flight, err error) time.Duration {
	if errors.Is(err, errDropped) || f.phase.Load() == abandoned {
		return lateRetry
	}
	return r.fail(err)
}

// present says what a row that stands means for a call with the same key.
func (f *flight) present(stands record, err error) *Result {
	unknown := refuse(wire.Reason_REASON_DUPLICATE, wire.Outcome_OUTCOME_UNKNOWN, lateRetry)
	switch {
	case err != nil:
		return &unknown
	case !bytes.Equal(stands.Hash, f.call.Hash):
		other := refuse(wire.Reason_REASON_MISMATCH, wire.Outcome_OUTCOME_NOT_RUN, 0)
		return &other
	case stands.State == answered && stands.Answer != nil:
		again := replay(stands.Answer)
		return &again
	}
	return &unknown
}

// write sends an op through the group commit and waits for its result.
func (r *Recorder) write(o *op) opResult {
	if !r.writes.submit(o) {
		return opResult{err: &storer.UnavailableError{RetryAfter: r.config.Backoff}}
	}
	select {
	case result := <-o.done:
		return result
	case <-r.writes.stop.Done():
		return opResult{err: &storer.UnknownOutcomeError{Cause: context.Canceled}}
	}
}

// store writes the answer to the row. The caller's answer waits for it at most
// Settle, then goes out while the writing goes on.
func (r *Recorder) store(f *flight, version uint64, answer *Answer) {
	kept := *answer
	if len(kept.Body) > r.config.MaxAnswerBytes || kept.Large {
		kept.Body, kept.Large = nil, true
	}
	t := time.AfterFunc(r.config.StoreWait, func() { f.finish(Result{Answer: answer}) })
	defer t.Stop()
	r.rewrite(f, version, r.record(f, answered, &kept))
	f.finish(Result{Answer: answer})
}

// void gives a claim up that was never handed over, so that its key can be
// sent again. A row of anyone else is left alone.
func (r *Recorder) void(f *flight, version uint64) {
	r.rewrite(f, version, r.record(f, void, nil))
}

// voidFirst is void for a call that the service did not get: another backend
// server may take it, so the row goes first, for at most Settle.
func (r *Recorder) voidFirst(f *flight, version uint64) {
	result := refuse(wire.Reason_REASON_ENGINE, wire.Outcome_OUTCOME_NOT_RUN, lateRetry)
	t := time.AfterFunc(r.config.StoreWait, func() { f.finish(result) })
	defer t.Stop()
	r.void(f, version)
	f.finish(result)
}

// rewrite writes a new value to the flight's own row, until it stands, the row
// is another's, or the limit is over.
func (r *Recorder) rewrite(f *flight, version uint64, value []byte) {
	end := r.config.Now().Add(afterLimit)
	for pause := afterPause; r.config.Now().Before(end); pause *= 2 {
		got := r.write(&op{key: f.key, version: version, value: value, done: make(chan opResult, 1)})
		if got.conflict == nil && got.err == nil {
			return
		}
		if got.conflict != nil {
			stands, err := decode(*got.conflict)
			if err == nil && got.conflict.Version != 0 && stands.Claim != f.claim {
				return
			}
			version = got.conflict.Version
			continue
		}
		select {
		case <-time.After(pause):
		case <-r.writes.stop.Done():
			return
		}
	}
}
