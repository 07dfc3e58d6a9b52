package recorder

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"bamboohill/core/storer"

	"golang.org/x/time/rate"
)

// Bounds of one group.
const (
	groupOps    = 128
	groupBytes  = 256 << 10
	groupTries  = 3 // commits of one group whose answers were lost
	queueLength = 2048
)

// op is one row's change, guarded by the row's version.
type op struct {
	key     string
	version uint64 // that the row must have, 0 if absent
	value   []byte
	remove  bool        // delete the row instead
	claims  bool        // the value is of this op alone: no earlier one can have written it
	dropped func() bool // the change is no longer wanted; nil if it always is
	done    chan opResult
}

// opResult is what became of an op: took effect (err nil), conflict (row is
// what stands there), never sent or surely without effect (a
// *storer.UnavailableError), or in doubt.
type opResult struct {
	conflict *storer.Row
	err      error
}

// errDropped is the result of an op that was dropped before it was sent.
var errDropped = errors.New("recorder: dropped before it was sent")

// committer writes ops to the table, many in one transaction: while the pace
// allows each group goes at once, above it ops gather for the next one.
type committer struct {
	table storer.Table
	pace  *rate.Limiter
	queue chan *op
	spare *op // taken from the queue, left for the next group
	stop  context.Context
	stats *Stats
	since atomic.Int64 // start of the commit under way, unix nanoseconds; 0 if none
}

// stuck reports whether the commit under way has taken longer than a limit.
func (c *committer) stuck(limit time.Duration) bool {
	since := c.since.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > limit
}

// submit queues an op; false if the queue is full.
func (c *committer) submit(o *op) bool {
	select {
	case c.queue <- o:
		return true
	default:
		return false
	}
}

// run commits groups until the context ends.
func (c *committer) run() {
	for {
		first := c.next()
		if first == nil {
			return
		}
		if c.pace.Wait(c.stop) != nil {
			first.done <- opResult{err: &storer.UnavailableError{RetryAfter: time.Second}}
			return
		}
		c.commit(c.gather(first))
	}
}

func (c *committer) next() *op {
	if o := c.spare; o != nil {
		c.spare = nil
		return o
	}
	select {
	case o := <-c.queue:
		return o
	case <-c.stop.Done():
		return nil
	}
}

// gather adds what is queued to a group: at most one op for each row.
func (c *committer) gather(first *op) []*op {
	group := []*op{first}
	rows := map[string]bool{first.key: true}
	size := len(first.value)
	for len(group) < groupOps && size < groupBytes {
		select {
		case o := <-c.queue:
			if rows[o.key] {
				c.spare = o
				return group
			}
			group = append(group, o)
			rows[o.key] = true
			size += len(o.value)
		default:
			return group
		}
	}
	return group
}

func (c *committer) commit(group []*op) {
	group = wanted(group)
	for tries := 0; len(group) > 0; {
		c.stats.group(len(group))
		c.since.Store(time.Now().UnixNano())
		err := c.table.Commit(c.stop, transaction(group))
		c.since.Store(0)
		var conflict *storer.ConflictError
		var doubt *storer.UnknownOutcomeError
		switch {
		case err == nil:
			tell(group, opResult{})
			return
		case errors.As(err, &conflict) && len(conflict.Rows) > 0:
			rest := settle(group, conflict.Rows)
			if len(rest) == len(group) {
				tell(rest, opResult{err: &storer.UnknownOutcomeError{Cause: err}})
				return
			}
			group = rest
		case errors.As(err, &doubt):
			tries++
			rest, readErr := c.unconfirmed(group)
			if len(rest) > 0 && (readErr != nil || tries == groupTries) {
				tell(rest, opResult{err: doubt})
				return
			}
			group = rest
		case tries > 0: // an earlier try may have taken effect
			tell(group, opResult{err: &storer.UnknownOutcomeError{Cause: err}})
			return
		default:
			tell(group, opResult{err: err})
			return
		}
	}
}

// unconfirmed reads back what became of a group whose answer was lost, tells
// the ops that took effect and returns the others. A claim's value is of that
// claim alone, so one of them tells for all, because a transaction takes effect
// whole. Any other row may stand as wanted for another reason and tells for
// itself only.
func (c *committer) unconfirmed(group []*op) ([]*op, error) {
	if i := slices.IndexFunc(group, func(o *op) bool { return o.claims }); i >= 0 {
		landed, err := c.landed(group[i])
		if err != nil || !landed {
			return c.each(group, err)
		}
		tell(group, opResult{})
		return nil, nil
	}
	return c.each(group, nil)
}

// each reads the row of every op that is no claim. It stops at an error.
func (c *committer) each(group []*op, err error) ([]*op, error) {
	var rest []*op
	for _, o := range group {
		landed := false
		if err == nil && !o.claims {
			landed, err = c.landed(o)
		}
		if landed {
			o.done <- opResult{}
			continue
		}
		rest = append(rest, o)
	}
	return rest, err
}

// landed reads back whether a row stands as an op would leave it.
func (c *committer) landed(o *op) (bool, error) {
	c.stats.read()
	row, err := c.table.Get(c.stop, o.key)
	if err != nil {
		return false, err
	}
	return o.stands(row), nil
}

// stands reports whether a row is as the op would leave it. Values are unique
// to one claim and state.
func (o *op) stands(row storer.Row) bool {
	if o.remove {
		return row.Version == 0
	}
	return row.Version > 0 && bytes.Equal(row.Value, o.value)
}

func wanted(group []*op) []*op {
	var kept []*op
	for _, o := range group {
		if o.dropped != nil && o.dropped() {
			o.done <- opResult{err: errDropped}
			continue
		}
		kept = append(kept, o)
	}
	return kept
}

func transaction(group []*op) storer.Txn {
	var txn storer.Txn
	for _, o := range group {
		txn.Checks = append(txn.Checks, storer.Check{Key: o.key, Version: o.version})
		if o.remove {
			txn.Deletes = append(txn.Deletes, o.key)
			continue
		}
		txn.Puts = append(txn.Puts, storer.Put{Key: o.key, Value: o.value})
	}
	return txn
}

// settle tells the ops whose rows conflict and returns the others, which lose
// nothing by it.
func settle(group []*op, rows []storer.Row) []*op {
	differ := map[string]storer.Row{}
	for _, row := range rows {
		differ[row.Key] = row
	}
	var rest []*op
	for _, o := range group {
		row, found := differ[o.key]
		switch {
		case !found:
			rest = append(rest, o)
		case o.stands(row):
			o.done <- opResult{}
		default:
			o.done <- opResult{conflict: &row}
		}
	}
	return rest
}

func tell(group []*op, result opResult) {
	for _, o := range group {
		o.done <- result
	}
}
