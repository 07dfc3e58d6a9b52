package follower

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// Source is the store.
type Source interface {
	// ReadAll returns all rows of a table and the position at which they were read. The
	// timeout is that of each call to the store.
	ReadAll(ctx context.Context, table string, timeout time.Duration) (rows []Row, at Position, err error)
	// Changes waits at most the given time for changes after a position. It returns
	// them and the position to continue from, or a *HistoryError if the store no
	// longer has these changes. The rows of another era than that of after mean
	// nothing.
	Changes(ctx context.Context, table string, after Position, wait time.Duration) (rows []Row, at Position, err error)
}

// HistoryError reports that the store no longer has the changes after a position.
type HistoryError struct {
	Table string
	After Position
}

// Error implements error.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("follower: changes of %s after version %d of era %d are no longer available", e.Table, e.After.Version, e.After.Era)
}

// errOldEra reports an answer from before the store returned from an older copy.
var errOldEra = errors.New("follower: answer of an earlier era")

// Timing of the calls. Each call to the store is charged for.
const (
	defaultWait    = 8 * time.Second
	defaultTimeout = 1500 * time.Millisecond
	maxTimeout     = 3 * time.Second
	minReadTimeout = 400 * time.Millisecond // of a call for the whole table, twice the time of a slow store
	readGrowth     = 4                      // it grows by one in so many parts with every call in a row without an answer
	backoffMin     = 100 * time.Millisecond
	defaultBackoff = 500 * time.Millisecond
)

// Config describes a Follower. Applied, Failed, Recovered and Answered may be nil.
type Config struct {
	Source   Source
	Table    string
	Interval time.Duration // shortest time between the begins of two successful calls, unless SettleAbsent ends
	Wait     time.Duration // longest time that the store may delay an answer; 8 s if 0
	Timeout  time.Duration // time beyond Wait after which a call for changes has failed; 1.5 s if 0
	Backoff  time.Duration // longest delay after a failed call; 500 ms if 0
	// Hedge is the time beyond Wait after which another call for changes is made beside one
	// that is not answered, and again each time it has passed, at most five times. It should be longer than an
	// answer of a slow store takes. If 0, none is made.
	Hedge time.Duration
	// TableHedge is the same for a call for the whole table, from its begin on. If 0, no
	// other is made beside it.
	TableHedge time.Duration
	// Pace returns Wait and Interval of the next call for changes; if nil, they are constant.
	Pace func(now time.Time) (wait, interval time.Duration)
	// Settle is the time within which other processes have written again what the
	// store lost when it returned from an older copy.
	Settle time.Duration
	// SettleAbsent is the same for rows that are absent from the store, if it has answered
	// each call in that time. It is shorter than Settle; if 0, they are as others.
	SettleAbsent time.Duration
	// Keeps reports whether a row that is absent after SettleAbsent is kept until Settle.
	// If nil, none is.
	Keeps func(copied Row) bool
	// Prefers reports whether a row replaces its copy of an earlier era even if the row
	// may be older. The copy of a row that is not known counts as deleted. If nil, none does.
	Prefers func(copied, row Row) bool
	Changed func(Row)             // called for each row that is newer than its copy
	Applied func()                // called after the rows of one answer
	Failed  func(began time.Time) // called after each failed call with the time of its begin
	// Recovered is called after a call that the store has answered while the one before it
	// failed, with the time of its begin.
	Recovered func(began time.Time)
	// Answered is called after each call that the store has answered, with the position
	// of the store, that of the newest row, and the time of the call's begin, without locks.
	Answered func(at, newest Position, began time.Time)
	Log      *log.Logger
}

// Follower holds the copy. It is safe for concurrent use. The functions of its
// Config are called one at a time and must not call the Follower.
type Follower struct {
	config  Config
	nudging atomic.Bool // a nudge is about to take effect

	mu          sync.Mutex
	rows        map[string]Row // deleted rows are kept, so that an older version does not restore them
	newest      int64          // largest version of the rows of the era
	position    Position       // of the last answer
	waiting     waiting
	pausing     pausing
	era         era
	unreachable bool      // the last call failed
	answered    time.Time // when the last call that the store answered began; zero if none was
}

