// Package dispatcher runs an admitted request: it chooses a server, sends the
// proposal, relays the answer, and retries at another server while that is safe
// and the deadline allows it.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Config{Watcher: w, Propose: p.Propose, Keeper: k})
//	result := d.Do(ctx, request, sink)
//
// The result has one of three outcomes: answered, not run (safe to send again) or
// unknown (it may have run). A repeatable request that fails part way counts as
// unknown too, since part of it ran.
//
// A request is retried only if nothing of it ran or it is repeatable, and if the
// retry budget and the remaining time allow it. Each attempt has timeouts for
// its acceptance, for its first token and for the gaps between later frames, so
// that a frozen process or a half-open connection costs one timeout and not the
// whole deadline. An answer that breaks off is resumed at another server from the
// next position.
package dispatcher

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"time"

	"bamboohill/core/admitter"
	"bamboohill/core/chooser"
	"bamboohill/core/hinter"
	"bamboohill/core/identifier"
	"bamboohill/core/keeper"
	"bamboohill/core/quarantiner"
	"bamboohill/core/retrier"
	"bamboohill/core/router"
	"bamboohill/core/screener"
	"bamboohill/core/tokenestimator"
	"bamboohill/core/watcher"
	"bamboohill/entry/internal/gangrunner"
	"bamboohill/wire"

	"github.com/phuslu/log"
)

// Request is one admitted request.
type Request struct {
	ID       identifier.Request
	Account  *wire.Account
	Plan     *wire.Plan
	Job      router.Job
	Call     wire.Call
	Key      string // idempotency key
	Method   string // of a plain call, as Path and Type
	Path     string
	Type     string
	Payload  []byte
	Hash     []byte
	Deadline time.Time
	// Permitted returns the sequence number of the active configuration and
	// whether that configuration still permits the request to the caller. Nil
	// permits always.
	Permitted func() (uint64, bool)

	fingerprint string           // of account and body, identifies the request in accusations
	isolated    bool             // the next attempt needs a server without other requests
	copies      []string         // backend servers that run copies of the request; the next attempt uses one of them
	joinsCopies bool             // the last placement was limited to copies
	members     []watcher.Server // gang of the next attempt, empty for a single server
}

// Sink receives the answer as it arrives. An error from a method means that the
// caller has disconnected.
type Sink interface {
	Tokens(texts []string) error
	Head(head *wire.Head) error
	Data(data []byte) error
}

// Result is the outcome of a request.
type Result struct {
	Outcome    wire.Outcome
	Reason     wire.Reason
	RetryAfter time.Duration // advised delay before the caller sends the request again, if not run
	End        *wire.End     // if answered
	Position   int64         // tokens or bytes passed to the sink
	Attempts   int
	Known      bool // some backend server offers the requested model or service
}

// Attempt is one proposal in progress; *proposer.Attempt implements it.
type Attempt interface {
	// Next returns the next frame, or an error if the answer breaks off or a frame
	// is invalid.
	Next() (*wire.Frame, error)
	// Position returns the position of the next token or byte.
	Position() int64
	// Close ends the attempt; if it is still running, it is cancelled.
	Close() error
}

// Timeouts are the longest waits within one attempt. Zero values mean the
// defaults.
type Timeouts struct {
	Accept     time.Duration // until the gate accepts or refuses
	FirstToken time.Duration // until the first token, on top of a multiple of the expected time
	Gap        time.Duration // between later frames
}

// Defaults of Timeouts.
const (
	defaultAccept     = 3 * time.Second
	defaultFirstToken = 5 * time.Second
	defaultGap        = 5 * time.Second
)

// Config configures a Dispatcher. A nil Retrier, Chooser, Estimator or Suspects
// gets a default one; a nil Random means rand.Float64.
type Config struct {
	Watcher           *watcher.Watcher
	Propose           func(ctx context.Context, address string, p *wire.Proposal, payload []byte) (Attempt, error)
	Gangs             *gangrunner.Runner // for prompts that exceed the memory of every single server, none if nil
	Keeper            *keeper.Keeper
	Retrier           *retrier.Retrier
	Chooser           *chooser.Chooser // chooses servers and refuses requests that cannot finish in time
	Estimator         *tokenestimator.Estimator
	Limits            Limits // of client accounts, none if nil
	Suspects          *screener.Screener
	PublishAccusation func(*wire.Accusation) // returns once the other entries were sent the accusation; may be nil
	Timeouts          Timeouts
	Entry             string // this entry's internal address
	Log               *log.Logger
	Random            func() float64
}

