package follower

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Row is a row of a table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"` // rises with every change in the store
	Deleted bool   `json:"deleted,omitempty"`
}

// Source is the store.
type Source interface {
	// ReadAll reads a table, and the version as of which it was read.
	ReadAll(ctx context.Context, table string) (rows []Row, version int64, err error)
	// Changes waits for changes behind a version, and returns the version to go
	// on from. It returns a *HistoryError if the store has forgotten them.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (rows []Row, version int64, err error)
}

// HistoryError says that the changes behind a version are not to be had.
type HistoryError struct {
	Table string
	After int64
}

// Error implements error.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("follower: changes of %s behind %d are gone", e.Table, e.After)
}

// Pace of the calls, all of which are paid for.
const (
	feedWait   = 8 * time.Second // keep-alive probes find a connection that fell silent sooner
	backoffMin = 100 * time.Millisecond
	backoffMax = 500 * time.Millisecond
)

// Config describes a Follower. Settled and Failed may be nil.
type Config struct {
	Source   Source
	Table    string
	Interval time.Duration   // between two calls
	Changed  func(Row)       // for each row that is newer than what was known
	Applied  func()          // after the rows of one answer
	Failed   func(time.Time) // after each call that failed
	Log      *log.Logger
}

// Follower holds the copy. It is safe for concurrent use; the functions of its
// Config are called one at a time and must not call it.
type Follower struct {
	config Config

	mu   sync.Mutex
	rows map[string]Row // deleted ones stay, so that nothing older brings them back
	away bool           // the last call failed
}

// New returns a follower that has read nothing.
func New(config Config) *Follower { return &Follower{config: config, rows: map[string]Row{}} }

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	after, known := int64(0), false
	backoff := backoffMin
	for ctx.Err() == nil {
		var rows []Row
		var err error
		if known {
			rows, after, err = f.changes(ctx, after)
		} else {
			rows, after, err = f.config.Source.ReadAll(ctx, f.config.Table)
		}
		var gone *HistoryError
		if errors.As(err, &gone) {
			f.config.Log.Info().Str("event", "history-lost").Str("table", f.config.Table).Int64("after", after).Msg("")
			known = false
			f.health(ctx, nil)
			continue
		}
		f.health(ctx, err)
		if err != nil {
			sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, backoffMax)
			continue
		}
		if known {
			f.Merge(rows)
		} else {
			f.reset(rows)
		}
		known, backoff = true, backoffMin
		sleep(ctx, f.config.Interval)
	}
}

// changes returns the changes behind a version, and that version if there was
// no answer.
func (f *Follower) changes(ctx context.Context, after int64) ([]Row, int64, error) {
	rows, next, err := f.config.Source.Changes(ctx, f.config.Table, after, feedWait)
	if err != nil {
		return nil, after, err
	}
	return rows, next, nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// health notes whether the store answers, and logs when that changes.
func (f *Follower) health(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil && f.config.Failed != nil {
		f.config.Failed(time.Now())
	}
	if f.away == (err != nil) {
		return
	}
	f.away = err != nil
	if err != nil {
		f.config.Log.Warn().Str("event", "dependency-lost").Str("dependency", "store").Str("table", f.config.Table).Str("cause", err.Error()).Msg("")
		return
	}
	f.config.Log.Info().Str("event", "dependency-back").Str("dependency", "store").Str("table", f.config.Table).Msg("")
}

// reset takes a whole table: what is not in it was deleted.
func (f *Follower) reset(rows []Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	for key, r := range f.rows {
		if !present[key] && !r.Deleted {
			r.Deleted = true
			f.rows[key] = r
			f.config.Changed(r)
		}
	}
	f.take(rows)
	f.settled()
}

// Merge takes rows that are newer than what is known, from the store or from
// another process that follows it.
func (f *Follower) Merge(rows []Row) {
	if len(rows) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.take(rows)
	f.settled()
}

func (f *Follower) take(rows []Row) {
	for _, r := range rows {
		if old, found := f.rows[r.Key]; found && old.Version >= r.Version {
			continue
		}
		f.rows[r.Key] = r
		f.config.Changed(r)
	}
}

func (f *Follower) settled() {
	if f.config.Applied != nil {
		f.config.Applied()
	}
}

// Rows returns all that is known, in order of key, with deleted rows.
func (f *Follower) Rows() []Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := make([]Row, 0, len(f.rows))
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		rows = append(rows, f.rows[key])
	}
	return rows
}
