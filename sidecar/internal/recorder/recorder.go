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

// DefaultMaxAnswerBytes is how many bytes of an answer are kept when Config says
// nothing.
const DefaultMaxAnswerBytes = 64 << 10

// Defaults of Config.
const (
	defaultRetention = 24 * time.Hour
	defaultPace      = 20.0
	defaultGrace     = 30 * time.Second
	defaultSettle    = 250 * time.Millisecond
	defaultBreak     = 500 * time.Millisecond
	defaultStuck     = time.Second
)

// Bounds of the work after a call.
const (
	leastPace  = 1.0 // transactions a second
	burstSpan  = 0.5 // seconds of the pace that may go at once
	claimTries = 4
	afterLimit = 2 * time.Minute // for storing an answer or voiding a claim
	afterPause = 100 * time.Millisecond
	lateRetry  = time.Second
)

// Config describes a Recorder. The zero Largest is 64 KiB, Retention 24 hours,
// Pace 20 transactions a second, Grace 30 seconds, Settle 250 milliseconds,
// Break half a second and Stuck a second. Now is the clock, time.Now if nil.
type Config struct {
	Table          storer.Table
	VM             string
	Boot           uint64
	MaxAnswerBytes int           // bytes of an answer that are kept
	Retention      time.Duration // for which a key is remembered
	Rate           float64       // transactions a second from which calls gather
	Grace          time.Duration // past its deadline that a call may still run for its answer to be kept
	StoreWait      time.Duration // that an answer waits for its row to be written
	Backoff        time.Duration // without a try after the table service failed
	StuckAfter     time.Duration // of one write after which new calls are refused
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
		c.Rate = defaultPace
	}
	if c.Grace <= 0 {
		c.Grace = defaultGrace
	}
	if c.StoreWait <= 0 {
		c.StoreWait = defaultSettle
	}
	if c.Backoff <= 0 {
		c.Backoff = defaultBreak
	}
	if c.StuckAfter <= 0 {
		c.StuckAfter = defaultStuck
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Call is one call that may not be repeated.
type Call struct {
	Account  string
	Key      string // idempotency key
	Attempt  string
	Hash     []byte    // of everything that the service is given
	Deadline time.Time // with a monotonic reading
}

// Run hands a call to the service and returns its whole answer. It is called
// at most once. A *NotHandedError says that surely no byte reached the
// service; any other error leaves the outcome unknown.
type Run func(ctx context.Context) (*Answer, error)

// NotSentError says that a call did not reach the service.
type NotSentError struct {
	Cause string
}

// Error implements error.
func (e *NotSentError) Error() string { return "recorder: not handed over: " + e.Cause }

// Result is the final word on one call: an answer or a refusal.
type Result struct {
	Answer   *Answer
	Replayed bool // the answer is of an earlier send
	Refused  *wire.Refused
	// ServiceDone is closed when the service has nothing of the call any more.
	ServiceDone <-chan struct{}
}

// Recorder runs calls for one backend server.
type Recorder struct {
	config Config
	stats  *Stats
	writes *committer
	close  context.CancelFunc
	tasks  sync.WaitGroup

	mu      sync.Mutex
	flights map[string]*flight
	broken  time.Time // no try before
	cursor  string    // of the sweep
}

// New starts a recorder. It panics if Table is nil or VM empty.
func New(config Config) *Recorder {
	if config.Table == nil {
		panic("recorder: nil table")
	}
	if config.VM == "" {
		panic("recorder: no vm")
	}
	config = config.withDefaults()
	stop, cancel := context.WithCancel(context.Background())
	stats := &Stats{}
	r := &Recorder{
		config: config, stats: stats, close: cancel, flights: map[string]*flight{},
		writes: &committer{
			table: config.Table, pace: rate.NewLimiter(rate.Limit(config.Rate), max(1, int(config.Rate*burstSpan))),
			queue: make(chan *op, queueLength), stop: stop, stats: stats,
		},
	}
	r.tasks.Go(r.writes.run)
	return r
}

// SetRate sets how many transactions a second this recorder may send; at a
// higher load calls gather. A half second's worth may go at once. It never goes
// above Config.Pace nor below one transaction a second.
func (r *Recorder) SetRate(pace float64) {
	pace = min(max(pace, leastPace), r.config.Rate)
	r.writes.pace.SetLimit(rate.Limit(pace))
	r.writes.pace.SetBurst(max(1, int(pace*burstSpan)))
}

// Stats returns the counters.
func (r *Recorder) Stats() *Stats { return r.stats }

// Wait returns when no call runs and every answer and void claim is written or
// given up, or the context ends.
func (r *Recorder) Wait(ctx context.Context) {
	for {
		f := r.any()
		if f == nil {
			return
		}
		select {
		case <-f.settled:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Recorder) any() *flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flights {
		return f
	}
	return nil
}

// Close stops the recorder. Calls that still run get the outcome unknown.
func (r *Recorder) Close() {
	r.close()
	r.tasks.Wait()
}

// Do runs a call, or replays its answer, or says why not. It returns at the
// call's deadline or when the context ends, whatever the table service and the
// service do; a call that was handed over goes on without it.
func (r *Recorder) Do(ctx context.Context, c Call, run Run) Result {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	for {
		f, own := r.join(c, run)
		if f == nil {
			return refuse(wire.Reason_REASON_STORE, wire.Outcome_OUTCOME_NOT_RUN, r.config.Backoff)
		}
		if own {
			return f.await(ctx)
		}
		if string(f.call.Hash) != string(c.Hash) {
			return refuse(wire.Reason_REASON_MISMATCH, wire.Outcome_OUTCOME_NOT_RUN, 0)
		}
		result, again := f.watch(ctx)
		if !again {
			return result
		}
	}
}

// join returns the flight of a call's key, and whether this call started it;
// nil if the table service failed a moment ago
// or is stuck.
func (r *Recorder) join(c Call, run Run) (*flight, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := rowKey(c.Account, c.Key)
	if f := r.flights[key]; f != nil {
		return f, false
	}
	if r.config.Now().Before(r.broken) || r.writes.stuck(r.config.StuckAfter) || r.writes.stop.Err() != nil {
		return nil, false
	}
	f := &flight{key: key, call: c, claim: newClaim(), done: make(chan struct{}), over: make(chan struct{}), settled: make(chan struct{})}
	r.flights[key] = f
	r.tasks.Go(func() { r.fly(f, run) })
	return f, true
}

func newClaim() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// fail notes that the table service did not serve, so that the next calls are
// refused at once.
func (r *Recorder) fail(err error) time.Duration {
	retry := r.config.Backoff
	var down *storer.UnavailableError
	if errors.As(err, &down) {
		retry = max(retry, down.RetryAfter)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = r.config.Now().Add(r.config.Backoff)
	return retry
}

func refuse(reason wire.Reason, outcome wire.Outcome, retry time.Duration) Result {
	return Result{Refused: &wire.Refused{Reason: reason, Outcome: outcome, RetryMs: retry.Milliseconds()}, ServiceDone: nothing}
}

// nothing is the Over of results behind which nothing runs.
var nothing = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
