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

// Phases of a flight. A flight leaves the phase waiting only once: either the
// call is sent to the service or its caller abandons it, never both.
const (
	waiting int32 = iota
	sent
	abandoned
)

// flight is a call that is in progress in this process.
type flight struct {
	key         string
	call        Call
	claim       string
	phase       atomic.Int32
	once        sync.Once
	result      Result
	done        chan struct{} // closed when result is set
	serviceDone chan struct{} // closed when the service no longer works on the call
	rowDone     chan struct{} // closed when the row is written as well, or writing it was given up
}

// finish sets the result of the flight; only the first one counts.
func (f *flight) finish(result Result) {
	f.once.Do(func() {
		result.ServiceDone = f.serviceDone
		f.result = result
		close(f.done)
	})
}

// await waits for the result of a flight on behalf of the caller that started
// it. If the context ends first, the result is a refusal.
func (f *flight) await(ctx context.Context) Result {
	select {
	case <-f.done:
		return f.result
	case <-ctx.Done():
	}
	if f.phase.CompareAndSwap(waiting, abandoned) {
		f.finish(refuse(wire.Reason_REASON_LATE, wire.Outcome_OUTCOME_NOT_RUN, refusalRetry))
	} else {
		f.finish(refuse(wire.Reason_REASON_LATE, wire.Outcome_OUTCOME_UNKNOWN, refusalRetry))
	}
	<-f.done
	return f.result
}

// awaitReplay waits for a flight that another caller started with the same key
// and returns its answer as a replay. retry is true if the flight ended without
// sending the call, so that this caller may start a flight of its own.
func (f *flight) awaitReplay(ctx context.Context) (result Result, retry bool) {
	select {
	case <-f.done:
	case <-ctx.Done():
		return refuse(wire.Reason_REASON_DUPLICATE, wire.Outcome_OUTCOME_UNKNOWN, refusalRetry), false
	}
	if f.result.Answer != nil {
		return replay(f.result.Answer), false
	}
	if f.result.Refused.GetReason() == wire.Reason_REASON_LATE || f.result.Refused.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
		select {
		case <-f.rowDone:
			return Result{}, true
		case <-ctx.Done():
		}
	}
	return refuse(wire.Reason_REASON_DUPLICATE, wire.Outcome_OUTCOME_UNKNOWN, refusalRetry), false
}

// replay returns a stored answer as the result of a repeated call.
func replay(a *Answer) Result {
	if a.Large {
		return refuse(wire.Reason_REASON_DUPLICATE, wire.Outcome_OUTCOME_FAILED, 0)
	}
	return Result{Answer: a, Replayed: true, ServiceDone: closedChannel}
}

// execute claims the row of a call, sends the call to the service and stores the
// answer.
func (r *Recorder) execute(f *flight, run Run) {
	defer close(f.rowDone)
	defer r.cleanUp(f)
	version, result := r.claim(f)
	if result != nil {
		close(f.serviceDone)
		f.finish(*result)
		return
	}
	if !r.config.Now().Before(f.call.Deadline) {
		f.phase.CompareAndSwap(waiting, abandoned)
	}
	if !f.phase.CompareAndSwap(waiting, sent) {
		close(f.serviceDone)
		f.finish(refuse(wire.Reason_REASON_LATE, wire.Outcome_OUTCOME_NOT_RUN, refusalRetry))
		r.void(f, version)
		return
	}
	ctx, cancel := context.WithDeadline(r.writer.ctx, f.call.Deadline.Add(r.config.Grace))
	defer cancel()
	answer, err := run(ctx)
	close(f.serviceDone)
	var notSent *NotSentError
	switch {
	case errors.As(err, &notSent):
		r.voidFirst(f, version)
	case err != nil:
		refused := refuse(wire.Reason_REASON_ENGINE, wire.Outcome_OUTCOME_UNKNOWN, refusalRetry)
		refused.Refused.Detail = err.Error()
		f.finish(refused)
	default:
		r.store(f, version, answer)
	}
}

// cleanUp removes a flight that has ended. If it has no result yet, the outcome
// is unknown.
func (r *Recorder) cleanUp(f *flight) {
	f.finish(refuse(wire.Reason_REASON_STORE, wire.Outcome_OUTCOME_UNKNOWN, refusalRetry))
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flights, f.key)
}

// record returns the encoded row of a flight in a state.
func (r *Recorder) record(f *flight, s state, answer *Answer) []byte {
	return record{
		State: s, Claim: f.claim, Attempt: f.call.Attempt, Hash: f.call.Hash, VM: r.config.VM, Boot: r.config.Boot,
		At: r.config.Now().Unix(), Answer: answer,
	}.encode()
}

