// Package dispatcher takes an admitted request through its attempts: place,
// propose, relay, and once more elsewhere while that is safe and in time.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Config{Watcher: w, Propose: p.Propose, Keeper: k})
//	result := d.Do(ctx, request, sink)
//
// The result's outcome is one of three final words: answered, not run (safe to
// send again) or unknown (it may have run). A repeatable request that fails
// half way counts as unknown too: part of it ran.
//
// A try after the first is sent only if nothing ran, or the request may be
// repeated; if the retry budget allows it; and if the time left does. Each
// attempt has watchdogs for its acceptance, its first token and the gaps after
// it, so that a frozen process or a half-open connection costs one watch and
// not the deadline. An answer that breaks off is resumed elsewhere at the next
// position.
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
	Method   string // of a plain call
	Path     string
	Type     string
	Payload  []byte
	Hash     []byte
	Deadline time.Time
	// Permitted tells, of the configuration in force now, its sequence number
	// and whether the caller may still have this. Nil permits always.
	Permitted func() (uint64, bool)

	fingerprint string           // of account and body, for crash suspects
	alone       bool             // the next attempt has to run alone
	copies      []string         // backend servers that run copies, of which the next attempt uses one
	joining     bool             // the last placement was among those
	members     []watcher.Server // of the next attempt's gang, none for a single server
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
	Outcome    wire.Outcome
	Reason     wire.Reason
	RetryAfter time.Duration // when to come back, if not run
	End        *wire.End     // if answered
	Position   int64         // tokens or bytes passed on
	Attempts   int
	Known      bool // some backend server offers what was asked for
}

// Attempt is one proposal under way; *proposer.Attempt is one.
type Attempt interface {
	// Next returns the next frame, checked.
	Next() (*wire.Frame, error)
	// Position returns the next position that is due.
	Position() int64
	// Close gives the attempt up.
	Close() error
}

// Timeouts are the longest waits of one attempt. Zero values mean the defaults.
type Timeouts struct {
	Accept     time.Duration // for the gate's word
	FirstToken time.Duration // for the first token, besides the expected time
	Gap        time.Duration // between frames after that
}

// Defaults of Watches.
const (
	defaultAccept = 3 * time.Second
	defaultFirst  = 5 * time.Second
	defaultGap    = 5 * time.Second
)

// Config describes a Dispatcher. Random is rand.Float64 if nil.
type Config struct {
	Watcher           *watcher.Watcher
	Propose           func(ctx context.Context, address string, p *wire.Proposal, payload []byte) (Attempt, error)
	Gangs             *gangrunner.Runner // for prompts beyond one server's memory, none if nil
	Keeper            *keeper.Keeper
	Retrier           *retrier.Retrier
	Chooser           *chooser.Chooser // of servers, for requests that can finish in time
	Estimator         *tokenestimator.Estimator
	Limits            Limits // of client accounts, none if nil
	Suspects          *screener.Screener
	PublishAccusation func(*wire.Accusation) // returns once the other entries were told; may be nil
	Timeouts          Timeouts
	Entry             string // this entry's inner address
	Log               *log.Logger
	Random            func() float64
}

// Dispatcher runs requests.
type Dispatcher struct {
	config Config
	told   told
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
		config.Timeouts.FirstToken = defaultFirst
	}
	if config.Timeouts.Gap <= 0 {
		config.Timeouts.Gap = defaultGap
	}
	return &Dispatcher{config: config}
}

// course is what has become of a request so far.
type course struct {
	permitted uint64 // sequence number under which the caller was permitted last
	result    Result
	ran       bool // some attempt may have run
	free      int  // retries left that cost no budget: the entry's own view was old
	looks     int  // waits left for a view with a server that can take it
	solo      int  // tries left to get a backend server alone
	cache     cache
	sequence  uint64   // configuration in force at the gate that refused last
	copies    []string // backend servers that run copies of the request
}

// cache is what a backend server that leaves has exported of a request.
type cache struct {
	handle string
	tokens int64
}

// freeRetries is how many tries a request gets that are owed to the entry's
// own old view: a stale configuration, a restarted sidecar, or one that an
// order or its own word has just taken out of service.
const freeRetries = 2

// A request under way that no server can take looks again so often, after such
// a pause: long enough for heartbeats to bring what an order has changed.
const (
	maxLooks  = 4
	lookPause = 250 * time.Millisecond
)