// Dispatcher runs requests.
type Dispatcher struct {
	config Config
	sent   sentAccusations
}

// New returns a dispatcher.
func New(config Config) *Dispatcher {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	if config.Retrier == nil {
		config.Retrier = retrier.New(retrier.Config{})
	}
	if config.Chooser == nil {
		config.Chooser = chooser.New(chooser.Config{
			Picker: router.New(router.Config{Seed: rand.Uint64()}), Admitter: admitter.New(admitter.Config{}),
		})
	}
	if config.Estimator == nil {
		config.Estimator = tokenestimator.New(tokenestimator.Config{})
	}
	if config.Suspects == nil {
		config.Suspects = screener.New(screener.Config{})
	}
	if config.Timeouts.Accept <= 0 {
		config.Timeouts.Accept = defaultAccept
	}
	if config.Timeouts.FirstToken <= 0 {
		config.Timeouts.FirstToken = defaultFirstToken
	}
	if config.Timeouts.Gap <= 0 {
		config.Timeouts.Gap = defaultGap
	}
	return &Dispatcher{config: config}
}

// requestState is the progress of a request over all its attempts.
type requestState struct {
	permittedSequence uint64 // sequence number of the configuration that permitted the request last
	result            Result
	mayHaveRun        bool // some attempt may have run
	headSent          bool // the caller has the head of a plain call's answer, which no other attempt can continue
	freeRetries       int  // remaining retries that take nothing from the budget
	viewWaits         int  // remaining waits for a view with a usable server
	serverTries       int  // remaining tries to get an empty server, or one that runs a copy
	cache             exportedCache
	gateSequence      uint64   // sequence number of the configuration at the gate that refused last
	copies            []string // backend servers that run copies of the request
}

// exportedCache is the KV cache of a request that a backend server exported before
// it left service.
type exportedCache struct {
	handle string
	tokens int64
}

// maxFreeRetries is the number of retries of a request that take nothing from the
// budget, because this entry's view was out of date: its configuration was stale,
// the sidecar had restarted, or the server had just been taken out of service by
// an operator or was leaving it.
const maxFreeRetries = 2

// A request that has begun and that no server can take is placed again up to
// maxViewWaits times, viewWait apart: long enough for heartbeats to report what
// an operator has changed.
const (
	maxViewWaits = 4
	viewWait     = 250 * time.Millisecond
)

