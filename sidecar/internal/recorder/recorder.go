package recorder

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"bamboohill/core/storer"
	"bamboohill/wire"

	"golang.org/x/time/rate"
)

// DefaultMaxAnswerBytes is the default of Config.MaxAnswerBytes.
const DefaultMaxAnswerBytes = 64 << 10

// Defaults of Config.
const (
	defaultRetention  = 24 * time.Hour
	defaultRate       = 20.0
	defaultGrace      = 30 * time.Second
	defaultStoreWait  = 250 * time.Millisecond
	defaultBackoff    = 500 * time.Millisecond
	defaultStuckAfter = time.Second
)

// Limits of the transactions, claims and retries of a Recorder.
const (
	minRate          = 1.0 // transactions per second
	burstSeconds     = 0.5 // burst, as seconds of the rate
	maxClaimAttempts = 4
	rewriteTimeout   = 2 * time.Minute        // for storing an answer or voiding a claim
	rewriteBackoff   = 100 * time.Millisecond // delay after the first failed attempt; it doubles with each further one
	refusalRetry     = time.Second            // retry delay that a refusal tells the caller
)

// Config describes a Recorder. A MaxAnswerBytes of zero means 64 KiB, Retention
// 24 hours, Rate 20 transactions per second, Grace 30 seconds, StoreWait 250
// milliseconds, Backoff half a second and StuckAfter one second. Now is the
// clock; nil means time.Now.
type Config struct {
	Table          storer.Table
	VM             string
	Boot           uint64        // number of this start of the sidecar; increases with each start
	MaxAnswerBytes int           // longest answer body that is stored
	Retention      time.Duration // time for which a key is remembered
	Rate           float64       // transactions per second; above it, row changes are committed together
	Grace          time.Duration // time past its deadline that a call may still run so that its answer is stored
	StoreWait      time.Duration // longest time that an answer waits for its row to be written
	Backoff        time.Duration // time for which calls are refused after the table service failed
	StuckAfter     time.Duration // duration of a single commit after which new calls are refused
	Now            func() time.Time
}