// claim inserts the row of a call, or overwrites its voided row, and returns the
// new version. Else it returns the result of the call, which then must not run.
func (r *Recorder) claim(f *flight) (uint64, *Result) {
	value := r.record(f, claimed, nil)
	version := uint64(0)
	for range maxClaimAttempts {
		o := &op{key: f.key, version: version, value: value, isClaim: true, dropped: func() bool { return f.phase.Load() == abandoned }, done: make(chan opResult, 1)}
		got := r.write(o)
		switch {
		case got.conflict != nil:
			row := *got.conflict
			stored, err := decode(row)
			if err == nil && (stored.State == void || row.Version == 0) {
				version = row.Version
				continue
			}
			return 0, f.resultOfRow(stored, err)
		case got.err == nil:
			return version + 1, nil
		}
		result := refuse(wire.Reason_REASON_STORE, wire.Outcome_OUTCOME_NOT_RUN, r.retryDelay(f, got.err))
		var unavailable *storer.UnavailableError
		if !errors.As(got.err, &unavailable) && !errors.Is(got.err, errDropped) {
			f.phase.CompareAndSwap(waiting, abandoned)
			f.finish(result)
			r.void(f, version)
		}
		return 0, &result
	}
	result := refuse(wire.Reason_REASON_STORE, wire.Outcome_OUTCOME_NOT_RUN, r.config.Backoff)
	return 0, &result
}

// retryDelay returns the retry delay for a caller whose claim failed with err.
func (r *Recorder) retryDelay(f *flight, err error) time.Duration {
	if errors.Is(err, errDropped) || f.phase.Load() == abandoned {
		return refusalRetry
	}
	return r.recordOutage(err)
}

// resultOfRow returns the result of a call for whose key a row already exists;
// err is the error of decoding that row.
func (f *flight) resultOfRow(stored record, err error) *Result {
	unknown := refuse(wire.Reason_REASON_DUPLICATE, wire.Outcome_OUTCOME_UNKNOWN, refusalRetry)
	switch {
	case err != nil:
		return &unknown
	case !bytes.Equal(stored.Hash, f.call.Hash):
		mismatch := refuse(wire.Reason_REASON_MISMATCH, wire.Outcome_OUTCOME_NOT_RUN, 0)
		return &mismatch
	case stored.State == answered && stored.Answer != nil:
		replayed := replay(stored.Answer)
		return &replayed
	}
	return &unknown
}

// write submits an op to the committer and waits for its result.
func (r *Recorder) write(o *op) opResult {
	if !r.writer.submit(o) {
		return opResult{err: &storer.UnavailableError{RetryAfter: r.config.Backoff}}
	}
	select {
	case result := <-o.done:
		return result
	case <-r.writer.ctx.Done():
		return opResult{err: &storer.UnknownOutcomeError{Cause: context.Canceled}}
	}
}

// store writes the answer to the row. The caller waits for the write for at most
// Config.StoreWait, then gets its answer while the write continues.
func (r *Recorder) store(f *flight, version uint64, answer *Answer) {
	stored := *answer
	if len(stored.Body) > r.config.MaxAnswerBytes || stored.Large {
		stored.Body, stored.Large = nil, true
	}
	t := time.AfterFunc(r.config.StoreWait, func() { f.finish(Result{Answer: answer}) })
	defer t.Stop()
	r.rewrite(f, version, r.record(f, answered, &stored))
	f.finish(Result{Answer: answer})
}

// void marks the claim of a call that was never sent as void, so that
// its key can be sent again. It does not change a row with another claim.
func (r *Recorder) void(f *flight, version uint64) {
	r.rewrite(f, version, r.record(f, void, nil))
}

// voidFirst voids the claim of a call that did not reach the service before it
// returns the refusal, because the entry may then send the call to another
// backend server. The refusal waits for this for at most Config.StoreWait.
func (r *Recorder) voidFirst(f *flight, version uint64) {
	result := refuse(wire.Reason_REASON_ENGINE, wire.Outcome_OUTCOME_NOT_RUN, refusalRetry)
	t := time.AfterFunc(r.config.StoreWait, func() { f.finish(result) })
	defer t.Stop()
	r.void(f, version)
	f.finish(result)
}

// rewrite writes a new value to the flight's own row. It retries with exponential
// backoff until the value is stored, the row has another claim, or rewriteTimeout
// has passed.
func (r *Recorder) rewrite(f *flight, version uint64, value []byte) {
	end := r.config.Now().Add(rewriteTimeout)
	for pause := rewriteBackoff; r.config.Now().Before(end); pause *= 2 {
		got := r.write(&op{key: f.key, version: version, value: value, done: make(chan opResult, 1)})
		if got.conflict == nil && got.err == nil {
			return
		}
		if got.conflict != nil {
			stored, err := decode(*got.conflict)
			if err == nil && got.conflict.Version != 0 && stored.Claim != f.claim {
				return
			}
			version = got.conflict.Version
			continue
		}
		select {
		case <-time.After(pause):
		case <-r.writer.ctx.Done():
			return
		}
	}
}