// Do runs a request until it is answered, fails for good or reaches its deadline,
// and returns the outcome.
func (d *Dispatcher) Do(ctx context.Context, q *Request, sink Sink) Result {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	q.Job.Deadline = q.Deadline
	if q.Job.Kind == wire.Kind_KIND_MODEL {
		q.Job.Chain = hinter.HashPrompt(q.Payload)
		q.Job.Prompt = d.config.Estimator.EstimateTokens(q.Job.Model, int64(len(q.Payload)))
		hash := sha256.Sum256(q.Payload)
		q.fingerprint = quarantiner.Fingerprint(q.Account.GetName(), hash[:])
	}
	c := &requestState{freeRetries: maxFreeRetries, viewWaits: maxViewWaits, serverTries: maxServerTries}
	c.result.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	release, err := d.limit(ctx, q)
	if err != nil {
		c.applyError(err)
		return c.final()
	}
	defer func() { release(c.mayHaveRun || c.result.Outcome == wire.Outcome_OUTCOME_ANSWERED, time.Now()) }()
	d.config.Retrier.RecordRequest(identifier.Account(q.Account.GetName()))
	for {
		if !d.checkPermission(q, c) {
			return c.final()
		}
		choice, err := d.place(q, c)
		if err != nil {
			if !d.retryPlacement(ctx, q, c, err) {
				return c.final()
			}
			continue
		}
		c.result.Known = true
		c.result.Attempts++
		result := d.attempt(ctx, q, choice, c, sink)
		if c.apply(result) {
			return c.final()
		}
		if !d.retry(ctx, q, c, choice.Server) {
			return c.final()
		}
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	Result
	callerLeft   bool // the caller has disconnected
	cache        exportedCache
	gateSequence uint64 // sequence number of the configuration at the gate
	copies       []string
}

// apply adds the result of an attempt and reports whether the request has ended.
func (c *requestState) apply(r attemptResult) bool {
	r.Attempts = c.result.Attempts
	r.Known = true
	c.result = r.Result
	c.cache = r.cache
	c.gateSequence = r.gateSequence
	c.copies = r.copies
	c.mayHaveRun = c.mayHaveRun || r.Outcome != wire.Outcome_OUTCOME_NOT_RUN
	return r.Outcome == wire.Outcome_OUTCOME_ANSWERED || r.callerLeft
}

// final returns the result of the request.
func (c *requestState) final() Result {
	if c.result.Outcome != wire.Outcome_OUTCOME_ANSWERED && c.mayHaveRun {
		c.result.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return c.result
}

// checkPermission reports, before each attempt, whether the caller is still
// permitted to make the request: the configuration may have changed since the
// last attempt, or this entry may have learnt that its own was stale. The
// proposal carries the sequence number of the configuration that was checked.
func (d *Dispatcher) checkPermission(q *Request, c *requestState) bool {
	if q.Permitted == nil {
		c.permittedSequence = d.config.Keeper.State().Sequence
		return true
	}
	sequence, ok := q.Permitted()
	c.permittedSequence = sequence
	if !ok {
		c.result.Reason = wire.Reason_REASON_DENIED
	}
	return ok
}

// retry decides whether the request is sent again after a failed attempt, and
// waits until then.
func (d *Dispatcher) retry(ctx context.Context, q *Request, c *requestState, server watcher.Server) bool {
	if ctx.Err() != nil || c.headSent || c.mayHaveRun && q.Call != wire.Call_CALL_REPEATABLE {
		return false
	}
	reason := c.result.Reason
	if final(reason) {
		return false
	}
	if mustWait(reason) || (q.isolated || q.joinsCopies) && c.result.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		q.copies = c.copies
		return d.waitForServer(ctx, c)
	}
	if c.freeRetries > 0 && (reason == wire.Reason_REASON_STALE || reason == wire.Reason_REASON_BOOT) {
		c.freeRetries--
		if reason == wire.Reason_REASON_STALE {
			d.config.Keeper.CatchUp(ctx, c.gateSequence)
		}
		return ctx.Err() == nil
	}
	q.Job.Excluded = append(q.Job.Excluded, identifier.Server(server.GetServer()))
	if reason == wire.Reason_REASON_MOVED {
		return true // the server was drained: the budget is for failures
	}
	if c.freeRetries > 0 && (reason == wire.Reason_REASON_OUT || reason == wire.Reason_REASON_LEAVING) {
		c.freeRetries--
		return ctx.Err() == nil // the view does not show yet that the server left service
	}
	return d.backOff(ctx, q, c)
}

// final reports whether a refusal with this reason holds for every server.
func final(reason wire.Reason) bool {
	switch reason {
	case wire.Reason_REASON_LATE, wire.Reason_REASON_MISMATCH, wire.Reason_REASON_DUPLICATE, wire.Reason_REASON_DENIED,
		wire.Reason_REASON_STORE:
		return true
	default:
		return false
	}
}

// retryPlacement decides whether to place the request again when no server can
// take it. A request of which nothing has run is given up at once; one that has
// begun waits for a newer view and considers all servers again. The wait takes
// nothing from the retry budget, since nothing is sent.
func (d *Dispatcher) retryPlacement(ctx context.Context, q *Request, c *requestState, err error) bool {
	c.applyError(err)
	if c.mayHaveRun && q.isolated || q.joinsCopies {
		return d.waitForServer(ctx, c) // the isolation server is not in service yet, or the servers with copies are full
	}
	if !c.mayHaveRun || c.viewWaits == 0 {
		return false
	}
	c.viewWaits--
	q.Job.Excluded = nil
	return wait(ctx, viewWait)
}

// backOff takes a retry from the budget and waits for its delay. It returns false
// if the budget or the remaining time does not allow the retry.
func (d *Dispatcher) backOff(ctx context.Context, q *Request, c *requestState) bool {
	delay, ok := d.config.Retrier.Retry(identifier.Account(q.Account.GetName()), c.result.Attempts, time.Until(q.Deadline), d.config.Random())
	if !ok {
		return false
	}
	return wait(ctx, delay)
}

// wait waits for the given time and reports whether it passed before the context
// ended.
func wait(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