func (c Config) withDefaults() Config {
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if c.Retention <= 0 {
		c.Retention = defaultRetention
	}
	if c.Rate <= 0 {
		c.Rate = defaultRate
	}
	if c.Grace <= 0 {
		c.Grace = defaultGrace
	}
	if c.StoreWait <= 0 {
		c.StoreWait = defaultStoreWait
	}
	if c.Backoff <= 0 {
		c.Backoff = defaultBackoff
	}
	if c.StuckAfter <= 0 {
		c.StuckAfter = defaultStuckAfter
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Call is one call that must not run twice.
type Call struct {
	Account  string    // client account
	Key      string    // idempotency key
	Attempt  string    // id of this attempt to run the call
	Hash     []byte    // hash of everything that is sent to the service
	Deadline time.Time // must have a monotonic clock reading
}

// Run sends a call to the service and returns the complete answer. It is
// called at most once. A *NotSentError means that certainly no byte reached the
// service; after any other error the outcome is unknown.
type Run func(ctx context.Context) (*Answer, error)

// NotSentError reports that no byte of a call reached the service.
type NotSentError struct {
	Cause string
}

// Error implements error.
func (e *NotSentError) Error() string { return "recorder: not handed over: " + e.Cause }

// Result is the result of one call: an answer or a refusal.
type Result struct {
	Answer   *Answer
	Replayed bool // the answer is the one to an earlier send
	Refused  *wire.Refused
	// ServiceDone is closed when the service no longer works on the call.
	ServiceDone <-chan struct{}
}

// Recorder runs calls for one backend server.
type Recorder struct {
	config Config
	stats  *Stats
	writer *committer
	close  context.CancelFunc
	tasks  sync.WaitGroup

	mu               sync.Mutex
	flights          map[string]*flight
	unavailableUntil time.Time // new calls are refused until then
	sweepCursor      string    // last key of the page that Sweep read last
}

// New starts a recorder. It panics if Table is nil or VM is empty.
func New(config Config) *Recorder {
	if config.Table == nil {
		panic("recorder: nil table")
	}
	if config.VM == "" {
		panic("recorder: no vm")
	}
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	stats := &Stats{}
	r := &Recorder{
		config: config, stats: stats, close: cancel, flights: map[string]*flight{},
		writer: &committer{
			table: config.Table, limiter: rate.NewLimiter(rate.Limit(config.Rate), max(1, int(config.Rate*burstSeconds))),
			queue: make(chan *op, queueLength), ctx: ctx, stats: stats,
		},
	}
	r.tasks.Go(r.writer.run)
	return r
}

// SetRate sets how many transactions per second this recorder may send, between
// one and Config.Rate. The burst is half a second's worth. At a higher load the
// row changes of several calls are committed together.
func (r *Recorder) SetRate(perSecond float64) {
	perSecond = min(max(perSecond, minRate), r.config.Rate)
	r.writer.limiter.SetLimit(rate.Limit(perSecond))
	r.writer.limiter.SetBurst(max(1, int(perSecond*burstSeconds)))
}

// Stats returns the counters.
func (r *Recorder) Stats() *Stats { return r.stats }

// Wait waits until no call is running and every answer and voided claim is
// written or given up, or until the context ends.
func (r *Recorder) Wait(ctx context.Context) {
	for {
		f := r.any()
		if f == nil {
			return
		}
		select {
		case <-f.rowDone:
		case <-ctx.Done():
			return
		}
	}
}

// any returns one of the flights, nil if there is none.
func (r *Recorder) any() *flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flights {
		return f
	}
	return nil
}

// Close stops the recorder. The outcome of calls that are still running is
// unknown.
func (r *Recorder) Close() {
	r.close()
	r.tasks.Wait()
}

// Do runs a call or replays its answer, or else returns a refusal. It returns at
// the call's deadline or when the context ends at the latest, even if the table
// service or the service does not answer. A call that was already sent
// continues after that.
func (r *Recorder) Do(ctx context.Context, c Call, run Run) Result {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	for {
		f, started := r.join(c, run)
		if f == nil {
			return refuse(wire.Reason_REASON_STORE, wire.Outcome_OUTCOME_NOT_RUN, r.config.Backoff)
		}
		if started {
			return f.await(ctx)
		}
		if string(f.call.Hash) != string(c.Hash) {
			return refuse(wire.Reason_REASON_MISMATCH, wire.Outcome_OUTCOME_NOT_RUN, 0)
		}
		result, retry := f.awaitReplay(ctx)
		if !retry {
			return result
		}
	}
}

// join returns the flight of a call's key, and whether this call started it. It
// returns nil if there is none and none may start: the table service failed less
// than Config.Backoff ago, a commit is stuck, or the recorder is closed.
func (r *Recorder) join(c Call, run Run) (*flight, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := rowKey(c.Account, c.Key)
	if f := r.flights[key]; f != nil {
		return f, false
	}
	if r.config.Now().Before(r.unavailableUntil) || r.writer.stuck(r.config.StuckAfter) || r.writer.ctx.Err() != nil {
		return nil, false
	}
	f := &flight{key: key, call: c, claim: newClaim(), done: make(chan struct{}), serviceDone: make(chan struct{}), rowDone: make(chan struct{})}
	r.flights[key] = f
	r.tasks.Go(func() { r.execute(f, run) })
	return f, true
}

func newClaim() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// recordOutage records that the table service failed, so that further calls are
// refused at once for Config.Backoff. It returns the retry delay for callers.
func (r *Recorder) recordOutage(err error) time.Duration {
	retry := r.config.Backoff
	var unavailable *storer.UnavailableError
	if errors.As(err, &unavailable) {
		retry = max(retry, unavailable.RetryAfter)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailableUntil = r.config.Now().Add(r.config.Backoff)
	return retry
}

func refuse(reason wire.Reason, outcome wire.Outcome, retry time.Duration) Result {
	return Result{Refused: &wire.Refused{Reason: reason, Outcome: outcome, RetryMs: retry.Milliseconds()}, ServiceDone: closedChannel}
}

// closedChannel is the ServiceDone of results for which the service is not
// running anything.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