// New returns a follower with an empty copy.
func New(config Config) *Follower {
	if config.Wait <= 0 {
		config.Wait = defaultWait
	}
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.Backoff <= 0 {
		config.Backoff = defaultBackoff
	}
	return &Follower{config: config, rows: map[string]Row{}}
}

// Run follows the table until ctx ends. A call for changes that gets no answer within
// Wait and Timeout is repeated, without waiting if Hedge is given: the store may have lost
// it. Timeout doubles with every such call in a row, up to 3 s, for a
// store that is slow. A call for the whole table is repeated sooner, as a process that
// starts knows nothing until it is answered.
func (f *Follower) Run(ctx context.Context) {
	loaded, failed := false, false // failed: the last call
	backoff, timeout, readTimeout := backoffMin, f.config.Timeout, minReadTimeout
	for ctx.Err() == nil {
		began := time.Now()
		loaded = loaded && !f.mustReread(began)
		wait, interval := f.config.Wait, f.config.Interval
		if f.config.Pace != nil && loaded {
			wait, interval = f.config.Pace(began)
		}
		if failed && f.config.Hedge > 0 {
			wait = 0 // for an answer as soon as the store is back
		}
		limit := timeout
		if !loaded {
			limit = readTimeout
			readTimeout = min(readTimeout+readTimeout/readGrowth, maxTimeout)
		}
		began, err := f.read(ctx, loaded, wait, limit)
		var gone *HistoryError
		if errors.As(err, &gone) {
			f.config.Log.Info().Str("event", "history-lost").Str("table", f.config.Table).Int64("after", gone.After.Version).Int64("era", gone.After.Era).Msg("")
			loaded = false
			f.recordHealth(ctx, began, nil)
			continue
		}
		if errors.Is(err, errNudged) {
			f.config.Log.Debug().Str("event", "read-repeated").Str("table", f.config.Table).Int64("age_ms", f.Age().Milliseconds()).Msg("")
			continue
		}
		f.recordHealth(ctx, began, err)
		if err != nil {
			failed = true
			lost := errors.Is(err, context.DeadlineExceeded) // without an answer
			if lost && !loaded && f.config.TableHedge > 0 {
				backoff = backoffMin // the calls beside each other are slow enough
			}
			f.pause(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, f.config.Backoff)
			if lost {
				timeout = max(f.config.Timeout, min(2*timeout, maxTimeout))
			}
			continue
		}
		loaded, failed, backoff, timeout, readTimeout = true, false, backoffMin, f.config.Timeout, minReadTimeout
		if f.config.Answered != nil {
			f.config.Answered(f.lastPosition(), f.Position(), began)
		}
		f.pause(ctx, interval-time.Since(began))
	}
}

// read makes one call: for the changes since the last one, for which it waits, or for the
// whole table. The timeout is that of reading a whole table, or that beyond the wait. It
// returns the begin of the call, or of the one beside it that was answered.
func (f *Follower) read(ctx context.Context, changes bool, wait, timeout time.Duration) (began time.Time, err error) {
	began = time.Now()
	if !changes {
		a, hedged := f.callTable(ctx, timeout)
		if a.err != nil {
			return began, a.err
		}
		return a.began, f.reset(a, hedged)
	}
	f.mu.Lock()
	after := f.position
	f.mu.Unlock()
	a := f.waitForChanges(ctx, after, wait, timeout)
	if a.err != nil {
		return began, a.err
	}
	return a.began, f.advance(a.rows, after, a.at)
}

// recordHealth records whether the store answered a call that began at the given
// time, and logs each change.
func (f *Follower) recordHealth(ctx context.Context, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.age(time.Now())
	if err == nil {
		f.answered = began
	}
	if err != nil {
		f.era.answers = time.Time{}
		if f.config.Failed != nil {
			f.config.Failed(began)
		}
	}
	if f.unreachable == (err != nil) {
		return
	}
	f.unreachable = err != nil
	if err != nil {
		f.config.Log.Warn().Str("event", "dependency-lost").Str("dependency", "store").Str("table", f.config.Table).Int64("age_ms", age.Milliseconds()).Str("cause", err.Error()).Msg("")
		return
	}
	if f.config.Recovered != nil {
		f.config.Recovered(began)
	}
	f.config.Log.Info().Str("event", "dependency-back").Str("dependency", "store").Str("table", f.config.Table).Int64("age_ms", age.Milliseconds()).Msg("")
}