// Do runs a request to its final word.
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
	c := &course{free: freeRetries, looks: maxLooks, solo: soloTries}
	c.result.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	release, err := d.limit(ctx, q)
	if err != nil {
		c.refuse(err)
		return c.final()
	}
	defer func() { release(c.ran || c.result.Outcome == wire.Outcome_OUTCOME_ANSWERED, time.Now()) }()
	d.config.Retrier.RecordRequest(identifier.Account(q.Account.GetName()))
	for {
		if !d.permit(q, c) {
			return c.final()
		}
		choice, err := d.place(q, c)
		if err != nil {
			if !d.comeBack(ctx, q, c, err) {
				return c.final()
			}
			continue
		}
		c.result.Known = true
		c.result.Attempts++
		step := d.attempt(ctx, q, choice, c, sink)
		if c.take(step) {
			return c.final()
		}
		if !d.again(ctx, q, c, choice.Server) {
			return c.final()
		}
	}
}

// step is the end of one attempt.
type step struct {
	Result
	left     bool // the caller has gone
	cache    cache
	sequence uint64 // configuration in force at the gate
	copies   []string
}

// take adds an attempt's end to the course and reports whether that is final.
func (c *course) take(s step) bool {
	s.Attempts = c.result.Attempts
	s.Known = true
	c.result = s.Result
	c.cache = s.cache
	c.sequence = s.sequence
	c.copies = s.copies
	c.ran = c.ran || s.Outcome != wire.Outcome_OUTCOME_NOT_RUN
	return s.Outcome == wire.Outcome_OUTCOME_ANSWERED || s.left
}

// final returns the last word.
func (c *course) final() Result {
	if c.result.Outcome != wire.Outcome_OUTCOME_ANSWERED && c.ran {
		c.result.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return c.result
}

// permit looks before each attempt whether the caller may still have what was
// asked for: the configuration may have changed since the last one, or this
// entry may have learnt that it was behind. The proposal names the sequence
// number of the look.
func (d *Dispatcher) permit(q *Request, c *course) bool {
	if q.Permitted == nil {
		c.permitted = d.config.Keeper.State().Sequence
		return true
	}
	sequence, ok := q.Permitted()
	c.permitted = sequence
	if !ok {
		c.result.Reason = wire.Reason_REASON_DENIED
	}
	return ok
}

// again decides on one more try after a failed one and waits for its turn.
func (d *Dispatcher) again(ctx context.Context, q *Request, c *course, server watcher.Server) bool {
	if ctx.Err() != nil || c.ran && q.Call != wire.Call_CALL_REPEATABLE {
		return false
	}
	reason := c.result.Reason
	if final(reason) {
		return false
	}
	if alone(reason) || (q.alone || q.joining) && c.result.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		q.copies = c.copies
		return d.waitAlone(ctx, c)
	}
	if c.free > 0 && (reason == wire.Reason_REASON_STALE || reason == wire.Reason_REASON_BOOT) {
		c.free--
		if reason == wire.Reason_REASON_STALE {
			d.config.Keeper.CatchUp(ctx, c.sequence)
		}
		return ctx.Err() == nil
	}
	q.Job.Excluded = append(q.Job.Excluded, identifier.Server(server.GetServer()))
	if reason == wire.Reason_REASON_MOVED {
		return true // handed over: the budget is for failures
	}
	if c.free > 0 && (reason == wire.Reason_REASON_OUT || reason == wire.Reason_REASON_LEAVING) {
		c.free--
		return ctx.Err() == nil // an operator's order that the view has yet to show
	}
	return d.pause(ctx, q, c)
}

// final reports whether a refusal holds wherever the request is sent.
func final(reason wire.Reason) bool {
	switch reason {
	case wire.Reason_REASON_LATE, wire.Reason_REASON_MISMATCH, wire.Reason_REASON_DUPLICATE, wire.Reason_REASON_DENIED,
		wire.Reason_REASON_STORE:
		return true
	default:
		return false
	}
}

// comeBack decides what to do when no server can take the request: a request
// that nothing has been done for is given up at once, one that is under way
// waits for a newer view and tries all servers anew. The wait takes nothing from
// the budget, since nothing is sent.
func (d *Dispatcher) comeBack(ctx context.Context, q *Request, c *course, err error) bool {
	c.refuse(err)
	if c.ran && q.alone || q.joining {
		return d.waitAlone(ctx, c) // its place is not in service yet, or those of its copies are full
	}
	if !c.ran || c.looks == 0 {
		return false
	}
	c.looks--
	q.Job.Excluded = nil
	return wait(ctx, lookPause)
}

// pause takes a retry from the budget and waits its pause.
func (d *Dispatcher) pause(ctx context.Context, q *Request, c *course) bool {
	turn, ok := d.config.Retrier.Retry(identifier.Account(q.Account.GetName()), c.result.Attempts, time.Until(q.Deadline), d.config.Random())
	if !ok {
		return false
	}
	return wait(ctx, turn)
}

// wait reports whether a pause has passed before the context ended.
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
