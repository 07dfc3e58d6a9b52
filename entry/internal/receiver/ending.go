package receiver

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bamboohill/entry/internal/dispatcher"
)

// stop is what a stopping entry can promise.
type stop struct {
	end       time.Time // when all requests must be answered
	elsewhere time.Time // when callers reach other entries
}

// errAborted is returned to the dispatcher for an answer that begins after its request was
// aborted.
var errAborted = errors.New("receiver: the request was aborted as the entry ends")

// Stop makes the receiver refuse the requests whose deadlines are later than end, as the entry
// may end before them. Their callers are told to come back at the time elsewhere.
func (r *Receiver) Stop(end, elsewhere time.Time) {
	r.stop.Store(&stop{end: end, elsewhere: elsewhere})
}

// isStopping reports whether Stop was called. Answers that have begun reach their callers as
// they come then, since their connections may be closed before the answers are complete.
func (r *Receiver) isStopping() bool { return r.stop.Load() != nil }

// Abandon ends all requests whose answers have not begun, as the process is about to end and
// would close their connections: those that have not run are refused, the others get a failure
// that promises nothing. Later ones are refused.
func (r *Receiver) Abandon() { r.unanswered.AbortAll() }

// run executes a request that the entry can finish. It returns a failure if the entry may end
// first; the request has not run then.
func (r *Receiver) run(q *http.Request, request *dispatcher.Request, sink dispatcher.Sink) (dispatcher.Result, *Failure) {
	if s := r.stop.Load(); s != nil && request.Deadline.After(s.end) {
		return dispatcher.Result{}, stopping(s)
	}
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	if !r.unanswered.Add(request, cancel) {
		return dispatcher.Result{}, stopping(r.stop.Load())
	}
	defer r.unanswered.Begin(request)
	return r.config.Dispatcher.Do(ctx, request, sink), nil
}

// stopping returns the failure for a request that a stopping entry does not run.
func stopping(s *stop) *Failure {
	after := time.Duration(0)
	if s != nil {
		after = time.Until(s.elsewhere)
	}
	return unavailable("not_run", "this entry stops before the request must have ended; send it again after Retry-After", after)
}

// beginning decides whether the answer of a request may begin; nil permits it.
type beginning func() bool

// check returns errAborted if the answer must not begin. It is called once.
func (b beginning) check() error {
	if b != nil && !b() {
		return errAborted
	}
	return nil
}

// beginningOf returns the beginning of the answer of a request that run executes.
func (r *Receiver) beginningOf(request *dispatcher.Request) beginning {
	return func() bool { return r.unanswered.Begin(request) }
}