// Age returns the time since the copy was known to be up to date: since the begin of
// the last call that the store answered. It returns 0 before the first answer.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age(time.Now())
}

func (f *Follower) age(now time.Time) time.Duration {
	if f.answered.IsZero() {
		return 0
	}
	return now.Sub(f.answered)
}

// reset replaces the copy by a whole table, after the store was silent if so: rows that are
// absent from it were deleted. While the store may lack what it has lost, the rows that may
// be older than their copy are withheld.
func (f *Follower) reset(a answer, silent bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, at := a.rows, a.at
	if at.Era < f.era.number {
		return errOldEra
	}
	now := time.Now()
	f.enter(at.Era, now)
	f.pausing.skip = false // this call has read the era
	if silent {
		f.era.answers = time.Time{}
	}
	f.recordAnswer(now)
	if !now.Before(f.era.settles) {
		f.era.settled = true
	}
	if !f.era.read {
		f.era.read, f.era.start = true, at.Version
	}
	present := make(map[string]bool, len(rows))
	for i := range rows {
		rows[i].Era, rows[i].Written = at.Era, rows[i].Version > f.era.start
		present[rows[i].Key] = true
		if old := f.rows[rows[i].Key]; old.Era < at.Era && old.equal(rows[i]) {
			f.era.kept = max(f.era.kept, rows[i].Version)
		}
	}
	var absent []Row
	for key, r := range f.rows {
		switch {
		case present[key] || r.Deleted:
		case r.Era < at.Era && !f.era.settled && r.Version > f.era.kept:
			f.era.withheld++
			absent = append(absent, r)
		default:
			f.set(Row{Key: key, Deleted: true, Era: at.Era, Version: at.Version})
		}
	}
	f.apply(rows, true)
	f.settleAbsent(absent, len(rows) > 0, at, a.began)
	f.position = at
	f.notifyApplied()
	return nil
}

// advance applies the changes after a position. It returns a *HistoryError if the store
// has returned from an older copy since.
func (f *Follower) advance(rows []Row, after, at Position) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case at.Era < f.era.number:
		return errOldEra
	case at.Era != after.Era:
		return &HistoryError{Table: f.config.Table, After: after}
	}
	f.recordAnswer(time.Now())
	for i := range rows {
		rows[i].Era, rows[i].Written = at.Era, true
	}
	if len(rows) > 0 {
		f.apply(rows, true)
		f.notifyApplied()
	}
	f.position = at
	return nil
}

// Merge applies the rows of another process that follows the table in the given era, if
// they are newer than their copy.
func (f *Follower) Merge(rows []Row, era int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enter(era, time.Now())
	if len(rows) == 0 {
		return
	}
	f.apply(rows, false)
	f.notifyApplied()
}

// apply applies rows that come from the store itself or from another process.
func (f *Follower) apply(rows []Row, fromStore bool) {
	for _, r := range rows {
		if f.accepts(r, fromStore) {
			f.set(r)
		}
	}
}

// set replaces the copy of a row.
func (f *Follower) set(r Row) {
	old, found := f.rows[r.Key]
	f.rows[r.Key] = r
	if r.Era == f.era.number {
		f.newest = max(f.newest, r.Version)
	}
	if !found || !old.equal(r) {
		f.config.Changed(r)
	}
}

func (f *Follower) notifyApplied() {
	if f.config.Applied != nil {
		f.config.Applied()
	}
}

// lastPosition returns the position of the last answer.
func (f *Follower) lastPosition() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Position returns the era of the copy and the largest version of its rows.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Position{Era: f.era.number, Version: f.newest}
}

// Rows returns all known rows, including deleted ones, in order of key.
func (f *Follower) Rows() []Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := make([]Row, 0, len(f.rows))
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		rows = append(rows, f.rows[key])
	}
	return rows
}
